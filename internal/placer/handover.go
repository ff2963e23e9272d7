package placer

import (
	"context"
	"time"
)

// Limits and delays of handing the lease over to a stronger node.
const (
	// handoverRatio is by how much the successor must be stronger than this node, in cores times link speed. Between
	// machines of similar strength a handover costs more than it gains.
	handoverRatio = 4
	// handoverAfter is how long this node must have held the lease. A new holder asks all engines for reports and
	// loads nothing from the weight store during its first window, so that frequent handovers would hurt; after this
	// time the reporting nodes are known.
	handoverAfter = 3 * time.Second
	// handoverDelay is how much longer than other nodes this node waits before it takes the lease again. The
	// successor learns of the release by its next read of the topic, within 0.5 s while there is a holder.
	handoverDelay = 1500 * time.Millisecond
)

// handOver releases the lease to the successor if that node is much stronger, or if only this one is cut off from
// endpoints. Otherwise a weak machine that took the lease after a failure of all strong ones would keep it when they are
// back, and is too slow to relay a long configuration to all nodes; and a node that is cut off could order nothing.
func (c *Controller) handOver(now time.Time) {
	if !c.mayHandOver(now) {
		return
	}
	to := c.successor(now)
	c.lease.GiveUp()
	c.o.Logger.Info("lease handed over", "to", to, "strength", c.o.Strength, "itsStrength", c.nodes[to].strength, "cutOff", c.cutOff())
}

// releaseOnceSettled releases the lease, if that is due, once no order of this node can arrive after one of the next lease
// holder. Otherwise engines that check no fence would carry out the orders of two holders in the wrong order.
func (c *Controller) releaseOnceSettled(ctx context.Context, now time.Time) {
	if c.lease.ReleaseDue(now) && c.turns.Settled(now) {
		go c.append(ctx, c.lease.BeginRelease(now))
	}
}

// mayHandOver reports whether the lease should be handed over now.
func (c *Controller) mayHandOver(now time.Time) bool {
	_, held := c.lease.Held(now)
	switch {
	case !held || !c.held || c.paused || c.stopping.Load():
		return false
	case now.Sub(c.heldSince) < handoverAfter || c.lease.Appending() || c.outage.SuspectsStore(c.lease, now):
		return false
	}
	f, known := c.nodes[c.successor(now)]
	if !known || f.storeUnavailable {
		return false
	}
	if c.cutOff() != f.cutOff {
		return c.cutOff()
	}
	// A strength of 0 is unknown.
	return c.o.Strength > 0 && f.strength >= handoverRatio*c.o.Strength
}

// leaseReleased delays the next takeover by this node, which is the first to know that the lease is free.
func (c *Controller) leaseReleased() {
	c.lease.SetSuccession(false, c.o.TakeoverDelay+handoverDelay)
	c.leaseUncertain.Store(true)
}
