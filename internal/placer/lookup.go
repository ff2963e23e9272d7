package placer

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/reach"
	"olivetiller/io/peer"
)

const (
	// lookupPeers is how many addresses of other nodes each node keeps. All of them are unlikely to fail together,
	// and they cost some 200 bytes once.
	lookupPeers = 8
	// lookupEvery is the interval at which a node without a lease holder asks other nodes for it.
	lookupEvery = 250 * time.Millisecond
)

// peerList holds the nodes to ask for the lease holder when this node has lost it and cannot read the store. It is
// safe for concurrent use.
type peerList struct {
	mu    sync.Mutex
	peers []string
	next  int
}

// init sets where this node begins, so that nodes that lose the holder together ask different peers.
func (l *peerList) init(incarnation string) { l.next = int(xxhash.Sum64String(incarnation) >> 2) }

// setPeers replaces the addresses, which the lease holder chooses for all nodes; an empty list is ignored.
func (l *peerList) setPeers(peers []string) {
	if len(peers) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = peers
}

// pick returns the next address in turn that is not self; "" if there is none.
func (l *peerList) pick(self string) string {
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

// askPeerForHolder asks another node for the latest lease record if the store does not answer this node.
func (c *Controller) askPeerForHolder(ctx context.Context) {
	if !c.storeHealth.unavailable() || c.leading.Load() {
		return
	}
	address := c.peers.pick(c.o.Self.Address)
	if address == "" {
		return
	}
	m, err := c.o.Peers.Lease(ctx, address)
	if err != nil {
		c.o.Logger.Debug("peer does not know the lease holder", "address", address, "error", err.Error())
	} else {
		c.inbox.Send(ctx, leaseFromPeer{m, address})
	}
	c.pause(ctx, lookupEvery)
}

// leaseFromPeer is the latest lease record known to another node.
type leaseFromPeer struct {
	latest *peer.LeaseMark
	by     string
}

func (m leaseFromPeer) handle(c *Controller) {
	before, _ := c.lease.Holder()
	// As for a relayed record, its age is counted from now, which can only delay a takeover by this node.
	c.lease.Apply(m.latest.Offset, m.latest.Record, c.o.Clock.Now())
	c.watchNewHolder(before, m.by)
}

// LeaseMark implements [peer.Holder]: it returns the latest lease record known here, or nil.
func (c *Controller) LeaseMark() *peer.LeaseMark { return c.latestLease.Load() }

// updateLatestLease updates the result of LeaseMark.
func (c *Controller) updateLatestLease() {
	rec, offset, ok := c.lease.Latest()
	if !ok {
		c.latestLease.Store(nil)
		return
	}
	if m := c.latestLease.Load(); m == nil || m.Offset != offset {
		c.latestLease.Store(&peer.LeaseMark{Record: rec, Offset: offset})
	}
}

// peerAddresses returns up to lookupPeers addresses of reporting nodes, ordered by hash, so that all followers receive
// the same ones and these are spread over the data halls. It also returns the gateways: this node, and those of the
// others that are not about to stop.
func (c *Controller) peerAddresses() (peers []string, gateways []reach.Gateway) {
	nodes, staying := make([]reach.Gateway, 0, len(c.nodes)), make([]reach.Gateway, 0, len(c.nodes)+1)
	for _, f := range c.nodes {
		if f.address == "" {
			continue
		}
		n := reach.Gateway{Address: f.address, Hall: f.hall}
		nodes = append(nodes, n)
		if !f.stopping {
			staying = append(staying, n)
		}
	}
	sortByHash(nodes)
	for _, n := range nodes[:min(len(nodes), lookupPeers)] {
		peers = append(peers, n.Address)
	}
	return peers, chooseGateways(append(staying, reach.Gateway{Address: c.o.Self.Address, Hall: c.o.Hall}))
}
