package placement

import (
	"time"
)

// Weights of the decisions, in requests a second or in requests. They hold for any size of
// deployment.
const (
	// busyRate is the request rate from which a model without a replica is placed before others
	// even if its waiting requests are late: the requests that follow benefit.
	busyRate = 1
	// minResidency is how long a model that was loaded for a request stays loaded while it is
	// in use.
	minResidency = 500 * time.Millisecond
	// gainFactor is how many times the loss of the evicted models a further replica must gain.
	gainFactor = 2
	// delayPerLoss converts loss to time: how much longer a request waits for its model rather
	// than make one request a second late elsewhere.
	delayPerLoss = 2 * time.Second
	// retryWindow is how long a model is loaded for requests refused with a retry hint: the
	// longest time after which their callers come back, a third of the longest known deadlines.
	retryWindow = 8 * time.Second
	// swapTime is what an eviction adds to a load: the unload.
	swapTime = unloadTime
)

// planning is the state of one call of Plan.
type planning struct {
	*Planner
	now     time.Time
	actions []Action
	// engineCounts counts the engines that are not draining, by service.
	engineCounts map[string]int
	// limitedCounts counts those of them that limit their request rate, by service.
	limitedCounts map[string]int
	// storeBusy counts the loads from the weight store in progress, including those ordered in
	// this plan.
	storeBusy int
	// claimedUntil is until when an engine's time is planned for waiting models, in this plan.
	claimedUntil map[*engine]time.Time
	// storeQueue counts the models that queue for the weight store, see postpone.
	storeQueue int
}

// Plan returns the orders and probes that are due now. fence is the fencing number of the
// caller's lease and goes into every order. An engine gets at most one order a plan; in order
// of priority these are adapters, loads after evictions, replicas of urgent gain, models that
// requests wait for, further replicas, and copies of models without any.
func (p *Planner) Plan(now time.Time, fence uint64) []Action {
	if p.table == nil {
		return nil
	}
	p.fence = fence
	p.wakeAt = time.Time{}
	p.expireUsages(now)
	p.expireHistories(now)
	p.endDueWork(now)
	p.expireStoreLoads(now)
	p.observeStore(now)
	g := &planning{Planner: p, now: now, engineCounts: make(map[string]int), limitedCounts: make(map[string]int), claimedUntil: make(map[*engine]time.Time)}
	g.storeBusy = p.store.busy
	clear(p.readyAt)
	clear(p.boundReadyAt)
	p.expireBound(now)
	g.computeStats()
	g.probes()
	g.loadAdapters()
	g.loadReserved()
	g.replicate(true)
	g.placeBound(false)
	g.placeWanted(g.wanted())
	g.placeBound(true)
	g.replicate(false)
	g.ensureCopies()
	return g.actions
}

// computeStats recomputes the statistics of the models and engines, and the expected ready
// times of the pending replicas.
func (g *planning) computeStats() {
	g.indexCopies()
	g.mixes = make(mixes)
	for _, m := range g.modelList {
		m.computeStats(g.now)
		g.mixes.add(m)
	}
	for _, m := range g.modelList {
		m.averageLoad(g.now, g.mixes.long(m.unit.Service))
	}
	for _, e := range g.engineList {
		e.capacities, e.running, e.pace = [2]*capacity{}, 0, g.paces[e.id]
		if e.draining || e.config == nil {
			continue
		}
		g.engineCounts[e.service]++
		if e.rateLimit > 0 {
			g.limitedCounts[e.service]++
		}
		g.countReplicas(e)
		if w := e.work; w != nil && !w.unload && e.models[w.unit.Model] == nil {
			g.addPendingReplica(w.unit, w.expected)
		} else if u := e.reserved; u.Model != "" {
			g.addPendingReplica(u, g.availableAt(e).Add(g.reservedLoadTime(e)))
		} else if o := e.pending; o != nil && !o.Unload && o.Unit.Adapter == "" {
			g.addPendingReplica(o.Unit, g.now.Add(o.Expected))
		}
	}
}

