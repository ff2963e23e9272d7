package placement

import (
	"slices"
	"strings"
	"time"

	"olivetiller/core/admit"
	"olivetiller/core/directory"
	"olivetiller/core/queue"
	"olivetiller/core/route"
)

// Times and limits of the planner.
const (
	// probeInterval is the least time between two probes of an engine whose report is needed.
	probeInterval = 70 * time.Millisecond
	// reportAge is the usual age of a report when it arrives: "some hundred milliseconds" in
	// the platform's description, 200 ms on the known deployments. maxReportAge is the greatest
	// age that the planner allows for.
	reportAge    = 190 * time.Millisecond
	maxReportAge = 400 * time.Millisecond
	// adapterLoadTime is how long an adapter takes to load: "some milliseconds" in the
	// platform's description.
	adapterLoadTime = 12 * time.Millisecond
	// refusalBackoff is how long an engine gets no order after it refused one.
	refusalBackoff = 100 * time.Millisecond
	// maxLoadingAdapters bounds the adapters that an engine loads at the same time.
	maxLoadingAdapters = 4
)

// Limits configures how loads from the weight store are counted against the configured rate
// (LoadsPerSecond of the engine configuration).
type Limits struct {
	// Window is the length of the sliding window over which loads are counted.
	Window time.Duration
}

// Planner decides loads and unloads for the holder of the placement lease. Other nodes keep one
// too and call Reset when they become the holder. It is not safe for concurrent use.
type Planner struct {
	limits Limits
	// mixes are the prompts of the services, as of the last plan.
	mixes mixes
	// paces holds the paces of engines by id; see SetPaces.
	paces      map[string]float64
	table      *route.Table
	engines    map[string]*engine
	engineList []*engine
	// usages holds the units for which a usage report ever came.
	usages map[Unit]*usage
	// bound holds the usage by requests that are bound to a build.
	bound map[BoundUnit]*usage
	// models holds the models that were ever requested, held or kept as a copy; modelList has
	// the same elements.
	models    map[Unit]*modelState
	modelList []*modelState
	// nodes holds the latest usage report of each node.
	nodes map[string]*nodeReport
	// storeLoads holds the start times of the loads from the weight store within Limits.Window,
	// oldest first.
	storeLoads []time.Time
	// store estimates how many loads the weight store runs at full speed at the same time.
	store storeConcurrency
	// readyAt is the result of ReadyAt.
	readyAt map[Unit]time.Time
	// boundReadyAt is the result of BoundReadyAt.
	boundReadyAt map[BoundUnit]time.Time
	// modelTurns, boundTurns and adapterTurns decide when loads for overdue requests go ahead of more urgent ones.
	modelTurns, boundTurns, adapterTurns queue.Turns
	// drainPerRun estimates how long one running request delays the unload of its model.
	drainPerRun admit.Estimate
	// histories holds what outlasts an engine's incarnation and directory entry, by engine id.
	histories map[string]*history
	// formerHolderUntil is until when engines may still carry out orders of a former lease
	// holder.
	formerHolderUntil time.Time
	// restarts holds the engine restarts not yet returned by Restarts.
	restarts []Restart
	// backoffs holds the load backoffs not yet returned by LoadBackoffs.
	backoffs []LoadBackoff
	fence    uint64
	// fenced is set once an engine has refused an order because it has seen a higher fencing
	// number.
	fenced bool
	wakeAt time.Time
}

// New returns a planner without engines or configuration. Plan returns nothing until SetTable
// is called.
func New(limits Limits) *Planner {
	return &Planner{
		limits: limits, engines: make(map[string]*engine), usages: make(map[Unit]*usage),
		models: make(map[Unit]*modelState), nodes: make(map[string]*nodeReport), histories: make(map[string]*history), readyAt: make(map[Unit]time.Time), bound: make(map[BoundUnit]*usage), boundReadyAt: make(map[BoundUnit]time.Time), store: newStoreConcurrency(),
	}
}

// Reset makes the state of every engine unknown, for a node that has just become the lease
// holder: another holder may have given orders since. first is true if there was no holder
// before.
func (p *Planner) Reset(first bool, now time.Time) {
	for _, e := range p.engineList {
		p.recordUnanswered(e.pending, now)
		e.pending, e.work, e.probing, e.reserved = nil, nil, false, Unit{}
		e.invalidate(now, 0)
	}
	p.storeLoads, p.fenced = nil, false
	if first {
		return
	}
	p.formerHolderUntil = now.Add(maxOrderDelay)
	// The loads of the former holder within the window are unknown. Assume that it started all
	// allowed loads just now, except for one.
	for range max(0, p.allowedLoads()-1) {
		p.storeLoads = append(p.storeLoads, now)
	}
}

