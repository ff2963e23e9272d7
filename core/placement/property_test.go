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
