package placement

import (
	"slices"
	"strings"
	"time"

	"olivetiller/core/admit"
	"olivetiller/core/directory"
	"olivetiller/core/route"
)

// Times and limits of the planner.
const (
	// probeEvery is the time between two reports of an engine that is awaited.
	probeEvery = 70 * time.Millisecond
	// reportAge is the usual age of a report, "some hundred milliseconds" by the
	// platform's word and 200 on the deployments known; reportLag is the most that
	// is reckoned with.
	reportAge = 190 * time.Millisecond
	reportLag = 400 * time.Millisecond
	// adapterTime is how long an adapter takes to come; the platform says "some
	// milliseconds".
	adapterTime = 12 * time.Millisecond
	// refusedRest is how long an engine gets no order after it refused one.
	refusedRest = 100 * time.Millisecond
	// adaptersComing is how many adapters may be on their way to an engine.
	adaptersComing = 4
)

// Limits bound the loads from the weight store beyond the configured rate.
type Limits struct {
	// Window is the time over which loads are counted.
	Window time.Duration
}

// Planner is the holder's state. It is not safe for concurrent use.
type Planner struct {
	limits  Limits
	table   *route.Table
	engines map[string]*engine
	order   []*engine
	// uses holds the units that were ever in use.
	uses map[Unit]*use
	// models holds the models that were ever in use, held or kept; list is the same.
	models map[Unit]*modelState
	list   []*modelState
	// nodes holds each node's latest report.
	nodes map[string]*nodeReport
	// storeLoads holds when loads from the weight store began, within the window.
	storeLoads []time.Time
	// store follows how many of them run at full speed.
	store   storeRate
	readyAt map[Unit]time.Time
	// unloads follows how long unloads wait for running requests.
	unloads admit.Estimate
	// histories holds what is remembered of each engine's id.
	histories map[string]*history
	// foreignUntil is until when orders of a former holder may still be carried out.
	foreignUntil time.Time
	// again holds the starts of engines under known ids that nobody was told of.
	again []StartedAgain
	fence uint64
	// fenced is set once an engine has seen a higher fence.
	fenced bool
	wakeAt time.Time
}

// New returns a planner that knows no engine.
func New(limits Limits) *Planner {
	return &Planner{
		limits: limits, engines: make(map[string]*engine), uses: make(map[Unit]*use),
		models: make(map[Unit]*modelState), nodes: make(map[string]*nodeReport), histories: make(map[string]*history), readyAt: make(map[Unit]time.Time), store: newStoreRate(),
	}
}

// Reset puts every engine in doubt: another node may have given orders since.
// first is true when there never was another.
func (p *Planner) Reset(first bool, now time.Time) {
	for _, e := range p.order {
		p.noteLate(e.sent, now)
		e.sent, e.work, e.probing, e.reserved = nil, nil, false, Unit{}
		e.doubt(now, 0)
	}
	p.storeLoads, p.fenced = nil, false
	if first {
		return
	}
	p.foreignUntil = now.Add(lateOrders)
	// What the former holder loaded within the window is not known: as much as
	// is allowed is taken to have begun just now, but for one load.
	for range max(0, p.allowedLoads()-1) {
		p.storeLoads = append(p.storeLoads, now)
	}
}

// SetTable puts a configuration in force.
func (p *Planner) SetTable(t *route.Table) {
	p.table = t
	for _, e := range p.order {
		e.shape = p.shape(e.service)
	}
	for _, m := range p.list {
		m.spec = t.Model(m.unit.Service, m.unit.Model)
	}
}

func (p *Planner) shape(service string) *route.Engine {
	if p.table == nil {
		return nil
	}
	if s := p.table.Service(service); s != nil {
		return s.Engine
	}
	return nil
}

// SetEngines takes the list of live endpoints over.
func (p *Planner) SetEngines(entries []*directory.Entry, now time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, en := range entries {
		shape := p.shape(en.Service)
		if shape == nil {
			continue
		}
		listed[en.ID] = true
		e := p.listed(en, now)
		e.address, e.draining, e.shape = en.Address, en.Draining, shape
	}
	p.order = p.order[:0]
	for id, e := range p.engines {
		if !listed[id] {
			p.noteLate(e.sent, now)
			p.dropCopies(e)
			delete(p.engines, id)
			continue
		}
		p.order = append(p.order, e)
	}
	slices.SortFunc(p.order, func(a, b *engine) int { return byID(a, b.id) })
}

// listed returns the engine of an entry, which is new or started again where the entry says
// so.
func (p *Planner) listed(en *directory.Entry, now time.Time) *engine {
	before := p.histories[en.ID] != nil
	h := p.history(en.ID)
	h.seenAt = now
	e := p.engines[en.ID]
	switch {
	case e != nil && en.Start.Newer(e.start):
		p.startAgain(e, en.Start, now, now)
	case e != nil && e.start == 0:
		e.start, h.start = en.Start, en.Start
	case e == nil:
		e = newEngine(en, now)
		p.engines[en.ID] = e
		// Its entry had gone: it may have started again.
		if before && (h.start != en.Start || en.Start == 0 && len(h.late) > 0) {
			p.startAgain(e, en.Start, now, now)
		}
		h.start = en.Start
	}
	return e
}

