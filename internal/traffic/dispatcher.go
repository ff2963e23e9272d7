package traffic

import (
	"context"
	"maps"
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
	// Missing is called when an engine says that it does not hold what the pool
	// is for; nil where nobody wants to know.
	Missing func(endpoint, pool string)
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
	// budgets holds the retry budgets that several pools share.
	budgets map[string]*retry.Budget
	// newBudget makes a retry budget.
	newBudget func() *retry.Budget
	// stopped is closed when nobody may wait any longer.
	stopped chan struct{}
}

// New returns a dispatcher for a node in a data hall.
func New(clock clockwork.Clock, hall string, limits queue.Limits, hooks Hooks) *Dispatcher {
	return &Dispatcher{
		clock: clock, hall: hall, limits: limits, hooks: hooks,
		view: &view.View{}, pools: make(map[string]*pool), gates: make(map[string]*gate),
		budgets: make(map[string]*retry.Budget), newBudget: retry.NewBudget,
		stopped: make(chan struct{}),
	}
}

// StopWaiting refuses all requests that wait, and from here on those that would:
// the process is about to end, and another node can still serve them.
func (d *Dispatcher) StopWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.stopped:
	default:
		close(d.stopped)
	}
}

// LimitRetries sets what the retry budgets made from here on allow.
func (d *Dispatcher) LimitRetries(newBudget func() *retry.Budget) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.newBudget = newBudget
}

// budget returns the retry budget for a request of a pool.
func (d *Dispatcher) budget(p *pool, name string) *retry.Budget {
	if name == "" {
		name = p.name
	}
	b := d.budgets[name]
	if b == nil {
		b = d.newBudget()
		d.budgets[name] = b
	}
	return b
}

