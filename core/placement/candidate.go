package placement

import (
	"time"

	"olivetiller/core/route"
)

// reservedLoadTime returns how long the engine will take to load the model that it has capacity
// reserved for; 0 if there is none.
func (g *planning) reservedLoadTime(e *engine) time.Duration {
	m := g.table.Model(e.reserved.Service, e.reserved.Model)
	if m == nil {
		return 0
	}
	d, _ := loadTime(e, m)
	return d
}

// loadTime returns how long an engine takes to load a model, and whether the load comes from
// the weight store because the engine keeps no copy.
func loadTime(e *engine, m *route.Model) (d time.Duration, fromStore bool) {
	switch {
	case e.warm.has(m.Name) && m.Warm > 0:
		return m.Warm, false
	case e.onDisk.has(m.Name) && m.Disk > 0:
		return m.Disk, false
	}
	return m.Load, true
}

// loadReserved loads the models for which other models have been evicted, where the engine is
// idle by now.
func (g *planning) loadReserved() {
	for _, e := range g.engineList {
		u := e.reserved
		if u.Model == "" || !e.idle(g.now) {
			continue
		}
		e.reserved = Unit{}
		m := g.model(u)
		m.pendingReplicas--
		m.readySoon = max(0, m.readySoon-1)
		if m.spec == nil || e.models[u.Model] != nil {
			continue
		}
		if c, ok := g.candidate(e, m, true); ok {
			g.orderLoad(&c, u, "room was made")
		}
	}
}

// candidate is one way to load a model: an engine and the models to evict there.
type candidate struct {
	engine *engine
	// start is when the engine can begin; ready is when the model is expected to be served.
	start, ready time.Time
	fromStore    bool
	// load is the duration of the load.
	load time.Duration
	// evicted are the models to evict first; empty if the engine has enough free memory.
	evicted []string
	// loss is in late requests a second: those of the evicted models, and those that wait for
	// copies at the engine during a load from the store.
	loss float64
	// drainTime is how long the evictions wait for running requests.
	drainTime time.Duration
}

// cost returns the ready time plus penalties that make candidates comparable: the load and
// drain time, during which the engine loads nothing else, and the loss of requests to the
// evicted models converted to time by delayPerLoss.
func (c *candidate) cost() time.Time {
	return c.ready.Add(c.load + c.drainTime + time.Duration(c.loss*float64(delayPerLoss)))
}

// better reports whether the candidate costs less than another.
func (c *candidate) better(o *candidate) bool { return c.cost().Before(o.cost()) }

// place loads a model at its best candidate, or records when it can be expected.
func (g *planning) place(m *modelState, why string) {
	c, ok := g.bestCandidate(m)
	g.commit(m, c, ok, why)
}

// candidateEngines returns the engines to consider for loading a model: those that keep a copy,
// or all engines if the model may be loaded from the weight store.
func (g *planning) candidateEngines(m *modelState, urgent, fromStore bool) []*engine {
	if !fromStore || m.hasSpareCopy() || !g.mayLoadFromStore(m, urgent) {
		return m.copies
	}
	return g.engineList
}

// bestCandidate returns the candidate of the least cost. ok is false if no engine can load the
// model, or only with a loss that exceeds the worth of the load: that of the model's first
// replica plus that of its waiting requests.
func (g *planning) bestCandidate(m *modelState) (best candidate, ok bool) {
	limit := g.lossOf(m, 1) + float64(m.waiting)/delayPerLoss.Seconds()
	for _, e := range g.candidateEngines(m, true, true) {
		c, loads := g.candidate(e, m, true)
		if !loads || c.loss > limit {
			continue
		}
		if !ok || c.better(&best) {
			best, ok = c, true
		}
	}
	return best, ok
}

// commit loads a model at a candidate. If the engine is still busy, it reserves the engine's
// time in this plan; without a candidate it postpones the model.
func (g *planning) commit(m *modelState, c candidate, ok bool, why string) {
	if !ok {
		g.postpone(m)
		return
	}
	g.setReadyAt(m.unit, c.ready)
	if c.start.After(g.now) {
		g.wake(c.start)
		g.claimedUntil[c.engine] = c.ready
		return
	}
	g.orderLoad(&c, m.unit, why)
}

// postpone sets the expected ready time of a model that no engine can load now. If an engine
// keeps a copy, capacity becomes free at an unknown time, when the models held there have
// served their waiting requests, and no time is set. Otherwise the model queues for the weight
// store.
func (g *planning) postpone(m *modelState) {
	if m.copyCount > 0 {
		return
	}
	g.storeQueue++
	rounds := 1 + g.storeQueue/g.store.estimate
	g.setReadyAt(m.unit, g.now.Add(time.Duration(rounds)*m.spec.Load))
}

// orderLoad orders a load at a candidate. If models must be evicted first, it reserves the
// capacity and orders the first of the evictions; loadReserved continues when the engine is
// idle.
func (g *planning) orderLoad(c *candidate, unit Unit, why string) {
	if len(c.evicted) > 0 {
		c.engine.reserved = unit
		g.addPendingReplica(unit, c.ready)
		g.send(c.engine, &Order{
			Unit: Unit{Service: unit.Service, Model: c.evicted[0]}, Unload: true, Expected: unloadTime, Reason: "makes way for " + unit.Model,
		})
		return
	}
	g.send(c.engine, &Order{Unit: unit, FromStore: c.fromStore, Expected: c.load, Reason: why})
}

