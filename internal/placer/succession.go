package placer

import (
	"cmp"
	"time"

	"olivetiller/core/lease"
)

// follower is a node that reports to this lease holder.
type follower struct {
	reportedAt time.Time
	strength   float64
	// storeUnavailable is true if the store does not answer the node.
	storeUnavailable bool
	// cutOff is true if the node reaches many endpoints only by way of other nodes.
	cutOff bool
	// stopping is true once the node's planned stop has begun.
	stopping bool
	// hall is the node's data hall.
	hall string
	// address is where other nodes can reach the node; "" if it does not state one.
	address string
}

// nonSuccessorDelay is how much longer than the named successor the other nodes wait before they take the lease.
// Nodes learn of renewals through the lease holder at times that differ by up to 0.5 s; the delay is longer, so that
// the strongest node takes over if it is alive.
const nonSuccessorDelay = 800 * time.Millisecond

// cutOffDelay is how much longer than other nodes a node waits that is cut off from endpoints.
const cutOffDelay = time.Second

// successor returns the strongest of the nodes that reported within [lease.FollowFresh], but one that is cut off from
// endpoints only if all are; "" if there is none.
func (c *Controller) successor(now time.Time) string {
	name := ""
	for n, f := range c.nodes {
		if now.Sub(f.reportedAt) > lease.FollowFresh {
			continue
		}
		if name == "" || c.precedes(n, name, now) {
			name = n
		}
	}
	return name
}

// precedes reports whether a node is to take the lease rather than another one.
func (c *Controller) precedes(name, otherName string, now time.Time) bool {
	f, other := c.nodes[name], c.nodes[otherName]
	if f.cutOff != other.cutOff {
		return other.cutOff
	}
	if former := c.recentHolder(now); f.strength == other.strength && (name == former || otherName == former) {
		return otherName == former
	}
	return cmp.Or(cmp.Compare(other.strength, f.strength), cmp.Compare(name, otherName)) < 0
}

// recentHolder returns the previous lease holder if it would have to wait before it orders engines again; "" otherwise. See
// [lease.Turns].
func (c *Controller) recentHolder(now time.Time) string {
	former, at := c.lease.Former()
	if now.Sub(at) >= lease.TTL+c.o.TurnBound || c.o.TurnBound == 0 {
		return ""
	}
	return former.Holder
}

// A node is cut off if it does not reach one in cutOffShare of the endpoints that it uses.
const cutOffShare = 4

// cutOff reports whether this node reaches so few endpoints directly that another node should hold the lease. Orders do
// not go by way of other nodes: engines would take them for those of another lease holder.
func (c *Controller) cutOff() bool {
	if c.o.Paths == nil {
		return false
	}
	unreached, reachable := c.o.Paths.Unreached()
	return unreached > 0 && cutOffShare*unreached >= reachable
}

// setTakeoverDelay sets how long this node waits before it takes a free lease, given the successor that the lease
// holder has named.
func (c *Controller) setTakeoverDelay(successor string) {
	delay := c.o.TakeoverDelay
	if c.cutOff() {
		delay += cutOffDelay
	}
	switch successor {
	case "":
		c.lease.SetSuccession(false, delay)
	case c.o.Self.Holder:
		c.lease.SetSuccession(true, 0)
	default:
		c.lease.SetSuccession(false, delay+nonSuccessorDelay)
	}
}
