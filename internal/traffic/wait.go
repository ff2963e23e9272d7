package traffic

import (
	"context"
	"time"

	"olivetiller/core/queue"
	"olivetiller/core/refusal"
)

const (
	// retryTimeDivisor bounds a retry hint to this part (a third) of the request's remaining time. By the platform's
	// documentation, callers stay away no longer than that.
	retryTimeDivisor = 3
	// retryMargin is added to the time at which a model is expected to be ready. A caller that comes back slightly
	// early has to wait, while one that comes back later is served at once.
	retryMargin = 150 * time.Millisecond
	// minRetryInterval is the least time between the hints to two callers that wait for the same endpoint.
	minRetryInterval = 50 * time.Millisecond
)

// waiter is a queued request.
type waiter struct {
	item    *queue.Item
	request SlotRequest
	// forecastReady is when the model was first predicted to be ready; zero without a prediction.
	forecastReady time.Time
	// ended receives the result of the wait; it is buffered and receives exactly one.
	ended chan waitResult
}

// newWaiter returns the waiter for a request that arrived at start.
func newWaiter(req *SlotRequest, start time.Time) *waiter {
	w := &waiter{request: *req, item: req.item(start), ended: make(chan waitResult, 1)}
	w.item.Value = w
	return w
}

// push queues a waiter. If the queue is full, it takes the place of less urgent requests, which are refused. It reports
// false if there are not enough of them.
func (d *Dispatcher) push(p *pool, w *waiter, now time.Time) bool {
	displaced, ok := p.queue.PushOver(w.item)
	for _, it := range displaced {
		// A place is free once a request ahead has been served.
		at := now.Add(p.model.Serve.Mean(defaultServe))
		p.retryHints++
		p.refuse(it, refusal.New(refusal.QueueFull, "a more urgent request took its place in the full queue for %s", p).
			WithRetryAfter(p.retryAfter(at, &it.Value.(*waiter).request, now)))
	}
	d.displaced += int64(len(displaced))
	return ok
}

// waitResult ends a wait, with a candidate or with the refusal.
type waitResult struct {
	candidate
	// forecastReady is waiter.forecastReady.
	forecastReady time.Time
	refused       error
}

// StopWaiting refuses all queued requests, and from now on every request that would have to wait. It is called when
// the process is about to exit, while other nodes can still serve these requests.
func (d *Dispatcher) StopWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.stopped:
	default:
		close(d.stopped)
	}
}

// wait blocks until the waiter gets a slot or is refused, its wait deadline passes, ctx ends, or the node stops.
func (d *Dispatcher) wait(ctx context.Context, p *pool, w *waiter, start, now time.Time, cold bool) (*Slot, error) {
	timer := d.clock.NewTimer(w.request.waitDeadline().Sub(now))
	defer timer.Stop()
	var v waitResult
	select {
	case v = <-w.ended:
	case <-d.stopped:
		v = d.cancelWait(p, w, refusal.New(refusal.Stopping, "this node is shutting down; no slot at %s was granted before", p))
	case <-timer.Chan():
		v = d.cancelWait(p, w, waitedTooLong(p, d.clock.Now().Sub(start)))
	case <-ctx.Done():
		v = d.cancelWait(p, w, waitedTooLong(p, d.clock.Now().Sub(start)))
	}
	if v.refused != nil {
		return nil, v.refused
	}
	s := d.slot(p, v.candidate, &w.request, start, d.clock.Now(), cold)
	s.Expected = v.forecastReady
	return s, nil
}

// waitedTooLong returns the refusal of a request that got no slot in time.
func waitedTooLong(p *pool, waited time.Duration) error {
	return refusal.New(refusal.WaitedTooLong, "no endpoint of %s had a free slot within %s", p, waited.Round(time.Millisecond))
}

// cancelWait removes a waiter from the queue and refuses it with the given error. If its wait has ended already, that
// result counts, since discarding a granted slot would waste it.
func (d *Dispatcher) cancelWait(p *pool, w *waiter, why error) waitResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.queue.Remove(w.item) {
		return waitResult{refused: why}
	}
	return <-w.ended
}

// checkDeadline returns a refusal if the request, with ahead others in front of it, cannot get a slot before its
// caller gives up: because the model is predicted to be ready later, or because every endpoint is limited or
// unavailable for longer. The refusal carries a retry hint. It also refuses a request for which no endpoint is in an
// allowed region.
func (p *pool) checkDeadline(req *SlotRequest, ahead int, now time.Time) error {
	if at, ok := p.availableAt(ahead, now); ok && at.After(req.waitDeadline()) {
		return refusal.New(refusal.CannotMakeDeadline, "the endpoints of %s accept no requests for another %s, until after the caller gives up",
			p, at.Sub(now).Round(time.Millisecond)).WithRetryAfter(p.retryAfter(at, req, now))
	}
	if len(p.endpoints) == 0 && p.outsideRegions {
		return refusal.New(refusal.NoEndpoint, "no endpoint of %s is in a region that may serve the request", p)
	}
	if len(p.endpoints) > 0 || !p.readyAt.After(req.waitDeadline()) {
		return nil
	}
	delay := min(p.readyAt.Sub(now)+retryMargin, req.Deadline.Sub(now)/retryTimeDivisor)
	return refusal.New(refusal.CannotMakeDeadline, "%s is predicted to be ready in %s, after the caller gives up",
		p, p.readyAt.Sub(now).Round(time.Millisecond)).WithRetryAfter(delay)
}

// recordForecast stores the predicted ready time in the queued requests that have none yet.
func (p *pool) recordForecast() {
	if len(p.endpoints) > 0 || p.readyAt.IsZero() {
		return
	}
	for _, it := range p.queue.Items() {
		if w := it.Value.(*waiter); w.forecastReady.IsZero() {
			w.forecastReady = p.readyAt
		}
	}
}

// refuseUnservable refuses the queued requests that checkDeadline rejects now.
func (p *pool) refuseUnservable(now time.Time) {
	if _, limited := p.availableAt(0, now); !limited && (len(p.endpoints) > 0 || p.readyAt.IsZero()) {
		return
	}
	ahead := 0
	for _, it := range p.queue.Items() {
		w := it.Value.(*waiter)
		err := p.checkDeadline(&w.request, ahead, now)
		if err == nil {
			ahead++
			continue
		}
		p.retryHints++
		p.refuse(it, err)
	}
}

// refuse removes a request from the queue and refuses it.
func (p *pool) refuse(it *queue.Item, err error) {
	p.queue.Remove(it)
	it.Value.(*waiter).ended <- waitResult{refused: err}
}

// requestsAhead returns how many queued requests go before one that is not queued yet. It returns 0 if rate limits and
// backoffs do not decide when a request gets a slot.
func (p *pool) requestsAhead(it *queue.Item, now time.Time) int {
	if _, limited := p.availableAt(0, now); !limited {
		return 0
	}
	return p.queue.Ahead(it, now).Total()
}

// retryAfter returns the retry hint for a caller whose pool has capacity again at the given time. Each hint is one
// interval later than the one before, since of callers that come back at the same moment all but one are refused
// again.
func (p *pool) retryAfter(at time.Time, req *SlotRequest, now time.Time) time.Duration {
	delay := at.Sub(now) + retryMargin
	for _, cand := range p.endpoints {
		ep := cand.endpointState
		delay += time.Duration(ep.retryHints) * max(ep.interval, minRetryInterval) / time.Duration(len(p.endpoints))
		ep.retryHints++
	}
	return min(delay, req.Deadline.Sub(now)/retryTimeDivisor)
}
