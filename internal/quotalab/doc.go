// Package quotalab simulates customers' traffic against limits that are kept over many nodes, in
// virtual time. It measures how far customers exceed their limits and how much traffic within the
// limits is refused, for several designs. The same seed gives the same figures. Its callers are the
// quota command of olivebench and the tests.
//
// The simulation uses the same [quota.Granter] and [quota.Allowance] as a running node: the granter
// holds the limits' budgets, and each node's allowance caches grants and falls back to the node's own
// share while the granter does not answer. Arrivals of each customer are spread over the nodes at
// random. Grant requests and reports reach the granter, or do not while it is lost or the node is
// partitioned from it. Answers arrive at once; a request without an answer takes as long as a node
// waits for one.
package quotalab