// candidateOptions restrict how an engine may load a model.
type candidateOptions struct {
	// urgent allows evicting models with running requests and the extra store loads for busy models.
	urgent bool
	// ignoreCopies allows a load from the weight store although another engine keeps a copy.
	ignoreCopies bool
}

// candidate returns how an engine could load a model; ok is false if it cannot.
func (g *planning) candidate(e *engine, m *modelState, urgent bool) (c candidate, ok bool) {
	return g.candidateWith(e, m, candidateOptions{urgent: urgent})
}

// candidateWith is candidate with more options.
func (g *planning) candidateWith(e *engine, m *modelState, o candidateOptions) (c candidate, ok bool) {
	if e.service != m.unit.Service || e.draining || e.config == nil || !e.known {
		return candidate{}, false
	}
	if g.skipsLimited(e) {
		return candidate{}, false
	}
	if e.models[m.unit.Model] != nil || e.isLoading(m.unit.Model) || e.reserved == m.unit {
		return candidate{}, false
	}
	c = candidate{engine: e}
	c.load, c.fromStore = loadTime(e, m.spec)
	if c.fromStore && !g.allowStoreLoad(&c, m, o) {
		return candidate{}, false
	}
	avail := g.capacity(e, o.urgent)
	if avail.unknown {
		return candidate{}, false
	}
	c.start = g.availableAt(e)
	free := avail.free
	if reserved := g.table.Model(e.reserved.Service, e.reserved.Model); reserved != nil {
		c.start = c.start.Add(g.reservedLoadTime(e) + probeInterval)
		free -= reserved.WeightsMB
	}
	c.ready = c.start.Add(c.load)
	if free >= m.spec.WeightsMB {
		return c, g.keepsReserve(e, capacityChange{orders: 1, mb: m.spec.WeightsMB})
	}
	v := avail.cheapestEviction(m.spec.WeightsMB - free)
	if v == nil || !g.evictionKeepsReserve(e, m, v) {
		return candidate{}, false
	}
	c.evict(v)
	return c, true
}

// evictionKeepsReserve reports whether the capacity reserved for unanswered loads stays free
// after each eviction and after the load that follows.
func (g *planning) evictionKeepsReserve(e *engine, m *modelState, v *eviction) bool {
	c := capacityChange{}
	for _, name := range v.evicted {
		c.orders++
		c.mb -= e.sizeMB(g.table, name, e.models[name])
		if !g.keepsReserve(e, c) {
			return false
		}
	}
	return g.keepsReserve(e, capacityChange{orders: c.orders + 1, mb: c.mb + m.spec.WeightsMB})
}

// allowStoreLoad adds the duration and cost of a load from the weight store to a candidate, and
// reports whether the load may begin.
func (g *planning) allowStoreLoad(c *candidate, m *modelState, o candidateOptions) bool {
	if m.hasSpareCopy() && !o.ignoreCopies {
		// An engine with a copy is ready sooner even if some loads are ahead of this one: a
		// load from the store takes about as long as ten from a copy.
		return false
	}
	if !g.mayLoadFromStore(m, o.urgent) {
		return false
	}
	c.load = g.store.slowedLoadTime(c.load, g.storeBusy)
	// During the load the engine can load none of its own copies for requests that wait.
	c.loss += g.waitingForCopies(c.engine) / delayPerLoss.Seconds()
	return true
}

// evict adds the duration and loss of an eviction to the candidate.
func (c *candidate) evict(v *eviction) {
	c.evicted = v.evicted
	c.loss += v.loss
	c.ready = c.ready.Add(time.Duration(len(v.evicted)) * swapTime)
	c.drainTime = v.drainTime
	c.ready = c.ready.Add(c.drainTime)
}

// waitingForCopies returns how many requests wait for models that no engine serves and that the
// engine keeps copies of.
func (g *planning) waitingForCopies(e *engine) float64 {
	n := 0
	for _, m := range e.copies {
		if m.replicaCount() == 0 {
			n += m.waiting
		}
	}
	return float64(n)
}

// availableAt returns when the engine can take the next order for a model.
func (g *planning) availableAt(e *engine) time.Time {
	at := latest(g.now, e.orderableAt())
	if c := g.claimedUntil[e]; c.After(at) {
		at = c
	}
	if e.pending != nil {
		at = at.Add(probeInterval)
		if !e.pending.Unload && e.pending.Unit.Adapter == "" {
			at = g.now.Add(e.pending.Expected + probeInterval)
		}
	}
	if e.work == nil {
		return at
	}
	end := e.work.expected
	if !e.work.timed {
		end = end.Add(probeInterval)
	}
	if end.After(at) {
		at = end
	}
	if !at.After(g.now) {
		at = g.now.Add(probeInterval)
	}
	return at
}

// loss returns how many requests a second become late if an engine drops a replica of a model.
// It returns -1 if the replica must stay: the only one while requests wait, also of a build to
// which they are bound, or one loaded less than minResidency ago that is in use.
func (g *planning) loss(e *engine, m *modelState, h *heldModel) float64 {
	if g.neededAtBuild(m, e) {
		return -1
	}
	if m.replicaCount() <= 1 && m.waiting > 0 || g.now.Sub(h.since) < minResidency && m.waiting+m.running > 0 {
		return -1
	}
	return g.lossAt(m, e)
}
