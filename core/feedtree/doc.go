// Package feedtree plans the distribution tree by which nodes receive what the lease holder has read from
// the store and decided, so that no node sends to more than about [FanOut] others.
//
// The data that every node needs (configuration, endpoints, loaded models) grows with the number of
// endpoints. A node that sent it to all others would send it in proportion to endpoints times nodes. The
// tree has two levels: the holder sends to a few strong nodes in each data hall, the feeders, and each
// feeder sends to other nodes of its hall. With up to [FanOut] nodes there are no feeders, and the holder
// sends to all nodes. No roles are stored: each plan is computed from the nodes that reported recently and
// the plan before, and a node that loses its feeder asks the next one of its list.
//
//	feeders := feedtree.Plan(nodes, before)
//	for _, f := range feedtree.Candidates(feeders, self) { ... }   // follow the first feeder that answers
//
// Two levels support FanOut*FanOut/2 = 8,192 nodes; larger fleets need a third level.
package feedtree
