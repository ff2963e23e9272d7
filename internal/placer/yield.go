package placer

import (
	"context"
	"time"

	"olivetiller/core/lease"
)

// Times and limits of handing the lease over.
const (
	// yieldRatio is by how much the successor must be stronger than this node, in cores
	// times link: between machines of about one size a change would cost more than it
	// brings.
	yieldRatio = 4
	// yieldAfter is how long this node has held the lease before it hands it over. A new
	// holder asks all engines for reports and loads nothing from the weight store for its
	// first window, so that the lease must not wander; the nodes that report have been
	// heard by then.
	yieldAfter = 3 * time.Second
	// yieldLead is how much longer than the others this node waits before it takes the
	// lease again: the successor reads of the release within one read of the topic, which
	// takes it half a second at most while it has a holder.
	yieldLead = 1500 * time.Millisecond
)

// yield hands the lease over to the node that is to follow, where that one is much stronger:
// after a loss of all strong machines a weak one took the lease, and kept it when they were
// back, too slow to relay a long configuration to all.
func (c *Controller) yield(ctx context.Context, now time.Time) {
	if !c.mayYield(now) {
		return
	}
	to := c.successor(now)
	rec, ok := c.lease.Releasing()
	if !ok {
		return
	}
	c.o.Logger.Info("lease handed over to a stronger node", "to", to, "strength", c.o.Strength, "itsStrength", c.nodes[to].strength)
	c.yielding = true
	go c.release(ctx, c.lease.End(), rec)
}

// mayYield reports whether the lease should be handed over now.
func (c *Controller) mayYield(now time.Time) bool {
	_, held := c.lease.Held(now)
	switch {
	case !held || !c.held || c.paused || c.yielding || c.stopping.Load():
		return false
	case now.Sub(c.heldSince) < yieldAfter || c.lease.Appending() || c.outage.Doubts(c.lease, now):
		return false
	}
	f, known := c.nodes[c.successor(now)]
	// A strength of 0 is not told.
	return known && !f.storeAway && c.o.Strength > 0 && f.strength >= yieldRatio*c.o.Strength
}

// release appends the record that gives the lease up.
func (c *Controller) release(ctx context.Context, at uint64, rec lease.Record) {
	offset, err := c.store(ctx, at, rec)
	c.inbox.Send(ctx, yielded{rec: rec, offset: offset, err: err})
}

// yielded tells what became of the record that gives the lease up.
type yielded struct {
	rec    lease.Record
	offset uint64
	err    error
}

func (m yielded) handle(c *Controller) {
	c.yielding = false
	now := c.o.Clock.Now()
	if m.err != nil {
		// It may still be carried out; a renewal tells, or the topic as read.
		c.o.Logger.Info("lease not handed over", "error", m.err.Error())
		c.lease.Failed(now)
		c.leaseDoubt.Store(true)
		return
	}
	c.lease.Fold(m.offset, m.rec, now)
	// Otherwise this node, the first to know that the lease is free, would take it again.
	c.lease.Succession(false, c.o.TakeoverDelay+yieldLead)
	c.leaseDoubt.Store(true)
}
