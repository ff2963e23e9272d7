package placer

import (
	"context"
	"sync"
	"time"

	"olivetiller/core/lease"
	"olivetiller/core/placement"
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
	// until is when the right to order ends; zero when this node is no holder.
	until   time.Time
	serving map[string]shown
	// goneAt holds the version at which an engine was dropped.
	goneAt  map[string]uint64
	readyAt map[string]time.Time
	changed chan struct{}
}

// shown is what one engine serves, and the version at which that changed.
type shown struct {
	pools   []string
	version uint64
}

func (b *board) init() { b.changed = make(chan struct{}) }

// begin shows a new holder's board, which is empty.
func (b *board) begin(life string, fence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.life, b.fence, b.nodes = life, fence, 1
	b.serving, b.goneAt, b.readyAt = make(map[string]shown), make(map[string]uint64), nil
	b.wake()
}

// end takes the board down.
func (b *board) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.life, b.until = "", time.Time{}
	b.wake()
}

func (b *board) wake() {
	b.version++
	close(b.changed)
	b.changed = make(chan struct{})
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
	news := false
	next := b.version + 1
	for id, units := range serving {
		pools := make([]string, 0, len(units))
		for _, u := range units {
			pools = append(pools, u.Pool())
		}
		if old, ok := b.serving[id]; !ok || !equal(old.pools, pools) {
			b.serving[id] = shown{pools, next}
			delete(b.goneAt, id)
			news = true
		}
	}
	for id := range b.serving {
		if _, ok := serving[id]; !ok {
			delete(b.serving, id)
			b.goneAt[id] = next
			news = true
		}
	}
	news = b.expect(p.ReadyAt()) || news
	b.nodes = nodes
	if news {
		b.wake()
	}
	return news
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

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// snapshot returns what changed since a version of a life; ok is false when this
// node is no holder.
func (b *board) snapshot(life string, after uint64, now time.Time) (s *peer.Snapshot, changed <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life == "" {
		return nil, b.changed, false
	}
	s = &peer.Snapshot{Life: b.life, Fence: b.fence, Version: b.version, Nodes: b.nodes, Whole: life != b.life}
	if s.Whole {
		after = 0
	}
	s.Serving = make(map[string][]string)
	for id, sh := range b.serving {
		if sh.version > after {
			s.Serving[id] = sh.pools
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
	}
	return s, b.changed, true
}

// Reported implements peer.Holder.
func (c *Controller) Reported(r *peer.Report) error {
	if c.lifeShown() == "" {
		return peer.ErrNotHolder
	}
	select {
	case c.inbox <- nodeReport{r}:
	case <-c.ended:
	}
	return nil
}

func (c *Controller) lifeShown() string {
	c.holder.mu.Lock()
	defer c.holder.mu.Unlock()
	return c.holder.life
}

// Watch implements peer.Holder.
func (c *Controller) Watch(ctx context.Context, life string, after uint64) (*peer.Snapshot, error) {
	timeout := c.o.Clock.After(peer.WatchTime)
	for {
		s, changed, ok := c.holder.snapshot(life, after, c.o.Clock.Now())
		switch {
		case !ok:
			return nil, peer.ErrNotHolder
		case s.Whole || s.Version > after:
			return s, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return s, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

type nodeReport struct{ r *peer.Report }

func (m nodeReport) handle(c *Controller) {
	if !c.held {
		return
	}
	now := c.o.Clock.Now()
	c.nodes[m.r.Node] = now
	uses := make([]placement.Use, 0, len(m.r.Use))
	for _, w := range m.r.Use {
		unit, ok := placement.ParsePool(w.Pool)
		if !ok {
			c.o.Logger.Warn("report of an unknown pool passed over", "node", m.r.Node, "pool", w.Pool)
			continue
		}
		u := placement.Use{Unit: unit, Waiting: w.Waiting, Arrivals: w.Arrivals, RunningAt: w.RunningAt}
		if w.Waiting > 0 {
			u.Urgent = now.Add(time.Duration(w.UrgentInMs) * time.Millisecond)
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
	for n, at := range c.nodes {
		if now.Sub(at) > lease.TTL {
			delete(c.nodes, n)
		}
	}
	c.setNodes(len(c.nodes) + 1)
}
