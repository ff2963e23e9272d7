package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/lease"
	"olivetiller/core/placement"
	"olivetiller/core/route"
	"olivetiller/io/peer"
)

// board is where the holder shows the other nodes what the engines serve. It is
// safe for concurrent use.
type board struct {
	mu      sync.Mutex
	life    string
	fence   uint64
	version uint64
	nodes   int
	// successor is the node that is to take the lease after this one.
	successor string
	// peers are addresses of nodes that followers may ask, and peersVersion the version
	// at which they changed.
	peers        []string
	peersVersion uint64
	// storeDoubt is set while the holder gets no answer of the store.
	storeDoubt bool
	// until is when the right to order ends; zero when this node is no holder.
	until   time.Time
	serving map[string]shown
	// goneAt holds the version at which an engine was dropped.
	goneAt  map[string]uint64
	readyAt map[string]time.Time
	// readyVersion is the version at which readyAt changed.
	readyVersion uint64
	// interest holds the pools that requests of a node wait for.
	interest map[string]map[string]bool
	feed     feed
	// watchers are the questions kept open.
	watchers map[*watcher]bool
}

// watcher is one node's question while it is kept open.
type watcher struct {
	node string
	// due is set once news of any kind ends the wait.
	due bool
	// news holds at most one sign that there is something to tell.
	news chan struct{}
}

// wakeUp tells the watcher that there is something to tell.
func (w *watcher) wakeUp() {
	select {
	case w.news <- struct{}{}:
	default:
	}
}

// feed is what the holder read of the store.
type feed struct {
	config    *route.Config
	instances map[string]shownInstance
	// configAt and instancesAt are when the topics were last read to their end.
	configAt, instancesAt time.Time
	// listedTo is the version up to which the list was read.
	listedTo    uint64
	lease       lease.Record
	leaseOffset uint64
	// takers are the nodes that the lease's record names, and takersVersion the version
	// at which they changed.
	takers        []string
	takersVersion uint64
}

// shownInstance is one endpoint's entry, and the version at which it changed.
type shownInstance struct {
	record  directory.Record
	version uint64
}

// shown is what one engine serves, and the version at which that changed.
type shown struct {
	units   []placement.Unit
	pools   []string
	version uint64
}

func (b *board) init() { b.watchers = make(map[*watcher]bool) }

// begin shows a new holder's board, on which no engine serves anything yet.
func (b *board) begin(life string, fence uint64, records []directory.Record, listedTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.life, b.fence, b.nodes, b.peers = life, fence, 1, nil
	b.serving, b.goneAt, b.readyAt = make(map[string]shown), make(map[string]uint64), nil
	b.feed.takers, b.feed.takersVersion = nil, 0
	b.interest, b.feed.instances = make(map[string]map[string]bool), make(map[string]shownInstance)
	// At once: nodes take a whole snapshot's list for all there is.
	b.setInstances(records, listedTo)
	b.wakeAll()
}

// end takes the board down.
func (b *board) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.life, b.until = "", time.Time{}
	b.wakeAll()
}

// wakeAll makes a new version that every node should hear of at once.
func (b *board) wakeAll() {
	b.version++
	for w := range b.watchers {
		w.wakeUp()
	}
}

// wake makes a new version that the nodes should hear of at once whose requests
// wait for one of the pools, and the others when they are due.
func (b *board) wake(pools map[string]bool) {
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

// open keeps a node's question open until close.
func (b *board) open(node string) *watcher {
	w := &watcher{node: node, news: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchers[w] = true
	return w
}

func (b *board) close(w *watcher) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.watchers, w)
}

// lazy marks a watcher as due for any news, and reports whether there is some
// since a version.
func (b *board) lazy(w *watcher, since uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.due = true
	return b.version > since
}

// extend sets until when orders may be sent.
func (b *board) extend(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = until
}

// mayOrder reports whether an order under a fence may be sent now.
func (b *board) mayOrder(fence uint64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.life != "" && b.fence == fence && now.Before(b.until)
}

