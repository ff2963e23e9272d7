package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/demand"
	"olivetiller/core/queue"
	"olivetiller/core/refusal"
	"olivetiller/core/retry"
	"olivetiller/core/view"
)

// Hooks are how the dispatcher tells the control side of what cannot wait.
type Hooks struct {
	// Waiting is called when a request begins to wait where none did.
	Waiting func()
	// Leaving is called when an endpoint says that it takes no new work.
	Leaving func(endpoint string)
}

// Dispatcher holds the pools and gates. It is safe for concurrent use.
type Dispatcher struct {
	clock  clockwork.Clock
	hall   string
	limits queue.Limits
	hooks  Hooks

	mu    sync.Mutex
	view  *view.View
	pools map[string]*pool
	gates map[string]*gate
}

// New returns a dispatcher for a node in a data hall.
func New(clock clockwork.Clock, hall string, limits queue.Limits, hooks Hooks) *Dispatcher {
	return &Dispatcher{
		clock: clock, hall: hall, limits: limits, hooks: hooks,
		view: &view.View{}, pools: make(map[string]*pool), gates: make(map[string]*gate),
	}
}

// Acquire waits for a place at an endpoint of the named pool, until the ask's
// deadline or the context's end.
func (d *Dispatcher) Acquire(ctx context.Context, name string, a Ask) (*Slot, error) {
	start := d.clock.Now()
	d.mu.Lock()
	p := d.pool(name)
	if err := p.admit(a, start); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	cold := len(p.endpoints) == 0
	if p.queue.Len() == 0 {
		if pl, ok := p.pick(start, d.hall, a.Avoid); ok {
			p.occupy(pl)
			d.mu.Unlock()
			return d.slot(p, pl, start, start, cold), nil
		}
	}
	w := &waiter{avoid: a.Avoid, granted: make(chan place, 1)}
	w.item = &queue.Item{Caller: a.Caller, Deadline: a.Deadline, Cost: a.Cost, Bytes: a.Bytes, Value: w}
	if !p.queue.Push(w.item) {
		n := p.queue.Len()
		d.mu.Unlock()
		return nil, refusal.New(refusal.QueueFull, "%d requests wait for %s", n, p.name)
	}
	if cold && p.coldSince.IsZero() {
		p.coldSince = start
	}
	d.openLater(p, start)
	first := p.queue.Len() == 1
	d.mu.Unlock()
	if first {
		// The home should hear of the demand before the request waits long.
		d.hooks.Waiting()
	}
	return d.wait(ctx, p, w, a, start, cold)
}

// wait blocks until the waiter is granted a place or its time is up.
func (d *Dispatcher) wait(ctx context.Context, p *pool, w *waiter, a Ask, start time.Time, cold bool) (*Slot, error) {
	timer := d.clock.NewTimer(a.Deadline.Sub(start))
	defer timer.Stop()
	var pl place
	granted := true
	select {
	case pl = <-w.granted:
	case <-timer.Chan():
		pl, granted = d.leave(p, w)
	case <-ctx.Done():
		pl, granted = d.leave(p, w)
	}
	now := d.clock.Now()
	if !granted {
		return nil, refusal.New(refusal.WaitedTooLong, "no place at %s came free within %s", p.name, now.Sub(start).Round(time.Millisecond))
	}
	return d.slot(p, pl, start, now, cold), nil
}

// leave takes a waiter out of the queue. If it was granted a place in the same
// moment it keeps the place: giving up then would waste it.
func (d *Dispatcher) leave(p *pool, w *waiter) (place, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.queue.Remove(w.item) {
		return place{}, false
	}
	return <-w.granted, true
}

func (d *Dispatcher) slot(p *pool, pl place, start, now time.Time, cold bool) *Slot {
	return &Slot{
		Endpoint: pl.Endpoint, Waited: now.Sub(start), Cold: cold,
		dispatcher: d, pool: p, gate: pl.gate, at: now,
	}
}

// occupy counts a request in.
func (p *pool) occupy(pl place) {
	pl.gate.running++
	p.running++
}

