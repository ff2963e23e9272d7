package placement

import (
	"time"

	"olivetiller/core/route"
)

// reservedLoad is how long an engine will load the model that it has room reserved
// for.
func (g *planning) reservedLoad(e *engine) time.Duration {
	m := g.table.Model(e.reserved.Service, e.reserved.Model)
	if m == nil {
		return 0
	}
	d, _ := loadTime(e, m)
	return d
}

// loadTime is how long an engine takes to load a model, and whether it comes from
// the weight store.
func loadTime(e *engine, m *route.Model) (d time.Duration, fromStore bool) {
	switch {
	case e.warm.has(m.Name) && m.Warm > 0:
		return m.Warm, false
	case e.onDisk.has(m.Name) && m.Disk > 0:
		return m.Disk, false
	}
	return m.Load, true
}

// reservations loads the models that another one made way for.
func (g *planning) reservations() {
	for _, e := range g.order {
		u := e.reserved
		if u.Model == "" || !e.idle(g.now) {
			continue
		}
		e.reserved = Unit{}
		g.loaders[u]--
		g.soon[u] = max(0, g.soon[u]-1)
		model := g.table.Model(u.Service, u.Model)
		if model == nil || e.models[u.Model] != nil {
			continue
		}
		if s := g.site(e, u, model, true); s != nil {
			g.load(s, u, "room was made")
		}
	}
}

// site is one way to load a model.
type site struct {
	engine *engine
	// start is when the engine can begin; ready when the model is there.
	start, ready time.Time
	fromStore    bool
	load         time.Duration
	// victims are the models that make way; none where there is room.
	victims []string
	loss    float64
	// held is how long the engine is held up by runs of these.
	held time.Duration
}

// cost is when the model is there, put off by what its coming loses elsewhere: by the
// requests for what makes way, and by the time in which the engine loads nothing else.
func (s *site) cost() time.Time {
	return s.ready.Add(s.load + s.held + time.Duration(s.loss*float64(lossTime)))
}

// better reports whether a site is better than another, which may be nil.
func (s *site) better(o *site) bool {
	return o == nil || s.cost().Before(o.cost())
}

// place loads a model where it is ready first.
func (g *planning) place(m *modelUse, why string) { g.settle(m, g.best(m), why) }

// best returns where a model is ready first; nil if it can be loaded nowhere, or only
// at the cost of more requests than wait for it.
func (g *planning) best(m *modelUse) *site {
	model := g.table.Model(m.unit.Service, m.unit.Model)
	limit := g.lossOf(m, 1) + float64(m.waiting)/lossTime.Seconds()
	var best *site
	for _, e := range g.order {
		s := g.site(e, m.unit, model, true)
		if s == nil || s.loss > limit {
			continue
		}
		if s.better(best) {
			best = s
		}
	}
	return best
}

// settle loads a model at a site, or claims the engine's time for it.
func (g *planning) settle(m *modelUse, s *site, why string) {
	if s == nil {
		g.postpone(m)
		return
	}
	g.expect(m.unit, s.ready)
	if s.start.After(g.now) {
		g.wake(s.start)
		g.claimed[s.engine] = s.ready
		return
	}
	g.load(s, m.unit, why)
}

// postpone notes when a model is expected that can be loaded nowhere now. Where an
// engine keeps a copy, room comes free when what it holds has served those who wait;
// when is not known. Otherwise the model waits for a load from the store, behind others.
func (g *planning) postpone(m *modelUse) {
	if g.keepers[m.unit] > 0 {
		return
	}
	model := g.table.Model(m.unit.Service, m.unit.Model)
	g.queued++
	rounds := 1 + g.queued/storeLoadsAtOnce
	g.expect(m.unit, g.now.Add(time.Duration(rounds)*model.Load))
}

// load orders a model at a site, or makes way for it first.
func (g *planning) load(s *site, unit Unit, why string) {
	if len(s.victims) > 0 {
		s.engine.reserved = unit
		g.awaits(unit, s.ready)
		g.send(s.engine, &Order{
			Unit: Unit{Service: unit.Service, Model: s.victims[0]}, Unload: true, Expected: unloadTime, Why: "makes way for " + unit.Model,
		})
		return
	}
	g.send(s.engine, &Order{Unit: unit, FromStore: s.fromStore, Expected: s.load, Why: why})
}