// byID orders engines.
func byID(e *engine, id string) int { return strings.Compare(e.id, id) }

// Use takes a node's report of use in. It is whole: units that it does not name
// are not in use there.
func (p *Planner) Use(node string, reports []Use, now time.Time) {
	n := p.nodes[node]
	if n == nil {
		n = &nodeReport{}
		p.nodes[node] = n
	}
	n.withdraw(node)
	n.at = now
	for _, r := range reports {
		u := p.use(r.Unit, now)
		u.add(node, r, now)
		n.uses = append(n.uses, u)
		p.touchAdapter(r, now)
	}
}

// use returns the use of a unit, which begins with the first report of it.
func (p *Planner) use(unit Unit, now time.Time) *use {
	u := p.uses[unit]
	if u == nil {
		m := p.model(unit.Base())
		if len(m.uses) == 0 {
			m.peak.at = now
		}
		u = &use{model: m, nodes: make(map[string]Use), at: make(map[string]int), rateAt: now}
		p.uses[unit] = u
		m.uses = append(m.uses, u)
	}
	return u
}

// expireUses drops the reports of nodes that are no longer heard of.
func (p *Planner) expireUses(now time.Time) {
	for node, n := range p.nodes {
		if now.Sub(n.at) > useLife {
			n.withdraw(node)
			delete(p.nodes, node)
		}
	}
}

// touchAdapter notes the use of an adapter where it is held.
func (p *Planner) touchAdapter(r Use, now time.Time) {
	if r.Unit.Adapter == "" {
		return
	}
	for id := range r.RunningAt {
		if e := p.engines[id]; e != nil && e.models[r.Unit.Model] != nil {
			if a := e.models[r.Unit.Model].adapters[r.Unit.Adapter]; a != nil {
				a.lastUse = now
			}
		}
	}
}

// Missing notes that an engine said that it does not hold a unit.
func (p *Planner) Missing(engine string, now time.Time) {
	if e := p.engines[engine]; e != nil && e.known {
		e.doubt(now, reportLag)
	}
}

// Replied takes the reply to an order in.
func (p *Planner) Replied(o *Order, r Reply, now time.Time) {
	e := p.engines[o.Engine]
	if e == nil || e.sent != o {
		return
	}
	e.sent = nil
	switch r {
	case Accepted:
		e.taken, e.takenAt = e.taken+1, now
		// A report that came in meanwhile may have taken work up again that has ended: begun
		// work would replace it, and what it loaded would take up no room.
		p.workOver(e, now)
		if o.Unit.Adapter == "" || e.ended != nil && !e.ended.unload {
			// The engine carries out one order for a model at a time, and takes no
			// adapter while it loads one.
			p.confirm(e, now)
		}
		p.began(e, o, now)
	case Holds:
		if o.Unload && o.Unit.Adapter != "" {
			// An adapter that nothing uses is dropped at once, and that counts as an
			// order taken.
			e.taken, e.takenAt = e.taken+1, now
		}
		p.workOver(e, now)
		p.done(e, o, now)
	case Conflict:
		if e.refusedEarly(o, now) {
			return
		}
		e.restUntil = now.Add(refusedRest)
		if o.Unit.Adapter != "" && e.work != nil {
			// The engine is busy with a model, and may well have taken no other order.
			return
		}
		e.doubt(now, reportLag)
	default:
		if r == Lost {
			p.noteLate(o, now)
		}
		p.fenced = p.fenced || r == Fenced
		e.doubt(now, reportLag)
		e.restUntil = now.Add(refusedRest)
	}
}

// Fenced reports whether an engine has seen a higher fence since the last Reset:
// another node is the holder.
func (p *Planner) Fenced() bool { return p.fenced }

// began notes that an engine carries an order out.
func (p *Planner) began(e *engine, o *Order, now time.Time) {
	switch {
	case o.Unit.Adapter == "":
		p.begin(e, o, now)
	case o.Unload:
		e.leaveAdapter(o.Unit, now)
	default:
		e.setAdapter(o.Unit, now.Add(adapterTime), now)
	}
}

// done notes that there was nothing left to be carried out.
func (p *Planner) done(e *engine, o *Order, now time.Time) {
	name := o.Unit.Model
	switch {
	case o.Unit.Adapter != "" && o.Unload:
		e.dropAdapter(o.Unit)
	case o.Unit.Adapter != "":
		e.setAdapter(o.Unit, now, now)
	case o.Unload:
		delete(e.models, name)
	default:
		if e.models[name] == nil {
			e.models[name] = newHeld(now)
		}
	}
}

