package placement

import (
	"sort"
	"time"
)

// adapters loads the adapters that requests wait for, the most urgent first.
func (g *planning) adapters() {
	type wish struct {
		unit   Unit
		urgent time.Time
	}
	var wishes []wish
	for unit, u := range g.uses {
		if unit.Adapter == "" {
			continue
		}
		if u.waiting > 0 || g.sentAwayByLimits(u) {
			wishes = append(wishes, wish{unit, u.dueAt(g.now).urgent})
		}
	}
	sort.Slice(wishes, func(i, j int) bool {
		if !wishes[i].urgent.Equal(wishes[j].urgent) {
			return wishes[i].urgent.Before(wishes[j].urgent)
		}
		return wishes[i].unit.compare(wishes[j].unit) < 0
	})
	for _, w := range wishes {
		g.adapter(w.unit)
	}
}

// evictionLoad is by how many requests an engine may be busier than another one that
// would have to drop an adapter first.
const evictionLoad = 12

// adapter loads an adapter at the least loaded engine that holds its model.
func (g *planning) adapter(unit Unit) {
	var best *engine
	bestLoad := 0
	m := g.model(unit.Base())
	for _, e := range g.adapterSites(m) {
		a := e.models[unit.Model].adapters[unit.Adapter]
		if a != nil && a.leaving {
			continue
		}
		if a != nil {
			// Held or on its way.
			g.wake(a.readyAt)
			g.expect(unit, a.readyAt)
			return
		}
		if o := e.sent; o != nil && !o.Unload && o.Unit == unit {
			return
		}
		if !e.idle(g.now) || e.coming(g.now) >= adaptersComing {
			// Engines refuse adapters, too, while they carry an order out.
			g.expect(unit, g.freeAt(e).Add(adapterTime))
			continue
		}
		load := m.at[e.id]
		// What a late order may need is left free at each count of orders.
		after := change{orders: 1, mb: g.loadMB(unit), places: 1}
		if g.fullOfAdapters(e, unit) {
			victim := g.adapterVictim(e)
			if victim == nil {
				continue
			}
			load += evictionLoad
			after = change{orders: 1, mb: -g.loadMB(*victim), places: -1}
		}
		if !g.leavesRoom(e, after) {
			continue
		}
		if best == nil || load < bestLoad {
			best, bestLoad = e, load
		}
	}
	if best == nil {
		g.wake(g.now.Add(adapterTime))
		return
	}
	if g.fullOfAdapters(best, unit) {
		g.send(best, &Order{Unit: *g.adapterVictim(best), Unload: true, Why: "makes way for " + unit.Model + "/" + unit.Adapter})
		return
	}
	g.send(best, &Order{Unit: unit, Expected: adapterTime, Why: "requests wait"})
}

// fullOfAdapters reports whether an engine has no room for one more adapter.
func (g *planning) fullOfAdapters(e *engine, unit Unit) bool {
	if e.adapters() >= e.shape.AdapterSlots {
		return true
	}
	free := e.surelyFree(g.table)
	m := g.table.Model(unit.Service, unit.Model)
	return m != nil && free < m.AdapterMB
}

// adapterVictim returns the adapter that was used least lately and that nothing
// uses, or nil.
func (g *planning) adapterVictim(e *engine) *Unit {
	var victim *Unit
	var oldest time.Time
	for model, h := range e.models {
		for name, a := range h.adapters {
			unit := Unit{Service: e.service, Model: model, Adapter: name}
			if a.leaving || a.readyAt.After(g.now) || g.used(unit, e.id) {
				continue
			}
			if victim == nil || a.lastUse.Before(oldest) || a.lastUse.Equal(oldest) && unit.compare(*victim) < 0 {
				victim, oldest = &unit, a.lastUse
			}
		}
	}
	return victim
}

// used reports whether requests for a unit run at an engine or wait.
func (g *planning) used(unit Unit, engine string) bool {
	u := g.uses[unit]
	return u != nil && (u.waiting > 0 || u.at[engine] > 0)
}
