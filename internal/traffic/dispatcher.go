package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/choose"
	"olivetiller/core/demand"
	"olivetiller/core/queue"
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

// Dispatcher holds the pools. It is safe for concurrent use.
type Dispatcher struct {
	clock  clockwork.Clock
	hall   string
	limits queue.Limits
	hooks  Hooks

	mu    sync.RWMutex
	view  *view.View
	pools map[string]*pool
}

// New returns a dispatcher for a node in a data hall.
func New(clock clockwork.Clock, hall string, limits queue.Limits, hooks Hooks) *Dispatcher {
	return &Dispatcher{
		clock: clock, hall: hall, limits: limits, hooks: hooks,
		view: &view.View{}, pools: make(map[string]*pool),
	}
}

// Acquire waits for a place at an endpoint of the named pool.
func (d *Dispatcher) Acquire(ctx context.Context, name string, a Ask) (*Slot, error) {
	return d.pool(name).acquire(ctx, a)
}

func (d *Dispatcher) pool(name string) *pool {
	d.mu.RLock()
	p := d.pools[name]
	d.mu.RUnlock()
	if p != nil {
		return p
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p = d.pools[name]; p != nil {
		return p
	}
	p = &pool{name: name, clock: d.clock, hall: d.hall, hooks: d.hooks, queue: queue.New(d.limits), budget: retry.NewBudget()}
	p.update(d.view)
	d.pools[name] = p
	return p
}

// Update puts a new view in force.
func (d *Dispatcher) Update(v *view.View) {
	d.mu.Lock()
	d.view = v
	pools := make([]*pool, 0, len(d.pools))
	for _, p := range d.pools {
		pools = append(pools, p)
	}
	d.mu.Unlock()
	for _, p := range pools {
		p.mu.Lock()
		p.update(v)
		p.pump()
		p.mu.Unlock()
	}
}

// update takes the endpoints of a view over and keeps what is known of those
// that stay. The caller holds mu, or is the only user.
func (p *pool) update(v *view.View) {
	now := p.clock.Now()
	known := make(map[string]*endpoint, len(p.endpoints))
	for _, ep := range p.endpoints {
		known[ep.Name] = ep
	}
	nodes := max(1, len(v.Live))
	next := make([]*endpoint, 0, len(v.Endpoints[p.name]))
	for _, e := range v.Endpoints[p.name] {
		if ep := known[e.Name]; ep != nil && ep.Incarnation == e.Incarnation && ep.Version == e.Version {
			next = append(next, ep)
			continue
		}
		share := (e.Concurrency + nodes - 1) / nodes
		next = append(next, &endpoint{Endpoint: e, window: choose.NewWindow(share, e.Concurrency)})
	}
	if len(p.endpoints) == 0 && len(next) > 0 && !p.coldSince.IsZero() {
		p.model.Load.Observe(now.Sub(p.coldSince))
	}
	if len(next) > 0 || p.queue.Len() == 0 {
		p.coldSince = time.Time{}
	}
	p.endpoints = next
	p.loadingSince = v.LoadingSince[p.name]
}

// Reports returns the demand of the pools that changed since the last call, or
// all that have work if all is set.
func (d *Dispatcher) Reports(all bool) []demand.Report {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []demand.Report
	for _, p := range d.pools {
		if r, changed := p.report(); changed || (all && (r.Waiting > 0 || r.Running > 0)) {
			out = append(out, r)
		}
	}
	return out
}

// report returns the pool's demand and whether it is news. How many run is news
// only when it becomes none or some: the exact number serves no decision.
func (p *pool) report() (demand.Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := demand.Report{Unit: p.name, Waiting: p.queue.Len(), Running: p.running, Arrivals: p.arrivals}
	if deadline, ok := p.queue.Earliest(); ok {
		r.Deadline = deadline
	}
	old := p.reported
	changed := r.Waiting != old.Waiting || (r.Running == 0) != (old.Running == 0)
	if changed {
		p.reported = r
		p.arrivals = 0
	}
	return r, changed
}

// Totals is the work of all pools.
type Totals struct {
	Waiting, Running int
	WaitingBytes     int64
}

// Totals returns the work of all pools.
func (d *Dispatcher) Totals() Totals {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var t Totals
	for _, p := range d.pools {
		p.mu.Lock()
		t.Waiting += p.queue.Len()
		t.Running += p.running
		t.WaitingBytes += p.queue.Bytes()
		p.mu.Unlock()
	}
	return t
}

// Load returns the work of one pool.
func (d *Dispatcher) Load(name string) (waiting, running int) {
	d.mu.RLock()
	p := d.pools[name]
	d.mu.RUnlock()
	if p == nil {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len(), p.running
}
