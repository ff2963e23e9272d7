package traffic

import (
	"time"

	"olivetiller/core/queue"
)

// pumpEndpoint grants slots to queued requests of the pools that share an endpoint, in the order of nextPool, until the
// next request finds no slot.
func (d *Dispatcher) pumpEndpoint(ep *endpointState, now time.Time) {
	for {
		next, overdue := ep.nextPool(now)
		if next == nil || !d.grantNext(next, now) {
			return
		}
		ep.turns.Served(overdue)
	}
}

// nextPool returns the pool whose next request goes first at the endpoint, and whether it goes in a turn of overdue ones of
// the endpoint. Pools compare by the request that goes first without the turns of overdue ones in their own queues: these
// would hide urgent requests behind them. The pool is nil if no request is queued.
func (ep *endpointState) nextPool(now time.Time) (next *pool, overdue bool) {
	var first *queue.Item
	for p := range ep.pools {
		if head := p.queue.First(now); head != nil && (first == nil || head.GoesBefore(first, now)) {
			next, first = p, head
		}
	}
	if first == nil || !ep.turns.Due() {
		return next, false
	}
	var owed *queue.Item
	for p := range ep.pools {
		if head := p.queue.Peek(now); head != nil && head.Passes(first, now) && (owed == nil || head.OverdueAt().Before(owed.OverdueAt())) {
			next, owed = p, head
		}
	}
	return next, owed != nil
}

// pump grants slots to a pool's queued requests until none is queued or no endpoint has a free slot.
func (d *Dispatcher) pump(p *pool, now time.Time) {
	for p.queue.Len() > 0 && d.grantNext(p, now) {
		continue
	}
}

// grantNext grants a slot to the next request in a pool's queue, which must not be empty. It returns false if no
// endpoint has a free slot, after scheduling a pump for when one becomes available.
func (d *Dispatcher) grantNext(p *pool, now time.Time) bool {
	w := p.queue.Peek(now).Value.(*waiter)
	cand, ok := p.pick(now, d.hall, d.view.NewBuilds, &w.request)
	if !ok {
		d.schedulePump(p, now)
		return false
	}
	p.queue.Pop(now)
	p.addRunning(cand, &w.request)
	w.ended <- waitResult{candidate: cand, forecastReady: w.forecastReady}
	return true
}

// schedulePump sets a timer for each endpoint of the pool that is unavailable until a known time (window closed,
// ejected, rate limit used up or backoff), to serve the queues at that time.
func (d *Dispatcher) schedulePump(p *pool, now time.Time) {
	for _, cand := range p.endpoints {
		ep := cand.endpointState
		at := ep.window.OpensAt()
		if until := ep.health.Until(); until.After(at) {
			at = until
		}
		if available := ep.unavailableUntil(); available.After(at) {
			at = available
		}
		if ep.pumpScheduled || !at.After(now) {
			continue
		}
		ep.pumpScheduled = true
		d.clock.AfterFunc(at.Sub(now), func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			ep.pumpScheduled = false
			d.pumpEndpoint(ep, d.clock.Now())
		})
	}
}
