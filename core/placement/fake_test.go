package placement

import (
	"maps"
	"slices"
	"time"

	"olivetiller/core/directory"
)

// fakeEngine follows the platform's description of an engine and the observed replies. It takes
// one model order at a time, counts the orders it took, and reports late. It accepts a load
// that is already in progress again without checking the count, refuses adapter orders while it
// carries out another order, and is busy while it waits for requests that use an adapter it is
// to drop.
type fakeEngine struct {
	id     string
	start  directory.Start
	taken  int64
	fence  uint64
	models map[string]map[string]fakeAdapter
	disk   map[string]bool
	// work ends at until.
	work  *Order
	until time.Time
	// reports holds the earlier reports, oldest first.
	reports []timedReport
}

// fakeAdapter is loaded at readyAt.
type fakeAdapter struct{ readyAt time.Time }

type timedReport struct {
	at time.Time
	r  Report
}

// lateOrder is an order that arrives after its sender gave up on it.
type lateOrder struct {
	o  *Order
	at time.Time
}

func (f *fakeFleet) start(id string) *fakeEngine {
	e := &fakeEngine{id: id, start: directory.Start(f.now.UnixMilli()), models: make(map[string]map[string]fakeAdapter), disk: make(map[string]bool)}
	f.engines[id] = e
	f.updateEngines()
	return e
}

// advance ends the work that is due, records the reports of all engines and delivers late
// orders.
func (f *fakeFleet) advance() {
	f.holders = slices.DeleteFunc(f.holders, func(h *holder) bool { return !h.until.IsZero() && f.now.After(h.until) })
	for _, id := range slices.Sorted(maps.Keys(f.engines)) {
		e := f.engines[id]
		if e.work != nil && !f.now.Before(e.until) {
			e.end()
		}
		e.reports = append(e.reports, timedReport{f.now, e.report(f.now)})
	}
	var rest []lateOrder
	for _, l := range f.late {
		if f.now.Before(l.at) {
			rest = append(rest, l)
		} else if e := f.engines[l.o.Engine]; e != nil {
			f.logf("late: %s", f.order(e, l.o))
		}
	}
	f.late = rest
}

// end applies the result of the engine's work.
func (e *fakeEngine) end() {
	u := e.work.Unit
	switch {
	case u.Adapter != "":
		delete(e.models[u.Model], u.Adapter)
	case e.work.Unload:
		delete(e.models, u.Model)
	default:
		e.models[u.Model] = make(map[string]fakeAdapter)
		e.disk[u.Model] = true
	}
	e.work = nil
}

func (e *fakeEngine) report(now time.Time) Report {
	r := Report{Start: e.start, Taken: e.taken, Busy: e.work != nil}
	for m, adapters := range e.models {
		h := directory.Held{Model: m}
		for name, a := range adapters {
			if now.Before(a.readyAt) {
				r.LoadingAdapters = append(r.LoadingAdapters, directory.Held{Model: m, Adapters: []string{name}})
			} else {
				h.Adapters = append(h.Adapters, name)
			}
		}
		r.Models = append(r.Models, h)
	}
	for m := range e.disk {
		r.OnDisk = append(r.OnDisk, m)
	}
	return r
}

// probe delivers the latest report that is at least 200 ms old.
func (f *fakeFleet) probe(h *holder, p *Probe) {
	e := f.engines[p.Engine]
	if e == nil {
		h.p.HandleProbeFailure(p.Engine, f.now)
		return
	}
	for i := len(e.reports) - 1; i >= 0; i-- {
		if f.now.Sub(e.reports[i].at) >= 200*time.Millisecond || i == 0 {
			f.logf("%s: report of %v to %d: %+v", e.id, e.reports[i].at.Sub(start), h.fence, e.reports[i].r)
			h.p.HandleReport(p.Engine, &e.reports[i].r, f.now, f.now)
			return
		}
	}
	h.p.HandleProbeFailure(p.Engine, f.now)
}

