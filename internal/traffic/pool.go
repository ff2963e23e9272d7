package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/admit"
	"olivetiller/core/choose"
	"olivetiller/core/demand"
	"olivetiller/core/queue"
	"olivetiller/core/refusal"
	"olivetiller/core/retry"
	"olivetiller/core/view"
)

// pool is the waiting and running work of one unit or service.
type pool struct {
	name  string
	clock clockwork.Clock
	hall  string
	hooks Hooks

	mu        sync.Mutex
	queue     *queue.Queue
	endpoints []*endpoint
	// loadingSince is when the load in progress was first seen; zero if none.
	loadingSince time.Time
	model        admit.Model
	budget       *retry.Budget
	running      int
	arrivals     int
	// reported is the last demand report.
	reported demand.Report
	// coldSince is when requests began to wait without any endpoint.
	coldSince time.Time
}

// endpoint is what the pool knows of one endpoint.
type endpoint struct {
	view.Endpoint
	running    int
	window     *choose.Window
	health     choose.Health
	reported   int
	reportedAt time.Time
}

// waiter is a request in the queue.
type waiter struct {
	item *queue.Item
	// granted carries the endpoint, or nil when the request is refused.
	granted chan *endpoint
}

// Slot is a place at an endpoint.
type Slot struct {
	Endpoint view.Endpoint
	// Waited is how long the request waited for it.
	Waited time.Duration
	// Cold is true when no endpoint was ready on arrival.
	Cold bool

	pool *pool
	ep   *endpoint
	at   time.Time
}

// Ask is a request for a slot.
type Ask struct {
	Caller string
	// Deadline is when the caller must have its answer or refusal.
	Deadline time.Time
	// Bytes is the memory the request holds while it waits.
	Bytes int64
	// Cost is what serving it takes; at least 1.
	Cost float64
	// Avoid names an endpoint that just failed the request.
	Avoid string
	// Retry marks a second attempt, which the retry budget must allow.
	Retry bool
}

// acquire waits for a slot until the ask's deadline, or the context's end.
func (p *pool) acquire(ctx context.Context, a Ask) (*Slot, error) {
	start := p.clock.Now()
	p.mu.Lock()
	if err := p.admit(a, start); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	cold := len(p.endpoints) == 0
	if p.queue.Len() == 0 {
		if ep := p.pick(start, a.Avoid); ep != nil {
			p.occupy(ep)
			p.mu.Unlock()
			return p.slot(ep, start, start, cold), nil
		}
	}
	w := &waiter{granted: make(chan *endpoint, 1)}
	w.item = &queue.Item{Caller: a.Caller, Deadline: a.Deadline, Cost: a.Cost, Bytes: a.Bytes, Value: w}
	if !p.queue.Push(w.item) {
		n := p.queue.Len()
		p.mu.Unlock()
		return nil, refusal.New(refusal.QueueFull, "%d requests wait for %s", n, p.name)
	}
	if cold && p.coldSince.IsZero() {
		p.coldSince = start
	}
	first := p.queue.Len() == 1
	p.mu.Unlock()
	if first {
		// The home should hear of the demand before the request waits long.
		p.hooks.Waiting()
	}
	return p.wait(ctx, w, a, start, cold)
}

// admit refuses what cannot make its deadline. The caller holds mu.
func (p *pool) admit(a Ask, now time.Time) error {
	p.arrivals++
	if a.Retry {
		if !p.budget.Spend() {
			return refusal.New(refusal.NoEndpoint, "an endpoint of %s failed and the retry budget is used up", p.name)
		}
		return nil
	}
	p.budget.Earn()
	least := p.model.AtLeast(admit.Wait{
		Ready: len(p.endpoints) > 0, Ahead: p.queue.Len(), Capacity: p.capacity(), LoadElapsed: p.loadElapsed(now),
	})
	if left := a.Deadline.Sub(now); least > left {
		return refusal.New(refusal.CannotMakeDeadline, "%s is left and the wait for %s is at least %s",
			left.Round(time.Millisecond), p.name, least.Round(time.Millisecond)).After(least - left)
	}
	return nil
}

func (p *pool) capacity() int {
	n := 0
	for _, ep := range p.endpoints {
		n += ep.window.Size()
	}
	return max(1, n)
}

