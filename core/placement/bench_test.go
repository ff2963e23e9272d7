package placement

import (
	"fmt"
	"testing"

	"olivetiller/core/directory"
)

// fleetSize is the number of engines, models and nodes that a plan is made for.
type fleetSize struct{ engines, models, nodes int }

// String implements fmt.Stringer.
func (s fleetSize) String() string {
	return fmt.Sprintf("%dengines,%dmodels,%dnodes", s.engines, s.models, s.nodes)
}

// largeFleet is the size for which TestPlanAllocations bounds the cost of a plan.
var largeFleet = fleetSize{124, 667, 195}

// BenchmarkPlan measures plans for fleets of several sizes. Evaluating all engines for each
// model took 21.3 ms, 6.5 MB and 53,445 allocations for 124 engines, 667 models and 195 nodes;
// keeping state between plans takes 1.0 ms, 48 KB and 544.
func BenchmarkPlan(b *testing.B) {
	for _, s := range []fleetSize{{9, 50, 9}, {90, 480, 70}, largeFleet, {268, 1440, 420}, {9808, 812, 984}, {19616, 1624, 1968}} {
		b.Run(s.String(), func(b *testing.B) {
			p := busyPlanner(b, s)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				planOnce(p, i)
			}
		})
	}
}

// TestPlanAllocations bounds the allocations of a plan. They must not grow with the product of
// engines and models: the lease holder of a large fleet plans many times a second.
func TestPlanAllocations(t *testing.T) {
	p := busyPlanner(t, largeFleet)
	step := 0
	got := testing.AllocsPerRun(20, func() {
		planOnce(p, step)
		step++
	})
	if bound := float64(10 * largeFleet.engines); got > bound {
		t.Errorf("a plan makes %v allocations for %v, want %v or fewer", got, largeFleet, bound)
	}
}

// planOnce makes one plan and drops its orders.
func planOnce(p *Planner, step int) {
	p.Plan(at(3+step%500), 1)
	for _, e := range p.engineList {
		e.pending = nil
	}
}

// busyPlanner returns a planner whose engines each hold 2 models and keep copies of 19, and
// whose nodes each have requests for 20 models and one waiting request.
func busyPlanner(b fataler, s fleetSize) *Planner {
	engines, models, nodes := s.engines, s.models, s.nodes
	p := New(Limits{Window: 5e9})
	p.SetTable(testTable(b, models))
	var entries []*directory.Entry
	for i := range engines {
		entries = append(entries, entry(fmt.Sprintf("e%02d", i)))
	}
	p.SetEngines(entries, at(0))
	p.Plan(at(0), 1)
	for i := range engines {
		var disk []string
		for k := range 19 {
			disk = append(disk, fmt.Sprintf("m%d", (i*19+k)%models))
		}
		r := Report{Holdings: directory.Holdings{Models: heldList(disk[0], disk[1]), OnDisk: disk}}
		p.HandleReport(entries[i].ID, &r, at(0), at(1))
	}
	for n := range nodes {
		var uses []Usage
		for k := range 20 {
			m := fmt.Sprintf("m%d", (n*7+k*13)%models)
			uses = append(uses, Usage{Unit: unit(m), Arrivals: 1, RunningAt: map[string]int{fmt.Sprintf("e%02d", (n+k)%engines): 1}})
		}
		uses = append(uses, Usage{Unit: unit(fmt.Sprintf("m%d", n*5)), Waiting: 1, NextDue: at(900000), LastDue: at(900000)})
		p.RecordUsage(fmt.Sprintf("n%d", n), uses, at(2))
	}
	return p
}