// SetTable puts a configuration in force, which takes effect at the next plan.
func (p *Planner) SetTable(t *route.Table) {
	p.table = t
	for _, e := range p.engineList {
		e.config = p.config(e.service)
	}
	for _, m := range p.modelList {
		m.spec = t.Model(m.unit.Service, m.unit.Model)
	}
}

// config returns the engine configuration of a service; nil if the service has none.
func (p *Planner) config(service string) *route.Engine {
	if p.table == nil {
		return nil
	}
	if s := p.table.Service(service); s != nil {
		return s.Engine
	}
	return nil
}

// SetEngines replaces the list of live engines. Entries of services without models are ignored.
// An engine that is no longer listed is forgotten; if it was loading a model and not draining,
// this counts as a crash of the load.
func (p *Planner) SetEngines(entries []*directory.Entry, now time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, en := range entries {
		config := p.config(en.Service)
		if config == nil {
			continue
		}
		listed[en.ID] = true
		e := p.listedEngine(en, now)
		e.address, e.build, e.draining, e.config = en.Address, en.Build, en.Draining, config
	}
	p.expireHistories(now)
	p.engineList = p.engineList[:0]
	for id, e := range p.engines {
		if !listed[id] {
			p.recordCrash(e, now)
			p.recordUnanswered(e.pending, now)
			p.dropCopies(e)
			delete(p.engines, id)
			continue
		}
		p.engineList = append(p.engineList, e)
	}
	slices.SortFunc(p.engineList, func(a, b *engine) int { return compareID(a, b.id) })
}

// listedEngine returns the engine of a directory entry. It creates the engine if it is new and
// handles a restart if the entry shows one.
func (p *Planner) listedEngine(en *directory.Entry, now time.Time) *engine {
	seenBefore := p.histories[en.ID] != nil
	h := p.history(en.ID)
	h.seenAt = now
	e := p.engines[en.ID]
	switch {
	case e != nil && en.Start.Newer(e.start):
		p.handleRestart(e, en.Start, now, now)
	case e != nil && e.start == 0:
		e.start, h.start = en.Start, en.Start
	case e == nil:
		e = newEngine(en, now)
		p.engines[en.ID] = e
		// The entry was gone for a while, so the engine may have restarted.
		if seenBefore && (h.start != en.Start || en.Start == 0 && len(h.unanswered) > 0) {
			p.handleRestart(e, en.Start, now, now)
		}
		h.start = en.Start
	}
	return e
}

// compareID orders engines by id.
func compareID(e *engine, id string) int { return strings.Compare(e.id, id) }

// Fenced reports whether an engine has seen a higher fencing number since the last Reset, which
// means that another node holds the lease.
func (p *Planner) Fenced() bool { return p.fenced }

// Serving returns the units that each engine can serve now, by engine id. Engines with unknown
// state and no known models are left out.
func (p *Planner) Serving(now time.Time) map[string][]Unit {
	out := make(map[string][]Unit, len(p.engineList))
	for _, e := range p.engineList {
		if e.config == nil || (!e.known && len(e.models) == 0) {
			continue
		}
		units := []Unit{}
		for name, h := range e.models {
			if e.isUnloading(name) {
				continue
			}
			units = append(units, Unit{Service: e.service, Model: name})
			for a, ad := range h.adapters {
				if !ad.unloading && !ad.readyAt.After(now) {
					units = append(units, Unit{Service: e.service, Model: name, Adapter: a})
				}
			}
		}
		slices.SortFunc(units, Unit.compare)
		out[e.id] = units
	}
	return out
}

// Unknown returns the ids of the engines of which nothing is known: no report has come since
// the planner learned of the engine.
func (p *Planner) Unknown() []string {
	var out []string
	for _, e := range p.engineList {
		if e.config != nil && !e.known && len(e.models) == 0 {
			out = append(out, e.id)
		}
	}
	return out
}

// ReadyAt returns when units that wait for a load are expected to be served, as of the last
// plan.
func (p *Planner) ReadyAt() map[Unit]time.Time { return p.readyAt }

// WakeAt returns when Plan must be called again even if no event occurs; zero if it need not
// be.
func (p *Planner) WakeAt() time.Time { return p.wakeAt }

// wake makes sure that WakeAt is not after a time.
func (p *Planner) wake(at time.Time) {
	if p.wakeAt.IsZero() || at.Before(p.wakeAt) {
		p.wakeAt = at
	}
}