// update shows what the planner knows now and reports whether that is news.
func (b *board) update(p *placement.Planner, nodes int, now time.Time) bool {
	serving := p.Serving(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	news := make(map[string]bool)
	changed := false
	next := b.version + 1
	for id, units := range serving {
		if old, ok := b.serving[id]; ok && slices.Equal(old.units, units) {
			continue
		}
		pools := make([]string, 0, len(units))
		for _, u := range units {
			pools = append(pools, u.Pool())
			news[u.Pool()] = true
		}
		b.serving[id] = shown{units, pools, next}
		delete(b.goneAt, id)
		changed = true
	}
	for id := range b.serving {
		if _, ok := serving[id]; !ok {
			delete(b.serving, id)
			b.goneAt[id] = next
			changed = true
		}
	}
	if b.expect(p.ReadyAt()) {
		b.readyVersion = next
		changed = true
		for pool := range b.readyAt {
			news[pool] = true
		}
	}
	b.nodes = nodes
	if changed {
		b.wake(news)
	}
	return changed
}

// readySlack is by how much an expected time must move to be news.
const readySlack = 150 * time.Millisecond

func (b *board) expect(ready map[placement.Unit]time.Time) bool {
	news := len(ready) != len(b.readyAt)
	for u, at := range ready {
		old, ok := b.readyAt[u.Pool()]
		if d := at.Sub(old); !ok || d > readySlack || d < -readySlack {
			news = true
		}
	}
	if news {
		b.readyAt = make(map[string]time.Time, len(ready))
		for u, at := range ready {
			b.readyAt[u.Pool()] = at
		}
	}
	return news
}

// snapshot returns what changed since the snapshot that a node has; ok is false
// when this node is no holder. urgent is true when the node should hear at once:
// of what its requests wait for, of a configuration, or of endpoints that come
// and go.
func (b *board) snapshot(q peer.Question, now time.Time) (s *peer.Snapshot, urgent, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life == "" {
		return nil, false, false
	}
	s = &peer.Snapshot{Life: b.life, Fence: b.fence, Version: b.version, Nodes: b.nodes, Successor: b.successor, StoreDoubt: b.storeDoubt, Whole: q.Life != b.life}
	after := q.Version
	if s.Whole {
		after = 0
	}
	if b.peersVersion > after {
		s.Peers = b.peers
	}
	urgent = b.addServing(s, after, b.interest[q.Node], now)
	urgent = b.addFeed(s, q, after, now) || urgent || s.Whole
	return s, urgent, true
}

// addServing adds what the engines serve, and reports whether a pool of interest
// is concerned.
func (b *board) addServing(s *peer.Snapshot, after uint64, interest map[string]bool, now time.Time) (urgent bool) {
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
	for id, v := range b.goneAt {
		if v > after && !s.Whole {
			s.Gone = append(s.Gone, id)
		}
	}
	s.ReadyInMs = make(map[string]int64, len(b.readyAt))
	for pool, at := range b.readyAt {
		s.ReadyInMs[pool] = max(0, at.Sub(now).Milliseconds())
		urgent = urgent || b.readyVersion > after && interest[pool]
	}
	return urgent
}

// addFeed adds what was read of the store, and reports whether it is news.
func (b *board) addFeed(s *peer.Snapshot, q peer.Question, after uint64, now time.Time) (urgent bool) {
	f := &b.feed
	s.AgeMs = max(now.Sub(f.configAt), now.Sub(f.instancesAt)).Milliseconds()
	s.Lease, s.LeaseOffset, s.ListedTo = f.lease, f.leaseOffset, f.listedTo
	// The names, 2 KB for 77 nodes, go out when they change.
	s.Lease.Nodes = nil
	if f.takersVersion > after {
		s.Takers = f.takers
	}
	if f.config != nil && f.config.Version > q.Config {
		s.Config = f.config
		urgent = true
	}
	for _, in := range f.instances {
		if in.version > after && (in.record.Instance != nil || !s.Whole) {
			s.Instances = append(s.Instances, in.record)
			urgent = true
		}
	}
	return urgent
}

// showInstances shows the live endpoints, by the list as read up to a version.
func (b *board) showInstances(records []directory.Record, listedTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setInstances(records, listedTo)
}

func (b *board) setInstances(records []directory.Record, listedTo uint64) {
	next, news := b.version+1, false
	b.feed.listedTo = max(b.feed.listedTo, listedTo)
	live := make(map[string]bool, len(records))
	for _, r := range records {
		live[r.ID] = true
		old, ok := b.feed.instances[r.ID]
		if !ok || old.record.Instance == nil || !directory.SamePlace(old.record.Instance, r.Instance) {
			b.feed.instances[r.ID] = shownInstance{r, next}
			news = true
			continue
		}
		// A heartbeat: a node that asks for everything should know how new it is.
		b.feed.instances[r.ID] = shownInstance{r, old.version}
	}
	for id, in := range b.feed.instances {
		if !live[id] && in.record.Instance != nil {
			b.feed.instances[id] = shownInstance{directory.Record{ID: id, Version: listedTo, Relayed: true}, next}
			news = true
		}
	}
	if news {
		b.wakeAll()
	}
}

// showConfig shows the configuration in force.
func (b *board) showConfig(c *route.Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.feed.config = c
	b.wakeAll()
}

// configRead and instancesRead note that a topic was read to its end.
func (b *board) configRead(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.feed.configAt = now
}

func (b *board) instancesRead(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.feed.instancesAt = now
}

// showLease shows the latest record of the lease.
func (b *board) showLease(rec lease.Record, offset uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.feed.lease, b.feed.leaseOffset = rec, offset
	if !slices.Equal(rec.Nodes, b.feed.takers) {
		b.wake(nil)
		b.feed.takers, b.feed.takersVersion = rec.Nodes, b.version
	}
}

// setSuccessor sets which node is to take the lease after this one.
func (b *board) setSuccessor(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.successor = node
}

// setPeers shows which nodes followers may ask.
func (b *board) setPeers(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(b.peers, addresses) {
		return
	}
	b.wake(nil)
	b.peers, b.peersVersion = addresses, b.version
}

// setStoreDoubt sets whether the holder gets no answer of the store.
func (b *board) setStoreDoubt(doubt bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.storeDoubt != doubt {
		b.storeDoubt = doubt
		b.wakeAll()
	}
}

// setInterest notes which pools a node's requests wait for.
func (b *board) setInterest(node string, uses []peer.Use) {
	pools := make(map[string]bool)
	for _, u := range uses {
		if u.Waiting > 0 {
			pools[u.Pool] = true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life != "" {
		b.interest[node] = pools
	}
}

// Reported implements peer.Holder.
func (c *Controller) Reported(r *peer.Report) error {
	if c.lifeShown() == "" {
		return peer.ErrNotHolder
	}
	c.holder.setInterest(r.Node, r.Use)
	c.inbox.Send(context.Background(), nodeReport{r})
	return nil
}

func (c *Controller) lifeShown() string {
	c.holder.mu.Lock()
	defer c.holder.mu.Unlock()
	return c.holder.life
}

// News that is not urgent for a node may wait, so that many changes cost one
// message: lazyPush, and lazyPushPerNode for each node that the holder serves, so
// that its work stays bounded.
const (
	lazyPush        = 100 * time.Millisecond
	lazyPushPerNode = 4 * time.Millisecond
)

// Watch implements peer.Holder.
func (c *Controller) Watch(ctx context.Context, q peer.Question) (*peer.Snapshot, error) {
	asked := c.o.Clock.Now()
	w := c.holder.open(q.Node)
	defer c.holder.close(w)
	s, urgent, ok := c.holder.snapshot(q, asked)
	if !ok {
		return nil, peer.ErrNotHolder
	}
	if urgent {
		return s, nil
	}
	timeout := c.o.Clock.After(q.Wait)
	lazy := c.o.Clock.After(min(q.Wait, lazyPush+time.Duration(s.Nodes)*lazyPushPerNode))
	for waiting := true; waiting; {
		select {
		case <-w.news:
			waiting = false
		case <-lazy:
			waiting = !c.holder.lazy(w, q.Version)
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	now := c.o.Clock.Now()
	s, _, ok = c.holder.snapshot(q, now)
	if !ok {
		return nil, peer.ErrNotHolder
	}
	s.HeldMs = now.Sub(asked).Milliseconds()
	return s, nil
}

type nodeReport struct{ r *peer.Report }

func (m nodeReport) handle(c *Controller) {
	if !c.held {
		return
	}
	now := c.o.Clock.Now()
	c.nodes[m.r.Node] = follower{now, m.r.Strength, m.r.Address}
	c.outage.Heard(m.r.Node, lease.Word{At: now, StoreAway: m.r.StoreAway, Stopping: m.r.Stopping})
	uses := make([]placement.Use, 0, len(m.r.Use))
	for _, w := range m.r.Use {
		unit, ok := placement.ParsePool(w.Pool)
		if !ok {
			c.o.Logger.Warn("report of an unknown pool passed over", "node", m.r.Node, "pool", w.Pool)
			continue
		}
		u := placement.Use{Unit: unit, Waiting: w.Waiting, Arrivals: w.Arrivals, SentAway: w.SentAway, Objective: time.Duration(w.ObjectiveMs) * time.Millisecond, RunningAt: w.RunningAt}
		if w.Waiting > 0 {
			u.Urgent = now.Add(time.Duration(w.UrgentInMs) * time.Millisecond)
			u.Last = now.Add(time.Duration(w.LastInMs) * time.Millisecond)
		}
		uses = append(uses, u)
	}
	c.planner.Use(m.r.Node, uses, now)
	for _, miss := range m.r.Misses {
		c.planner.Missing(miss.Engine, now)
	}
}

// forgetNodes drops the nodes that are no longer heard of.
func (c *Controller) forgetNodes(now time.Time) {
	for n, f := range c.nodes {
		if now.Sub(f.heardAt) > lease.TTL {
			delete(c.nodes, n)
		}
	}
	c.setNodes(len(c.nodes) + 1)
	peers := c.addresses()
	c.lookup.learn(peers)
	c.holder.setPeers(peers)
	c.holder.setSuccessor(c.successor(now))
}
