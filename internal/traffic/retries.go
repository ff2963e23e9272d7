package traffic

import (
	"context"
	"time"

	"olivetiller/core/refusal"
	"olivetiller/core/retry"
)

// RetryBudgetError is the refusal of a further attempt that the retry budget does not allow.
type RetryBudgetError struct{ Refusal *refusal.Error }

// Error implements error.
func (e *RetryBudgetError) Error() string { return e.Refusal.Error() }

// Unwrap returns the refusal.
func (e *RetryBudgetError) Unwrap() error { return e.Refusal }

// maxRetryWait is how long a request waits for the retry budget if its caller can send it again.
const maxRetryWait = 100 * time.Millisecond

// reserveRetry reserves a retry for the request and returns the part that its budget pays; the lease holder grants the
// rest. If the holder grants it soon, the request waits for maxRetryWait at most. A request whose caller has received a
// part of the answer waits for either of them until its caller gives up. The caller holds d.mu, which is unlocked
// meanwhile.
func (d *Dispatcher) reserveRetry(ctx context.Context, p *pool, b *retry.Budget, req *SlotRequest) (part float64, err error) {
	until := req.waitDeadline()
	if end := d.clock.Now().Add(maxRetryWait); !req.Began && end.Before(until) {
		until = end
	}
	for {
		part, at, ok := d.tryRetry(ctx, p, b, req, req.Began)
		if ok {
			return part, nil
		}
		if at.IsZero() || at.After(until) || !d.waitUntil(ctx, at) {
			return 0, &RetryBudgetError{refusal.New(refusal.NoEndpoint, "an endpoint of %s failed and the retry budget is used up", p)}
		}
	}
}

// waitUntil waits until the given time. It reports false if ctx ends or the node stops before. The caller holds d.mu,
// which is unlocked meanwhile.
func (d *Dispatcher) waitUntil(ctx context.Context, at time.Time) bool {
	after := at.Sub(d.clock.Now())
	d.mu.Unlock()
	defer d.mu.Lock()
	select {
	case <-d.clock.After(after):
		return true
	case <-d.stopped:
	case <-ctx.Done():
	}
	return false
}

// tryRetry is like reserveRetry, but does not wait. If ok is false, at is when to try again; zero if that is not known.
// urgent marks a request whose caller cannot send it again.
func (d *Dispatcher) tryRetry(ctx context.Context, p *pool, b *retry.Budget, req *SlotRequest, urgent bool) (part float64, at time.Time, ok bool) {
	part = b.Reserve(d.clock.Now())
	if part == 1 {
		return part, time.Time{}, true
	}
	grant := d.hooks.GrantRetry
	if grant != nil {
		name := budgetName(p, req)
		d.mu.Unlock()
		after := grant(ctx, name, 1-part, urgent)
		d.mu.Lock()
		if after <= 0 {
			d.retriesGranted++
			return part, time.Time{}, true
		}
		d.retriesDenied++
		at = d.clock.Now().Add(after)
	}
	b.Release(part)
	if available, ok := b.AvailableAt(d.clock.Now()); urgent && ok && (at.IsZero() || available.Before(at)) {
		at = available
	}
	return 0, at, false
}
