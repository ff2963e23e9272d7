package signal

import (
	"cmp"
	"slices"
	"time"
)

// Incarnation identifies one incarnation of an endpoint.
type Incarnation struct {
	Endpoint string
	// Start is the start time in Unix milliseconds; 0 if it is not known.
	Start int64
}

// Change describes how an answer, or a report of another node, changed what is known of an endpoint.
type Change struct {
	Incarnation
	// Limit is the new limit in requests per second, and Before the previous one; 0 for none.
	Limit, Before float64
	// Brittle is whether the endpoint is brittle now, and WasBrittle whether it was before.
	Brittle, WasBrittle bool
	// Draining is true if the endpoint was not known to be draining before and now is.
	Draining bool
	// Backoff is the duration of a backoff that begins now; 0 if none begins or one is in force already.
	Backoff time.Duration
	// Malformed holds malformed signals that should be reported.
	Malformed []MalformedError
}

// Changed reports whether anything changed.
func (c *Change) Changed() bool {
	return c.Limit != c.Before || c.Brittle != c.WasBrittle || c.Draining || c.Backoff > 0
}

// Fields returns keys and values that describe the change in a log line.
func (c *Change) Fields() []any {
	return []any{"endpoint", c.Endpoint, "born", c.Start, "limit", c.Limit, "before", c.Before, "brittle", c.Brittle, "leaves", c.Draining, "restMs", c.Backoff.Milliseconds()}
}

// Retention times and intervals.
const (
	// entryTTL is how long an endpoint that sends no signals is kept.
	entryTTL = 10 * time.Minute
	// drainingTTL is the same for a draining endpoint: longer than any continues to run while it drains.
	drainingTTL = 24 * time.Hour
	// malformedInterval is the least time between two reports of malformed signals of one endpoint.
	malformedInterval = 10 * time.Second
)

// Registry holds the latest signals of all endpoints, as known to one node. It is not safe for concurrent use.
type Registry struct {
	entries map[string]*entry
	version uint64
	// expiredAt is when expired entries were last removed.
	expiredAt time.Time
	// brittleAt is when an endpoint last stated that it is brittle; zero if none did.
	brittleAt time.Time
}

// entry holds the signals of one endpoint's latest incarnation.
type entry struct {
	start int64
	// limit is the limit in force in requests per second, 0 for none. limitAt is when an answer last set it, or ended
	// it by not naming one.
	limit   float64
	limitAt time.Time
	// limitFrom is the node that reported the limit; "" if an answer to this node did.
	limitFrom string
	// brittle, brittleAt and brittleFrom are the same for whether the endpoint is brittle.
	brittle     bool
	brittleAt   time.Time
	brittleFrom string
	// draining is set once the incarnation has reported that it is draining.
	draining bool
	// backoffUntil is when the backoff ends that the endpoint asked of this node, and othersBackoffUntil the same for
	// any other node.
	backoffUntil, othersBackoffUntil time.Time
	// version is the registry's version at the latest change.
	version uint64
	// seenAt is when a signal or a report of the endpoint last arrived.
	seenAt time.Time
	// malformedAt is when malformed signals were last reported.
	malformedAt time.Time
}

// NewRegistry returns a registry without signals.
func NewRegistry() *Registry { return &Registry{entries: make(map[string]*entry)} }

// entryFor returns the entry of an incarnation. It starts a new one if the incarnation is later than the known one,
// and returns nil if it is earlier.
func (b *Registry) entryFor(l Incarnation) *entry {
	e := b.entries[l.Endpoint]
	switch {
	case e == nil:
		e = &entry{start: l.Start}
		b.entries[l.Endpoint] = e
	case l.Start > e.start && e.start != 0:
		// An endpoint that fell over is as brittle as before.
		e = &entry{start: l.Start, brittle: e.brittle, brittleAt: e.brittleAt, brittleFrom: e.brittleFrom}
		b.entries[l.Endpoint] = e
	case e.start == 0:
		e.start = l.Start
	case l.Start != 0 && l.Start < e.start:
		return nil
	}
	return e
}

// Observe applies the signals of an answer that arrived now to a request that was sent at the time sent, and returns
// the change.
func (b *Registry) Observe(l Incarnation, s Signals, sent, now time.Time) Change {
	b.expire(now)
	if b.entries[l.Endpoint] == nil && s.empty() {
		return Change{}
	}
	e := b.entryFor(l)
	if e == nil {
		return Change{}
	}
	e.seenAt = now
	c := e.unchanged(l)
	c.Draining = s.Draining && !e.draining
	if len(s.Malformed) > 0 && now.Sub(e.malformedAt) >= malformedInterval {
		e.malformedAt, c.Malformed = now, s.Malformed
	}
	if until := now.Add(s.Backoff); s.Backoff > 0 && until.After(e.backoffUntil) {
		if !now.Before(e.backoffUntil) {
			c.Backoff = s.Backoff
		}
		e.backoffUntil = until
	}
	switch {
	case s.Limit > 0:
		c.Limit, e.limitAt, e.limitFrom = s.Limit, now, ""
	case e.limit > 0 && s.Ran && len(s.Malformed) == 0 && sent.After(e.limitAt):
		c.Limit, e.limitAt, e.limitFrom = 0, now, ""
	}
	switch {
	case s.Brittle:
		c.Brittle, e.brittleAt, e.brittleFrom = true, now, ""
		b.brittleAt = now
	case e.brittle && s.Ran && len(s.Malformed) == 0 && sent.After(e.brittleAt):
		c.Brittle, e.brittleAt, e.brittleFrom = false, now, ""
	}
	b.commit(e, &c)
	return c
}