// Acquire waits for a place at an endpoint of the named pool, until the ask's
// deadline or the context's end.
func (d *Dispatcher) Acquire(ctx context.Context, name string, a Ask) (*Slot, error) {
	start := d.clock.Now()
	d.mu.Lock()
	p := d.pool(name)
	if err := p.admit(a, d.budget(p, a.Budget), start); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	cold := len(p.endpoints) == 0
	if p.queue.Len() == 0 {
		if pl, ok := p.pick(start, d.hall, &a); ok {
			p.occupy(pl, &a)
			d.mu.Unlock()
			return d.slot(p, pl, &a, start, start, cold), nil
		}
	}
	w := &waiter{ask: a, granted: make(chan place, 1)}
	w.item = &queue.Item{Caller: a.Caller, Deadline: a.urgent(start), Cost: a.Cost, Bytes: a.Bytes, Value: w}
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

// wait blocks until the waiter is granted a place, its time is up, or it is
// better told to come back later.
func (d *Dispatcher) wait(ctx context.Context, p *pool, w *waiter, a Ask, start time.Time, cold bool) (*Slot, error) {
	timer := d.clock.NewTimer(a.Deadline.Sub(start))
	defer timer.Stop()
	var decide <-chan time.Time
	if a.Objective > 0 {
		decide = d.clock.After(a.Objective / decideShare)
	}
	var pl place
	for {
		granted := true
		var refused error
		select {
		case pl = <-w.granted:
		case <-decide:
			decide = nil
			if refused = d.reconsider(p, w, start); refused == nil {
				continue
			}
			pl, granted = d.leave(p, w)
		case <-d.stopped:
			refused = refusal.New(refusal.Stopping, "this node ends; %s is not served here in time", p.name)
			pl, granted = d.leave(p, w)
		case <-timer.Chan():
			pl, granted = d.leave(p, w)
		case <-ctx.Done():
			pl, granted = d.leave(p, w)
		}
		now := d.clock.Now()
		switch {
		case granted:
			return d.slot(p, pl, &a, start, now, cold), nil
		case refused != nil:
			return nil, refused
		}
		return nil, refusal.New(refusal.WaitedTooLong, "no place at %s came free within %s", p.name, now.Sub(start).Round(time.Millisecond))
	}
}

const (
	// decideShare is the part of a request's objective after which it is decided
	// whether it waits on: by then the home has answered, and a caller that is
	// sent away within a quarter of its objective loses little.
	decideShare = 5
	// returnShare is the part of its remaining time that a caller is at most
	// willing to stay away.
	returnShare = 3
	// returnMargin is added to the time at which a model is expected.
	returnMargin = 150 * time.Millisecond
)

// reconsider returns why a waiting request is better refused now: its model will
// come too late for its objective, and the caller can come back when it is there.
func (d *Dispatcher) reconsider(p *pool, w *waiter, start time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if len(p.endpoints) > 0 || p.readyAt.IsZero() {
		return nil
	}
	least, left := p.readyAt.Sub(now), w.ask.Deadline.Sub(now)
	switch {
	case least > left:
		// Waiting would only keep its caller from asking again.
		least = min(least, left/returnShare)
	case now.Add(least).Before(start.Add(w.ask.Objective)), !w.ask.Returns, (least+returnMargin)*returnShare > left:
		return nil
	}
	p.sentAway++
	return refusal.New(refusal.CannotMakeDeadline, "%s is ready in %s, later than the objective", p.name, p.readyAt.Sub(now).Round(time.Millisecond)).After(least + returnMargin)
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

func (d *Dispatcher) slot(p *pool, pl place, a *Ask, start, now time.Time, cold bool) *Slot {
	return &Slot{
		Endpoint: pl.Endpoint, Waited: now.Sub(start), Cold: cold,
		Others: max(0, len(p.endpoints)-1), dispatcher: d, pool: p, gate: pl.gate, at: now, prompt: a.Prompt,
	}
}

// MayRetry reports whether a retry budget allows another attempt now.
func (d *Dispatcher) MayRetry(s *Slot, budget string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(s.pool, budget).Left() >= 1
}

// began counts a prompt as read.
func (d *Dispatcher) began(s *Slot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.gate.prompts -= s.prompt
	s.prompt = 0
}

// occupy counts a request in.
func (p *pool) occupy(pl place, a *Ask) {
	pl.gate.running++
	pl.gate.prompts += a.Prompt
	p.running++
	p.runningAt[pl.Name]++
}

// release takes a result in and pumps the pools that share the endpoint.
func (d *Dispatcher) release(s *Slot, r Result) {
	if r.Leaving {
		d.hooks.Leaving(s.Endpoint.Name)
	}
	if r.Missing && d.hooks.Missing != nil {
		d.hooks.Missing(s.Endpoint.Name, s.pool.name)
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s.gate.prompts -= s.prompt
	s.prompt = 0
	s.gate.settle(r, now)
	s.pool.running--
	if s.pool.runningAt[s.Endpoint.Name]--; s.pool.runningAt[s.Endpoint.Name] <= 0 {
		delete(s.pool.runningAt, s.Endpoint.Name)
	}
	if r.Missing {
		s.pool.remove(s.gate)
	}
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
	pl, ok := p.pick(now, d.hall, &w.ask)
	if !ok {
		d.openLater(p, now)
		return false
	}
	p.queue.Pop()
	p.occupy(pl, &w.ask)
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
		p = &pool{name: name, queue: queue.New(d.limits), runningAt: make(map[string]int)}
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
		p.readyAt = v.ReadyAt[name]
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

// Usage is a pool's work as the placement of models wants to know it.
type Usage struct {
	Pool     string
	Waiting  int
	Arrivals int
	// SentAway counts the callers told to come back since the last call.
	SentAway int
	// Urgent is the time by which the first of the waiting wants its place; zero
	// if none waits.
	Urgent time.Time
	// RunningAt counts the running requests by endpoint.
	RunningAt map[string]int
}

// Usage returns the work of every pool that has or had any since the last call.
func (d *Dispatcher) Usage() []Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Usage
	for _, p := range d.pools {
		if p.queue.Len() == 0 && p.running == 0 && p.arrivals == 0 && p.sentAway == 0 {
			continue
		}
		u := Usage{Pool: p.name, Waiting: p.queue.Len(), Arrivals: p.arrivals, SentAway: p.sentAway, RunningAt: maps.Clone(p.runningAt)}
		if at, ok := p.queue.Earliest(); ok {
			u.Urgent = at
		}
		p.arrivals, p.sentAway = 0, 0
		out = append(out, u)
	}
	return out
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
