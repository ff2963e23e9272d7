package placer

import (
	"context"
	"time"

	"olivetiller/core/lease"
	"olivetiller/core/placement"
	"olivetiller/io/peer"
)

// Reported implements [peer.Holder]: it takes in a node's report. It returns peer.ErrNotHolder if this node does not
// hold the lease.
func (c *Controller) Reported(r *peer.Report) error {
	if c.publishedIncarnation() == "" {
		return peer.ErrNotHolder
	}
	c.published.setInterest(r.Node, r.Use)
	c.quotas.noteReport(r.Node, r.Partitioned, c.o.Clock.Now())
	if c.suspects.guard.Merge(peer.DecodeSuspects(r.Suspects, c.o.Clock.Now()), r.Node) {
		c.publishSuspects()
	}
	if c.mergeSignals(r.Signals, r.Node, c.o.Clock.Now()) {
		c.publishSignals()
	}
	c.inbox.Send(context.Background(), nodeReport{r})
	return nil
}

func (c *Controller) publishedIncarnation() string {
	c.published.mu.Lock()
	defer c.published.mu.Unlock()
	return c.published.incarnation
}

type nodeReport struct{ r *peer.Report }

func (m nodeReport) handle(c *Controller) {
	if !c.held {
		return
	}
	now := c.o.Clock.Now()
	c.nodes[m.r.Node] = follower{reportedAt: now, strength: m.r.Strength, storeUnavailable: m.r.StoreUnreachable, address: m.r.Address, hall: m.r.Hall, cutOff: m.r.CutOff, stopping: m.r.Stopping}
	c.outage.ReportReceived(m.r.Node, lease.Report{At: now, StoreUnreachable: m.r.StoreUnreachable, Stopping: m.r.Stopping})
	uses := make([]placement.Usage, 0, len(m.r.Use))
	for _, w := range m.r.Use {
		unit, ok := placement.ParsePool(w.Pool)
		if !ok {
			c.o.Logger.Warn("reported use of an unknown pool skipped", "node", m.r.Node, "pool", w.Pool)
			continue
		}
		u := placement.Usage{Unit: unit, Bound: w.Bound, Build: w.Build, Waiting: w.Waiting, Arrivals: w.Arrivals, Deferred: w.Deferred, Late: w.Late, Tokens: w.Tokens, LongTokens: w.LongTokens, Objective: time.Duration(w.ObjectiveMs) * time.Millisecond, RunningAt: w.RunningAt, ReadingAt: w.ReadingAt}
		if w.Waiting > 0 {
			u.NextDue = now.Add(time.Duration(w.UrgentInMs) * time.Millisecond)
			u.LastDue = now.Add(time.Duration(w.LastInMs) * time.Millisecond)
			u.Rank = w.Rank
		}
		uses = append(uses, u)
	}
	c.planner.RecordUsage(m.r.Node, uses, now)
	c.uneven.addSamples(peer.DecodeGaps(m.r.Gaps), now)
	for _, miss := range m.r.Misses {
		c.planner.HandleMissing(miss.Engine, now)
	}
}

// dropSilentNodes drops the nodes that have sent no report for a lease period, and updates what depends on the set of
// nodes: the count, the peer addresses and the successor.
func (c *Controller) dropSilentNodes(now time.Time) {
	for n, f := range c.nodes {
		if now.Sub(f.reportedAt) > lease.TTL {
			delete(c.nodes, n)
		}
	}
	c.setNodes(len(c.nodes)+1, now)
	c.published.setSuccessor(c.successor(now))
	c.publishPeers(now)
}

// publishPeers publishes the addresses of peers and gateways if they are due.
func (c *Controller) publishPeers(now time.Time) {
	if now.Sub(c.peersChosenAt) < min(maxPeersInterval, time.Duration(len(c.nodes))*peersPerNode) {
		return
	}
	c.peersChosenAt = now
	peers, gateways := c.peerAddresses()
	c.peers.setPeers(peers)
	c.gateways.setGateways(gateways)
	c.published.setPeers(peers, gateways)
}
