package traffic

import (
	"context"
	"time"

	"olivetiller/core/choose"
	"olivetiller/core/signal"
	"olivetiller/core/view"
)

// endpointSignals holds the signals of one endpoint that decide whether it gets requests: its rate limit and its
// backoff.
type endpointSignals struct {
	// incarnationID identifies the incarnation of the endpoint that the signals come from.
	incarnationID signal.Incarnation
	// limit is the endpoint's rate limit for all nodes together, in requests a second; 0 for none.
	limit float64
	// limitedUntil is when the rate limit has capacity again. charging is set while a request is being charged to it.
	limitedUntil time.Time
	charging     bool
	// brittle is set while the endpoint falls over when it has to turn requests away. share then bounds this node's
	// concurrent requests; 0 for no bound.
	brittle bool
	share   int
	// answered is set once the endpoint has answered a request of this node.
	answered bool
	// backoffUntil is when the backoff that the endpoint asked of this node ends.
	backoffUntil time.Time
	// interval is the estimated time between two requests of this node that the rate limit admits, from the last
	// charge that was refused or else from the limit itself; 0 without a limit.
	interval time.Duration
	// retryHints counts the callers that were refused with a retry hint since the endpoint became unavailable. It
	// spaces the hints.
	retryHints int
}

// unavailableUntil returns when the endpoint may get requests again; a past time if it may now.
func (s *endpointSignals) unavailableUntil() time.Time {
	if s.backoffUntil.After(s.limitedUntil) {
		return s.backoffUntil
	}
	return s.limitedUntil
}

// setRateLimit sets the rate limit in requests a second, 0 for none, and resets what depends on it if it changed.
func (s *endpointSignals) setRateLimit(perSecond float64) {
	if perSecond == s.limit {
		return
	}
	s.limit, s.limitedUntil, s.interval, s.retryHints = perSecond, time.Time{}, 0, 0
	if perSecond > 0 {
		s.interval = intervalOf(perSecond)
	}
}

// intervalOf returns the time between two requests at a rate above 0.
func intervalOf(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// setBackoff sets the end of the backoff. If no backoff was in force at now, retryHints starts again from 0.
func (s *endpointSignals) setBackoff(until, now time.Time) {
	if !now.Before(s.backoffUntil) {
		s.retryHints = 0
	}
	s.backoffUntil = until
}

// incarnationOf returns the identity of an endpoint's incarnation.
func incarnationOf(e *view.Endpoint) signal.Incarnation {
	return signal.Incarnation{Endpoint: e.Name, Start: e.Start}
}

// ObserveSignals records the signals s in the answer of endpoint e to a request sent at the given time. It returns what
// they changed, and calls Hooks.SignalsChanged if they changed anything.
func (d *Dispatcher) ObserveSignals(e view.Endpoint, s signal.Signals, sent time.Time) signal.Change {
	c := d.recordSignals(incarnationOf(&e), s, sent)
	if c.Changed() && d.hooks.SignalsChanged != nil {
		d.hooks.SignalsChanged()
	}
	return c
}

// recordSignals is ObserveSignals without the hook. It puts the changed signals in force.
func (d *Dispatcher) recordSignals(l signal.Incarnation, s signal.Signals, sent time.Time) signal.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	c := d.signals.Observe(l, s, sent, now)
	if c.Changed() || s.Backoff > 0 {
		d.applySignals(l, now)
	}
	return c
}

// Capacities returns the capacity that endpoints reported, in requests a second over all nodes, by incarnation.
// Endpoints that reported none are left out.
func (d *Dispatcher) Capacities() signal.Capacities {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.signals.Capacities(d.clock.Now())
}

// SignalsVersion returns the version of the recorded signals, which grows with each change that other nodes need.
func (d *Dispatcher) SignalsVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.signals.Version()
}

// SignalsSince returns the signals that changed after the given version, for other nodes, and the current version.
func (d *Dispatcher) SignalsSince(version uint64) (reports []signal.Report, to uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.signals.Since(version), d.signals.Version()
}

// MergeSignals merges signals that other nodes received and puts them in force. It returns what changed here.
func (d *Dispatcher) MergeSignals(reports []signal.Report) []signal.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var out []signal.Change
	for _, r := range reports {
		if c := d.signals.Merge(r, now); c.Changed() {
			d.applySignals(r.Incarnation, now)
			out = append(out, c)
		}
	}
	return out
}

