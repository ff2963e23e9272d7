package signal

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"
)

// Report is a report about an endpoint from one node to others.
type Report struct {
	Incarnation
	// Limit is in requests per second; 0 if the endpoint no longer names one.
	Limit float64
	// At is when an answer last stated that limit, or stated none.
	At time.Time
	// Brittle is whether the endpoint is brittle, and BrittleAt when an answer last stated that, or that it is not.
	Brittle   bool
	BrittleAt time.Time
	// Draining is true if the incarnation has reported that it is draining.
	Draining bool
	// BackoffUntil is the end of the backoff that the endpoint asked of the reporting node; a time in the past if there
	// is none.
	BackoffUntil time.Time
	// By is the node that sent the report. Reports of one node are ordered among themselves, whatever its clock.
	By string
}

// ErrBadReport is returned for a report that no endpoint can have caused.
var ErrBadReport = errors.New("a report on an endpoint needs its name and a finite limit of 0 or more; leave the report out")

// Check returns ErrBadReport if the endpoint's name is missing or the limit is not a finite number of 0 or more.
func (w *Report) Check() error {
	if w.Endpoint == "" || !(w.Limit >= 0) || math.IsInf(w.Limit, 0) {
		return ErrBadReport
	}
	return nil
}

// maxRelayDelay is by how much the time of another node's report may be too late. Such a report ends a limit only if
// its time is later, by more than this, than the last time this node knows the limit to have been in force.
const maxRelayDelay = 500 * time.Millisecond

// Version increases with each change that other nodes need to know.
func (b *Registry) Version() uint64 { return b.version }

// Since returns reports on the endpoints that changed after a version, sorted by name.
func (b *Registry) Since(version uint64) []Report {
	var out []Report
	for name, e := range b.entries {
		if e.version > version {
			out = append(out, Report{Incarnation: Incarnation{Endpoint: name, Start: e.start}, Limit: e.limit, At: e.limitAt, Brittle: e.brittle, BrittleAt: e.brittleAt, Draining: e.draining, BackoffUntil: later(e.backoffUntil, e.othersBackoffUntil)})
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Merge applies another node's report, and returns the change.
func (b *Registry) Merge(w Report, now time.Time) Change {
	b.expire(now)
	e := b.entryFor(w.Incarnation)
	if e == nil {
		return Change{}
	}
	e.seenAt = now
	c := e.unchanged(w.Incarnation)
	c.Draining = w.Draining && !e.draining
	if w.Limit != e.limit && w.At.After(e.limitAt.Add(w.delay(w.Limit == 0, e.limitFrom))) {
		c.Limit, e.limitAt, e.limitFrom = w.Limit, w.At, w.By
	}
	if w.Brittle != e.brittle && w.BrittleAt.After(e.brittleAt.Add(w.delay(!w.Brittle, e.brittleFrom))) {
		c.Brittle, e.brittleAt, e.brittleFrom = w.Brittle, w.BrittleAt, w.By
	}
	if now.After(e.othersBackoffUntil) && w.BackoffUntil.After(now) {
		// A backoff binds only the node that was asked for it; here it only lowers the endpoint's reported capacity.
		b.version++
		e.version = b.version
	}
	e.othersBackoffUntil = later(e.othersBackoffUntil, w.BackoffUntil)
	b.commit(e, &c)
	return c
}

// delay returns by how much a report must be later than what this node knows from a node to replace it. ends is true if
// it ends a signal.
func (w *Report) delay(ends bool, from string) time.Duration {
	if ends && (w.By == "" || w.By != from) {
		return maxRelayDelay
	}
	return 0
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
