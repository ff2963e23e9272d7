package placer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/directory"
	"olivetiller/core/feedtree"
	"olivetiller/core/lease"
	"olivetiller/io/peer"
)

// Times and limits of the feed tree.
const (
	// collectWindow is how long a lease holder that knows of no other nodes collects watch requests before it plans the
	// feed tree.
	collectWindow = 300 * time.Millisecond
	// planTreeEvery is the interval between two plans.
	planTreeEvery = time.Second
	// requesterTTL is how long a node that asked for snapshots, but sent no report, counts as present.
	requesterTTL = 3 * time.Second
	// avoidFor is how long a node does not ask a feeder that failed to answer or sent outdated state.
	avoidFor = 2 * time.Second
	// maxDirectFollowers bounds the nodes that the lease holder serves directly because none of their feeders
	// answers.
	maxDirectFollowers = feedtree.FanOut / 2
	// leaseReadsPerSecond bounds how many nodes of a large fleet begin to read the lease topic per second.
	leaseReadsPerSecond = 400
	// redirectPause is the pause of a node whose feeders do not answer and which the lease holder has redirected to
	// them.
	redirectPause = 500 * time.Millisecond
	// quickRedirectPause is the pause after a redirect that came at once.
	quickRedirectPause = 50 * time.Millisecond
)

// feedState is what this node knows of the feed tree. The watcher and the readers use its atomic fields.
type feedState struct {
	// feeders are the feeders of the latest plan known here; nil if there is none.
	feeders atomic.Pointer[[]feedtree.Node]
	// nodes is how many nodes share the traffic; 0 if unknown.
	nodes atomic.Int64
	// endpoints is the length of the list of endpoints; 0 if unknown.
	endpoints atomic.Int64
	// plannedAt is when this node, as the lease holder, last made a plan. It belongs to the owner.
	plannedAt time.Time
}

func (f *feedState) plan() []feedtree.Node {
	if p := f.feeders.Load(); p != nil {
		return *p
	}
	return nil
}

// isFeeder reports whether this node is a feeder by the latest plan known.
func (c *Controller) isFeeder() bool { return feedtree.IsFeeder(c.feeding.plan(), c.o.Self.Holder) }

// maintainsPlanner reports whether this node keeps the planner's list of engines up to date, because it holds the
// lease or may have to take it at once: it is a feeder, or the fleet is small.
func (c *Controller) maintainsPlanner() bool {
	return c.held || c.feeding.nodes.Load() <= feedtree.FanOut || c.isFeeder()
}

// hashFraction maps this node to a fixed, evenly distributed number in [0, 1), by which nodes spread their reads of
// the store over time.
func (c *Controller) hashFraction() float64 {
	return float64(xxhash.Sum64String(c.o.Self.Incarnation)>>11) / (1 << 53)
}

// applyFeedPlan puts a feed plan in force; feeders is nil for a plan without feeders.
func (c *Controller) applyFeedPlan(feeders []feedtree.Node) {
	was := c.isFeeder()
	c.feeding.feeders.Store(&feeders)
	if is := c.isFeeder(); is != was {
		c.o.Logger.Info("role in the feed tree changed", "feeds", is, "feeders", len(feeders), "nodes", c.feeding.nodes.Load())
	}
}

// planTree plans the feed tree at the lease holder and publishes the plan.
func (c *Controller) planTree(now time.Time) {
	if !c.published.mayPlan(now) || now.Sub(c.feeding.plannedAt) < planTreeEvery {
		return
	}
	c.feeding.plannedAt = now
	nodes := c.published.recentRequesters(now)
	for name, f := range c.nodes {
		nodes[name] = feedtree.Node{Name: name, Address: f.address, Hall: f.hall, Strength: f.strength}
	}
	delete(nodes, c.o.Self.Holder)
	list := make([]feedtree.Node, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, n)
	}
	feeders := feedtree.Plan(list, c.feeding.plan())
	c.setNodes(len(list)+1, now)
	c.applyFeedPlan(feeders)
	c.published.setFeeders(feeders, len(list)+1)
}