// release takes a result in and pumps the pools that share the endpoint.
func (d *Dispatcher) release(s *Slot, r Result) {
	if r.Leaving {
		d.hooks.Leaving(s.Endpoint.Name)
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s.gate.settle(r, now)
	s.pool.running--
	if r.Err == nil && !r.Full && !r.NotBegun {
		s.pool.model.Serve.Observe(now.Sub(s.at))
	}
	if r.Leaving {
		for p := range s.gate.pools {
			p.remove(s.gate)
		}
	}
	d.pumpGate(s.gate, now)
}

// pumpGate lets requests of the pools that share a gate in, the pool with the
// most urgent head first.
func (d *Dispatcher) pumpGate(g *gate, now time.Time) {
	for {
		var next *pool
		for p := range g.pools {
			head := p.queue.Peek()
			if head == nil {
				continue
			}
			if next == nil || head.Deadline.Before(next.queue.Peek().Deadline) {
				next = p
			}
		}
		if next == nil {
			return
		}
		if !d.grantNext(next, now) {
			return
		}
	}
}

// pump lets a pool's requests in while there is room.
func (d *Dispatcher) pump(p *pool, now time.Time) {
	for p.queue.Len() > 0 && d.grantNext(p, now) {
		continue
	}
}

// grantNext lets the next request of a pool in; it reports false when no place
// has room.
func (d *Dispatcher) grantNext(p *pool, now time.Time) bool {
	w := p.queue.Peek().Value.(*waiter)
	pl, ok := p.pick(now, d.hall, w.avoid)
	if !ok {
		d.openLater(p, now)
		return false
	}
	p.queue.Pop()
	p.occupy(pl)
	w.granted <- pl
	return true
}

// openLater arranges a pump for the moment a closed gate of the pool opens.
func (d *Dispatcher) openLater(p *pool, now time.Time) {
	for _, pl := range p.endpoints {
		g := pl.gate
		at := g.window.OpensAt()
		if until := g.health.Until(); until.After(at) {
			at = until
		}
		if g.timer || !at.After(now) {
			continue
		}
		g.timer = true
		d.clock.AfterFunc(at.Sub(now), func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			g.timer = false
			d.pumpGate(g, d.clock.Now())
		})
	}
}

func (d *Dispatcher) pool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{name: name, queue: queue.New(d.limits), budget: retry.NewBudget()}
		d.pools[name] = p
		p.update(d.view, d.places(d.view, name), d.clock.Now())
	}
	return p
}

// Update puts a new view in force, in which the named pools changed; nil means
// all.
func (d *Dispatcher) Update(v *view.View, changed []string) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = v
	if changed == nil {
		for name := range d.pools {
			d.updatePool(name, now)
		}
	}
	for _, name := range changed {
		d.updatePool(name, now)
	}
	for name, p := range d.pools {
		p.loadingSince = v.LoadingSince[name]
	}
	for name, g := range d.gates {
		if len(g.pools) == 0 && g.running == 0 {
			delete(d.gates, name)
		}
	}
}

func (d *Dispatcher) updatePool(name string, now time.Time) {
	p := d.pools[name]
	if p == nil {
		return
	}
	p.update(d.view, d.places(d.view, name), now)
	d.pump(p, now)
}

// places joins the endpoints of a pool with their gates.
func (d *Dispatcher) places(v *view.View, name string) []place {
	eps := v.Endpoints[name]
	out := make([]place, 0, len(eps))
	for _, e := range eps {
		g := d.gates[e.Name]
		if g == nil || g.incarnation != e.Incarnation {
			share := e.Concurrency / max(1, len(v.Live))
			g = newGate(e, share)
			d.gates[e.Name] = g
		}
		out = append(out, place{Endpoint: e, gate: g})
	}
	return out
}

// Reports returns the demand of the pools that changed since the last call, and
// with all set of every pool that has work.
func (d *Dispatcher) Reports(all bool) []demand.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []demand.Report
	for _, p := range d.pools {
		if r, changed := p.report(); changed || (all && (r.Waiting > 0 || r.Running > 0)) {
			out = append(out, r)
		}
	}
	return out
}

// Totals is the work of all pools.
type Totals struct {
	Waiting      int   `json:"waiting"`
	Running      int   `json:"running"`
	WaitingBytes int64 `json:"waitingBytes"`
}

// Totals returns the work of all pools.
func (d *Dispatcher) Totals() Totals {
	d.mu.Lock()
	defer d.mu.Unlock()
	var t Totals
	for _, p := range d.pools {
		t.Waiting += p.queue.Len()
		t.Running += p.running
		t.WaitingBytes += p.queue.Bytes()
	}
	return t
}

// Load returns the work of one pool.
func (d *Dispatcher) Load(name string) (waiting, running int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[name]
	if p == nil {
		return 0, 0
	}
	return p.queue.Len(), p.running
}