// applySignals puts the recorded signals of an incarnation in force: it removes a draining or superseded endpoint
// from its pools, or else updates its rate limit and backoff and serves the queues.
func (d *Dispatcher) applySignals(l signal.Incarnation, now time.Time) {
	ep := d.endpointStates[l.Endpoint]
	switch {
	case ep == nil:
	case d.excluded(ep.incarnationID):
		for p := range ep.pools {
			p.remove(ep)
		}
	case ep.incarnationID == l:
		d.setLimits(ep, now)
		d.spreadBrittle(ep, now)
		ep.setBackoff(d.signals.BackoffUntil(l), now)
		d.reevaluate(ep, now)
	}
}

// excluded reports whether an incarnation must get no requests any more, because it is draining or because a later
// incarnation of the endpoint has sent signals.
func (d *Dispatcher) excluded(l signal.Incarnation) bool {
	return d.signals.Draining(l) || d.signals.Superseded(l)
}

// brittleNeighborTTL is how long an endpoint counts as brittle after another one of its pool last stated that it is. An
// endpoint that has just started has stated nothing yet.
const brittleNeighborTTL = 5 * time.Second

// isBrittle reports whether an endpoint is brittle, or may be because another endpoint of a pool of it is.
func (d *Dispatcher) isBrittle(ep *endpointState, now time.Time) bool {
	if _, brittle := d.signals.Brittle(ep.name, now); brittle {
		return true
	}
	if !d.signals.AnyBrittle(now) || ep.answered {
		return false
	}
	for p := range ep.pools {
		for _, cand := range p.endpoints {
			if at, brittle := d.signals.Brittle(cand.Name, now); brittle && now.Sub(at) <= brittleNeighborTTL {
				return true
			}
		}
	}
	return false
}

// spreadBrittle updates the other endpoints in the pools of an endpoint whose signals changed.
func (d *Dispatcher) spreadBrittle(ep *endpointState, now time.Time) {
	if !d.signals.AnyBrittle(now) {
		return
	}
	for p := range ep.pools {
		for _, cand := range p.endpoints {
			d.setLimits(cand.endpointState, now)
		}
	}
}

// defaultServe is the assumed duration of a request at an endpoint that has answered none.
const defaultServe = time.Second

// setLimits sets what the signals of an endpoint, and whether it is cold, allow.
func (d *Dispatcher) setLimits(ep *endpointState, now time.Time) {
	ep.brittle = d.isBrittle(ep, now)
	ep.share = 0
	if ep.brittle {
		ep.share = choose.BrittleShare(ep.slots, d.nodes)
	}
	ep.setRateLimit(d.limitOf(ep, now))
}

// limitOf returns the rate limit of an endpoint over all nodes, in requests a second: the smallest of the limit that it
// reported, its cold rate while it is cold, and the rate at which it has slots for all while it is brittle and has fewer
// than there are nodes. It returns 0 without a limit, or if Hooks.Charge is nil.
func (d *Dispatcher) limitOf(ep *endpointState, now time.Time) float64 {
	if d.hooks.Charge == nil {
		return 0
	}
	limit := d.signals.Limit(ep.incarnationID)
	if now.Before(ep.coldUntil) {
		limit = smallerLimit(limit, ep.coldRate)
	}
	if ep.brittle && choose.BrittleShare(ep.slots, d.nodes) == 0 {
		limit = smallerLimit(limit, choose.BrittleRate(ep.slots, ep.serve.Mean(defaultServe)))
	}
	return limit
}

// smallerLimit returns the smaller of two rate limits, each 0 or less for none.
func smallerLimit(a, b float64) float64 {
	if a <= 0 || b > 0 && b < a {
		return max(0, b)
	}
	return a
}

// Evacuate sets the data halls whose endpoints get no requests, in place of the previous ones. CheckSend also
// withholds requests that already have a slot there but were not sent yet.
func (d *Dispatcher) Evacuate(halls []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuated = make(map[string]bool, len(halls))
	for _, hall := range halls {
		d.evacuated[hall] = true
	}
	now := d.clock.Now()
	for _, p := range d.pools {
		d.updatePool(p, now)
	}
}