// unchanged returns a change of an incarnation that changes nothing.
func (e *entry) unchanged(l Incarnation) Change {
	return Change{Incarnation: l, Limit: e.limit, Before: e.limit, Brittle: e.brittle, WasBrittle: e.brittle}
}

// commit stores a change.
func (b *Registry) commit(e *entry, c *Change) {
	if !c.Changed() {
		return
	}
	b.version++
	if c.Brittle {
		b.brittleAt = later(b.brittleAt, e.brittleAt)
	}
	e.version, e.limit, e.brittle, e.draining = b.version, c.Limit, c.Brittle, e.draining || c.Draining
}

// lookup returns the entry of an incarnation, or nil if it has sent no signals.
func (b *Registry) lookup(l Incarnation) *entry {
	if e := b.entries[l.Endpoint]; e != nil && (e.start == l.Start || e.start == 0) {
		return e
	}
	return nil
}

// BackoffUntil returns the end of the backoff that an incarnation asked of this node; a time in the past if there is
// none.
func (b *Registry) BackoffUntil(l Incarnation) time.Time {
	if e := b.lookup(l); e != nil {
		return e.backoffUntil
	}
	return time.Time{}
}

// backoffCapacity stands for the capacity of an endpoint during a backoff, in requests per second. It is smaller than
// any demand.
const backoffCapacity = 0.001

// Capacities maps incarnations of endpoints to the capacity that they reported, in requests per second.
type Capacities map[Incarnation]float64

// Of returns the capacity of an incarnation; 0 if it reported none.
func (c Capacities) Of(l Incarnation) float64 {
	if v, ok := c[l]; ok {
		return v
	}
	// The capacity was recorded while the start time was unknown.
	return c[Incarnation{Endpoint: l.Endpoint}]
}

// Capacities returns the capacities that endpoints reported to any node.
func (b *Registry) Capacities(now time.Time) Capacities {
	out := make(Capacities)
	for name, e := range b.entries {
		l := Incarnation{Endpoint: name, Start: e.start}
		switch {
		case now.Before(e.backoffUntil) || now.Before(e.othersBackoffUntil):
			out[l] = backoffCapacity
		case e.limit > 0:
			out[l] = e.limit
		}
	}
	return out
}

// Draining reports whether an incarnation has reported that it is draining.
func (b *Registry) Draining(l Incarnation) bool {
	e := b.lookup(l)
	return e != nil && e.draining
}

// NoteStart records that an incarnation answered now, without any signals.
func (b *Registry) NoteStart(l Incarnation, now time.Time) {
	if e := b.entryFor(l); e != nil {
		e.seenAt = now
	}
}

// Superseded reports whether a later incarnation of the endpoint is known, which would receive a request meant for this
// one.
func (b *Registry) Superseded(l Incarnation) bool {
	e := b.entries[l.Endpoint]
	return e != nil && l.Start != 0 && e.start > l.Start
}

// DrainingIncarnations returns the incarnations that have reported that they are draining.
func (b *Registry) DrainingIncarnations() []Incarnation {
	var out []Incarnation
	for name, e := range b.entries {
		if e.draining {
			out = append(out, Incarnation{Endpoint: name, Start: e.start})
		}
	}
	slices.SortFunc(out, func(a, b Incarnation) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Limit returns the limit that an incarnation reported, in requests per second; 0 for none.
func (b *Registry) Limit(l Incarnation) float64 {
	if e := b.lookup(l); e != nil {
		return e.limit
	}
	return 0
}

// AnyBrittle reports whether some endpoint is brittle.
func (b *Registry) AnyBrittle(now time.Time) bool {
	return !b.brittleAt.IsZero() && now.Sub(b.brittleAt) <= brittleTTL
}

// brittleTTL is how long an endpoint counts as brittle after an answer last stated it. An endpoint that gets no requests
// cannot state that it no longer is.
const brittleTTL = 30 * time.Second

// Brittle reports whether the endpoint with the given name is brittle, and when it last stated that. Unlike the other
// signals it outlasts an incarnation.
func (b *Registry) Brittle(endpoint string, now time.Time) (at time.Time, brittle bool) {
	e := b.entries[endpoint]
	if e == nil || !e.brittle || now.Sub(e.brittleAt) > brittleTTL {
		return time.Time{}, false
	}
	return e.brittleAt, true
}

// Limits returns the limits in force by endpoint, in requests per second.
func (b *Registry) Limits() map[string]float64 {
	out := make(map[string]float64)
	for name, e := range b.entries {
		if e.limit > 0 {
			out[name] = e.limit
		}
	}
	return out
}

// Backoffs returns the remaining backoffs that endpoints asked of this node, in milliseconds by endpoint.
func (b *Registry) Backoffs(now time.Time) map[string]int64 {
	out := make(map[string]int64)
	for name, e := range b.entries {
		if left := e.backoffUntil.Sub(now); left > 0 {
			out[name] = left.Milliseconds()
		}
	}
	return out
}

// expire removes the entries of endpoints without recent signals.
func (b *Registry) expire(now time.Time) {
	if now.Sub(b.expiredAt) < entryTTL {
		return
	}
	b.expiredAt = now
	for name, e := range b.entries {
		if silent := now.Sub(e.seenAt); silent >= drainingTTL || silent >= entryTTL && !e.draining {
			delete(b.entries, name)
		}
	}
}