// source is a node that this node asks for snapshots.
type source struct {
	address string
	// feeder is true for a feeder, false for the lease holder.
	feeder bool
	// noFeeder is true if the plan has feeders for this node, but all of them are being avoided.
	noFeeder bool
}

// sourceOf returns the node to ask for snapshots: the first of this node's feeders that avoid, by address and end
// time, does not exclude, otherwise the lease holder h.
func (c *Controller) sourceOf(h lease.Record, avoid map[string]time.Time, now time.Time) source {
	choices := feedtree.Candidates(c.feeding.plan(), c.o.Self.Holder, c.o.Hall)
	for _, f := range choices {
		if f.Address != h.Address && now.After(avoid[f.Address]) {
			return source{address: f.Address, feeder: true}
		}
	}
	return source{address: h.Address, noFeeder: len(choices) > 0}
}

// shouldReadStore reports whether this node should read the store itself: it holds the lease, or has received no
// relayed state for longer than its share of feedtree.ReadDelay, which spreads the reads of a large fleet over time.
func (c *Controller) shouldReadStore() bool {
	return c.leading.Load() || c.timeSinceRelay() >= feedtree.ReadDelay(int(c.feeding.nodes.Load()), int(c.feeding.endpoints.Load()), c.hashFraction())
}

// shouldReadConfig reports whether this node should read the operators' topic itself. A node that was fed reads on from
// the position up to which its feed had read, which costs the store little, so that all nodes may do so within
// timing.configSpread.
func (c *Controller) shouldReadConfig() bool {
	if c.leading.Load() || c.relayed.Load() == nil || c.feeding.nodes.Load() <= feedtree.FanOut {
		return c.shouldReadStore()
	}
	return c.timeSinceRelay() >= time.Duration(c.hashFraction()*float64(c.timing.configSpread))
}

// shouldReadLease reports whether this node should read the lease topic itself. In a large fleet a node that has lost
// its source waits for its turn, at a rate of leaseReadsPerSecond; a feeder, or a node that never received relayed
// state, reads at once.
func (c *Controller) shouldReadLease() bool {
	nodes := c.feeding.nodes.Load()
	if c.leading.Load() || c.relayed.Load() == nil || nodes <= feedtree.FanOut || c.isFeeder() {
		return true
	}
	return c.timeSinceRelay() >= time.Duration(c.hashFraction()*float64(nodes)/leaseReadsPerSecond*float64(time.Second))
}

// timeSinceRelay returns how long the relayed state has been outdated, or the time since the start if none was
// received. It is negative while the relayed state is fresh.
func (c *Controller) timeSinceRelay() time.Duration {
	since := c.startedAt
	if m := c.relayed.Load(); m != nil {
		since = m.at.Add(c.timing.relayTTL)
	}
	return c.o.Clock.Now().Sub(since)
}

// needsAllReports reports whether a lease holder that the store does not answer needs to know of every node whether
// the store answers it: engines do not check fences, or the fleet is small.
func (c *Controller) needsAllReports() bool {
	return !c.o.Fenced || c.feeding.nodes.Load() <= feedtree.FanOut
}

// admission is the lease holder's decision on a watch request, a follower's long poll for a snapshot.
type admission uint8

const (
	// serveDirectly answers the request with a snapshot.
	serveDirectly admission = iota
	// waitForPlan keeps the request open until there is a feed plan.
	waitForPlan
	// redirect answers with the feeders to ask instead.
	redirect
)

// requester is a node that has asked the lease holder for a snapshot.
type requester struct {
	node feedtree.Node
	at   time.Time
	// noFeeder is true while the lease holder serves the node directly because none of its feeders answers.
	noFeeder bool
}

// admit decides on a watch request to the lease holder and records the requester.
func (p *publication) admit(q *peer.WatchRequest, now time.Time) admission {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requesters[q.Node] = requester{feedtree.Node{Name: q.Node, Address: q.Address, Hall: q.Hall, Strength: q.Strength}, now, q.Orphan}
	switch {
	case p.incarnation == "", now.Before(p.collectUntil):
		return waitForPlan
	case len(p.feeders) == 0 && len(p.requesters) > feedtree.FanOut && !p.planned:
		return waitForPlan
	case len(p.feeders) == 0, feedtree.IsFeeder(p.feeders, q.Node):
		return serveDirectly
	case q.Orphan && p.directFollowers(now) <= maxDirectFollowers:
		return serveDirectly
	}
	return redirect
}

