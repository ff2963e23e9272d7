package placement

import (
	"slices"
	"time"

	"olivetiller/core/route"
)

// modelState is the planner's state of one model. It persists between plans: usage reports and
// changes of copies update it as they arrive, so that a plan visits each model once and, for a
// model to be loaded, only the engines that keep a copy of it. Evaluating all engines for each
// model took 21 ms a plan for 124 engines, 667 models and 195 nodes, and a request waited up to
// a second for the next plan (see BenchmarkPlan).
type modelState struct {
	unit Unit
	// spec is the model in the configuration; nil if the configuration has no model of that
	// name.
	spec *route.Model
	// usages holds the usage of the model itself and of each of its adapters.
	usages []*usage
	// copies lists the engines that keep a copy in host memory or on disk, sorted by id.
	copies []*engine
	// waiting and running count the requests for the model and its adapters over all nodes;
	// runningAt counts the running ones by engine id.
	waiting, running int
	runningAt        map[string]int
	// reading is the length in tokens of the long prompts that are being read, over all nodes; readingAt is the same by
	// engine id.
	reading   int
	readingAt map[string]int
	peak      peak
	// averageReading averages reading.
	averageReading average
	// loadCrashes counts the engines that crashed in a row while they loaded the model; no load
	// is ordered before backoffUntil.
	loadCrashes  int
	backoffUntil time.Time

	// Plan recomputes the fields below at its start.

	// deadlines are the deadlines of the waiting requests.
	deadlines
	// rate is in requests a second, and lateRate in late answers a second.
	rate, lateRate float64
	// tokenRate and longTokenRate are in tokens of prompts, and of long ones, a second.
	tokenRate, longTokenRate float64
	// rank is the most urgent rank of the waiting requests, and waitingSince since when requests wait without a break.
	rank         int
	waitingSince time.Time
	// lastUse and deferredAt are the latest of the model's usages.
	lastUse, deferredAt time.Time
	// objective is the least latency objective among the model's usages; 0 if none is known.
	objective time.Duration
	// recentPeak is the decaying peak of waiting and running requests, see peak.
	recentPeak float64
	// recentReading is the average of reading.
	recentReading float64
	// replicas lists the engines that serve the model, sorted by id; pendingReplicas counts the
	// engines that are loading it or are about to.
	replicas []*engine
	// capacity is that of the replicas, in engines of the median pace.
	capacity        float64
	pendingReplicas int
	// readySoon counts the pending replicas that will serve within soonThreshold.
	readySoon int
	// copyCount counts the engines that hold the model or keep a copy of it.
	copyCount int
	// limitedReplicas counts the replicas whose engine limits its request rate; limitedRate is
	// the sum of these limits in requests a second.
	limitedReplicas int
	limitedRate     float64
}

// model returns the state of a model and creates it on first use.
func (p *Planner) model(base Unit) *modelState {
	m := p.models[base]
	if m == nil {
		m = &modelState{unit: base, runningAt: make(map[string]int), readingAt: make(map[string]int)}
		if p.table != nil {
			m.spec = p.table.Model(base.Service, base.Model)
		}
		p.models[base] = m
		p.modelList = append(p.modelList, m)
	}
	return m
}

// modelAt returns the state of the model of that name in the engine's service.
func (p *Planner) modelAt(e *engine, name string) *modelState {
	return p.model(Unit{Service: e.service, Model: name})
}

// computeStats recomputes the fields that belong to one plan, except those that depend on
// engines.
func (m *modelState) computeStats(now time.Time) {
	m.replicas, m.pendingReplicas, m.readySoon, m.copyCount, m.capacity = m.replicas[:0], 0, 0, 0, 0
	m.deadlines, m.rate, m.lateRate, m.tokenRate, m.longTokenRate, m.objective = deadlines{}, 0, 0, 0, 0, 0
	m.limitedReplicas, m.limitedRate = 0, 0
	m.lastUse, m.deferredAt = time.Time{}, time.Time{}
	m.rank, m.waitingSince = 0, time.Time{}
	for _, u := range m.usages {
		m.lateRate += u.decayed(u.lateRate, now)
		m.tokenRate += u.decayed(u.tokenRate, now)
		m.longTokenRate += u.decayed(u.longTokenRate, now)
		m.rate += rateBound(u.rateNow(now), now.Sub(u.lastUse))
		if m.objective == 0 || u.objective > 0 && u.objective < m.objective {
			m.objective = u.objective
		}
		m.lastUse = latest(m.lastUse, u.lastUse)
		m.deferredAt = latest(m.deferredAt, u.deferredAt)
		u.observeWait(now)
		if u.waiting > 0 {
			if rank := u.rank(); m.waitingSince.IsZero() || rank < m.rank {
				m.rank = rank
			}
			if m.waitingSince.IsZero() || u.waitingSince.Before(m.waitingSince) {
				m.waitingSince = u.waitingSince
			}
			m.add(u.deadlines(now), now)
		}
	}
}

// averageLoad updates the model's recent load. The reading of long prompts counts if these are most of what its service reads.
func (m *modelState) averageLoad(now time.Time, countReading bool) {
	m.recentPeak, m.recentReading = m.peak.update(float64(m.waiting+m.running), now), 0
	if reading := m.averageReading.update(float64(m.reading), now); countReading {
		m.recentReading = reading
		m.recentPeak += reading / readingTokensPerRun
	}
}

// replicaCount returns the number of engines that serve the model.
func (m *modelState) replicaCount() int { return len(m.replicas) }

// hasSpareCopy reports whether an engine keeps a copy and neither serves nor loads the model.
func (m *modelState) hasSpareCopy() bool { return m.copyCount > m.replicaCount()+m.pendingReplicas }

// removeReplica removes an engine from the replicas of the model.
func (m *modelState) removeReplica(e *engine) {
	if i := slices.Index(m.replicas, e); i >= 0 {
		m.replicas = slices.Delete(m.replicas, i, i+1)
		m.capacity -= e.speed()
	}
}

// indexCopies updates the copies of all models from the engines whose copies have changed.
func (p *Planner) indexCopies() {
	for _, e := range p.engineList {
		if !e.copiesChanged {
			continue
		}
		p.dropCopies(e)
		for name := range e.onDisk {
			p.addCopy(e, name)
		}
		for name := range e.warm {
			if !e.onDisk.has(name) {
				p.addCopy(e, name)
			}
		}
		e.copiesChanged = false
	}
}

// addCopy adds an engine to the copies of a model.
func (p *Planner) addCopy(e *engine, name string) {
	m := p.modelAt(e, name)
	i, _ := slices.BinarySearchFunc(m.copies, e.id, compareID)
	m.copies = slices.Insert(m.copies, i, e)
	e.copies = append(e.copies, m)
}

// dropCopies removes an engine from the copies of all models.
func (p *Planner) dropCopies(e *engine) {
	for _, m := range e.copies {
		if i, ok := slices.BinarySearchFunc(m.copies, e.id, compareID); ok {
			m.copies = slices.Delete(m.copies, i, i+1)
		}
	}
	e.copies = e.copies[:0]
}
