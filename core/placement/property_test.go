package placement

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"olivetiller/core/directory"
	"olivetiller/core/route"
)

// fakeEngine is an engine as the platform describes it and as one was seen to answer: it
// takes one order for a model at a time, counts the orders it took, and reports late. It
// takes a load that is on its way once more without a look at the count, refuses orders
// for adapters while it carries another one out, and is busy while it waits for requests
// that use an adapter which it is to drop.
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
	// past holds the reports of the last moments.
	past []pastReport
}

// fakeAdapter comes at a moment.
type fakeAdapter struct{ comes time.Time }

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
	t     *testing.T
	seed  uint64
	rand  *rand.Rand
	table *route.Table
	shape *route.Engine
	// nodes know the engines; holders are those of them that give orders.
	nodes   []*Planner
	holders []*holder
	engines map[string]*fakeEngine
	late    []lateOrder
	loads   []time.Time
	now     time.Time
}

// plays is how many plays of 300 steps the property test makes.
var plays = flag.Int("plays", 150, "plays of the property test, each with its own seed")

// playSeed is the only play to make, with a line for each thing that happens.
var playSeed = flag.Int("playSeed", -1, "the only play of the property test, logged; -1: all")

// TestOrdersFit plays random demand against engines whose replies are lost, whose
// orders are late and whose processes end, and expects that no order reaches an
// engine that would load more than it has room for, and that the loads from the
// store stay under the ceiling.
func TestOrdersFit(t *testing.T) {
	seeds := append(slices.Clone(failedOnce), seedsTo(*plays)...)
	if *playSeed >= 0 {
		seeds = []uint64{uint64(*playSeed)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed)
			for step := range 300 {
				f.step(step)
			}
		})
	}
}

// failedOnce are the seeds of plays in which an engine was given too much: a late order found
// its count reached again by an engine that had started again, or a load was forgotten. In
// 3337 two late loads were carried out one after the other.
var failedOnce = []uint64{
	1083, 1620, 2406, 2837, 3337, 5028, 6551, 8197, 10482, 12971, 15679, 17107, 17981, 18260, 19016, 21705, 23009, 23444,
	24490, 26114, 27882, 28288, 29252,
}

// seedsTo returns the seeds below n.
func seedsTo(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i)
	}
	return out
}

// step plays some moments.
func (f *fakeFleet) step(n int) {
	f.now = f.now.Add(f.between(5, 300))
	f.settle()
	f.demand()
	switch {
	case f.oneIn(60):
		f.replace(n)
	case f.oneIn(60):
		f.restart()
	case f.oneIn(80):
		f.newHolder()
	}
	for _, h := range slices.Clone(f.holders) {
		for _, a := range h.p.Plan(f.now, h.fence) {
			f.carryOut(h, a)
		}
		f.checkIndex(h.p)
	}
}

// holder is a node that gives orders, the last one of them with the right to.
type holder struct {
	p     *Planner
	fence uint64
	// until is when a former holder stops; it does not know yet that it is one.
	until time.Time
}

// newHolder gives the lease to another node, or to the same one once more. The former holder
// may go on for a while.
func (f *fakeFleet) newHolder() {
	last := f.holders[len(f.holders)-1]
	p := pick(f, f.nodes...)
	p.Reset(false, f.now)
	if p == last.p {
		last.fence++
		return
	}
	f.holders = slices.DeleteFunc(f.holders, func(h *holder) bool { return h.p == p })
	last.until = f.now.Add(f.between(0, 1500))
	f.holders = append(f.holders, &holder{p: p, fence: last.fence + 1})
}

// logf tells what happens in a play that is made alone.
func (f *fakeFleet) logf(format string, args ...any) {
	if *playSeed >= 0 {
		f.t.Logf("%8v "+format, append([]any{f.now.Sub(start)}, args...)...)
	}
}

// oneIn is true once in n times.
func (f *fakeFleet) oneIn(n int) bool { return f.rand.IntN(n) == 0 }

// between draws a time, in ms.
func (f *fakeFleet) between(least, most int) time.Duration {
	return time.Duration(least+f.rand.IntN(most-least+1)) * time.Millisecond
}

// pick draws one of some values.
func pick[T any](f *fakeFleet, values ...T) T { return values[f.rand.IntN(len(values))] }

