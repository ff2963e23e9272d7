package placement

import (
	"slices"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/route"
)

// engine is what the holder knows of one engine.
type engine struct {
	id, address, service string
	draining             bool
	shape                *route.Engine
	// start is the engine's start, 0 where it is not told, and startAt when it became
	// known.
	start   directory.Start
	startAt time.Time
	// limit is how many requests a second the engine takes by its own word; 0 where it names no limit.
	limit float64
	// known is false while the engine's state is in doubt: it gets no orders
	// until it has reported.
	known bool
	// reportedAt is when a report was last taken over; zero if none was.
	reportedAt time.Time
	// doubtSince is when the doubt began; a report of an earlier moment does not
	// end it.
	doubtSince time.Time
	// taken is the number of orders that the engine has taken, and takenAt when the last
	// of them became known.
	taken   int64
	takenAt time.Time
	models  map[string]*held
	// warm and onDisk are the copies in the engine's memory and on its disk.
	warm, onDisk copySet
	// copies are the models of warm and onDisk as of the last plan, copiesChanged is set
	// when these changed since.
	copies        []*modelState
	copiesChanged bool
	// rooms are what the engine could make way in the plan in progress, without and with
	// models of which requests run; nil where not worked out since the last order.
	rooms [2]*room
	// running is how many requests it runs for the models that it holds, by the nodes'
	// reports at the beginning of the plan in progress.
	running int
	// sent is the order whose reply is awaited.
	sent *Order
	// work is the load or unload of a model in progress.
	work *work
	// ended is the latest work, taken as ended at its time and not confirmed yet;
	// nil if there is none.
	ended *work
	// reserved is the model that another one makes way for; its Model is "" when
	// there is none.
	reserved Unit
	// recheckAt is when to ask for a report although no work is in progress; zero
	// for never.
	recheckAt time.Time
	// probing is set while a report is awaited; nextProbe is when to ask again.
	probing   bool
	nextProbe time.Time
	// restUntil is when the next order may be sent after a refused one.
	restUntil time.Time
}

// held is a model that an engine holds, with its adapters.
type held struct {
	since    time.Time
	adapters map[string]*adapter
}

// adapter is an adapter that an engine holds or gets.
type adapter struct {
	// readyAt is when it may be used.
	readyAt time.Time
	lastUse time.Time
	// leaving is set once the engine took an order to drop it while requests used
	// it: its place is taken until a report no longer names it.
	leaving bool
}

func newHeld(now time.Time) *held {
	return &held{since: now, adapters: make(map[string]*adapter)}
}

func newEngine(e *directory.Entry, now time.Time) *engine {
	return &engine{
		id: e.ID, address: e.Address, service: e.Service, start: e.Start, startAt: now, doubtSince: now,
		models: make(map[string]*held), warm: make(copySet), onDisk: make(copySet),
	}
}

// setAdapter notes an adapter that the engine holds from a moment on.
func (e *engine) setAdapter(u Unit, readyAt, now time.Time) {
	if h := e.models[u.Model]; h != nil {
		h.adapters[u.Adapter] = &adapter{readyAt: readyAt, lastUse: now}
	}
}

// leaveAdapter notes that the engine will drop an adapter when no request uses it.
func (e *engine) leaveAdapter(u Unit, now time.Time) {
	if h := e.models[u.Model]; h != nil && h.adapters[u.Adapter] != nil {
		h.adapters[u.Adapter].leaving = true
		e.recheckAt = now.Add(reportAge + adapterTime)
	}
}

// dropAdapter notes that the engine no longer holds an adapter.
func (e *engine) dropAdapter(u Unit) {
	if h := e.models[u.Model]; h != nil {
		delete(h.adapters, u.Adapter)
	}
}

// idle reports whether the engine can take an order for a model now.
func (e *engine) idle(now time.Time) bool {
	return e.takesAdapters(now) && e.work == nil
}

// takesAdapters reports whether the engine can take an order for an adapter now.
func (e *engine) takesAdapters(now time.Time) bool {
	return e.known && e.sent == nil && !e.draining && e.shape != nil && !now.Before(e.restUntil)
}

// serves reports whether the engine holds a model that is not on its way out.
func (e *engine) serves(model string) bool {
	return e.models[model] != nil && !e.leaves(model)
}

// leaves reports whether the engine is unloading a model.
func (e *engine) leaves(model string) bool {
	if e.work != nil && e.work.unload && e.work.unit.Model == model {
		return true
	}
	return e.sent != nil && e.sent.Unload && e.sent.Unit.Adapter == "" && e.sent.Unit.Model == model
}

