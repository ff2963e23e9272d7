package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"olivetiller/core/directory"
	"olivetiller/core/route"
)

// fakeEngine is an engine as the platform describes it: it takes one order for a
// model at a time, counts the orders it took, and reports late.
type fakeEngine struct {
	id     string
	taken  int64
	models map[string]map[string]fakeAdapter
	disk   map[string]bool
	// work ends at until.
	work  *Order
	until time.Time
	// past holds the reports of the last moments.
	past []pastReport
}

// fakeAdapter comes at a moment, and goes at another if that is set.
type fakeAdapter struct{ comes, goes time.Time }

type pastReport struct {
	at time.Time
	r  Report
}

// lateOrder is an order that arrives after its sender gave up on it.
type lateOrder struct {
	o  *Order
	at time.Time
}

// fakeFleet plays engines against a planner.
type fakeFleet struct {
	t       *rapid.T
	table   *route.Table
	p       *Planner
	engines map[string]*fakeEngine
	late    []lateOrder
	loads   []time.Time
	now     time.Time
}

// TestOrdersFit plays random demand against engines whose replies are lost, whose
// orders are late and whose processes end, and expects that no order reaches an
// engine that would load more than it has room for, and that the loads from the
// store stay under the ceiling.
func TestOrdersFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeFleet{t: t, table: testTable(t, 7), engines: make(map[string]*fakeEngine), now: start}
		f.p = New(Limits{Window: 5 * time.Second})
		f.p.SetTable(f.table)
		for i := range 3 {
			f.start(fmt.Sprintf("e%d", i))
		}
		for step := range 300 {
			f.now = f.now.Add(time.Duration(rapid.IntRange(5, 300).Draw(t, "ms")) * time.Millisecond)
			f.settle()
			f.demand()
			if rapid.IntRange(0, 60).Draw(t, "crash") == 0 {
				f.replace(step)
			}
			if rapid.IntRange(0, 80).Draw(t, "newHolder") == 0 {
				f.p.Reset(false, f.now)
			}
			for _, a := range f.p.Plan(f.now, 1) {
				f.carryOut(a)
			}
			f.checkIndex()
		}
	})
}

func (f *fakeFleet) start(id string) {
	f.engines[id] = &fakeEngine{id: id, models: make(map[string]map[string]fakeAdapter), disk: make(map[string]bool)}
	f.list()
}

func (f *fakeFleet) list() {
	var entries []*directory.Entry
	for id := range f.engines {
		entries = append(entries, entry(id))
	}
	f.p.SetEngines(entries, f.now)
}

// replace ends an engine; an empty one takes its place.
func (f *fakeFleet) replace(step int) {
	for id := range f.engines {
		if rapid.Bool().Draw(f.t, "this") {
			delete(f.engines, id)
			f.start(fmt.Sprintf("f%d", step))
			return
		}
	}
}

// settle ends the work that is due, notes the reports and delivers late orders.
func (f *fakeFleet) settle() {
	for _, e := range f.engines {
		if e.work != nil && !f.now.Before(e.until) {
			if e.work.Unload {
				delete(e.models, e.work.Unit.Model)
			} else {
				e.models[e.work.Unit.Model] = make(map[string]fakeAdapter)
				e.disk[e.work.Unit.Model] = true
			}
			e.work = nil
		}
		for _, adapters := range e.models {
			for name, a := range adapters {
				if !a.goes.IsZero() && !f.now.Before(a.goes) {
					delete(adapters, name)
				}
			}
		}
		e.past = append(e.past, pastReport{f.now, e.report(f.now)})
	}
	var rest []lateOrder
	for _, l := range f.late {
		if f.now.Before(l.at) {
			rest = append(rest, l)
		} else if e := f.engines[l.o.Engine]; e != nil {
			f.take(e, l.o)
		}
	}
	f.late = rest
}