// order delivers an order to its engine and logs the reply.
func (f *fakeFleet) order(e *fakeEngine, o *Order) Reply {
	before := e.taken
	r := f.take(e, o)
	f.logf("%s: order %v unload=%v fence %d at %d, engine at %d: %v; %s", o.Engine, o.Unit, o.Unload, o.Fence, o.Taken, before, r, o.Reason)
	return r
}

// take returns the engine's reply to an order and applies it. It fails the test if a load
// exceeds the engine's memory.
func (f *fakeFleet) take(e *fakeEngine, o *Order) Reply {
	if o.Fence < e.fence {
		return Fenced
	}
	e.fence = o.Fence
	switch {
	case e.isLoading(o, f.now):
		return Accepted
	case e.work != nil || o.Taken != e.taken:
		return Conflict
	case o.Unit.Adapter != "":
		return f.takeAdapter(e, o)
	}
	if _, held := e.models[o.Unit.Model]; held != o.Unload {
		return NothingToDo
	}
	if used := f.used(e) + 100; !o.Unload && used > f.config.WeightsMB {
		f.t.Fatalf("seed %d: at %v an order would load %s at %s, which needs %v MB of %v", f.seed, f.now.Sub(start), o.Unit.Model, e.id, used, f.config.WeightsMB)
	}
	e.taken++
	// Work sometimes takes longer than expected: an unload waits for running requests.
	longer := pick[time.Duration](f, 0, 0, 0, 100, 1500) * time.Millisecond
	e.work, e.until = o, f.now.Add(50*time.Millisecond+longer)
	if o.Unload {
		return Accepted
	}
	e.until = f.now.Add(800*time.Millisecond + longer)
	if !e.disk[o.Unit.Model] {
		e.until = f.now.Add(6 * time.Second)
		f.load()
	}
	return Accepted
}

// isLoading reports whether the engine is already loading what an order asks for. It accepts
// such an order whatever its count.
func (e *fakeEngine) isLoading(o *Order, now time.Time) bool {
	if o.Unload {
		return false
	}
	if e.work != nil && !e.work.Unload && e.work.Unit == o.Unit {
		return true
	}
	a, there := e.models[o.Unit.Model][o.Unit.Adapter]
	return there && now.Before(a.readyAt)
}

func (f *fakeFleet) takeAdapter(e *fakeEngine, o *Order) Reply {
	adapters, held := e.models[o.Unit.Model]
	if !held {
		return WrongEngine
	}
	if _, there := adapters[o.Unit.Adapter]; there != o.Unload {
		return NothingToDo
	}
	e.taken++
	switch {
	case !o.Unload:
	case f.oneIn(2):
		// The adapter is dropped when the requests that use it end.
		e.work, e.until = o, f.now.Add(f.between(0, 1500))
		return Accepted
	default:
		delete(adapters, o.Unit.Adapter)
		return NothingToDo
	}
	slow := pick[time.Duration](f, 5, 5, 70, 900)
	adapters[o.Unit.Adapter] = fakeAdapter{readyAt: f.now.Add(slow * time.Millisecond)}
	n := 0
	for _, as := range e.models {
		n += len(as)
	}
	if n > f.config.AdapterSlots || f.used(e) > f.config.WeightsMB {
		f.t.Fatalf("seed %d: at %v an order loads adapter %d of %d at %s, %v MB of %v", f.seed, f.now.Sub(start), n, f.config.AdapterSlots, e.id, f.used(e), f.config.WeightsMB)
	}
	return Accepted
}

func (f *fakeFleet) used(e *fakeEngine) float64 {
	used := 0.0
	for _, adapters := range e.models {
		used += 100 + float64(len(adapters))*f.config.Models[0].AdapterMB
	}
	if e.work != nil && !e.work.Unload {
		used += 100
	}
	return used
}

// load records a load from the store and checks the rate limit, including the platform's
// tolerance.
func (f *fakeFleet) load() {
	f.loads = append(f.loads, f.now)
	n := 0
	for _, at := range f.loads {
		if f.now.Sub(at) <= 5*time.Second {
			n++
		}
	}
	if limit := 3*5*1.1 + 3; float64(n) > limit {
		f.t.Fatalf("seed %d: %d loads from the store within 5s, allowed are %.1f", f.seed, n, limit)
	}
}