// newFleet returns three engines, empty or full from the beginning, with room for two or
// three models; where adapters are large, room for these ends before their places.
func newFleet(t *testing.T, seed uint64) *fakeFleet {
	f := &fakeFleet{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 0)), table: testTable(t, 7), engines: make(map[string]*fakeEngine), now: start}
	f.shape = f.table.Config.Services[0].Engine
	fits := pick(f, 2, 3)
	f.shape.WeightsMB = float64(100*fits + 10)
	adapterMB := pick(f, 1.0, 3)
	for i := range f.shape.Models {
		f.shape.Models[i].AdapterMB = adapterMB
	}
	for range 3 {
		p := New(Limits{Window: 5 * time.Second})
		p.SetTable(f.table)
		f.nodes = append(f.nodes, p)
	}
	f.holders = []*holder{{p: f.nodes[0], fence: 1}}
	full := f.oneIn(2)
	for i := range 3 {
		e := f.start(fmt.Sprintf("e%d", i))
		for j := 0; full && j < fits; j++ {
			m := fmt.Sprintf("m%d", (i+j)%7)
			e.models[m], e.disk[m] = make(map[string]fakeAdapter), true
		}
	}
	return f
}

func (f *fakeFleet) start(id string) *fakeEngine {
	e := &fakeEngine{id: id, start: directory.Start(f.now.UnixMilli()), models: make(map[string]map[string]fakeAdapter), disk: make(map[string]bool)}
	f.engines[id] = e
	f.list()
	return e
}

func (f *fakeFleet) list() {
	var entries []*directory.Entry
	for id := range f.engines {
		en := entry(id)
		en.Start = f.engines[id].start
		entries = append(entries, en)
	}
	for _, p := range f.nodes {
		p.SetEngines(entries, f.now)
	}
}

// replace ends an engine; an empty one takes its place.
func (f *fakeFleet) replace(step int) {
	for _, id := range slices.Sorted(maps.Keys(f.engines)) {
		if f.oneIn(2) {
			delete(f.engines, id)
			f.start(fmt.Sprintf("f%d", step))
			return
		}
	}
}

// restart starts an engine again under its id: it holds nothing, and counts anew. Its disk
// lasts.
func (f *fakeFleet) restart() {
	for _, id := range slices.Sorted(maps.Keys(f.engines)) {
		if f.oneIn(2) {
			f.logf("%s: starts again", id)
			e := f.engines[id]
			e.start = directory.Start(f.now.UnixMilli())
			e.taken, e.fence, e.models, e.work, e.past = 0, 0, make(map[string]map[string]fakeAdapter), nil, nil
			f.list()
			return
		}
	}
}

// settle ends the work that is due, notes the reports and delivers late orders.
func (f *fakeFleet) settle() {
	f.holders = slices.DeleteFunc(f.holders, func(h *holder) bool { return !h.until.IsZero() && f.now.After(h.until) })
	for _, id := range slices.Sorted(maps.Keys(f.engines)) {
		e := f.engines[id]
		if e.work != nil && !f.now.Before(e.until) {
			e.end()
		}
		e.past = append(e.past, pastReport{f.now, e.report(f.now)})
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

// end ends the work.
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
		switch f.rand.IntN(9) {
		case 0:
			uses = append(uses, Use{Unit: unit(fmt.Sprintf("m%d", i)), Waiting: 1, Arrivals: 1, Urgent: f.now.Add(time.Second), Last: f.now.Add(time.Second)})
		case 1, 2:
			u := Unit{Service: "s", Model: fmt.Sprintf("m%d", i), Adapter: fmt.Sprintf("a%d", 1+f.rand.IntN(9))}
			uses = append(uses, Use{Unit: u, Waiting: 1, Arrivals: 1, Urgent: f.now.Add(time.Second), Last: f.now.Add(time.Second)})
		}
	}
	for _, p := range f.nodes {
		p.Use("n", uses, f.now)
	}
	f.miss()
}

// miss tells the holders of requests that met an engine which lacks their model.
func (f *fakeFleet) miss() {
	for _, h := range f.holders {
		for _, id := range slices.Sorted(maps.Keys(h.p.engines)) {
			for _, m := range slices.Sorted(maps.Keys(h.p.engines[id].models)) {
				if _, there := f.engines[id].models[m]; !there && f.oneIn(8) {
					h.p.Missing(id, f.now)
				}
			}
		}
	}
}

func (f *fakeFleet) carryOut(h *holder, a Action) {
	if a.Probe != nil {
		f.probe(h, a.Probe)
		return
	}
	e := f.engines[a.Order.Engine]
	switch {
	case e == nil:
		h.p.Replied(a.Order, Gone, f.now)
	case f.oneIn(6):
		f.logf("%s: order %v unload=%v fence %d at %d is late", e.id, a.Order.Unit, a.Order.Unload, a.Order.Fence, a.Order.Taken)
		f.late = append(f.late, lateOrder{a.Order, f.now.Add(f.between(0, 12000))})
		h.p.Replied(a.Order, Lost, f.now)
	default:
		h.p.Replied(a.Order, f.order(e, a.Order), f.now)
	}
}