// acquireCharged waits for a slot and, if the endpoint has a rate limit, charges the request to it. If the limit has
// no capacity, it marks the endpoint as limited until then, and waits for another slot. The caller holds d.mu;
// acquireCharged unlocks it.
func (d *Dispatcher) acquireCharged(ctx context.Context, p *pool, req SlotRequest, start time.Time) (*Slot, error) {
	for {
		// acquireAdmitted unlocks d.mu.
		s, err := d.acquireAdmitted(ctx, p, req, start, d.clock.Now())
		if err != nil || s.limit == 0 {
			return s, err
		}
		after := d.hooks.Charge(ctx, s.Endpoint, s.limit)
		d.mu.Lock()
		now := d.clock.Now()
		s.endpointState.charging = false
		if after == 0 {
			d.pumpEndpoint(s.endpointState, now)
			d.mu.Unlock()
			return s, nil
		}
		d.heldByLimit++
		s.removeRunning()
		s.endpointState.recordResult(Result{NotStarted: true, Running: -1}, s.grantedAt, now)
		if ctx.Err() != nil {
			d.pumpEndpoint(s.endpointState, now)
			d.mu.Unlock()
			return nil, waitedTooLong(p, now.Sub(start))
		}
		s.endpointState.setLimitedFor(after, now)
		d.reevaluate(s.endpointState, now)
	}
}

// reevaluate grants slots to, or refuses, the queued requests of an endpoint's pools after its signals changed.
func (d *Dispatcher) reevaluate(ep *endpointState, now time.Time) {
	d.pumpEndpoint(ep, now)
	for p := range ep.pools {
		p.refuseUnservable(now)
		d.pump(p, now)
		d.schedulePump(p, now)
	}
}

// setLimitedFor records that the rate limit has no capacity for the duration d.
func (s *endpointSignals) setLimitedFor(d time.Duration, now time.Time) {
	s.limitedUntil, s.retryHints = now.Add(d), 0
	if s.limit > 0 {
		s.interval = max(d, intervalOf(s.limit))
	}
}

// DrainingEndpoints returns the incarnations that have reported that they are draining.
func (d *Dispatcher) DrainingEndpoints() []signal.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.signals.DrainingIncarnations()
}

// WithheldError is returned by CheckSend for a request that must not be sent to the endpoint of its slot, because the
// endpoint's state changed after the slot was granted.
type WithheldError struct {
	// By is the reason: "startedAgain", "leaving", "rest", "evacuated" or "limit". Totals.Withheld counts by it.
	By string
}

// Error implements error.
func (e *WithheldError) Error() string {
	return "the endpoint's state changed after the request got its slot: " + e.By
}

// CheckSend returns a *WithheldError if the request of a slot must not be sent any more, or nil. It is called right
// before the first byte is written.
func (d *Dispatcher) CheckSend(s *Slot) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	by := ""
	switch incarnationID := s.endpointState.incarnationID; {
	case d.signals.Superseded(incarnationID):
		by = "startedAgain"
	case d.signals.Draining(incarnationID):
		by = "leaving"
	case d.clock.Now().Before(d.signals.BackoffUntil(incarnationID)):
		by = "rest"
	case d.evacuated[s.Endpoint.Hall]:
		by = "evacuated"
	case s.limit == 0 && d.limitOf(s.endpointState, d.clock.Now()) > 0:
		by = "limit"
	default:
		return nil
	}
	d.withheld[by]++
	return &WithheldError{by}
}

// availableAt returns when a request with ahead others in front of it can get a slot, if every endpoint of the pool
// has a rate limit or is unavailable now. ok is false if some endpoint is neither, or the pool has no endpoints.
func (p *pool) availableAt(ahead int, now time.Time) (at time.Time, ok bool) {
	perSecond, unlimited := 0.0, false
	for i, cand := range p.endpoints {
		ep := cand.endpointState
		available := ep.unavailableUntil()
		if ep.limit == 0 && !available.After(now) {
			return time.Time{}, false
		}
		if i == 0 || available.Before(at) {
			at = available
		}
		if ep.interval == 0 {
			unlimited = true
			continue
		}
		perSecond += 1 / ep.interval.Seconds()
	}
	if at.Before(now) {
		at = now
	}
	if !unlimited && perSecond > 0 {
		at = at.Add(time.Duration(float64(ahead) / perSecond * float64(time.Second)))
	}
	return at, len(p.endpoints) > 0
}