// directFollowers counts the recent requesters without a feeder, which the lease holder serves directly. The caller
// holds p.mu.
func (p *publication) directFollowers(now time.Time) int {
	n := 0
	for _, a := range p.requesters {
		if a.noFeeder && now.Sub(a.at) <= requesterTTL {
			n++
		}
	}
	return n
}

// recentRequesters returns the nodes that asked within requesterTTL, by name, and drops the others.
func (p *publication) recentRequesters(now time.Time) map[string]feedtree.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]feedtree.Node, len(p.requesters))
	for name, a := range p.requesters {
		if now.Sub(a.at) > requesterTTL {
			delete(p.requesters, name)
			continue
		}
		out[name] = a.node
	}
	return out
}

// mayPlan reports whether the lease holder may plan the feed tree: its term is published and the collection of watch
// requests is over.
func (p *publication) mayPlan(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation != "" && !now.Before(p.collectUntil)
}

// setFeeders publishes a feed plan and wakes the watch requests that wait for one.
func (p *publication) setFeeders(feeders []feedtree.Node, nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.planned
	p.planned = true
	// A redirected node derives from this count how long it waits before it reads the store.
	p.nodes = max(p.nodes, nodes)
	if !feedtree.EqualPlans(p.feeders, feeders) {
		p.wakeAll()
		p.feeders, p.feedersVersion = feeders, p.version
		return
	}
	if first {
		p.wakeAll()
	}
}

// collectRequests begins to accept watch requests before the list of endpoints was read. known is the number of nodes
// under the previous lease holder; 0 if unknown.
func (p *publication) collectRequests(now time.Time, known int, feeders []feedtree.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collecting, p.requesters, p.planned = true, make(map[string]requester), known > 0
	p.feeders, p.collectUntil = feeders, now
	if known == 0 {
		p.collectUntil = now.Add(collectWindow)
	}
}

// status reports whether a term is published, and whether watch requests are collected for one that is about to be.
// They are accepted in both cases.
func (p *publication) status() (published, collecting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation != "", p.collecting
}

// redirectAnswer returns the snapshot that names the feeders to ask.
func (p *publication) redirectAnswer() *peer.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &peer.Snapshot{Redirect: true, Nodes: p.nodes, Fence: p.fence, Feeders: p.feeders}
}

// awaitPlan keeps a watch request to the lease holder open until it can be decided or q.Wait is over.
func (c *Controller) awaitPlan(ctx context.Context, w *watcher, q *peer.WatchRequest) (admission, error) {
	timeout := c.o.Clock.After(q.Wait)
	for {
		a := c.published.admit(q, c.o.Clock.Now())
		if a != waitForPlan {
			return a, nil
		}
		select {
		case <-w.notify:
		case <-c.o.Clock.After(tickEvery):
		case <-timeout:
			return a, nil
		case <-ctx.Done():
			return a, ctx.Err()
		}
	}
}

// updateRelay brings this feeder's publication up to date with a snapshot that was just received and applied, or ends
// it if this node is not a feeder.
func (c *Controller) updateRelay(s *peer.Snapshot, m snapshotReceived, now time.Time) {
	if !c.isFeeder() {
		c.relay.end()
		return
	}
	asOf := m.storeReadAt(now)
	if !c.relay.mirrors(s.Term) || s.Full {
		c.relay.mirrorAll(s, c.holderState.serving, c.uneven.Uneven, c.directory.Records(now), c.listedTo)
	} else {
		c.relay.mirror(s)
	}
	c.relay.mirrorCommon(s, *c.config.Load(), c.halls.evacuations(), asOf, c.holderState.seenAt)
}

// recordsOf returns the records as entries that changed at a version, by endpoint.
func recordsOf(records []directory.Record, version uint64) map[string]instanceEntry {
	out := make(map[string]instanceEntry, len(records))
	for _, r := range records {
		out[r.ID] = instanceEntry{r, version}
	}
	return out
}
