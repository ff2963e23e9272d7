package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/io/peer"
)

const (
	// lookupPeers is how many addresses of other nodes each node knows: that all of them
	// are lost together is unlikely, and they cost some 200 bytes once.
	lookupPeers = 8
	// lookupEvery is the time between two questions of a node that has lost the holder.
	lookupEvery = 250 * time.Millisecond
)

// lookup is whom a node asks for the holder when it has lost it and does not reach the
// store. It is safe for concurrent use.
type lookup struct {
	mu    sync.Mutex
	peers []string
	next  int
}

// learn takes over the addresses that a holder told.
func (l *lookup) learn(peers []string) {
	if len(peers) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = peers
}

// pick returns whom to ask next, each in turn but for oneself; "" where nobody is known.
func (l *lookup) pick(self string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range l.peers {
		l.next++
		if p := l.peers[l.next%len(l.peers)]; p != self {
			return p
		}
	}
	return ""
}

// lookUp asks another node who holds the lease, if this one can learn it in no other way.
func (c *Controller) lookUp(ctx context.Context) {
	if !c.reach.away() || c.leading.Load() {
		return
	}
	address := c.lookup.pick(c.o.Self.Address)
	if address == "" {
		return
	}
	m, err := c.o.Peers.Lease(ctx, address)
	if err != nil {
		c.o.Logger.Debug("another node does not know the holder", "address", address, "error", err.Error())
	} else {
		c.inbox.Send(ctx, toldLease{m, address})
	}
	c.pause(ctx, lookupEvery)
}

// toldLease is another node's word on the holder.
type toldLease struct {
	mark *peer.LeaseMark
	by   string
}

func (m toldLease) handle(c *Controller) {
	before, _ := c.lease.Holder()
	// As with what the holder relays: the record's age is taken from now, which can only
	// delay a takeover.
	c.lease.Fold(m.mark.Offset, m.mark.Record, c.o.Clock.Now())
	c.followHolder(before, m.by)
}

// LeaseMark implements peer.Holder.
func (c *Controller) LeaseMark() *peer.LeaseMark { return c.mark.Load() }

// markLease keeps what others may ask for.
func (c *Controller) markLease() {
	rec, offset, ok := c.lease.Latest()
	if !ok {
		c.mark.Store(nil)
		return
	}
	if m := c.mark.Load(); m == nil || m.Offset != offset {
		c.mark.Store(&peer.LeaseMark{Record: rec, Offset: offset})
	}
}

// addresses returns some addresses of the nodes that report, the same ones for all, in
// the order of their hashes, so that they lie in all halls.
func (c *Controller) addresses() []string {
	var out []string
	for _, f := range c.nodes {
		if f.address != "" {
			out = append(out, f.address)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		if xxhash.Sum64String(a) < xxhash.Sum64String(b) {
			return -1
		}
		return 1
	})
	return out[:min(len(out), lookupPeers)]
}
