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
		model := g.table.Model(u.Service, u.Model)
		if model == nil || e.models[u.Model] != nil {
			continue
		}
		if s := g.site(e, u, model, true); s != nil && s.victim == "" {
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
	// victim is the model that makes way; "" for none.
	victim string
	loss   float64
}

// cost is when the model is there, put off by what its coming loses elsewhere.
func (s *site) cost() time.Time {
	return s.ready.Add(time.Duration(s.loss * float64(lossTime)))
}

// better reports whether a site is better than another, which may be nil.
func (s *site) better(o *site) bool {
	return o == nil || s.cost().Before(o.cost())
}

// place loads a model where it is ready first.
func (g *planning) place(m *modelUse, why string) { g.settle(m, g.best(m), why) }

// best returns where a model is ready first; nil if it can be loaded nowhere.
func (g *planning) best(m *modelUse) *site {
	model := g.table.Model(m.unit.Service, m.unit.Model)
	var best *site
	for _, e := range g.order {
		s := g.site(e, m.unit, model, true)
		if s == nil {
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
		model := g.table.Model(m.unit.Service, m.unit.Model)
		// It has to wait for a load from the store like the others before it.
		g.queued++
		rounds := 1 + g.queued/storeLoadsAtOnce
		g.expect(m.unit, g.now.Add(time.Duration(1+rounds)*model.Load))
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

// load orders a model at a site, or makes way for it first.
func (g *planning) load(s *site, unit Unit, why string) {
	if s.victim != "" {
		s.engine.reserved = unit
		g.loaders[unit]++
		g.send(s.engine, &Order{
			Unit: Unit{Service: unit.Service, Model: s.victim}, Unload: true, Expected: unloadTime, Why: "makes way for " + unit.Model,
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
		if !g.mayLoadFromStore(urgent, g.now) {
			return nil
		}
		s.load = s.load * time.Duration(max(storeLoadsAtOnce, g.storeBusy+1)) / storeLoadsAtOnce
	}
	s.start = g.freeAt(e)
	free := r.free
	if m := g.table.Model(e.reserved.Service, e.reserved.Model); m != nil {
		s.start = s.start.Add(g.reservedLoad(e) + probeEvery)
		free -= m.WeightsMB
	}
	if free < model.WeightsMB {
		s.victim, s.loss = r.victim, r.loss
		if s.victim == "" {
			return nil
		}
	}
	s.ready = s.start.Add(s.load)
	switch {
	case s.victim == "":
	case g.runs(Unit{Service: e.service, Model: s.victim}, e.id) > 0:
		s.ready = s.ready.Add(swapTime + g.unloads.Mean(runTime))
	default:
		s.ready = s.ready.Add(swapTime)
	}
	return s
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

// roomKey names an engine, and whether a model of which requests run may make way.
type roomKey struct {
	engine *engine
	urgent bool
}

// room is what an engine has left, in MB, and what can make way there.
type room struct {
	// unknown is true where the engine holds a model whose size is not known.
	unknown bool
	free    float64
	victim  string
	loss    float64
}

// room returns what an engine could make way, which is the same for all models of
// one plan until an order is sent.
func (g *planning) room(e *engine, urgent bool) room {
	k := roomKey{e, urgent}
	r, ok := g.rooms[k]
	if !ok {
		r.unknown, r.free = e.unknownWeights(g.table), e.freeMB(g.table)
		r.victim, r.loss = g.victim(e, urgent)
		g.rooms[k] = r
	}
	return r
}

// victim returns the model that an engine can best do without, and the loss in
// requests a second; "" if there is none.
func (g *planning) victim(e *engine, urgent bool) (name string, loss float64) {
	for candidate, h := range e.models {
		unit := Unit{Service: e.service, Model: candidate}
		if e.leaves(candidate) {
			return "", 0
		}
		l := g.loss(e, unit, h)
		if l < 0 || (!urgent && g.runs(unit, e.id) > 0) {
			continue
		}
		if name == "" || l < loss || l == loss && candidate < name {
			name, loss = candidate, l
		}
	}
	return name, loss
}

// loss is what the requests lose when an engine drops a model, in requests a
// second that meet a load; below 0 if it must stay.
func (g *planning) loss(e *engine, unit Unit, h *held) float64 {
	m := g.models[unit]
	if m == nil {
		return 0
	}
	holders := g.holders[unit]
	last := holders <= 1
	switch {
	case last && m.waiting > 0, g.now.Sub(h.since) < stayFor && m.waiting+m.running > 0:
		return -1
	case last && m.rate >= busyRate:
		return -1
	}
	loss := m.rate / float64(max(1, holders))
	switch {
	case holders > g.want(m):
		loss /= gainFactor * gainFactor
	case m.rate >= busyRate:
		// All its requests are slower at the replicas that are left.
		loss += m.rate
	}
	if n := g.runs(unit, e.id); n > 0 {
		// The unload waits for these to end, and the engine with it.
		loss += float64(n)
	}
	return loss
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
