package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"olivetiller/core/directory"
)

// BoundUnit is a unit together with the build of the engines that may serve some of its requests: streams that go on
// after they broke off need an engine of the build at which they began.
type BoundUnit struct {
	Unit
	Build directory.Build
}

// boundUsage returns the usage of a unit by requests that are bound to a build, and creates it on first use.
func (p *Planner) boundUsage(b BoundUnit, now time.Time) *usage {
	u := p.bound[b]
	if u == nil {
		u = &usage{model: p.model(b.Base()), bound: true, nodes: make(map[string]Usage), runningAt: make(map[string]int), rateAt: now}
		p.bound[b] = u
	}
	return u
}

// expireBound drops the usages that no node reports any more.
func (p *Planner) expireBound(now time.Time) {
	for b, u := range p.bound {
		if len(u.nodes) == 0 && now.Sub(u.deferredAt) >= retryWindow {
			delete(p.bound, b)
		}
	}
}

// BoundReadyAt returns when units that wait for a load at a build are expected to be served there, as of the last plan.
func (p *Planner) BoundReadyAt() map[BoundUnit]time.Time { return p.boundReadyAt }

// boundDemand is a unit for which requests wait that are bound to a build, or were refused with a hint.
type boundDemand struct {
	BoundUnit
	*usage
	deadlines
	urgency urgency
}

// boundDemands returns the demands, the most urgent first.
func (g *planning) boundDemands() []boundDemand {
	var out []boundDemand
	for b, u := range g.bound {
		u.observeWait(g.now)
		if u.waiting > 0 || g.recentlyDeferred(u.deferredAt) {
			out = append(out, boundDemand{b, u, u.deadlines(g.now), u.urgency(g.now)})
		}
	}
	slices.SortFunc(out, func(a, b boundDemand) int {
		return cmp.Or(a.urgency.compare(b.urgency), a.Unit.compare(b.Unit), strings.Compare(a.Build.String(), b.Build.String()))
	})
	return out
}

// placeBound loads units at engines of the builds that requests are bound to. late selects those that would be served
// after the waiting requests have given up, whose callers may come back.
func (g *planning) placeBound(late bool) {
	byTurns(g, &g.boundTurns, g.boundDemands(), func(d boundDemand) urgency { return d.urgency }, func(d boundDemand) {
		g.placeBoundDemand(d, late)
	})
}

// placeBoundDemand loads a unit at an engine of its build, see placeBound.
func (g *planning) placeBoundDemand(d boundDemand, late bool) {
	m := d.model
	if m.spec == nil || g.inBackoff(m) {
		return
	}
	if slices.ContainsFunc(m.replicas, d.servedBy) {
		if d.Adapter != "" && !late {
			g.loadAdapter(d.Unit, d.servedBy)
		}
		return
	}
	if at, ok := g.pendingAt(d); ok {
		g.setBoundReadyAt(d.BoundUnit, at)
		return
	}
	c, ok := g.bestBoundCandidate(d)
	if !ok {
		// No engine of the build can make way for the model now. Its callers are told when a load could be over.
		g.setBoundReadyAt(d.BoundUnit, g.now.Add(m.spec.Load))
		return
	}
	if (d.waiting == 0 || c.ready.After(d.lastDue)) != late {
		return
	}
	g.setBoundReadyAt(d.BoundUnit, c.ready)
	g.commit(m, c, true, "streams go on at a build")
}

// servedBy reports whether an engine is of the build.
func (b BoundUnit) servedBy(e *engine) bool { return e.build == b.Build }

// pendingAt returns when an engine of the demand's build is expected to serve the model, if one is loading it or about to.
func (g *planning) pendingAt(d boundDemand) (at time.Time, ok bool) {
	for _, e := range g.engineList {
		switch {
		case e.draining || e.config == nil || e.service != d.Service || !d.servedBy(e):
		case e.work != nil && !e.work.unload && e.work.unit == d.Base():
			return e.work.expected, true
		case e.reserved == d.Base():
			return g.availableAt(e).Add(g.reservedLoadTime(e)), true
		case e.isLoading(d.Model):
			return g.now.Add(e.pending.Expected), true
		}
	}
	return time.Time{}, false
}

// bestBoundCandidate returns the candidate of the least cost at an engine of the demand's build. Copies at engines of other
// builds do not keep the model from being loaded from the weight store.
func (g *planning) bestBoundCandidate(d boundDemand) (best candidate, ok bool) {
	m := d.model
	limit := g.lossOf(m, 1) + float64(d.waiting)/delayPerLoss.Seconds()
	for _, e := range g.engineList {
		if !d.servedBy(e) {
			continue
		}
		c, loads := g.candidateWith(e, m, candidateOptions{urgent: true, ignoreCopies: true})
		if loads && c.loss <= limit && (!ok || c.better(&best)) {
			best, ok = c, true
		}
	}
	return best, ok
}

// setBoundReadyAt sets when a unit is expected to be served at a build.
func (g *planning) setBoundReadyAt(b BoundUnit, at time.Time) {
	if old, ok := g.boundReadyAt[b]; !ok || at.Before(old) {
		g.boundReadyAt[b] = at
	}
}

// neededAtBuild reports whether an engine is the last of its build that serves a model for which requests bound to that
// build wait.
func (g *planning) neededAtBuild(m *modelState, e *engine) bool {
	for b, u := range g.bound {
		if u.model == m && u.waiting > 0 && b.servedBy(e) {
			return !slices.ContainsFunc(m.replicas, func(o *engine) bool { return o != e && b.servedBy(o) })
		}
	}
	return false
}
