package placement

import (
	"sort"
	"time"

	"olivetiller/core/route"
)

// Weights of the decisions. They are in requests a second or in requests, and
// hold for any size of deployment.
const (
	// busyRate is the rate from which a model gets a second replica, so that the
	// loss of one engine does not leave its requests waiting for a load.
	busyRate = 0.7
	// replicaLoad is how many requests at once a further replica is for.
	replicaLoad = 12
	// replicaShare is the part of the engines that one model may be held on.
	replicaShare = 0.67
	// stayFor is how long a model stays that was loaded for a request.
	stayFor = 1500 * time.Millisecond
	// gainFactor is by how much a further replica must be worth more than what
	// makes way for it.
	gainFactor = 2
	// returnTime is how long a model is loaded for requests that were sent away: as
	// long as their callers stay away at most, a third of the longest deadlines known.
	returnTime = 8 * time.Second
	// swapTime is what making way adds to a load: the unload, and the report that
	// tells of it.
	swapTime = unloadTime + reportAge + probeEvery
)

// planning is the state of one call of Plan.
type planning struct {
	*Planner
	now     time.Time
	actions []Action
	models  map[Unit]*modelUse
	// holders and loaders count the engines that serve a model, or will.
	holders map[Unit]int
	loaders map[Unit]int
	// queued counts the models for which no engine can begin a load.
	queued int
}

// Plan returns the orders and probes that are due, given under a fence.
func (p *Planner) Plan(now time.Time, fence uint64) []Action {
	if p.table == nil {
		return nil
	}
	p.fence = fence
	p.wakeAt = time.Time{}
	g := &planning{Planner: p, now: now, models: p.modelUses(now), holders: make(map[Unit]int), loaders: make(map[Unit]int)}
	clear(p.readyAt)
	g.count()
	g.probes()
	g.adapters()
	g.reservations()
	for _, m := range g.short() {
		g.place(m, "its replicas are full")
	}
	for _, m := range g.wanted() {
		g.place(m, "requests wait")
	}
	g.replicas()
	g.copies()
	return g.actions
}

// modelUses merges the reports by model.
func (p *Planner) modelUses(now time.Time) map[Unit]*modelUse {
	out := make(map[Unit]*modelUse, len(p.models))
	for base, units := range p.models {
		m := &modelUse{unit: base}
		for unit := range units {
			u := p.uses[unit]
			waiting, running, urgent := u.sums(now)
			m.waiting += waiting
			m.running += running
			m.rate += u.rateNow(now)
			if u.lastUse.After(m.lastUse) {
				m.lastUse = u.lastUse
			}
			if u.sentAwayAt.After(m.sentAwayAt) {
				m.sentAwayAt = u.sentAwayAt
			}
			if waiting > 0 && (m.urgent.IsZero() || urgent.Before(m.urgent)) {
				m.urgent = urgent
			}
		}
		out[base] = m
	}
	return out
}

// count counts the replicas, and notes when the awaited ones are expected.
func (g *planning) count() {
	for _, e := range g.order {
		if e.draining || e.shape == nil {
			continue
		}
		for name := range e.models {
			if e.serves(name) {
				g.holders[Unit{Service: e.service, Model: name}]++
			}
		}
		if w := e.work; w != nil && !w.unload && e.models[w.unit.Model] == nil {
			g.loaders[w.unit]++
			g.expect(w.unit, w.expected)
		} else if u := e.reserved; u.Model != "" {
			g.loaders[u]++
			g.expect(u, g.freeAt(e).Add(g.reservedLoad(e)))
		} else if o := e.sent; o != nil && !o.Unload && o.Unit.Adapter == "" {
			g.loaders[o.Unit]++
			g.expect(o.Unit, g.now.Add(o.Expected))
		}
	}
}

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
	case e.warm[m.Name] && m.Warm > 0:
		return m.Warm, false
	case e.onDisk[m.Name] && m.Disk > 0:
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

// expect notes when a model is expected to be served.
func (g *planning) expect(u Unit, at time.Time) {
	if old, ok := g.readyAt[u]; !ok || at.Before(old) {
		g.readyAt[u] = at
	}
}

// probes asks for the reports that are needed.
func (g *planning) probes() {
	for _, e := range g.order {
		if e.shape == nil || e.sent != nil {
			continue
		}
		due := e.nextProbe
		if e.known {
			if e.work == nil {
				continue
			}
			// Earlier reports tell of a moment before the work's end.
			if seen := e.work.expected.Add(reportAge); seen.After(due) {
				due = seen
			}
		}
		switch {
		case e.probing:
		case g.now.Before(due):
			g.wake(due)
		default:
			e.probing = true
			g.actions = append(g.actions, Action{Probe: &Probe{Engine: e.id, Address: e.address}})
		}
	}
}

// send gives an order to an engine.
func (g *planning) send(e *engine, o *Order) {
	o.Engine, o.Address, o.Fence, o.Taken = e.id, e.address, g.fence, e.taken
	e.sent = o
	if o.FromStore {
		g.storeLoads = append(g.storeLoads, g.now)
	}
	if !o.Unload && o.Unit.Adapter == "" {
		g.loaders[o.Unit]++
		g.expect(o.Unit, g.now.Add(o.Expected))
	}
	if o.Unload && o.Unit.Adapter == "" {
		g.holders[o.Unit]--
	}
	g.version++
	g.actions = append(g.actions, Action{Order: o})
}

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