// probe answers with a report that is some hundred milliseconds old.
func (f *fakeFleet) probe(h *holder, p *Probe) {
	e := f.engines[p.Engine]
	if e == nil {
		h.p.ProbeFailed(p.Engine, f.now)
		return
	}
	for i := len(e.past) - 1; i >= 0; i-- {
		if f.now.Sub(e.past[i].at) >= 200*time.Millisecond || i == 0 {
			f.logf("%s: report of %v to %d: %+v", e.id, e.past[i].at.Sub(start), h.fence, e.past[i].r)
			h.p.Reported(p.Engine, &e.past[i].r, f.now, f.now)
			return
		}
	}
	h.p.ProbeFailed(p.Engine, f.now)
}

// order is an order that reaches its engine.
func (f *fakeFleet) order(e *fakeEngine, o *Order) Reply {
	before := e.taken
	r := f.take(e, o)
	f.logf("%s: order %v unload=%v fence %d at %d, engine at %d: %v; %s", o.Engine, o.Unit, o.Unload, o.Fence, o.Taken, before, r, o.Why)
	return r
}

// take answers an order.
func (f *fakeFleet) take(e *fakeEngine, o *Order) Reply {
	if o.Fence < e.fence {
		return Fenced
	}
	e.fence = o.Fence
	switch {
	case e.onItsWay(o, f.now):
		return Accepted
	case e.work != nil || o.Taken != e.taken:
		return Conflict
	case o.Unit.Adapter != "":
		return f.takeAdapter(e, o)
	}
	if _, held := e.models[o.Unit.Model]; held != o.Unload {
		return Holds
	}
	if used := f.used(e) + 100; !o.Unload && used > f.shape.WeightsMB {
		f.t.Fatalf("seed %d: at %v an order would load %s at %s, which needs %v MB of %v", f.seed, f.now.Sub(start), o.Unit.Model, e.id, used, f.shape.WeightsMB)
	}
	e.taken++
	// Work goes on for longer than known at times: an unload waits for runs.
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

// onItsWay reports whether the engine is loading what an order wants loaded: it says so
// without a look at how many orders it has taken.
func (e *fakeEngine) onItsWay(o *Order, now time.Time) bool {
	if o.Unload {
		return false
	}
	if e.work != nil && !e.work.Unload && e.work.Unit == o.Unit {
		return true
	}
	a, there := e.models[o.Unit.Model][o.Unit.Adapter]
	return there && now.Before(a.comes)
}

func (f *fakeFleet) takeAdapter(e *fakeEngine, o *Order) Reply {
	adapters, held := e.models[o.Unit.Model]
	if !held {
		return Gone
	}
	if _, there := adapters[o.Unit.Adapter]; there != o.Unload {
		return Holds
	}
	e.taken++
	switch {
	case !o.Unload:
	case f.oneIn(2):
		// It goes when the requests that use it end.
		e.work, e.until = o, f.now.Add(f.between(0, 1500))
		return Accepted
	default:
		delete(adapters, o.Unit.Adapter)
		return Holds
	}
	slow := pick[time.Duration](f, 5, 5, 70, 900)
	adapters[o.Unit.Adapter] = fakeAdapter{comes: f.now.Add(slow * time.Millisecond)}
	n := 0
	for _, as := range e.models {
		n += len(as)
	}
	if n > f.shape.AdapterSlots || f.used(e) > f.shape.WeightsMB {
		f.t.Fatalf("seed %d: at %v an order loads adapter %d of %d at %s, %v MB of %v", f.seed, f.now.Sub(start), n, f.shape.AdapterSlots, e.id, f.used(e), f.shape.WeightsMB)
	}
	return Accepted
}

func (f *fakeFleet) used(e *fakeEngine) float64 {
	used := 0.0
	for _, adapters := range e.models {
		used += 100 + float64(len(adapters))*f.shape.Models[0].AdapterMB
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
		f.t.Fatalf("seed %d: %d loads from the store within 5s, allowed are %.1f", f.seed, n, limit)
	}
}

// checkIndex expects that what the planner keeps between plans is what the engines'
// copies and the nodes' reports come to.
func (f *fakeFleet) checkIndex(p *Planner) {
	p.indexCopies()
	for unit, m := range p.models {
		var copies []string
		for _, e := range p.order {
			if e.keepsCopy(unit.Model) {
				copies = append(copies, e.id)
			}
		}
		var kept []string
		for _, e := range m.copies {
			kept = append(kept, e.id)
		}
		if diff := cmp.Diff(copies, kept); diff != "" {
			f.t.Fatalf("seed %d: copies of %v (-want +got):\n%s", f.seed, unit, diff)
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
			f.t.Fatalf("seed %d: %v: %d wait, want %d; running (-want +got):\n%s", f.seed, unit, m.waiting, waiting, diff)
		}
	}
}
