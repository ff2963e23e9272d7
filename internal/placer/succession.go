package placer

import (
	"time"

	"olivetiller/core/lease"
)

// follower is a node that reports to this lease holder.
type follower struct {
	reportedAt time.Time
	strength   float64
	// storeUnavailable is true if the store does not answer the node.
	storeUnavailable bool
	// hall is the node's data hall.
	hall string
	// address is where other nodes can reach the node; "" if it does not state one.
	address string
}

// nonSuccessorDelay is how much longer than the named successor the other nodes wait before they take the lease.
// Nodes learn of renewals through the lease holder at times that differ by up to 0.5 s; the delay is longer, so that
// the strongest node takes over if it is alive.
const nonSuccessorDelay = 800 * time.Millisecond

// successor returns the strongest of the nodes that reported within [lease.FollowFresh]; "" if there is none.
func (c *Controller) successor(now time.Time) string {
	name := ""
	for n, f := range c.nodes {
		if now.Sub(f.reportedAt) > lease.FollowFresh {
			continue
		}
		if best := c.nodes[name]; name == "" || f.strength > best.strength || f.strength == best.strength && n < name {
			name = n
		}
	}
	return name
}

// setTakeoverDelay sets how long this node waits before it takes a free lease, given the successor that the lease
// holder has named.
func (c *Controller) setTakeoverDelay(successor string) {
	switch successor {
	case "":
		c.lease.SetSuccession(false, c.o.TakeoverDelay)
	case c.o.Self.Holder:
		c.lease.SetSuccession(true, 0)
	default:
		c.lease.SetSuccession(false, c.o.TakeoverDelay+nonSuccessorDelay)
	}
}
