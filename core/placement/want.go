package placement

import (
	"sort"
	"time"
)

// wanted returns the models that requests wait for, or were sent away for lately,
// and no engine serves or loads: those with requests waiting first, the most urgent
// first.
func (g *planning) wanted() []*modelState {
	var out []*modelState
	for _, m := range g.list {
		asked := m.waiting > 0 || g.lately(m.sentAwayAt)
		if asked && m.serving() == 0 && m.loaders == 0 && m.spec != nil && !g.rests(m) {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if (a.waiting > 0) != (b.waiting > 0) {
			return a.waiting > 0
		}
		if !a.urgent.Equal(b.urgent) {
			return a.urgent.Before(b.urgent)
		}
		return a.unit.compare(b.unit) < 0
	})
	return out
}

// lately reports whether callers that were sent away at a moment, zero for never, may still be back.
func (g *planning) lately(at time.Time) bool { return !at.IsZero() && g.now.Sub(at) < returnTime }

// serve places models that requests wait for. Those for which a request can still be
// in time go first, and so do busy ones, of which later requests have the use: when
// the engines cannot keep up, to serve the late ones first would make all late.
func (g *planning) serve(models []*modelState) {
	var late []*modelState
	for _, m := range models {
		s, ok := g.best(m)
		if m.waiting > 0 && !(m.rate >= busyRate && g.impatient(m)) && (!ok || s.ready.After(m.last)) {
			late = append(late, m)
			continue
		}
		g.settle(m, s, ok, "requests wait")
	}
	for _, m := range late {
		g.place(m, "late requests wait")
	}
}

// replica is a busy model that one more replica would serve better.
type replica struct {
	*modelState
	// gain is in late requests a second.
	gain float64
}

// short returns the models that gain by one more replica, those that gain most first.
func (g *planning) short() []replica {
	var out []replica
	for _, m := range g.list {
		n := m.serving() + m.soon
		if n == 0 || m.spec == nil || n >= g.engineCounts[m.unit.Service] || g.now.Before(m.restUntil) {
			continue
		}
		if gain := g.gain(m, n); gain > leastGain {
			out = append(out, replica{m, gain})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].gain != out[j].gain {
			return out[i].gain > out[j].gain
		}
		return out[i].unit.compare(out[j].unit) < 0
	})
	return out
}

// Gains of a further replica, in late requests a second.
const (
	// leastGain is the least for which one is loaded: over gainTime it is worth the
	// load.
	leastGain = swapLoss / gainTime
	// gainTime is how long a replica is of use, in seconds: demand moves on within
	// some.
	gainTime = 4
	// urgentGain is the gain from which a replica goes before the models that single
	// requests wait for.
	urgentGain = 1
)

// replicate adds a replica to each model that gains by it, if what makes way for it is
// worth less.
func (g *planning) replicate(urgent bool) {
	for _, r := range g.short() {
		if (r.gain >= urgentGain) == urgent {
			o := spreadOptions{limit: (r.gain - leastGain) / gainFactor, urgent: urgent, fromStore: r.loaders == 0}
			g.spread(r.modelState, o, "more replicas for a busy model")
		}
	}
}

// spreadOptions say how a further replica of a model may be loaded.
type spreadOptions struct {
	// limit is the most that may be lost by what makes way, in late requests a second.
	limit float64
	// urgent ones may also make way models of which requests run.
	urgent bool
	// fromStore ones may come from the weight store.
	fromStore bool
}

// spread loads one more replica of a model at the idle engine where it is ready first,
// and reports whether there is one.
func (g *planning) spread(m *modelState, o spreadOptions, why string) bool {
	var best site
	found := false
	for _, e := range g.sites(m, o.urgent, o.fromStore) {
		if !e.idle(g.now) || e.reserved.Model != "" {
			continue
		}
		s, ok := g.site(e, m, o.urgent)
		if !ok || s.loss > o.limit || s.fromStore && !o.fromStore {
			continue
		}
		if !found || s.better(&best) {
			best, found = s, true
		}
	}
	if !found {
		return false
	}
	g.load(&best, m.unit, why)
	return true
}
