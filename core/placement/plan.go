package placement

import (
	"time"
)

// Weights of the decisions. They are in requests a second or in requests, and
// hold for any size of deployment.
const (
	// busyRate is the rate from which a model that no engine holds goes before others
	// although its waiting requests are late: later ones have the use.
	busyRate = 1
	// stayFor is how long a model stays that was loaded for a request.
	stayFor = 500 * time.Millisecond
	// gainFactor is by how much a further replica must be worth more than what
	// makes way for it.
	gainFactor = 2
	// lossTime is how much longer a request waits for its model rather than make one
	// request a second late elsewhere.
	lossTime = 2 * time.Second
	// returnTime is how long a model is loaded for requests that were sent away: as
	// long as their callers stay away at most, a third of the longest deadlines known.
	returnTime = 8 * time.Second
	// swapTime is what making way adds to a load: the unload.
	swapTime = unloadTime
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
	// soon counts the engines that hold a model within soonTime.
	soon map[Unit]int
	// keepers counts the engines that hold a model or keep a copy of it.
	keepers map[Unit]int
	// rooms holds what engines could make way, until an order changes it.
	rooms map[roomKey]room
	// storeBusy counts the loads from the store in progress.
	storeBusy int
	// claimed is until when an engine's time is planned for models that wait.
	claimed map[*engine]time.Time
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
	p.endWork(now)
	g := &planning{Planner: p, now: now, models: p.modelUses(now), holders: make(map[Unit]int), loaders: make(map[Unit]int), soon: make(map[Unit]int), keepers: make(map[Unit]int), claimed: make(map[*engine]time.Time), rooms: make(map[roomKey]room)}
	g.storeBusy = p.loading()
	clear(p.readyAt)
	g.count()
	g.probes()
	g.adapters()
	g.reservations()
	g.replicate(true)
	g.serve(g.wanted())
	g.replicate(false)
	g.copies()
	return g.actions
}

// modelUses merges the reports by model.
func (p *Planner) modelUses(now time.Time) map[Unit]*modelUse {
	out := make(map[Unit]*modelUse, len(p.models))
	for base, units := range p.models {
		m := &modelUse{unit: base, sums: sums{at: make(map[string]int)}}
		for unit := range units {
			u := p.uses[unit]
			u.addTo(&m.sums, now)
			m.rate += rateBound(u.rateNow(now), now.Sub(u.lastUse))
			if m.objective == 0 || u.objective > 0 && u.objective < m.objective {
				m.objective = u.objective
			}
			if u.lastUse.After(m.lastUse) {
				m.lastUse = u.lastUse
			}
			if u.sentAwayAt.After(m.sentAwayAt) {
				m.sentAwayAt = u.sentAwayAt
			}
		}
		m.peak = p.peaks[base].note(float64(m.waiting+m.running), now)
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
		if e.known {
			for _, name := range e.keeps() {
				g.keepers[Unit{Service: e.service, Model: name}]++
			}
		}
		if w := e.work; w != nil && !w.unload && e.models[w.unit.Model] == nil {
			g.awaits(w.unit, w.expected)
		} else if u := e.reserved; u.Model != "" {
			g.awaits(u, g.freeAt(e).Add(g.reservedLoad(e)))
		} else if o := e.sent; o != nil && !o.Unload && o.Unit.Adapter == "" {
			g.awaits(o.Unit, g.now.Add(o.Expected))
		}
	}
}

// soonTime is how soon a replica must be there to count as one: a load from a disk
// takes less, one from the store several times as long, during which its model may need
// others.
const soonTime = 2 * time.Second

// awaits counts a replica that will be there at a time.
func (g *planning) awaits(u Unit, at time.Time) {
	g.loaders[u]++
	if at.Sub(g.now) < soonTime {
		g.soon[u]++
	}
	g.expect(u, at)
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
			w := e.work
			if w == nil {
				w = e.ended
			}
			switch {
			case w != nil && (w != e.work || !w.timed):
				due = latest(due, w.confirmAt())
			case w == nil && !e.recheckAt.IsZero():
				due = latest(due, e.recheckAt)
			default:
				continue
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

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// facts returns what is known of a model.
func (g *planning) facts(unit Unit) Facts {
	m, n := g.models[unit], g.holders[unit]
	if m == nil {
		return Facts{Replicas: n}
	}
	return Facts{Rate: m.rate, Waiting: m.waiting, Running: m.running, Peak: m.peak, Replicas: n, Loss: g.lossOf(m, max(1, n))}
}

// send gives an order to an engine.
func (g *planning) send(e *engine, o *Order) {
	o.Engine, o.Address, o.Fence, o.Taken = e.id, e.address, g.fence, e.taken
	e.sent = o
	o.Facts = g.facts(o.Unit.Base())
	if o.FromStore {
		g.storeLoads = append(g.storeLoads, g.now)
		g.storeBusy++
	}
	clear(g.rooms)
	if !o.Unload && o.Unit.Adapter == "" {
		g.awaits(o.Unit, g.now.Add(o.Expected))
	}
	if o.Unload && o.Unit.Adapter == "" {
		g.holders[o.Unit]--
	}
	g.actions = append(g.actions, Action{Order: o})
}
