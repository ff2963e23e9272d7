package placement

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/route"

	"github.com/google/go-cmp/cmp"
)

// fakeFleet runs fake engines and the planners of several nodes.
type fakeFleet struct {
	t      *testing.T
	seed   uint64
	rand   *rand.Rand
	table  *route.Table
	config *route.Engine
	// nodes are the planners of all nodes; holders are those that give orders, the current
	// lease holder last.
	nodes   []*Planner
	holders []*holder
	engines map[string]*fakeEngine
	late    []lateOrder
	loads   []time.Time
	now     time.Time
}

// propertyRuns is the number of runs of 300 steps of the property test.
var propertyRuns = flag.Int("plays", 150, "plays of the property test, each with its own seed")

// propertySeed selects a single run and logs each of its events.
var propertySeed = flag.Int("playSeed", -1, "the only play of the property test, logged; -1: all")

// TestOrdersFit runs random demand against engines whose replies are lost, whose orders arrive
// late and whose processes restart. No order may make an engine load more than fits, and the
// loads from the store must stay below the limit.
func TestOrdersFit(t *testing.T) {
	seeds := append(slices.Clone(regressionSeeds), seedsTo(*propertyRuns)...)
	if *propertySeed >= 0 {
		seeds = []uint64{uint64(*propertySeed)}
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

// regressionSeeds are seeds of runs in which an engine was once ordered to load more than fits:
// a late order met the right count at a restarted engine, or a load was missing from the
// planner's state. In 3337 two late loads were carried out one after the other.
var regressionSeeds = []uint64{
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

// step advances time and lets engines, demand, faults and planners act once.
func (f *fakeFleet) step(n int) {
	f.now = f.now.Add(f.between(5, 300))
	f.advance()
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

// holder is a node that gives orders. Only the last one has the lease.
type holder struct {
	p     *Planner
	fence uint64
	// until is when a former holder stops; until then it does not know that it has lost the
	// lease.
	until time.Time
}

// newHolder gives the lease to another node, or to the same one again. The former holder may
// continue for a while.
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

// logf logs an event if the test runs a single seed.
func (f *fakeFleet) logf(format string, args ...any) {
	if *propertySeed >= 0 {
		f.t.Logf("%8v "+format, append([]any{f.now.Sub(start)}, args...)...)
	}
}

// oneIn is true with probability 1/n.
func (f *fakeFleet) oneIn(n int) bool { return f.rand.IntN(n) == 0 }

// between returns a random duration between two bounds in ms.
func (f *fakeFleet) between(least, most int) time.Duration {
	return time.Duration(least+f.rand.IntN(most-least+1)) * time.Millisecond
}

// pick returns one of the values at random.
func pick[T any](f *fakeFleet, values ...T) T { return values[f.rand.IntN(len(values))] }

// newFleet returns three engines, all empty or all full, with memory for two or three models.
// With large adapters the memory is used up before the adapter slots.
func newFleet(t *testing.T, seed uint64) *fakeFleet {
	f := &fakeFleet{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 0)), table: testTable(t, 7), engines: make(map[string]*fakeEngine), now: start}
	f.config = f.table.Config.Services[0].Engine
	fits := pick(f, 2, 3)
	f.config.WeightsMB = float64(100*fits + 10)
	adapterMB := pick(f, 1.0, 3)
	for i := range f.config.Models {
		f.config.Models[i].AdapterMB = adapterMB
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

func (f *fakeFleet) updateEngines() {
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

// replace removes an engine and starts an empty one under a new id.
func (f *fakeFleet) replace(step int) {
	for _, id := range slices.Sorted(maps.Keys(f.engines)) {
		if f.oneIn(2) {
			delete(f.engines, id)
			f.start(fmt.Sprintf("f%d", step))
			return
		}
	}
}

// restart restarts an engine under its id: it holds nothing and counts from 0, but keeps its
// copies on disk.
func (f *fakeFleet) restart() {
	for _, id := range slices.Sorted(maps.Keys(f.engines)) {
		if f.oneIn(2) {
			f.logf("%s: starts again", id)
			e := f.engines[id]
			e.start = directory.Start(f.now.UnixMilli())
			e.taken, e.fence, e.models, e.work, e.reports = 0, 0, make(map[string]map[string]fakeAdapter), nil, nil
			f.updateEngines()
			return
		}
	}
}

func (f *fakeFleet) demand() {
	var uses []Usage
	for i := range 7 {
		switch f.rand.IntN(9) {
		case 0:
			uses = append(uses, Usage{Unit: unit(fmt.Sprintf("m%d", i)), Waiting: 1, Arrivals: 1, NextDue: f.now.Add(time.Second), LastDue: f.now.Add(time.Second)})
		case 1, 2:
			u := Unit{Service: "s", Model: fmt.Sprintf("m%d", i), Adapter: fmt.Sprintf("a%d", 1+f.rand.IntN(9))}
			uses = append(uses, Usage{Unit: u, Waiting: 1, Arrivals: 1, NextDue: f.now.Add(time.Second), LastDue: f.now.Add(time.Second)})
		}
	}
	for _, p := range f.nodes {
		p.RecordUsage("n", uses, f.now)
	}
	f.reportMissing()
}

// reportMissing reports to the holders requests that met an engine without their model.
func (f *fakeFleet) reportMissing() {
	for _, h := range f.holders {
		for _, id := range slices.Sorted(maps.Keys(h.p.engines)) {
			for _, m := range slices.Sorted(maps.Keys(h.p.engines[id].models)) {
				if _, there := f.engines[id].models[m]; !there && f.oneIn(8) {
					h.p.HandleMissing(id, f.now)
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
		h.p.HandleReply(a.Order, WrongEngine, f.now)
	case f.oneIn(6):
		f.logf("%s: order %v unload=%v fence %d at %d is late", e.id, a.Order.Unit, a.Order.Unload, a.Order.Fence, a.Order.Taken)
		f.late = append(f.late, lateOrder{a.Order, f.now.Add(f.between(0, 12000))})
		h.p.HandleReply(a.Order, Unanswered, f.now)
	default:
		h.p.HandleReply(a.Order, f.order(e, a.Order), f.now)
	}
}

// checkIndex checks that the state kept between plans matches the copies of the engines and the
// usage reports of the nodes.
func (f *fakeFleet) checkIndex(p *Planner) {
	p.indexCopies()
	for unit, m := range p.models {
		var copies []string
		for _, e := range p.engineList {
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
		for _, u := range m.usages {
			for _, r := range u.nodes {
				waiting += r.Waiting
				for engine, k := range r.RunningAt {
					at[engine] += k
				}
			}
		}
		if diff := cmp.Diff(at, m.runningAt); diff != "" || waiting != m.waiting {
			f.t.Fatalf("seed %d: %v: %d wait, want %d; running (-want +got):\n%s", f.seed, unit, m.waiting, waiting, diff)
		}
	}
}