func (e *fakeEngine) report(now time.Time) Report {
	r := Report{Taken: e.taken, Busy: e.work != nil}
	for m, adapters := range e.models {
		h := directory.Held{Model: m}
		for name, a := range adapters {
			if now.Before(a.comes) {
				r.Coming = append(r.Coming, directory.Held{Model: m, Adapters: []string{name}})
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

func (f *fakeFleet) demand() {
	var uses []Use
	for i := range 7 {
		switch rapid.IntRange(0, 8).Draw(f.t, "use") {
		case 0:
			uses = append(uses, Use{Unit: unit(fmt.Sprintf("m%d", i)), Waiting: 1, Arrivals: 1, Urgent: f.now.Add(time.Second), Last: f.now.Add(time.Second)})
		case 1, 2:
			u := Unit{Service: "s", Model: fmt.Sprintf("m%d", i), Adapter: fmt.Sprintf("a%d", rapid.IntRange(1, 9).Draw(f.t, "adapter"))}
			uses = append(uses, Use{Unit: u, Waiting: 1, Arrivals: 1, Urgent: f.now.Add(time.Second), Last: f.now.Add(time.Second)})
		}
	}
	f.p.Use("n", uses, f.now)
}

func (f *fakeFleet) carryOut(a Action) {
	if a.Probe != nil {
		f.probe(a.Probe)
		return
	}
	e := f.engines[a.Order.Engine]
	switch {
	case e == nil:
		f.p.Replied(a.Order, Gone, f.now)
	case rapid.IntRange(0, 5).Draw(f.t, "lost") == 0:
		f.late = append(f.late, lateOrder{a.Order, f.now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(f.t, "late")) * time.Millisecond)})
		f.p.Replied(a.Order, Lost, f.now)
	default:
		f.p.Replied(a.Order, f.take(e, a.Order), f.now)
	}
}

// probe answers with a report that is some hundred milliseconds old.
func (f *fakeFleet) probe(p *Probe) {
	e := f.engines[p.Engine]
	if e == nil {
		f.p.ProbeFailed(p.Engine, f.now)
		return
	}
	for i := len(e.past) - 1; i >= 0; i-- {
		if f.now.Sub(e.past[i].at) >= 200*time.Millisecond || i == 0 {
			f.p.Reported(p.Engine, &e.past[i].r, f.now, f.now)
			return
		}
	}
	f.p.ProbeFailed(p.Engine, f.now)
}

// take is an order that reaches its engine.
func (f *fakeFleet) take(e *fakeEngine, o *Order) Reply {
	if o.Taken != e.taken {
		return Conflict
	}
	if o.Unit.Adapter != "" {
		return f.takeAdapter(e, o)
	}
	if e.work != nil {
		return Conflict
	}
	if _, held := e.models[o.Unit.Model]; held != o.Unload {
		return Holds
	}
	if used := f.used(e) + 100; !o.Unload && used > 210 {
		f.t.Fatalf("at %v an order would load %s at %s, which needs %d MB of 210", f.now.Sub(start), o.Unit.Model, e.id, used)
	}
	e.taken++
	// Work goes on for longer than known at times: an unload waits for runs.
	longer := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 100, 1500}).Draw(f.t, "longerMs")) * time.Millisecond
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

func (f *fakeFleet) takeAdapter(e *fakeEngine, o *Order) Reply {
	adapters, held := e.models[o.Unit.Model]
	switch {
	case !held:
		return Gone
	case e.work != nil && !e.work.Unload:
		return Conflict
	}
	a, there := adapters[o.Unit.Adapter]
	if there != o.Unload || !a.goes.IsZero() {
		return Holds
	}
	e.taken++
	switch {
	case !o.Unload:
	case rapid.Bool().Draw(f.t, "used"):
		// It goes when the requests that use it end.
		a.goes = f.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(f.t, "usedMs")) * time.Millisecond)
		adapters[o.Unit.Adapter] = a
		return Accepted
	default:
		delete(adapters, o.Unit.Adapter)
		return Holds
	}
	slow := time.Duration(rapid.SampledFrom([]int{5, 5, 70, 900}).Draw(f.t, "adapterMs"))
	adapters[o.Unit.Adapter] = fakeAdapter{comes: f.now.Add(slow * time.Millisecond)}
	n := 0
	for _, as := range e.models {
		n += len(as)
	}
	if n > 4 || f.used(e) > 210 {
		f.t.Fatalf("at %v an order loads adapter %d of 4 at %s, %d MB of 210", f.now.Sub(start), n, e.id, f.used(e))
	}
	return Accepted
}

func (f *fakeFleet) used(e *fakeEngine) int {
	used := 0
	for _, adapters := range e.models {
		used += 100 + len(adapters)
	}
	if e.work != nil && !e.work.Unload {
		used += 100
	}
	return used
}

// load notes a load from the store and checks the ceiling.
func (f *fakeFleet) load() {
	f.loads = append(f.loads, f.now)
	n := 0
	for _, at := range f.loads {
		if f.now.Sub(at) <= 5*time.Second {
			n++
		}
	}
	if limit := 3*5*1.1 + 3; float64(n) > limit {
		f.t.Fatalf("%d loads from the store within 5s, allowed are %.1f", n, limit)
	}
}

// checkIndex expects that what the planner keeps between plans is what the engines'
// copies and the nodes' reports come to.
func (f *fakeFleet) checkIndex() {
	f.p.indexCopies()
	for unit, m := range f.p.models {
		var copies []string
		for _, e := range f.p.order {
			if e.keepsCopy(unit.Model) {
				copies = append(copies, e.id)
			}
		}
		var kept []string
		for _, e := range m.copies {
			kept = append(kept, e.id)
		}
		if diff := cmp.Diff(copies, kept); diff != "" {
			f.t.Fatalf("copies of %v (-want +got):\n%s", unit, diff)
		}
		waiting, at := 0, make(map[string]int)
		for _, u := range m.uses {
			for _, r := range u.nodes {
				waiting += r.Waiting
				for engine, k := range r.RunningAt {
					at[engine] += k
				}
			}
		}
		if diff := cmp.Diff(at, m.at); diff != "" || waiting != m.waiting {
			f.t.Fatalf("%v: %d wait, want %d; running (-want +got):\n%s", unit, m.waiting, waiting, diff)
		}
	}
}