// loads reports whether the engine is loading a model, or has been told to.
func (e *engine) loads(model string) bool {
	if e.work != nil && !e.work.unload && e.work.unit.Model == model {
		return true
	}
	return e.sent != nil && !e.sent.Unload && e.sent.Unit.Adapter == "" && e.sent.Unit.Model == model
}

// adapters returns how many adapters the engine holds or gets, those of a model
// included whose unload may still go on: engines take adapters meanwhile.
func (e *engine) adapters() int {
	n := 0
	for _, h := range e.models {
		n += len(h.adapters)
	}
	if h := e.leaving(); h != nil {
		n += len(h.adapters)
	}
	return n
}

// leaving returns what an unload drops that was taken as ended and is not confirmed;
// nil if there is none.
func (e *engine) leaving() *held {
	if e.ended == nil || !e.ended.unload {
		return nil
	}
	return e.ended.held
}

// coming returns how many adapters are on their way.
func (e *engine) coming(now time.Time) int {
	n := 0
	for _, h := range e.models {
		for _, a := range h.adapters {
			if a.readyAt.After(now) {
				n++
			}
		}
	}
	return n
}

// freeMB returns the memory for weights that is neither used nor promised.
func (e *engine) freeMB(t *route.Table) float64 {
	free := e.shape.WeightsMB
	for name, h := range e.models {
		free -= e.sizeMB(t, name, h)
	}
	if e.work != nil && !e.work.unload && e.models[e.work.unit.Model] == nil {
		if m := t.Model(e.service, e.work.unit.Model); m != nil {
			free -= m.WeightsMB
		}
	}
	return free
}

// surelyFree is freeMB without what an unload frees that is not confirmed.
func (e *engine) surelyFree(t *route.Table) float64 {
	free := e.freeMB(t)
	if h := e.leaving(); h != nil {
		free -= e.sizeMB(t, e.ended.unit.Model, h)
	}
	return free
}

// books returns what is believed of the engine.
func (e *engine) books(t *route.Table, now time.Time) Books {
	b := Books{Phase: e.phase().String(), FreeMB: e.freeMB(t), Models: len(e.models), Adapters: e.adapters(), Age: -1}
	if !e.reportedAt.IsZero() {
		b.Age = now.Sub(e.reportedAt)
	}
	if w := e.ended; w != nil {
		b.Unconfirmed = w.String()
	}
	return b
}

// sizeMB is the memory that a model takes with its adapters.
func (e *engine) sizeMB(t *route.Table, name string, h *held) float64 {
	m := t.Model(e.service, name)
	if m == nil {
		return 0
	}
	return m.WeightsMB + float64(len(h.adapters))*m.AdapterMB
}

// unknownWeights reports whether the engine holds a model whose size the
// configuration does not tell.
func (e *engine) unknownWeights(t *route.Table) bool {
	for name := range e.models {
		if t.Model(e.service, name) == nil {
			return true
		}
	}
	return false
}

// doubt forgets what is known until the engine has reported a later moment.
func (e *engine) doubt(now time.Time, wait time.Duration) {
	e.known, e.ended = false, nil
	e.doubtSince = now
	e.nextProbe = now.Add(wait)
}

// adopt takes a report over.
func (e *engine) adopt(r *Report, now time.Time) {
	if e.taken != r.Taken {
		e.takenAt = now
	}
	e.taken, e.ended, e.recheckAt, e.reportedAt = r.Taken, nil, time.Time{}, now
	for name := range e.models {
		if !slices.ContainsFunc(r.Models, func(h directory.Held) bool { return h.Model == name }) {
			delete(e.models, name)
		}
	}
	for _, rh := range r.Models {
		h := e.models[rh.Model]
		if h == nil {
			h = newHeld(now)
			e.models[rh.Model] = h
		}
		e.adoptAdapters(h, rh, r.Coming, now)
	}
	warm, onDisk := e.warm.adopt(r.Warm), e.onDisk.adopt(r.OnDisk)
	e.copiesChanged = e.copiesChanged || warm || onDisk
}

// adoptAdapters takes the adapters of a model over that are there or on their way. All
// orders that the engine took are in its report, so that the others are gone.
func (e *engine) adoptAdapters(h *held, there directory.Held, coming []directory.Held, now time.Time) {
	known := h.adapters
	h.adapters = make(map[string]*adapter, len(there.Adapters))
	add := func(name string, readyAt time.Time) {
		a := known[name]
		if a == nil {
			a = &adapter{readyAt: readyAt, lastUse: now}
		}
		h.adapters[name] = a
		if a.leaving {
			e.recheckAt = now.Add(probeEvery)
		}
	}
	for _, name := range there.Adapters {
		add(name, time.Time{})
	}
	for _, c := range coming {
		if c.Model == there.Model {
			add(c.Adapters[0], now.Add(adapterTime))
		}
	}
}