// Reported takes an engine's report in, asked for at a time.
func (p *Planner) Reported(id string, r *Report, askedAt, now time.Time) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.probing = false
	e.nextProbe = now.Add(probeEvery)
	if p.formerStart(e, r, askedAt, now) {
		return
	}
	if !e.known {
		// The report may be of a moment before the doubt began.
		if !e.doubtSince.IsZero() && askedAt.Before(e.doubtSince) {
			return
		}
		e.known = true
		p.resume(e, r, now)
		return
	}
	if r.Taken < e.taken {
		return
	}
	if r.Busy && e.work != nil {
		e.nextProbe = now.Add(e.work.probePause())
		return
	}
	if r.Busy && e.ended != nil {
		if !askedAt.Before(e.ended.expected.Add(reportLag)) {
			e.reopen(false, now)
		}
		return
	}
	p.resume(e, r, now)
}

// resume takes a report over as the engine's state.
func (p *Planner) resume(e *engine, r *Report, now time.Time) {
	e.adopt(r, now)
	switch {
	case !r.Busy:
		if e.work != nil && e.work.unload {
			p.waited(e.work, now.Add(-reportAge))
		}
		if e.work != nil && e.work.fromStore {
			p.storeEnded(e.work, now.Add(-reportAge))
		}
		e.work = nil
	case e.work == nil:
		// An order of somebody else is in progress; what it is for is not told.
		e.doubt(now, probeEvery)
	}
}

// ProbeFailed notes that a report did not come.
func (p *Planner) ProbeFailed(id string, now time.Time) {
	if e := p.engines[id]; e != nil {
		e.probing = false
		e.nextProbe = now.Add(reportLag)
	}
}

// Serving returns the units that each engine whose state is known can serve now.
func (p *Planner) Serving(now time.Time) map[string][]Unit {
	out := make(map[string][]Unit, len(p.order))
	for _, e := range p.order {
		if e.shape == nil || (!e.known && len(e.models) == 0) {
			continue
		}
		units := []Unit{}
		for name, h := range e.models {
			if e.leaves(name) {
				continue
			}
			units = append(units, Unit{Service: e.service, Model: name})
			for a, ad := range h.adapters {
				if !ad.leaving && !ad.readyAt.After(now) {
					units = append(units, Unit{Service: e.service, Model: name, Adapter: a})
				}
			}
		}
		slices.SortFunc(units, Unit.compare)
		out[e.id] = units
	}
	return out
}

// ReadyAt returns when units that wait for a load are expected to be served.
func (p *Planner) ReadyAt() map[Unit]time.Time { return p.readyAt }

// WakeAt returns when the next call of Plan is due even if nothing happens.
func (p *Planner) WakeAt() time.Time { return p.wakeAt }

func (p *Planner) wake(at time.Time) {
	if p.wakeAt.IsZero() || at.Before(p.wakeAt) {
		p.wakeAt = at
	}
}

// allowedLoads is how many loads from the weight store may begin in a window. The
// overage is left as a reserve for loads whose beginning is not known exactly.
func (p *Planner) allowedLoads() int {
	rate := 0.0
	if p.table == nil {
		return 0
	}
	for _, s := range p.table.Config.Services {
		if s.Engine != nil {
			rate = max(rate, s.Engine.LoadsPerSecond)
		}
	}
	return max(1, int(rate*p.limits.Window.Seconds()))
}

// forgetStoreLoads drops the loads from the store that began before the window.
func (p *Planner) forgetStoreLoads(now time.Time) {
	p.storeLoads = slices.DeleteFunc(p.storeLoads, func(at time.Time) bool { return now.Sub(at) >= p.limits.Window })
}

// mayLoadFromStore reports whether a load of a model from the store may begin. The last
// places are kept for busy models: where engines were replaced four times within 24 s, one
// with 60 requests a second that no engine served any more waited 4.5 s for single
// requests' models, and was refused 700 times.
func (g *planning) mayLoadFromStore(m *modelState, urgent bool) bool {
	if len(g.storeLoads) >= g.allowedLoads() {
		g.wake(g.storeLoads[0].Add(g.limits.Window))
		return false
	}
	limit := g.store.atOnce
	if urgent && m.rate >= busyRate {
		limit += g.store.busyExtra()
	}
	return g.storeBusy < limit
}

// StoreLoadsAtOnce returns how many loads from the weight store are thought to run at
// full speed at once.
func (p *Planner) StoreLoadsAtOnce() int { return p.store.atOnce }

// followStore takes in how many loads from the store are in progress, and those that
// last longer than alone.
func (p *Planner) followStore(now time.Time) {
	p.store.advance(now, p.loading())
	for _, e := range p.order {
		if w := e.work; w != nil && w.fromStore {
			p.store.lasts(w.began, now, w.full, p.store.integral(now)-w.storeSum)
		}
	}
}

// storeEnded takes in that a load from the store has ended.
func (p *Planner) storeEnded(w *work, end time.Time) {
	p.store.ended(w.began, end, w.full, p.store.integral(end)-w.storeSum)
}

// fullSpeed is how long a load of a model from the store takes without others.
func (p *Planner) fullSpeed(u Unit) time.Duration {
	if m := p.model(u).spec; m != nil {
		return m.Load
	}
	return 0
}

// loading is how many loads from the weight store are in progress.
func (p *Planner) loading() int {
	n := 0
	for _, e := range p.order {
		if e.work != nil && e.work.fromStore || e.sent != nil && e.sent.FromStore {
			n++
		}
	}
	return n
}
