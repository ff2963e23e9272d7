package origin

import (
	"maps"
	"slices"
	"strings"
	"time"

	"olivetiller/core/directory"
)

// RetireAfter is how long a build must have had no endpoint until the ledger no longer names it. Nodes that are cut off
// from the platform may go on using endpoints that are no longer on the list.
const RetireAfter = 24 * time.Hour

// Ledger names the builds at which streams may have begun that can still be taken up. The lease holder writes it with
// each of its records. It is immutable.
type Ledger struct {
	Services map[string]Builds `json:"services,omitempty"`
	// Config is the version of the configuration up to which moved routes are taken into account.
	Config int64 `json:"config,omitempty"`
	// UnsettledMs is for how much longer, in milliseconds, streams may be in progress that began at builds or services
	// that the ledger does not name, since an earlier ledger was lost, or was open.
	UnsettledMs int64 `json:"unsettledMs,omitempty"`
	// OpenMs is for how much longer, in milliseconds, streams may begin at any build, since there were more than
	// maxBuilds. The ledger names none then.
	OpenMs int64 `json:"openMs,omitempty"`
}

// maxBuilds bounds the builds in a ledger, which is a part of each lease record. A platform that numbers its engines
// instead of their versions has as many builds as engines.
const maxBuilds = 256

// Builds are the builds of one service in a ledger.
type Builds struct {
	// Admitted are ordered by name.
	Admitted []Admitted `json:"admitted,omitempty"`
	// MovedMs is for how much longer, in milliseconds, streams may be in progress on routes that led to another service
	// when they began.
	MovedMs int64 `json:"movedMs,omitempty"`
}

// Admitted is a build at which streams may begin.
type Admitted struct {
	Build directory.Build `json:"build"`
	// GoneMs is for how long the build has had no endpoint, in milliseconds.
	GoneMs int64 `json:"goneMs,omitempty"`
}

// Admits reports whether streams may begin at a build of a service.
func (l *Ledger) Admits(service string, build directory.Build) bool {
	return l.OpenMs > 0 || slices.ContainsFunc(l.Services[service].Admitted, func(a Admitted) bool { return a.Build == build })
}

// Sole returns the only build of a service at which the streams in progress on its routes can have begun; ok is false if
// there may be several.
func (l *Ledger) Sole(service string) (build directory.Build, ok bool) {
	b := l.Services[service]
	if l.UnsettledMs > 0 || b.MovedMs > 0 || len(b.Admitted) != 1 {
		return directory.Build{}, false
	}
	return b.Admitted[0].Build, true
}

// Present are the builds of the endpoints on the list, by service.
type Present map[string][]directory.Build

// Observed is what a lease holder knows when it writes the next ledger.
type Observed struct {
	Present Present
	// Config is the version of the configuration in force, and Moved are the services to or from which routes moved since
	// the version of the previous ledger.
	Config int64
	Moved  []string
	// Elapsed is the time since the previous ledger as far as this holder knows it.
	Elapsed time.Duration
}

// First returns the ledger before any stream has begun.
func First() *Ledger { return &Ledger{} }

// Unknown returns the ledger of a fleet whose earlier one is lost.
func Unknown() *Ledger { return &Ledger{UnsettledMs: MaxAge.Milliseconds()} }

// Next returns the ledger that follows l.
func (l *Ledger) Next(o Observed) *Ledger {
	elapsed := o.Elapsed.Milliseconds()
	next := &Ledger{
		Services: make(map[string]Builds), Config: max(l.Config, o.Config),
		UnsettledMs: max(0, l.UnsettledMs-elapsed), OpenMs: max(0, l.OpenMs-elapsed),
	}
	if o.Present.builds() <= maxBuilds && next.OpenMs == 0 {
		l.nextBuilds(next, o, elapsed)
	}
	if max(o.Present.builds(), next.builds()) > maxBuilds {
		next.OpenMs, next.UnsettledMs = RetireAfter.Milliseconds(), (RetireAfter + MaxAge).Milliseconds()
	}
	if next.OpenMs > 0 {
		next.Services = nil
	}
	return next
}

// nextBuilds sets the builds of the ledger that follows l.
func (l *Ledger) nextBuilds(next *Ledger, o Observed, elapsed int64) {
	for service, b := range l.Services {
		if b = b.next(o.Present[service], elapsed); len(b.Admitted) > 0 || b.MovedMs > 0 {
			next.Services[service] = b
		}
	}
	for service, builds := range o.Present {
		b := next.Services[service]
		for _, name := range builds {
			b.admit(name)
		}
		next.Services[service] = b
	}
	for _, service := range o.Moved {
		b := next.Services[service]
		b.MovedMs = MaxAge.Milliseconds()
		next.Services[service] = b
	}
}

// builds returns the number of builds of all services.
func (p Present) builds() int {
	n := 0
	for _, b := range p {
		n += len(b)
	}
	return n
}

// builds returns the number of builds of all services.
func (l *Ledger) builds() int {
	n := 0
	for _, b := range l.Services {
		n += len(b.Admitted)
	}
	return n
}

// next returns the builds of a service after a time, given those on the list.
func (b Builds) next(present []directory.Build, elapsed int64) Builds {
	out := Builds{MovedMs: max(0, b.MovedMs-elapsed)}
	for _, a := range b.Admitted {
		if slices.Contains(present, a.Build) {
			a.GoneMs = 0
		} else if a.GoneMs += elapsed; a.GoneMs >= RetireAfter.Milliseconds() {
			continue
		}
		out.Admitted = append(out.Admitted, a)
	}
	return out
}

// admit adds a build.
func (b *Builds) admit(build directory.Build) {
	at, found := slices.BinarySearchFunc(b.Admitted, build, func(a Admitted, build directory.Build) int {
		return strings.Compare(a.Build.String(), build.String())
	})
	if !found {
		b.Admitted = slices.Insert(slices.Clone(b.Admitted), at, Admitted{Build: build})
	}
}

// Equal reports whether two ledgers name the same builds and differ at most in durations that run.
func (l *Ledger) Equal(o *Ledger) bool {
	if l == nil || o == nil {
		return l == o
	}
	return l.Config == o.Config && (l.OpenMs > 0) == (o.OpenMs > 0) && (l.UnsettledMs > 0) == (o.UnsettledMs > 0) && maps.EqualFunc(l.Services, o.Services, func(a, b Builds) bool {
		return (a.MovedMs > 0) == (b.MovedMs > 0) && slices.EqualFunc(a.Admitted, b.Admitted, func(x, y Admitted) bool { return x.Build == y.Build })
	})
}
