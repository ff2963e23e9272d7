package placement

import (
	"sort"
	"time"
)

// loadAdapters loads the adapters that requests wait for, the most urgent first.
func (g *planning) loadAdapters() {
	type demand struct {
		unit Unit
		urgency
	}
	var demands []demand
	for unit, u := range g.usages {
		if unit.Adapter == "" {
			continue
		}
		if u.waiting > 0 || g.deferredByLimits(u) {
			demands = append(demands, demand{unit, u.urgency(g.now)})
		}
	}
	sort.Slice(demands, func(i, j int) bool {
		if c := demands[i].compare(demands[j].urgency); c != 0 {
			return c < 0
		}
		return demands[i].unit.compare(demands[j].unit) < 0
	})
	byTurns(g, &g.adapterTurns, demands, func(d demand) urgency { return d.urgency }, func(d demand) {
		g.loadAdapter(d.unit, func(*engine) bool { return true })
	})
}

// evictionPenalty is how many more running requests an engine may have than one that would have
// to drop an adapter first.
const evictionPenalty = 12

// loadAdapter loads an adapter at the replica of its model with the fewest running requests, of those that serve the
// requests.
func (g *planning) loadAdapter(unit Unit, serves func(*engine) bool) {
	var best *engine
	bestLoad := 0
	m := g.model(unit.Base())
	for _, e := range g.adapterSites(m) {
		if !serves(e) {
			continue
		}
		a := e.models[unit.Model].adapters[unit.Adapter]
		if a != nil && a.unloading {
			continue
		}
		if a != nil {
			// The engine holds the adapter or is loading it.
			g.wake(a.readyAt)
			g.setReadyAt(unit, a.readyAt)
			return
		}
		if o := e.pending; o != nil && !o.Unload && o.Unit == unit {
			return
		}
		if !e.idle(g.now) || e.loadingAdapters(g.now) >= maxLoadingAdapters {
			// Engines also refuse adapters while they carry out an order.
			g.setReadyAt(unit, g.availableAt(e).Add(adapterLoadTime))
			continue
		}
		load := m.runningAt[e.id]
		// The capacity for late loads must stay free at each count of orders.
		after := capacityChange{orders: 1, mb: g.loadMB(unit), adapterSlots: 1}
		if g.fullOfAdapters(e, unit) {
			toEvict := g.adapterToEvict(e)
			if toEvict == nil {
				continue
			}
			load += evictionPenalty
			after = capacityChange{orders: 1, mb: -g.loadMB(*toEvict), adapterSlots: -1}
		}
		if !g.keepsReserve(e, after) {
			continue
		}
		if best == nil || load < bestLoad {
			best, bestLoad = e, load
		}
	}
	if best == nil {
		g.wake(g.now.Add(adapterLoadTime))
		return
	}
	if g.fullOfAdapters(best, unit) {
		g.send(best, &Order{Unit: *g.adapterToEvict(best), Unload: true, Reason: "makes way for " + unit.Model + "/" + unit.Adapter})
		return
	}
	g.send(best, &Order{Unit: unit, Expected: adapterLoadTime, Reason: "requests wait"})
}

// fullOfAdapters reports whether an engine has no slot or no memory left for an adapter.
func (g *planning) fullOfAdapters(e *engine, unit Unit) bool {
	if e.adapters() >= e.config.AdapterSlots {
		return true
	}
	free := e.confirmedFreeMB(g.table)
	m := g.table.Model(unit.Service, unit.Model)
	return m != nil && free < m.AdapterMB
}

// adapterToEvict returns the least recently used adapter of an engine that no request uses, or
// nil.
func (g *planning) adapterToEvict(e *engine) *Unit {
	var toEvict *Unit
	var oldest time.Time
	for model, h := range e.models {
		for name, a := range h.adapters {
			unit := Unit{Service: e.service, Model: model, Adapter: name}
			if a.unloading || a.readyAt.After(g.now) || g.used(unit, e.id) {
				continue
			}
			if toEvict == nil || a.lastUse.Before(oldest) || a.lastUse.Equal(oldest) && unit.compare(*toEvict) < 0 {
				toEvict, oldest = &unit, a.lastUse
			}
		}
	}
	return toEvict
}

// used reports whether requests for a unit run at an engine or wait anywhere.
func (g *planning) used(unit Unit, engine string) bool {
	u := g.usages[unit]
	return u != nil && (u.waiting > 0 || u.runningAt[engine] > 0)
}
