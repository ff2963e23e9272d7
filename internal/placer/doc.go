// Package placer is the control side of a node: it learns the configuration, the list of endpoints and the units that
// each engine serves, takes part in the election of the lease holder, and publishes the view by which
// internal/traffic routes requests. While the node holds the lease, the package also orders engines to load and
// unload units. internal/hosted runs one [Controller] per node.
//
// The model is a single owner. The goroutine of [Controller.Run] owns the state. Readers of the log store, handlers
// of calls from other nodes, and calls that complete send it typed messages, and it publishes an immutable view. The
// lease holder (core/lease) gives the reports of all nodes to the planner (core/placement) and sends the planner's
// orders to the engines. Every other node, a follower, reports to the lease holder and receives snapshots of its
// state by long polling, either from the lease holder itself or from a feeder, a node that relays the lease holder's
// snapshots (core/feedtree).
//
// Several sources can describe an endpoint. Whether it exists or is draining is decided by the store, or by the
// endpoint itself when it refuses work because it is draining. What an engine serves is decided by the lease holder
// while its latest state is fresh (holderTTL), otherwise by the engine's own entry in the store. An engine's reply
// that it lacks a unit overrides both for missTTL. While the store is unavailable all of this stays in force; only
// the lease expires.
package placer
