package placer

import (
	"context"
	"time"

	"olivetiller/core/feedtree"
	"olivetiller/io/peer"
)

// watcher is an open long poll of one node.
type watcher struct {
	node string
	// due is set once any change, urgent or not, ends the wait.
	due bool
	// notify has capacity 1 and holds a token while there is something to send.
	notify chan struct{}
}

// wakeUp signals the watcher without blocking.
func (w *watcher) wakeUp() {
	select {
	case w.notify <- struct{}{}:
	default:
	}
}

// wakeAll starts a new version that every node should receive at once. The caller holds p.mu.
func (p *publication) wakeAll() {
	p.version++
	p.wakeWatchers()
}

// wakeDue wakes the watchers that are due for any change. The caller holds p.mu.
func (p *publication) wakeDue() {
	for w := range p.watchers {
		if w.due {
			w.wakeUp()
		}
	}
}

// wakeWatchers wakes all watchers. The caller holds p.mu.
func (p *publication) wakeWatchers() {
	for w := range p.watchers {
		w.wakeUp()
	}
}

// wake starts a new version, which the nodes with requests waiting for one of the pools should receive at once and
// the others when they are due. The caller holds p.mu.
func (p *publication) wake(pools map[string]bool) {
	p.version++
	for w := range p.watchers {
		if w.due || intersect(p.interest[w.node], pools) {
			w.wakeUp()
		}
	}
}

func intersect(a, b map[string]bool) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	for k := range a {
		if b[k] {
			return true
		}
	}
	return false
}

// open registers a long poll of a node, until close.
func (p *publication) open(node string) *watcher {
	w := &watcher{node: node, notify: make(chan struct{}, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers[w] = true
	return w
}

func (p *publication) close(w *watcher) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.watchers, w)
}

// markDue marks a watcher as due for any change, and reports whether there is one since a version.
func (p *publication) markDue(w *watcher, since uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.due = true
	return p.version > since
}

// snapshot returns what has changed since the version in q, or everything if q has another incarnation or too old a
// version. ok is false if nothing is published. urgent is true if the node should receive the snapshot at once: it
// concerns a pool that its requests wait for, or changes the configuration, evacuations, feed plan or list of
// endpoints.
func (p *publication) snapshot(q peer.WatchRequest, now time.Time) (s *peer.Snapshot, urgent, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == "" {
		return nil, false, false
	}
	s = &peer.Snapshot{Term: p.incarnation, Fence: p.fence, Version: p.version, Nodes: p.nodes, Successor: p.successor, StoreUnconfirmed: p.holderLostStore, Full: q.Life != p.incarnation || q.Version < p.deltasFrom}
	after := q.Version
	if s.Full {
		after = 0
	}
	if p.peersVersion > after {
		s.Peers, s.Gateways = p.peers, p.gateways
	}
	if len(p.feeders) > 0 && s.Full || p.feedersVersion > after {
		s.Feeders = append([]feedtree.Node{}, p.feeders...)
		urgent = true
	}
	if !p.holderSeenAt.IsZero() {
		s.HolderAgeMs = max(0, now.Sub(p.holderSeenAt)).Milliseconds()
	}
	if s.Full {
		p.fullSnapshotAt(now).fill(s)
	}
	p.addUneven(s, after)
	urgent = p.addServing(s, after, p.interest[q.Node], now) || urgent
	urgent = p.addStoreState(s, q, after, now) || urgent || s.Full
	return s, urgent, true
}

// addServing adds what the engines serve and when units are expected, and reports whether that concerns a pool of
// interest.
func (p *publication) addServing(s *peer.Snapshot, after uint64, interest map[string]bool, now time.Time) (urgent bool) {
	if !s.Full {
		urgent = p.addChanged(s, after, interest)
	}
	s.ReadyInMs = make(map[string]int64, len(p.readyAt))
	for pool, at := range p.readyAt {
		s.ReadyInMs[pool] = max(0, at.Sub(now).Milliseconds())
		urgent = urgent || p.readyVersion > after && interest[pool]
	}
	return urgent
}

// addChanged adds the engines that changed or were removed after a version, and reports whether a pool of interest is
// concerned.
func (p *publication) addChanged(s *peer.Snapshot, after uint64, interest map[string]bool) (urgent bool) {
	s.Serving = make(map[string][]string)
	for id, sh := range p.serving {
		if sh.version <= after {
			continue
		}
		s.Serving[id] = sh.pools
		for _, pool := range sh.pools {
			urgent = urgent || interest[pool]
		}
	}
	for id, v := range p.removedAt {
		if v > after {
			s.Removed = append(s.Removed, id)
		}
	}
	return urgent
}

