package placement

import (
	"slices"
	"time"

	"olivetiller/core/route"
)

// modelState is what the planner knows of one model. It is kept between plans: reports
// of use and copies are taken in as they come, so that a plan goes over the models once
// and, for one that must be loaded, over the engines that keep a copy of it. With all
// engines weighed for each model a plan took 21 ms for 124 engines, 667 models and 195
// nodes, and a request waited up to a second for the next one (BenchmarkPlan).
type modelState struct {
	unit Unit
	// spec is the model in the configuration; nil where it has none of that name.
	spec *route.Model
	// uses are the units in use: the model itself and its adapters.
	uses []*use
	// copies are the engines that keep a copy in memory or on disk, by their ids.
	copies []*engine
	// waiting and running count the requests of all nodes, at the running ones by engine.
	waiting, running int
	at               map[string]int
	peak             peak
	// falls counts the engines that ended in a row while they loaded the model; no load is
	// ordered until restUntil.
	falls     int
	restUntil time.Time

	// The fields below are of the plan in progress.

	// due is when the waiting requests want their places.
	due
	// rate is in requests a second.
	rate                float64
	lastUse, sentAwayAt time.Time
	// objective is the least objective among its requests; 0 if none is known.
	objective time.Duration
	// most is the most requests at once of the last moments.
	most float64
	// holders are the engines that serve the model, by their ids; loaders counts those
	// that will.
	holders []*engine
	loaders int
	// soon counts the loaders that serve it within soonTime.
	soon int
	// keepers counts the engines that hold the model or keep a copy of it.
	keepers int
	// limited counts the holders that limit their requests, and limits is what these take, in requests a second.
	limited int
	limits  float64
}

// model returns the state of a model, which begins with the first use of it or copy.
func (p *Planner) model(base Unit) *modelState {
	m := p.models[base]
	if m == nil {
		m = &modelState{unit: base, at: make(map[string]int)}
		if p.table != nil {
			m.spec = p.table.Model(base.Service, base.Model)
		}
		p.models[base] = m
		p.list = append(p.list, m)
	}
	return m
}

// modelAt returns the state of a model that an engine holds or keeps.
func (p *Planner) modelAt(e *engine, name string) *modelState {
	return p.model(Unit{Service: e.service, Model: name})
}

// tally makes the figures of a new plan.
func (m *modelState) tally(now time.Time) {
	m.holders, m.loaders, m.soon, m.keepers = m.holders[:0], 0, 0, 0
	m.due, m.rate, m.objective = due{}, 0, 0
	m.limited, m.limits = 0, 0
	m.lastUse, m.sentAwayAt = time.Time{}, time.Time{}
	for _, u := range m.uses {
		m.rate += rateBound(u.rateNow(now), now.Sub(u.lastUse))
		if m.objective == 0 || u.objective > 0 && u.objective < m.objective {
			m.objective = u.objective
		}
		m.lastUse = latest(m.lastUse, u.lastUse)
		m.sentAwayAt = latest(m.sentAwayAt, u.sentAwayAt)
		if u.waiting > 0 {
			m.add(u.dueAt(now), now)
		}
	}
	m.most = m.peak.note(float64(m.waiting+m.running), now)
}

// replicas is how many engines serve the model.
func (m *modelState) replicas() int { return len(m.holders) }

// spare reports whether an engine keeps a copy that does not serve the model and will not.
func (m *modelState) spare() bool { return m.keepers > m.replicas()+m.loaders }

// leave notes that an engine no longer serves the model.
func (m *modelState) leave(e *engine) {
	if i := slices.Index(m.holders, e); i >= 0 {
		m.holders = slices.Delete(m.holders, i, i+1)
	}
}

// indexCopies brings the models' lists of copies up to date with what engines keep.
func (p *Planner) indexCopies() {
	for _, e := range p.order {
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

func (p *Planner) addCopy(e *engine, name string) {
	m := p.modelAt(e, name)
	i, _ := slices.BinarySearchFunc(m.copies, e.id, byID)
	m.copies = slices.Insert(m.copies, i, e)
	e.copies = append(e.copies, m)
}

// dropCopies takes an engine out of all lists.
func (p *Planner) dropCopies(e *engine) {
	for _, m := range e.copies {
		if i, ok := slices.BinarySearchFunc(m.copies, e.id, byID); ok {
			m.copies = slices.Delete(m.copies, i, i+1)
		}
	}
	e.copies = e.copies[:0]
}
