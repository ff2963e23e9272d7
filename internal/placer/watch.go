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
	// due is set once any news, urgent or not, ends the wait.
	due bool
	// news has capacity 1 and holds a token while there is something to send.
	news chan struct{}
}

// wakeUp signals the watcher without blocking.
func (w *watcher) wakeUp() {
	select {
	case w.news <- struct{}{}:
	default:
	}
}

// wakeAll starts a new version that every node should receive at once. The caller holds b.mu.
func (b *publication) wakeAll() {
	b.version++
	b.wakeWatchers()
}

// wakeDue wakes the watchers that are due for any news. The caller holds b.mu.
func (b *publication) wakeDue() {
	for w := range b.watchers {
		if w.due {
			w.wakeUp()
		}
	}
}

// wakeWatchers wakes all watchers. The caller holds b.mu.
func (b *publication) wakeWatchers() {
	for w := range b.watchers {
		w.wakeUp()
	}
}

// wake starts a new version, which the nodes with requests waiting for one of the pools should receive at once and
// the others when they are due. The caller holds b.mu.
func (b *publication) wake(pools map[string]bool) {
	b.version++
	for w := range b.watchers {
		if w.due || intersect(b.interest[w.node], pools) {
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
func (b *publication) open(node string) *watcher {
	w := &watcher{node: node, news: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchers[w] = true
	return w
}

func (b *publication) close(w *watcher) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.watchers, w)
}

// markDue marks a watcher as due for any news, and reports whether there is some since a version.
func (b *publication) markDue(w *watcher, since uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.due = true
	return b.version > since
}

// snapshot returns what has changed since the version in q, or everything if q has another incarnation or too old a
// version. ok is false if nothing is published. urgent is true if the node should receive the snapshot at once: it
// concerns a pool that its requests wait for, or changes the configuration, evacuations, feed plan or list of
// endpoints.
func (b *publication) snapshot(q peer.Question, now time.Time) (s *peer.Snapshot, urgent, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation == "" {
		return nil, false, false
	}
	s = &peer.Snapshot{Life: b.incarnation, Fence: b.fence, Version: b.version, Nodes: b.nodes, Successor: b.successor, StoreDoubt: b.holderLostStore, Whole: q.Life != b.incarnation || q.Version < b.deltasFrom}
	after := q.Version
	if s.Whole {
		after = 0
	}
	if b.peersVersion > after {
		s.Peers = b.peers
	}
	if len(b.feeders) > 0 && s.Whole || b.feedersVersion > after {
		s.Feeders = append([]feedtree.Node{}, b.feeders...)
		urgent = true
	}
	if !b.holderSeenAt.IsZero() {
		s.HolderMs = max(0, now.Sub(b.holderSeenAt)).Milliseconds()
	}
	if s.Whole {
		b.fullSnapshotAt(now).fill(s)
	}
	urgent = b.addServing(s, after, b.interest[q.Node], now) || urgent
	urgent = b.addFeed(s, q, after, now) || urgent || s.Whole
	return s, urgent, true
}

// addServing adds what the engines serve and when units are expected, and reports whether that concerns a pool of
// interest.
func (b *publication) addServing(s *peer.Snapshot, after uint64, interest map[string]bool, now time.Time) (urgent bool) {
	if !s.Whole {
		urgent = b.addChanged(s, after, interest)
	}
	s.ReadyInMs = make(map[string]int64, len(b.readyAt))
	for pool, at := range b.readyAt {
		s.ReadyInMs[pool] = max(0, at.Sub(now).Milliseconds())
		urgent = urgent || b.readyVersion > after && interest[pool]
	}
	return urgent
}

// addChanged adds the engines that changed or were removed after a version, and reports whether a pool of interest is
// concerned.
func (b *publication) addChanged(s *peer.Snapshot, after uint64, interest map[string]bool) (urgent bool) {
	s.Serving = make(map[string][]string)
	for id, sh := range b.serving {
		if sh.version <= after {
			continue
		}
		s.Serving[id] = sh.pools
		for _, pool := range sh.pools {
			urgent = urgent || interest[pool]
		}
	}
	for id, v := range b.removedAt {
		if v > after {
			s.Gone = append(s.Gone, id)
		}
	}
	return urgent
}

// addFeed adds the state read from the store, and reports whether any of it is urgent.
func (b *publication) addFeed(s *peer.Snapshot, q peer.Question, after uint64, now time.Time) (urgent bool) {
	f := &b.feed
	s.Lease, s.LeaseOffset = f.lease, f.leaseOffset
	// The list of nodes, 2 KB for 77 nodes, is sent separately and only when it changes.
	s.Lease.Nodes = nil
	if f.takersVersion > after {
		s.Takers = f.takers
	}
	if f.config != nil && f.config.Version > q.Config {
		s.Config = f.config
		urgent = true
	}
	if f.evacuations != nil && (s.Whole || f.evacuationsVersion > after) {
		s.Evacuations = f.evacuations
		urgent = true
	}
	if s.Whole {
		s.AgeMs = max(now.Sub(f.configAt), now.Sub(b.full.instancesAt)).Milliseconds()
		return true
	}
	s.AgeMs, s.ListedTo = max(now.Sub(f.configAt), now.Sub(f.instancesAt)).Milliseconds(), f.listedTo
	for _, in := range f.instances {
		if in.version > after {
			s.Instances = append(s.Instances, in.record)
			urgent = true
		}
	}
	return urgent
}

// Changes that are not urgent for a node are batched into one message after lazyPush, plus lazyPushPerNode for each
// open question, so that the work of sending stays bounded.
const (
	lazyPush        = 100 * time.Millisecond
	lazyPushPerNode = 4 * time.Millisecond
)

// snapshot returns a snapshot of b together with the age of the configuration. The age is determined first: a
// confirmation in between may be for a newer configuration than the one in b.
func (c *Controller) snapshot(b *publication, q peer.Question, now time.Time) (s *peer.Snapshot, urgent, ok bool) {
	age, known := c.configAge(now)
	s, urgent, ok = b.snapshot(q, now)
	if ok && known {
		// Rounded up, so that a removed key is not accepted any longer because of it.
		ms := age.Milliseconds() + 1
		s.ConfigAgeMs = &ms
	}
	return s, urgent, ok
}

// Watch implements [peer.Holder]: it answers as the lease holder, or as a feeder if q.Feeder is set. The snapshot
// states how old the lease holder's state is.
func (c *Controller) Watch(ctx context.Context, q peer.Question) (*peer.Snapshot, error) {
	if q.Feeder && !c.leading.Load() {
		return c.watchFeeder(ctx, q)
	}
	// The requester took the lease holder for a feeder, and so has an outdated plan.
	q.Orphan = q.Orphan || q.Feeder
	if shown, opening := c.published.status(); !shown && !opening {
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

// watchFeeder answers a question to this node as a feeder. A question that comes before this node has fresh state
// itself waits for it.
func (c *Controller) watchFeeder(ctx context.Context, q peer.Question) (*peer.Snapshot, error) {
	b := &c.relay
	timeout := c.o.Clock.After(q.Wait)
	for !b.fresh(c.o.Clock.Now()) {
		select {
		case <-c.o.Clock.After(tickEvery):
		case <-timeout:
			return nil, peer.ErrNotHolder
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	w := b.open(q.Node)
	defer b.close(w)
	if b.openQuestions() > maxFollowers {
		return nil, peer.ErrNotHolder
	}
	return c.answer(ctx, b, w, q)
}

// maxFollowers bounds the open questions of a feeder; nodes beyond it ask another feeder.
const maxFollowers = 4 * feedtree.FanOut

// openQuestions returns the number of open long polls.
func (b *publication) openQuestions() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.watchers)
}

// fresh reports whether this feeder's publication holds state that the lease holder sent within holderTTL.
func (b *publication) fresh(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incarnation != "" && now.Sub(b.holderSeenAt) <= holderTTL
}

// answer answers a question from a publication: at once if there is urgent news, otherwise when there is news or
// q.Wait is over.
func (c *Controller) answer(ctx context.Context, b *publication, w *watcher, q peer.Question) (*peer.Snapshot, error) {
	asked := c.o.Clock.Now()
	s, urgent, ok := c.snapshot(b, q, asked)
	if !ok {
		return nil, peer.ErrNotHolder
	}
	news := c.addSuspects(s, q, asked)
	news = c.addSignals(s, q, asked) || news
	if news || urgent {
		return s, nil
	}
	timeout := c.o.Clock.After(q.Wait)
	lazy := c.o.Clock.After(min(q.Wait, lazyPush+time.Duration(b.openQuestions())*lazyPushPerNode))
	for waiting := true; waiting; {
		select {
		case <-w.news:
			waiting = false
		case <-lazy:
			waiting = !b.markDue(w, q.Version)
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	now := c.o.Clock.Now()
	s, _, ok = c.snapshot(b, q, now)
	if !ok {
		return nil, peer.ErrNotHolder
	}
	c.addSuspects(s, q, now)
	c.addSignals(s, q, now)
	s.HeldMs = now.Sub(asked).Milliseconds()
	return s, nil
}
