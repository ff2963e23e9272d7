package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
	"olivetiller/core/queue"
)

// rankedUse is waitingUse for requests of a rank, with an objective of a second.
func rankedUse(u Unit, rank, ms int) Usage {
	use := waitingUse(u, ms)
	use.Rank, use.Objective = rank, time.Second
	return use
}

// TestMostUrgentFirst checks which of several models, adapters and bound models is loaded first when there is room for
// one.
func TestMostUrgentFirst(t *testing.T) {
	adapter := func(name string) Unit { return Unit{Service: "s", Model: "m0", Adapter: name} }
	bound := func(u Usage) Usage {
		u.Bound, u.Build = true, directory.BuildOf("v1")
		return u
	}
	idle := Report{Holdings: directory.Holdings{Models: heldList("m0"), OnDisk: []string{"m1", "m2", "m3"}}}
	full := Report{Holdings: directory.Holdings{Models: []directory.Held{{Model: "m0", Adapters: []string{"a1", "a2", "a3"}}}}}
	tests := []struct {
		name   string
		engine Report
		use    []Usage
		// waited is how long the requests have waited before the plan, in milliseconds.
		waited int
		want   string
	}{
		{"equal ranks, by deadline", idle, []Usage{rankedUse(unit("m1"), 1, 2700), rankedUse(unit("m2"), 1, 2600)}, 0, "unit/s/m2"},
		{"rank before deadline", idle, []Usage{rankedUse(unit("m1"), 0, 2700), rankedUse(unit("m2"), 1, 2600)}, 0, "unit/s/m1"},
		{"in time before rank", idle, []Usage{rankedUse(unit("m1"), 0, 100), rankedUse(unit("m2"), 1, 2600)}, 0, "unit/s/m2"},
		{"late ones by rank", idle, []Usage{rankedUse(unit("m1"), 0, 200), rankedUse(unit("m2"), 1, 100)}, 0, "unit/s/m1"},
		{"overdue", idle, []Usage{rankedUse(unit("m1"), 0, 4700), rankedUse(unit("m2"), 1, 4600)}, 600, "unit/s/m2"},
		{"a node that reports no rank", idle, []Usage{waitingUse(unit("m1"), 2700), rankedUse(unit("m2"), 1, 2600)}, 0, "unit/s/m1"},
		{"adapter", full, []Usage{rankedUse(adapter("a4"), 0, 900), rankedUse(adapter("a5"), 1, 800)}, 0, "unit/s/m0/a4"},
		{"bound", idle, []Usage{bound(rankedUse(unit("m1"), 0, 2700)), bound(rankedUse(unit("m2"), 1, 2600))}, 0, "unit/s/m1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := testPlanner(t, 5, map[string]Report{"e1": tt.engine})
			e := entry("e1")
			e.Build = directory.BuildOf("v1")
			if tt.waited > 0 {
				// No engine takes the loads before.
				p.SetEngines(nil, at(1))
				p.RecordUsage("n", tt.use, at(1))
				p.Plan(at(1), 1)
			}
			p.SetEngines([]*directory.Entry{e}, at(10+tt.waited))
			p.HandleReport("e1", &tt.engine, at(10+tt.waited), at(11+tt.waited))
			p.RecordUsage("n", tt.use, at(20+tt.waited))
			got := orders(p.Plan(at(20+tt.waited), 1))
			if len(got) == 0 || got[0].Unit != tt.want {
				t.Errorf("orders %v, want %s first", got, tt.want)
			}
		})
	}
}

// TestOverdueLoadsTakeTurns replays demand that moves to many models at once, more than the engines can load: nearly all
// of the loads go to the models of the most urgent requests while there are such, and others still get one in eight.
func TestOverdueLoadsTakeTurns(t *testing.T) {
	var copies []string
	for i := range 16 {
		copies = append(copies, fmt.Sprint("m", i))
	}
	p := testPlanner(t, 16, map[string]Report{"e1": {Holdings: directory.Holdings{OnDisk: copies}}})
	p.SetEngines(nil, at(1))
	var use []Usage
	for i := range 16 {
		use = append(use, rankedUse(unit(fmt.Sprint("m", i)), 1-i%2, 30000+i))
	}
	p.RecordUsage("n", use, at(1))
	p.Plan(at(1), 1)
	var got []int
	for i := range 10 {
		// The engine has loaded the model before and is free again; its request is served.
		now := 800 + 10*i
		id := fmt.Sprint("f", i)
		p.SetEngines([]*directory.Entry{entry(id)}, at(now))
		p.HandleReport(id, &Report{Holdings: directory.Holdings{OnDisk: copies}}, at(now), at(now))
		p.RecordUsage("n", use, at(now))
		for _, o := range orders(p.Plan(at(now), 1)) {
			for j, u := range use {
				if u.Unit.Pool() == o.Unit {
					got = append(got, u.Rank)
					use = append(use[:j:j], use[j+1:]...)
					break
				}
			}
		}
	}
	if diff := cmp.Diff([]int{1, 0, 0, 0, 0, 0, 0, 0, 1, 0}, got); diff != "" {
		t.Errorf("ranks in the order of loads (-want +got):\n%s", diff)
	}
}

// TestTurnsCountOrders checks that an overdue load without orders neither uses up the turn nor keeps others from it.
func TestTurnsCountOrders(t *testing.T) {
	type load struct {
		urgency
		sends bool
	}
	g := &planning{now: at(10)}
	var turns queue.Turns
	loads := []load{{urgency{rank: 0, nextDue: at(1)}, true}, {urgency{rank: 0, nextDue: at(2)}, true}, {urgency{rank: 1, nextDue: at(3), overdueAt: at(4)}, false}, {urgency{rank: 1, nextDue: at(4), overdueAt: at(5)}, true}}
	var got []int
	byTurns(g, &turns, loads, func(l load) urgency { return l.urgency }, func(l load) {
		got = append(got, int(l.nextDue.Sub(at(0)).Milliseconds()))
		if l.sends {
			g.actions = append(g.actions, Action{})
		}
	})
	if diff := cmp.Diff([]int{3, 4, 1, 2}, got); diff != "" {
		t.Errorf("loads in their order (-want +got):\n%s", diff)
	}
	if turns.Due() {
		t.Error("the turn is due again after two others")
	}
}
