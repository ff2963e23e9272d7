package placement

import (
	"sort"
)

// wanted returns the models that requests wait for, or were sent away for lately,
// and no engine serves or loads: those with requests waiting first, the most urgent
// first.
func (g *planning) wanted() []*modelUse {
	var out []*modelUse
	for unit, m := range g.models {
		asked := m.waiting > 0 || !m.sentAwayAt.IsZero() && g.now.Sub(m.sentAwayAt) < returnTime
		if asked && g.holders[unit] == 0 && g.loaders[unit] == 0 && g.table.Model(unit.Service, unit.Model) != nil {
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
		return a.unit.Pool() < b.unit.Pool()
	})
	return out
}

// serve places models that requests wait for. Those for which a request can still be
// in time go first, and so do busy ones, of which later requests have the use: when
// the engines cannot keep up, to serve the late ones first would make all late.
func (g *planning) serve(models []*modelUse) {
	var late []*modelUse
	for _, m := range models {
		s := g.best(m)
		if m.waiting > 0 && m.rate < busyRate && (s == nil || s.ready.After(m.last)) {
			late = append(late, m)
			continue
		}
		g.settle(m, s, "requests wait")
	}
	for _, m := range late {
		g.place(m, "late requests wait")
	}
}

// short returns the busy models whose few replicas are full, or that have but one,
// the busiest first. They go before models that a single request waits for: they
// serve many, and are late for all of them.
func (g *planning) short() []*modelUse {
	var out []*modelUse
	for unit, m := range g.models {
		n := g.holders[unit] + g.loaders[unit]
		if n == 0 || n >= g.want(m) || g.table.Model(unit.Service, unit.Model) == nil {
			continue
		}
		if n < 2 || g.full(unit, m) {
			out = append(out, m)
		}
	}
	sortByRate(out)
	return out
}

// An engine counts as full from a part of its slots on, and from a number of requests
// whose prompts it hardly reads without pauses in their streams.
const (
	fullShare = 0.6
	fullLoad  = 1.5 * replicaLoad
)

// full reports whether all engines that serve a model are full, by the requests
// for all models that they run.
func (g *planning) full(unit Unit, m *modelUse) bool {
	if g.loaders[unit] > 0 {
		return false
	}
	for _, e := range g.order {
		if e.service != unit.Service || e.draining || !e.serves(unit.Model) {
			continue
		}
		if float64(g.running(e)) < min(fullLoad, fullShare*float64(e.shape.Slots)) {
			return false
		}
	}
	return true
}

// running is how many requests an engine runs, by the nodes' reports.
func (g *planning) running(e *engine) int {
	n := 0
	for name := range e.models {
		n += g.runs(Unit{Service: e.service, Model: name}, e.id)
	}
	return n
}

func sortByRate(models []*modelUse) {
	sort.Slice(models, func(i, j int) bool {
		if models[i].rate != models[j].rate {
			return models[i].rate > models[j].rate
		}
		return models[i].unit.Pool() < models[j].unit.Pool()
	})
}

// want returns how many replicas a model should have.
func (g *planning) want(m *modelUse) int {
	if m.rate < busyRate {
		return 1
	}
	n := 2 + (m.waiting+m.running)/replicaLoad
	return min(n, max(2, int(replicaShare*float64(g.enginesOf(m.unit.Service)))))
}

func (g *planning) enginesOf(service string) int {
	n := 0
	for _, e := range g.order {
		if e.service == service && !e.draining {
			n++
		}
	}
	return n
}

// replicas adds a replica to the busy models that have too few, the busiest
// first.
func (g *planning) replicas() {
	var busy []*modelUse
	for unit, m := range g.models {
		if n := g.holders[unit] + g.loaders[unit]; n > 0 && n < g.want(m) && g.table.Model(unit.Service, unit.Model) != nil {
			busy = append(busy, m)
		}
	}
	sortByRate(busy)
	for _, m := range busy {
		n := g.holders[m.unit] + g.loaders[m.unit]
		gain := m.rate / float64(n+1)
		// The store's loads block an engine for long: they are for models that are
		// short of replicas.
		g.spread(m.unit, gain/gainFactor, false, "more replicas for a busy model")
	}
}

// spread loads one more replica of a model at the idle engine where it is ready
// first, if what makes way is worth less than the limit.
func (g *planning) spread(unit Unit, limit float64, fromStore bool, why string) bool {
	model := g.table.Model(unit.Service, unit.Model)
	var best *site
	for _, e := range g.order {
		if !e.idle(g.now) || e.reserved.Model != "" {
			continue
		}
		s := g.site(e, unit, model, false)
		if s == nil || s.loss > limit || s.fromStore && !fromStore {
			continue
		}
		if s.better(best) {
			best = s
		}
	}
	if best == nil {
		return false
	}
	g.load(best, unit, why)
	return true
}
