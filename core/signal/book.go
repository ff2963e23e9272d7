package signal

import (
	"cmp"
	"slices"
	"time"
)

// Life identifies one incarnation of an endpoint.
type Life struct {
	Endpoint string
	// Start is the start time in Unix milliseconds; 0 if it is not known.
	Start int64
}

// Change describes how an answer, or a report of another node, changed what is known of an endpoint.
type Change struct {
	Life
	// Limit is the new limit in requests per second, and Before the previous one; 0 for none.
	Limit, Before float64
	// Leaves is true if the endpoint was not known to be draining before and now is.
	Leaves bool
	// Rest is the duration of a backoff that begins now; 0 if none begins or one is in force already.
	Rest time.Duration
	// Damaged holds malformed signals that should be reported.
	Damaged []Damage
}

// News reports whether anything changed.
func (c *Change) News() bool { return c.Limit != c.Before || c.Leaves || c.Rest > 0 }

// Fields returns keys and values that describe the change in a log line.
func (c *Change) Fields() []any {
	return []any{"endpoint", c.Endpoint, "born", c.Start, "limit", c.Limit, "before", c.Before, "leaves", c.Leaves, "restMs", c.Rest.Milliseconds()}
}

// Retention times and intervals.
const (
	// entryTTL is how long an endpoint that sends no signals is kept.
	entryTTL = 10 * time.Minute
	// drainingTTL is the same for a draining endpoint: longer than any continues to run while it drains.
	drainingTTL = 24 * time.Hour
	// damageInterval is the least time between two reports of malformed signals of one endpoint.
	damageInterval = 10 * time.Second
)

// Book holds the latest signals of all endpoints, as known to one node. It is not safe for concurrent use.
type Book struct {
	entries map[string]*entry
	version uint64
	// expiredAt is when expired entries were last removed.
	expiredAt time.Time
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
	// draining is set once the incarnation has reported that it is draining.
	draining bool
	// backoffUntil is when the backoff ends that the endpoint asked of this node, and othersBackoffUntil the same for
	// any other node.
	backoffUntil, othersBackoffUntil time.Time
	// version is the book's version at the latest change.
	version uint64
	// seenAt is when a signal or a report of the endpoint last arrived.
	seenAt time.Time
	// damagedAt is when malformed signals were last reported.
	damagedAt time.Time
}

// NewBook returns a book without signals.
func NewBook() *Book { return &Book{entries: make(map[string]*entry)} }

// entryFor returns the entry of an incarnation. It starts a new one if the incarnation is later than the known one,
// and returns nil if it is earlier.
func (b *Book) entryFor(l Life) *entry {
	e := b.entries[l.Endpoint]
	switch {
	case e == nil, l.Start > e.start && e.start != 0:
		e = &entry{start: l.Start}
		b.entries[l.Endpoint] = e
	case e.start == 0:
		e.start = l.Start
	case l.Start != 0 && l.Start < e.start:
		return nil
	}
	return e
}

// Hear applies the signals of an answer that arrived now to a request that was sent at the time sent, and returns the
// change.
func (b *Book) Hear(l Life, s Said, sent, now time.Time) Change {
	b.expire(now)
	if b.entries[l.Endpoint] == nil && s.empty() {
		return Change{}
	}
	e := b.entryFor(l)
	if e == nil {
		return Change{}
	}
	e.seenAt = now
	c := Change{Life: l, Limit: e.limit, Before: e.limit, Leaves: s.Leaving && !e.draining}
	if len(s.Damaged) > 0 && now.Sub(e.damagedAt) >= damageInterval {
		e.damagedAt, c.Damaged = now, s.Damaged
	}
	if until := now.Add(s.Rest); s.Rest > 0 && until.After(e.backoffUntil) {
		if !now.Before(e.backoffUntil) {
			c.Rest = s.Rest
		}
		e.backoffUntil = until
	}
	switch {
	case s.Limit > 0:
		c.Limit, e.limitAt, e.limitFrom = s.Limit, now, ""
	case e.limit > 0 && s.Ran && len(s.Damaged) == 0 && sent.After(e.limitAt):
		c.Limit, e.limitAt, e.limitFrom = 0, now, ""
	}
	b.commit(e, &c)
	return c
}

// commit stores a change.
func (b *Book) commit(e *entry, c *Change) {
	if !c.News() {
		return
	}
	b.version++
	e.version, e.limit, e.draining = b.version, c.Limit, e.draining || c.Leaves
}

// lookup returns the entry of an incarnation, or nil if it has sent no signals.
func (b *Book) lookup(l Life) *entry {
	if e := b.entries[l.Endpoint]; e != nil && (e.start == l.Start || e.start == 0) {
		return e
	}
	return nil
}

// Rest returns the end of the backoff that an incarnation asked of this node; a time in the past if there is none.
func (b *Book) Rest(l Life) time.Time {
	if e := b.lookup(l); e != nil {
		return e.backoffUntil
	}
	return time.Time{}
}

// backoffCapacity stands for the capacity of an endpoint during a backoff, in requests per second. It is smaller than
// any demand.
const backoffCapacity = 0.001

// Capacities maps incarnations of endpoints to the capacity that they reported, in requests per second.
type Capacities map[Life]float64

// Of returns the capacity of an incarnation; 0 if it reported none.
func (c Capacities) Of(l Life) float64 {
	if v, ok := c[l]; ok {
		return v
	}
	// The capacity was recorded while the start time was unknown.
	return c[Life{Endpoint: l.Endpoint}]
}

// Capacities returns the capacities that endpoints reported to any node.
func (b *Book) Capacities(now time.Time) Capacities {
	out := make(Capacities)
	for name, e := range b.entries {
		l := Life{Endpoint: name, Start: e.start}
		switch {
		case now.Before(e.backoffUntil) || now.Before(e.othersBackoffUntil):
			out[l] = backoffCapacity
		case e.limit > 0:
			out[l] = e.limit
		}
	}
	return out
}

// Leaves reports whether an incarnation has reported that it is draining.
func (b *Book) Leaves(l Life) bool {
	e := b.lookup(l)
	return e != nil && e.draining
}

// Former reports whether a later incarnation of the endpoint is known, which would receive a request meant for this
// one.
func (b *Book) Former(l Life) bool {
	e := b.entries[l.Endpoint]
	return e != nil && l.Start != 0 && e.start > l.Start
}

// Leaving returns the incarnations that have reported that they are draining.
func (b *Book) Leaving() []Life {
	var out []Life
	for name, e := range b.entries {
		if e.draining {
			out = append(out, Life{Endpoint: name, Start: e.start})
		}
	}
	slices.SortFunc(out, func(a, b Life) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Limit returns the limit that an incarnation reported, in requests per second; 0 for none.
func (b *Book) Limit(l Life) float64 {
	if e := b.lookup(l); e != nil {
		return e.limit
	}
	return 0
}

// Limits returns the limits in force by endpoint, in requests per second.
func (b *Book) Limits() map[string]float64 {
	out := make(map[string]float64)
	for name, e := range b.entries {
		if e.limit > 0 {
			out[name] = e.limit
		}
	}
	return out
}

// Resting returns the remaining backoffs that endpoints asked of this node, in milliseconds by endpoint.
func (b *Book) Resting(now time.Time) map[string]int64 {
	out := make(map[string]int64)
	for name, e := range b.entries {
		if left := e.backoffUntil.Sub(now); left > 0 {
			out[name] = left.Milliseconds()
		}
	}
	return out
}

// expire removes the entries of endpoints without recent signals.
func (b *Book) expire(now time.Time) {
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