// countReplicas counts an engine for the models that it serves, holds or keeps a copy of.
func (g *planning) countReplicas(e *engine) {
	reading := 0
	defer func() {
		e.reading.update(float64(reading), g.now)
		e.load.update(float64(e.running)+float64(reading)/readingTokensPerRun, g.now)
	}()
	for name := range e.models {
		m := g.modelAt(e, name)
		e.running += m.runningAt[e.id]
		reading += m.readingAt[e.id]
		if e.serves(name) {
			m.replicas = append(m.replicas, e)
			m.capacity += e.speed()
			m.addRateLimit(e)
		}
		if e.known && !e.keepsCopy(name) {
			m.copyCount++
		}
	}
	if !e.known {
		return
	}
	for _, m := range e.copies {
		m.copyCount++
	}
}

// soonThreshold is how soon a pending replica must be ready to count as one. A load from disk
// takes less. A load from the store takes several times as long, and the model may need further
// replicas during that time.
const soonThreshold = 2 * time.Second

// addPendingReplica counts a replica that will be ready at a time.
func (g *planning) addPendingReplica(u Unit, at time.Time) {
	m := g.model(u)
	m.pendingReplicas++
	if at.Sub(g.now) < soonThreshold {
		m.readySoon++
	}
	g.setReadyAt(u, at)
}

// setReadyAt lowers the expected ready time of a unit.
func (g *planning) setReadyAt(u Unit, at time.Time) {
	if old, ok := g.readyAt[u]; !ok || at.Before(old) {
		g.readyAt[u] = at
	}
}

// probes requests the reports that are needed, at most maxProbes at a time.
func (g *planning) probes() {
	probing := 0
	for _, e := range g.engineList {
		if e.probing {
			probing++
		}
	}
	for _, e := range g.engineList {
		if e.config == nil || e.pending != nil || e.draining {
			continue
		}
		due := e.nextProbe
		if e.known {
			w := e.work
			if w == nil {
				w = e.unconfirmed
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
		case probing >= maxProbes:
			g.wake(g.now.Add(probeRecheck))
		default:
			probing++
			e.probing = true
			g.actions = append(g.actions, Action{Probe: &Probe{Engine: e.id, Address: e.address}})
		}
	}
}

const (
	// maxProbes bounds the probes in flight: each takes a connection, and a new lease holder
	// probes all engines.
	maxProbes = 256
	// probeRecheck is the delay until the next plan if maxProbes left engines without a probe.
	probeRecheck = 20 * time.Millisecond
)

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// modelStats returns the statistics of a model for the log of an order.
func (g *planning) modelStats(m *modelState) ModelStats {
	n := m.replicaCount()
	return ModelStats{Rate: m.rate, Waiting: m.waiting, Running: m.running, Peak: m.recentPeak, Replicas: n, Loss: g.lossOf(m, max(1, n))}
}

// send appends an order to the actions and updates the state that the rest of the plan uses.
func (g *planning) send(e *engine, o *Order) {
	o.Engine, o.Address, o.Fence, o.Taken, o.EngineStats = e.id, e.address, g.fence, e.taken, e.stats(g.table, g.now)
	e.pending = o
	m := g.model(o.Unit.Base())
	o.ModelStats = g.modelStats(m)
	if o.FromStore {
		g.storeLoads = append(g.storeLoads, g.now)
		g.storeBusy++
	}
	e.capacities = [2]*capacity{}
	switch {
	case o.Unit.Adapter != "":
	case o.Unload:
		g.replicaRemoved(m, e)
	default:
		g.addPendingReplica(o.Unit, g.now.Add(o.Expected))
	}
	g.actions = append(g.actions, Action{Order: o})
}

// replicaRemoved records that an engine is about to unload a model. Each other replica is worth
// more now, so the cached capacities of their engines are dropped.
func (g *planning) replicaRemoved(m *modelState, e *engine) {
	m.removeReplica(e)
	for _, replica := range m.replicas {
		replica.capacities = [2]*capacity{}
	}
}
