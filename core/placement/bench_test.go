package placement

import (
	"fmt"
	"testing"

	"olivetiller/core/directory"
)

// BenchmarkPlan plans for the engines, models and nodes of the grown sites.
func BenchmarkPlan(b *testing.B) {
	const engines, models, nodes = 124, 667, 195
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
		r := Report{Holdings: directory.Holdings{Models: holds(disk[0], disk[1]), OnDisk: disk}}
		p.Reported(entries[i].ID, &r, at(0), at(1))
	}
	for n := range nodes {
		var uses []Use
		for k := range 20 {
			m := fmt.Sprintf("m%d", (n*7+k*13)%models)
			uses = append(uses, Use{Unit: unit(m), Arrivals: 1, RunningAt: map[string]int{fmt.Sprintf("e%02d", (n+k)%engines): 1}})
		}
		uses = append(uses, Use{Unit: unit(fmt.Sprintf("m%d", n*5)), Waiting: 1, Urgent: at(900000), Last: at(900000)})
		p.Use(fmt.Sprintf("n%d", n), uses, at(2))
	}
	b.ResetTimer()
	for i := range b.N {
		p.Plan(at(3+i%500), 1)
		for _, e := range p.order {
			e.sent = nil
		}
	}
}
