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
		m := g.model(u)
		m.loaders--
		m.soon = max(0, m.soon-1)
		if m.spec == nil || e.models[u.Model] != nil {
			continue
		}
		if s, ok := g.site(e, m, true); ok {
			g.load(&s, u, "room was made")
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

// better reports whether a site is better than another.
func (s *site) better(o *site) bool { return s.cost().Before(o.cost()) }

// place loads a model where it is ready first.
func (g *planning) place(m *modelState, why string) {
	s, ok := g.best(m)
	g.settle(m, s, ok, why)
}

// sites returns the engines that may load a model: those that keep a copy, and all where
// it may come from the store.
func (g *planning) sites(m *modelState, urgent, fromStore bool) []*engine {
	if !fromStore || m.spare() || !g.mayLoadFromStore(m, urgent) {
		return m.copies
	}
	return g.order
}

// best returns where a model is ready first; ok is false if it can be loaded nowhere, or
// only at the cost of more requests than wait for it.
func (g *planning) best(m *modelState) (best site, ok bool) {
	limit := g.lossOf(m, 1) + float64(m.waiting)/lossTime.Seconds()
	for _, e := range g.sites(m, true, true) {
		s, loads := g.site(e, m, true)
		if !loads || s.loss > limit {
			continue
		}
		if !ok || s.better(&best) {
			best, ok = s, true
		}
	}
	return best, ok
}

// settle loads a model at a site, or claims the engine's time for it; without a site it
// waits.
func (g *planning) settle(m *modelState, s site, ok bool, why string) {
	if !ok {
		g.postpone(m)
		return
	}
	g.expect(m.unit, s.ready)
	if s.start.After(g.now) {
		g.wake(s.start)
		g.claimed[s.engine] = s.ready
		return
	}
	g.load(&s, m.unit, why)
}

// postpone notes when a model is expected that can be loaded nowhere now. Where an
// engine keeps a copy, room comes free when what it holds has served those who wait;
// when is not known. Otherwise the model waits for a load from the store, behind others.
func (g *planning) postpone(m *modelState) {
	if m.keepers > 0 {
		return
	}
	g.queued++
	rounds := 1 + g.queued/g.store.atOnce
	g.expect(m.unit, g.now.Add(time.Duration(rounds)*m.spec.Load))
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

// site returns how an engine could load a model; ok is false if it could not.
func (g *planning) site(e *engine, m *modelState, urgent bool) (s site, ok bool) {
	if e.service != m.unit.Service || e.draining || e.shape == nil || !e.known {
		return site{}, false
	}
	if g.passesOver(e) {
		return site{}, false
	}
	if e.models[m.unit.Model] != nil || e.loads(m.unit.Model) || e.reserved == m.unit {
		return site{}, false
	}
	s = site{engine: e}
	s.load, s.fromStore = loadTime(e, m.spec)
	if s.fromStore && !g.fromStore(&s, m, urgent) {
		return site{}, false
	}
	r := g.room(e, urgent)
	if r.unknown {
		return site{}, false
	}
	s.start = g.freeAt(e)
	free := r.free
	if reserved := g.table.Model(e.reserved.Service, e.reserved.Model); reserved != nil {
		s.start = s.start.Add(g.reservedLoad(e) + probeEvery)
		free -= reserved.WeightsMB
	}
	s.ready = s.start.Add(s.load)
	if free >= m.spec.WeightsMB {
		return s, g.leavesRoom(e, change{orders: 1, mb: m.spec.WeightsMB})
	}
	w := r.way(m.spec.WeightsMB - free)
	if w == nil || !g.leavesRoomOnTheWay(e, m, w) {
		return site{}, false
	}
	s.makeWay(w)
	return s, true
}

// leavesRoomOnTheWay reports whether what a late order may need stays free while some models
// make way for another one, and when it is there.
func (g *planning) leavesRoomOnTheWay(e *engine, m *modelState, w *way) bool {
	c := change{}
	for _, name := range w.victims {
		c.orders++
		c.mb -= e.sizeMB(g.table, name, e.models[name])
		if !g.leavesRoom(e, c) {
			return false
		}
	}
	return g.leavesRoom(e, change{orders: c.orders + 1, mb: c.mb + m.spec.WeightsMB})
}

// fromStore adds what a load from the store takes and costs, and reports whether it may
// begin.
func (g *planning) fromStore(s *site, m *modelState, urgent bool) bool {
	if m.spare() {
		// An engine that keeps a copy has it sooner, even if it is busy for some
		// loads: one from the store takes as long as ten.
		return false
	}
	if !g.mayLoadFromStore(m, urgent) {
		return false
	}
	s.load = g.store.slowed(s.load, g.storeBusy)
	// The engine serves none of its copies meanwhile.
	s.loss += g.awaited(s.engine) / lossTime.Seconds()
	return true
}

// makeWay adds what unloading some models takes and costs.
func (s *site) makeWay(w *way) {
	s.victims = w.victims
	s.loss += w.loss
	s.ready = s.ready.Add(time.Duration(len(w.victims)) * swapTime)
	s.held = w.held
	s.ready = s.ready.Add(s.held)
}

// awaited is how many requests wait for models that nobody holds and an engine keeps
// copies of.
func (g *planning) awaited(e *engine) float64 {
	n := 0
	for _, m := range e.copies {
		if m.replicas() == 0 {
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

// loss is how many requests a second are late when an engine drops a model that it
// holds; below 0 if it must stay.
func (g *planning) loss(m *modelState, h *held) float64 {
	if m.replicas() <= 1 && m.waiting > 0 || g.now.Sub(h.since) < stayFor && m.waiting+m.running > 0 {
		return -1
	}
	return g.lossOf(m, m.replicas())
}