func (p *pool) loadElapsed(now time.Time) time.Duration {
	if p.loadingSince.IsZero() {
		return 0
	}
	return now.Sub(p.loadingSince)
}

// wait blocks until the waiter is granted a slot, refused, or its time is up.
func (p *pool) wait(ctx context.Context, w *waiter, a Ask, start time.Time, cold bool) (*Slot, error) {
	timer := p.clock.NewTimer(a.Deadline.Sub(start))
	defer timer.Stop()
	var ep *endpoint
	select {
	case ep = <-w.granted:
	case <-timer.Chan():
		ep = p.leave(w)
	case <-ctx.Done():
		ep = p.leave(w)
	}
	now := p.clock.Now()
	if ep == nil {
		return nil, refusal.New(refusal.WaitedTooLong, "no place at %s came free within %s", p.name, now.Sub(start).Round(time.Millisecond))
	}
	return p.slot(ep, start, now, cold), nil
}

// leave takes a waiter out of the queue. If it was granted a slot in the same
// moment it keeps the slot: giving up then would waste it.
func (p *pool) leave(w *waiter) *endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Remove(w.item) {
		return nil
	}
	return <-w.granted
}

// pick chooses an endpoint with room. The caller holds mu.
func (p *pool) pick(now time.Time, avoid string) *endpoint {
	replicas := make([]choose.Replica, 0, 8)
	index := make([]*endpoint, 0, 8)
	for _, ep := range p.endpoints {
		if ep.Name == avoid && len(p.endpoints) > 1 {
			continue
		}
		replicas = append(replicas, choose.Replica{
			Engine: ep.Name, SameHall: ep.Hall == p.hall, Running: ep.running,
			Reported: ep.reported, ReportedAt: ep.reportedAt, Window: ep.window, Health: &ep.health,
		})
		index = append(index, ep)
	}
	i := choose.Pick(replicas, now)
	if i < 0 {
		return nil
	}
	return index[i]
}

// occupy counts a request in. The caller holds mu.
func (p *pool) occupy(ep *endpoint) {
	ep.running++
	p.running++
}

func (p *pool) slot(ep *endpoint, start, now time.Time, cold bool) *Slot {
	return &Slot{Endpoint: ep.Endpoint, Waited: now.Sub(start), Cold: cold, pool: p, ep: ep, at: now}
}

// pump lets waiting requests in while there is room. The caller holds mu.
func (p *pool) pump() {
	now := p.clock.Now()
	for p.queue.Len() > 0 {
		ep := p.pick(now, "")
		if ep == nil {
			return
		}
		w := p.queue.Pop().Value.(*waiter)
		p.occupy(ep)
		w.granted <- ep
	}
}

// Result is what became of a request at its endpoint.
type Result struct {
	// Err is nil when the endpoint answered.
	Err error
	// Full is true when the endpoint refused for want of room.
	Full bool
	// NotBegun is true when the endpoint is well but did not take the request.
	NotBegun bool
	// Running is the load the endpoint reported; negative if none.
	Running int
	// Leaving is true when the endpoint said that it takes no new work.
	Leaving bool
}

// Release gives the slot back.
func (s *Slot) Release(r Result) {
	p := s.pool
	now := p.clock.Now()
	if r.Leaving {
		p.hooks.Leaving(s.ep.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Running >= 0 {
		s.ep.reported, s.ep.reportedAt = r.Running, now
	}
	switch {
	case r.Full:
		s.ep.window.Full()
	case r.NotBegun:
	case r.Err != nil:
		s.ep.health.Failed(now)
	default:
		s.ep.window.Succeeded(s.ep.running)
		s.ep.health.Succeeded()
		p.model.Serve.Observe(now.Sub(s.at))
	}
	s.ep.running--
	p.running--
	if r.Leaving {
		p.remove(s.ep)
	}
	p.pump()
}

// remove takes an endpoint out at once, without waiting for the view.
func (p *pool) remove(gone *endpoint) {
	kept := p.endpoints[:0]
	for _, ep := range p.endpoints {
		if ep != gone {
			kept = append(kept, ep)
		}
	}
	p.endpoints = kept
}