// addStoreState adds the state read from the store, and reports whether any of it is urgent.
func (p *publication) addStoreState(s *peer.Snapshot, q peer.WatchRequest, after uint64, now time.Time) (urgent bool) {
	st := &p.store
	s.Lease, s.LeaseOffset = st.lease, st.leaseOffset
	// The list of nodes, 2 KB for 77 nodes, is sent separately and only when it changes.
	s.Lease.Nodes = nil
	if st.takersVersion > after {
		s.Takers = st.takers
	}
	if st.config.version() > q.Config {
		s.Config = st.config.table.Config
		urgent = true
	}
	s.ConfigReadTo = st.config.readTo
	if age, known := st.config.age(now); known {
		// Rounded up, so that a removed key is not accepted any longer because of it.
		ms := age.Milliseconds() + 1
		s.ConfigAgeMs, s.ConfigVersion = &ms, st.config.version()
	}
	if st.evacuations != nil && (s.Full || st.evacuationsVersion > after) {
		s.Evacuations = st.evacuations
		urgent = true
	}
	if s.Full {
		s.AgeMs = max(now.Sub(st.configAt), now.Sub(p.full.instancesAt)).Milliseconds()
		return true
	}
	s.AgeMs, s.DirectoryVersion = max(now.Sub(st.configAt), now.Sub(st.instancesAt)).Milliseconds(), st.listedTo
	for _, in := range st.instances {
		if in.version > after {
			s.Instances = append(s.Instances, in.record)
			urgent = true
		}
	}
	return urgent
}

// Changes that are not urgent for a node are batched into one message after pushDelay, plus pushDelayPerNode for each
// open watch request, so that the work of sending stays bounded.
const (
	pushDelay        = 100 * time.Millisecond
	pushDelayPerNode = 4 * time.Millisecond
)

// Watch implements [peer.Holder]: it answers as the lease holder, or as a feeder if q.Feeder is set. The snapshot
// states how old the lease holder's state is.
func (c *Controller) Watch(ctx context.Context, q peer.WatchRequest) (*peer.Snapshot, error) {
	if q.Feeder && !c.leading.Load() {
		return c.watchFeeder(ctx, q)
	}
	// The requester took the lease holder for a feeder, and so has an outdated plan.
	q.Orphan = q.Orphan || q.Feeder
	if published, collecting := c.published.status(); !published && !collecting {
		return nil, peer.ErrNotHolder
	}
	w := c.published.open(q.Node)
	defer c.published.close(w)
	a, err := c.awaitPlan(ctx, w, &q)
	switch {
	case err != nil:
		return nil, err
	case a == waitForPlan:
		return &peer.Snapshot{Redirect: true}, nil
	case a == redirect:
		return c.published.redirectAnswer(), nil
	}
	return c.answer(ctx, &c.published, w, q)
}

// watchFeeder answers a watch request to this node as a feeder. A request that comes before this node has fresh state
// itself waits for it.
func (c *Controller) watchFeeder(ctx context.Context, q peer.WatchRequest) (*peer.Snapshot, error) {
	p := &c.relay
	timeout := c.o.Clock.After(q.Wait)
	for !p.fresh(c.o.Clock.Now()) {
		select {
		case <-c.o.Clock.After(tickEvery):
		case <-timeout:
			return nil, peer.ErrNotHolder
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	w := p.open(q.Node)
	defer p.close(w)
	if p.openRequests() > maxFollowers {
		return nil, peer.ErrNotHolder
	}
	return c.answer(ctx, p, w, q)
}

// maxFollowers bounds the open watch requests of a feeder; nodes beyond it ask another feeder.
const maxFollowers = 4 * feedtree.FanOut

// openRequests returns the number of open watch requests.
func (p *publication) openRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.watchers)
}

// fresh reports whether this feeder's publication holds state that the lease holder sent within holderTTL.
func (p *publication) fresh(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation != "" && now.Sub(p.holderSeenAt) <= holderTTL
}

// answer answers a watch request from a publication: at once if there is an urgent change, otherwise when there is a
// change or q.Wait is over.
func (c *Controller) answer(ctx context.Context, p *publication, w *watcher, q peer.WatchRequest) (*peer.Snapshot, error) {
	asked := c.o.Clock.Now()
	s, urgent, ok := p.snapshot(q, asked)
	if !ok {
		return nil, peer.ErrNotHolder
	}
	changed := c.addSuspects(s, q, asked)
	changed = c.addSignals(s, q, asked) || changed
	if changed || urgent {
		return s, nil
	}
	timeout := c.o.Clock.After(q.Wait)
	pushTimer := c.o.Clock.After(min(q.Wait, pushDelay+time.Duration(p.openRequests())*pushDelayPerNode))
	for waiting := true; waiting; {
		select {
		case <-w.notify:
			waiting = false
		case <-pushTimer:
			waiting = !p.markDue(w, q.Version)
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	now := c.o.Clock.Now()
	s, _, ok = p.snapshot(q, now)
	if !ok {
		return nil, peer.ErrNotHolder
	}
	c.addSuspects(s, q, now)
	c.addSignals(s, q, now)
	s.HeldMs = now.Sub(asked).Milliseconds()
	return s, nil
}