// site returns how an engine could load a model; nil if it could not.
func (g *planning) site(e *engine, unit Unit, model *route.Model, urgent bool) *site {
	if e.service != unit.Service || e.draining || e.shape == nil || !e.known {
		return nil
	}
	if e.models[unit.Model] != nil || e.loads(unit.Model) || e.reserved == unit {
		return nil
	}
	r := g.room(e, urgent)
	if r.unknown {
		return nil
	}
	s := &site{engine: e, start: g.now}
	s.load, s.fromStore = loadTime(e, model)
	if s.fromStore {
		if g.keepers[unit] > g.holders[unit]+g.loaders[unit] {
			// An engine that keeps a copy has it sooner, even if it is busy for some
			// loads: one from the store takes as long as ten.
			return nil
		}
		if !g.mayLoadFromStore(urgent, g.now) {
			return nil
		}
		s.load = s.load * time.Duration(max(storeLoadsAtOnce, g.storeBusy+1)) / storeLoadsAtOnce
	}
	if s.fromStore {
		// The engine serves none of its copies meanwhile.
		s.loss += g.awaited(e) / lossTime.Seconds()
	}
	s.start = g.freeAt(e)
	free := r.free
	if m := g.table.Model(e.reserved.Service, e.reserved.Model); m != nil {
		s.start = s.start.Add(g.reservedLoad(e) + probeEvery)
		free -= m.WeightsMB
	}
	s.ready = s.start.Add(s.load)
	if free >= model.WeightsMB {
		return s
	}
	w := r.way(model.WeightsMB - free)
	if w == nil {
		return nil
	}
	s.victims = w.victims
	s.loss += w.loss
	s.ready = s.ready.Add(time.Duration(len(w.victims)) * swapTime)
	if w.runs {
		s.held = g.unloads.Mean(runTime)
		s.ready = s.ready.Add(s.held)
	}
	return s
}

// awaited is how many requests wait for models that nobody holds and an engine keeps
// copies of.
func (g *planning) awaited(e *engine) float64 {
	n := 0
	for _, name := range e.keeps() {
		unit := Unit{Service: e.service, Model: name}
		if m := g.models[unit]; m != nil && g.holders[unit] == 0 {
			n += m.waiting
		}
	}
	return float64(n)
}

// freeAt returns when an engine takes the next order for a model.
func (g *planning) freeAt(e *engine) time.Time {
	at := g.now
	if e.restUntil.After(at) {
		at = e.restUntil
	}
	if c := g.claimed[e]; c.After(at) {
		at = c
	}
	if e.sent != nil {
		at = at.Add(probeEvery)
		if !e.sent.Unload && e.sent.Unit.Adapter == "" {
			at = g.now.Add(e.sent.Expected + probeEvery)
		}
	}
	if e.work == nil {
		return at
	}
	end := e.work.expected
	if !e.work.timed {
		end = end.Add(probeEvery)
	}
	if end.After(at) {
		at = end
	}
	if !at.After(g.now) {
		at = g.now.Add(probeEvery)
	}
	return at
}

// loss is how many requests a second are late when an engine drops a model; below 0 if
// it must stay.
func (g *planning) loss(e *engine, unit Unit, h *held) float64 {
	m := g.models[unit]
	if m == nil {
		return 0
	}
	holders := g.holders[unit]
	if holders <= 1 && m.waiting > 0 || g.now.Sub(h.since) < stayFor && m.waiting+m.running > 0 {
		return -1
	}
	return g.lossOf(m, holders)
}

// runs returns the running requests for a model, with all its adapters, at one engine.
func (g *planning) runs(base Unit, engine string) int {
	if m := g.models[base]; m != nil {
		return m.at[engine]
	}
	return 0
}

// runningAt is runs outside of a plan.
func (p *Planner) runningAt(base Unit, engine string, now time.Time) int {
	n := 0
	for unit := range p.models[base] {
		n += p.uses[unit].runningAt(engine, now)
	}
	return n
}

// running is how many requests an engine runs, by the nodes' reports.
func (g *planning) running(e *engine) int {
	n := 0
	for name := range e.models {
		n += g.runs(Unit{Service: e.service, Model: name}, e.id)
	}
	return n
}
