package placement

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
)

// TestReplicasFollowWork checks where and when a model that is served gets a further replica: engine e0 holds it, and the
// others are empty and keep copies of it.
func TestReplicasFollowWork(t *testing.T) {
	busy := func(u Usage) []Usage {
		u.Unit, u.Arrivals = unit("m0"), 6
		if u.ReadingAt != nil && u.Tokens == 0 {
			u.Tokens, u.LongTokens = 54_000, 54_000
		}
		return []Usage{u}
	}
	running := map[string]int{"e0": 2}
	load := func(engine string) []orderSummary { return []orderSummary{{Engine: engine, Unit: "unit/s/m0"}} }
	tests := []struct {
		name  string
		paces map[string]float64
		use   Usage
		want  []orderSummary
	}{
		{"few requests", nil, Usage{RunningAt: running}, nil},
		{"late answers", nil, Usage{RunningAt: running, Late: 6}, load("e1")},
		{"long prompts beside many short ones", nil, Usage{RunningAt: running, ReadingAt: map[string]int{"e0": 18_000}, Tokens: 200_000, LongTokens: 54_000}, nil},
		{"long prompts", nil, Usage{RunningAt: running, ReadingAt: map[string]int{"e0": 18_000}}, load("e1")},
		{"a fast engine", map[string]float64{"e2": 0.45}, Usage{RunningAt: running, Late: 6}, load("e2")},
		{"a slow engine", map[string]float64{"e1": 3}, Usage{RunningAt: running, Late: 6}, load("e2")},
		{"engines that hardly differ", map[string]float64{"e2": 0.8, "e1": 1.3}, Usage{RunningAt: running, Late: 6}, load("e1")},
		{"the replica is slow", map[string]float64{"e0": 8}, Usage{RunningAt: running}, load("e1")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := testPlanner(t, 3, map[string]Report{
				"e0": {Holdings: directory.Holdings{Models: heldList("m0"), OnDisk: []string{"m0"}}},
				"e1": {Holdings: directory.Holdings{OnDisk: []string{"m0", "m1"}}},
				"e2": {Holdings: directory.Holdings{OnDisk: []string{"m0", "m2"}}},
			})
			p.SetPaces(tt.paces)
			var got []orderSummary
			for ms := 100; ms <= 3000 && got == nil; ms += 100 {
				if ms%1000 == 0 {
					p.RecordUsage("n", busy(tt.use), at(ms))
				}
				if got = orders(p.Plan(at(ms), 1)); len(got) > 1 {
					got = got[:1]
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("first orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLoadsOfEngines checks the loads that the planner reports: an average of the requests and long prompts of all nodes.
func TestLoadsOfEngines(t *testing.T) {
	p := testPlanner(t, 2, map[string]Report{"e0": {Holdings: directory.Holdings{Models: heldList("m0", "m1")}}, "e1": {}})
	for ms := 100; ms <= 20_000; ms += 100 {
		p.RecordUsage("n1", []Usage{{Unit: unit("m0"), RunningAt: map[string]int{"e0": 4}}}, at(ms))
		p.RecordUsage("n2", []Usage{{Unit: unit("m1"), RunningAt: map[string]int{"e0": 1}, ReadingAt: map[string]int{"e0": 1500}, Tokens: 9000, LongTokens: 9000}}, at(ms))
		p.Plan(at(ms), 1)
	}
	got := p.Loads()
	if got["e0"] < 14.5 || got["e0"] > 15 || got["e1"] != 0 {
		t.Errorf("loads %v, want 15 at e0 (5 requests, and 1,500 tokens as 10) and 0 at e1", got)
	}
}

// TestLanes checks which models have lanes.
func TestLanes(t *testing.T) {
	tests := []struct {
		name string
		uses []Usage
		want map[Unit]bool
	}{
		{"nothing", nil, map[Unit]bool{}},
		{"both kinds", []Usage{{Unit: unit("m0"), Tokens: 98_000, LongTokens: 90_000}}, map[Unit]bool{unit("m0"): true}},
		{"an adapter's", []Usage{{Unit: Unit{Service: "s", Model: "m0", Adapter: "a1"}, Tokens: 90_000, LongTokens: 90_000}, {Unit: unit("m0"), Tokens: 8000}}, map[Unit]bool{unit("m0"): true}},
		{"long prompts only", []Usage{{Unit: unit("m0"), Tokens: 90_000, LongTokens: 90_000}, {Unit: unit("m1"), Tokens: 8000}}, map[Unit]bool{}},
		{"mostly short prompts", []Usage{{Unit: unit("m0"), Tokens: 100_000, LongTokens: 50_000}}, map[Unit]bool{}},
		{"few prompts", []Usage{{Unit: unit("m0"), Tokens: 9800, LongTokens: 9000}}, map[Unit]bool{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := testPlanner(t, 2, map[string]Report{"e0": {Holdings: directory.Holdings{Models: heldList("m0", "m1")}}})
			p.RecordUsage("n", tt.uses, at(10))
			p.Plan(at(10), 1)
			if diff := cmp.Diff(tt.want, p.Lanes()); diff != "" {
				t.Errorf("models with lanes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEvenFleetIsPlannedAsBefore checks that the worth of replicas is that by their number alone where engines are of about one
// pace and no answers come late.
func TestEvenFleetIsPlannedAsBefore(t *testing.T) {
	p := testPlanner(t, 2, map[string]Report{
		"e0": {Holdings: directory.Holdings{Models: heldList("m0")}}, "e1": {Holdings: directory.Holdings{Models: heldList("m0")}}, "e2": {Holdings: directory.Holdings{Models: heldList("m0")}},
	})
	p.SetPaces(map[string]float64{"e0": 1.3, "e1": 0.75})
	p.RecordUsage("n", []Usage{{Unit: unit("m0"), Arrivals: 60, RunningAt: map[string]int{"e0": 9, "e1": 3, "e2": 4}}}, at(10))
	g := &planning{Planner: p, now: at(10), engineCounts: make(map[string]int), limitedCounts: make(map[string]int)}
	g.computeStats()
	m := p.model(unit("m0"))
	worth := func(replicas float64) float64 {
		return m.rate * (lateShare(16/replicas, 8) - lateShare(16/(replicas+1), 8))
	}
	got := []float64{g.gain(m, m.capacity, 1), g.lossAt(m, p.engines["e0"]), g.lossOf(m, 3), g.paceGain(m, p.engines["e1"])}
	if diff := cmp.Diff([]float64{worth(3), worth(2), worth(2), 0}, got); diff != "" {
		t.Errorf("gain, loss at an engine, loss and gain by pace (-want +got):\n%s", diff)
	}
}

// TestLimitedReplicasHaveCapacity guards against a negative capacity where engines limit their requests below the demand.
func TestLimitedReplicasHaveCapacity(t *testing.T) {
	p := testPlanner(t, 1, map[string]Report{"e0": {Holdings: directory.Holdings{Models: heldList("m0")}}, "e1": {Holdings: directory.Holdings{Models: heldList("m0")}}})
	p.SetPaces(map[string]float64{"e0": 4, "e1": 4})
	p.SetRateLimits(func(engine string, _ directory.Start) float64 {
		if engine == "e0" {
			return 0.1
		}
		return 0
	})
	p.RecordUsage("n", []Usage{{Unit: unit("m0"), Arrivals: 60, Late: 6, RunningAt: map[string]int{"e0": 9}}}, at(10))
	g := &planning{Planner: p, now: at(10), engineCounts: make(map[string]int), limitedCounts: make(map[string]int)}
	g.computeStats()
	for _, r := range g.scaleUps() {
		if !(r.gain > 0) || r.gain > r.rate+r.lateRate {
			t.Errorf("gain %v at %v requests a second, want it between", r.gain, r.rate)
		}
	}
}