// fullShare is the part of an engine's slots from which it counts as full.
const fullShare = 0.6

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
		if float64(g.running(e)) < fullShare*float64(e.shape.Slots) {
			return false
		}
	}
	return true
}

// running is how many requests an engine runs, by the nodes' reports.
func (g *planning) running(e *engine) int {
	n := 0
	for name := range e.models {
		n += g.runningAt(Unit{Service: e.service, Model: name}, e.id)
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

// place loads a model where it is ready first.
func (g *planning) place(m *modelUse, why string) {
	model := g.table.Model(m.unit.Service, m.unit.Model)
	var best *site
	for _, e := range g.order {
		s := g.site(e, m.unit, model, true)
		if s == nil {
			continue
		}
		if best == nil || s.ready.Before(best.ready) || s.ready.Equal(best.ready) && s.loss < best.loss {
			best = s
		}
	}
	if best == nil {
		// It has to wait for a load from the store like the others before it.
		g.queued++
		rounds := 1 + g.queued/storeLoadsAtOnce
		g.expect(m.unit, g.now.Add(time.Duration(1+rounds)*model.Load))
		return
	}
	g.expect(m.unit, best.ready)
	if best.start.After(g.now) {
		g.wake(best.start)
		return
	}
	g.load(best, m.unit, why)
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
	if e.service != unit.Service || e.draining || e.shape == nil || !e.known || e.unknownWeights(g.table) {
		return nil
	}
	if e.models[unit.Model] != nil || e.loads(unit.Model) || e.reserved == unit {
		return nil
	}
	s := &site{engine: e, start: g.now}
	s.load, s.fromStore = loadTime(e, model)
	if s.fromStore {
		if !g.mayLoadFromStore(urgent, g.now) {
			return nil
		}
		s.load = s.load * time.Duration(max(storeLoadsAtOnce, g.loading()+1)) / storeLoadsAtOnce
	}
	s.start = g.freeAt(e)
	free := e.freeMB(g.table)
	if m := g.table.Model(e.reserved.Service, e.reserved.Model); m != nil {
		s.start = s.start.Add(g.reservedLoad(e) + probeEvery)
		free -= m.WeightsMB
	}
	if free < model.WeightsMB {
		s.victim, s.loss = g.victim(e, urgent)
		if s.victim == "" {
			return nil
		}
	}
	s.ready = s.start.Add(s.load)
	if s.victim != "" {
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
	if e.sent != nil {
		at = at.Add(probeEvery)
		if !e.sent.Unload && e.sent.Unit.Adapter == "" {
			at = g.now.Add(e.sent.Expected + probeEvery)
		}
	}
	if e.work != nil {
		if end := e.work.expected.Add(probeEvery); end.After(at) {
			at = end
		}
		if !at.After(g.now) {
			at = g.now.Add(probeEvery)
		}
	}
	return at
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
		if l < 0 || (!urgent && g.runningAt(unit, e.id) > 0) {
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
	if holders > g.want(m) {
		loss /= gainFactor * gainFactor
	}
	if n := g.runningAt(unit, e.id); n > 0 {
		// The unload waits for these to end, and the engine with it.
		loss += float64(n)
	}
	return loss
}

func (g *planning) runningAt(base Unit, engine string) int {
	n := 0
	for unit := range g.Planner.models[base] {
		n += g.uses[unit].runningAt(engine, g.now)
	}
	return n
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
		if best == nil || s.ready.Before(best.ready) || s.ready.Equal(best.ready) && s.loss < best.loss {
			best = s
		}
	}
	if best == nil {
		return false
	}
	g.load(best, unit, why)
	return true
}

// copyLimit is the rate of requests up to which a model makes way for one that
// no engine keeps a copy of.
const copyLimit = 0.3

// copies loads models that no engine keeps a copy of, so that the first request
// for them does not wait for the weight store. One load is left for requests.
func (g *planning) copies() {
	for i := range g.table.Config.Services {
		s := &g.table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		kept := g.kept(s.Name)
		for j := range s.Engine.Models {
			if g.loading()+g.reservedFromStore() >= g.copiesAtOnce() {
				return
			}
			unit := Unit{Service: s.Name, Model: s.Engine.Models[j].Name}
			if !kept[unit.Model] && g.loaders[unit] == 0 && g.holders[unit] == 0 {
				if !g.spread(unit, copyLimit, true, "no engine keeps a copy") {
					break
				}
			}
		}
	}
}

// copiesAtOnce is how many such loads may be in progress: all that the store gives
// while nobody asks for anything, and half of that otherwise, since an engine that
// loads cannot load for requests.
func (g *planning) copiesAtOnce() int {
	for _, m := range g.models {
		if g.now.Sub(m.lastUse) < rateTime {
			return storeLoadsAtOnce / 2
		}
	}
	return storeLoadsAtOnce
}

// reservedFromStore counts the engines that make way for a load from the store.
func (g *planning) reservedFromStore() int {
	n := 0
	for _, e := range g.order {
		if u := e.reserved; u.Model != "" && !e.warm[u.Model] && !e.onDisk[u.Model] {
			n++
		}
	}
	return n
}

// kept returns the models that an engine of a service holds or keeps a copy of.
// It is empty while the state of an engine is in doubt for lack of any report.
func (g *planning) kept(service string) map[string]bool {
	kept := make(map[string]bool)
	for _, e := range g.order {
		if e.service != service || e.draining {
			continue
		}
		for name := range e.models {
			kept[name] = true
		}
		for name := range e.warm {
			kept[name] = true
		}
		for name := range e.onDisk {
			kept[name] = true
		}
	}
	return kept
}
