package placement

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
)

// boundPlanner is testPlanner for engines of builds v1 (ids that begin with "a") and v2.
func boundPlanner(t *testing.T, engines map[string]Report) *Planner {
	t.Helper()
	p := testPlanner(t, 5, engines)
	var entries []*directory.Entry
	for id := range engines {
		e := entry(id)
		if e.Build = directory.BuildOf("v2"); id[0] == 'a' {
			e.Build = directory.BuildOf("v1")
		}
		entries = append(entries, e)
	}
	p.SetEngines(entries, at(1))
	return p
}

// boundUse is waitingUse for requests that are bound to build v1.
func boundUse(u Unit, ms int) Usage {
	use := waitingUse(u, ms)
	use.Bound, use.Build = true, directory.BuildOf("v1")
	return use
}

// TestModelLoadedAtBuild guards against streams that are held to their build, while the model is only at engines of another
// one: it is loaded at an engine of their build, and the last one there is not evicted while they wait.
func TestModelLoadedAtBuild(t *testing.T) {
	held := func(models ...string) Report {
		return Report{Holdings: directory.Holdings{Models: heldList(models...), OnDisk: []string{"m0", "m1", "m2", "m3", "m4"}}}
	}
	a2 := Unit{Service: "s", Model: "m0", Adapter: "a2"}
	tests := []struct {
		name    string
		engines map[string]Report
		uses    []Usage
		want    []orderSummary
	}{
		{"served at the build", map[string]Report{"a1": held("m0"), "b1": held("m0")}, []Usage{boundUse(unit("m0"), 3000)}, nil},
		{"only at another build", map[string]Report{"a1": held("m1"), "b1": held("m0")}, []Usage{boundUse(unit("m0"), 3000)},
			[]orderSummary{{Engine: "a1", Unit: "unit/s/m0"}}},
		{"nowhere", map[string]Report{"a1": held(), "b1": held()}, []Usage{boundUse(unit("m0"), 3000)},
			[]orderSummary{{Engine: "a1", Unit: "unit/s/m0"}}},
		{"no copy at the build", map[string]Report{"a1": {Holdings: directory.Holdings{Models: heldList("m1")}}, "b1": held("m0")}, []Usage{boundUse(unit("m0"), 9000)},
			[]orderSummary{{Engine: "a1", Unit: "unit/s/m0", FromStore: true}}},
		{"no engine of the build", map[string]Report{"b1": held("m0"), "b2": held()}, []Usage{boundUse(unit("m0"), 3000)}, nil},
		{"the adapter is at another build", map[string]Report{"a1": held("m0"), "b1": {Holdings: directory.Holdings{Models: []directory.Held{{Model: "m0", Adapters: []string{"a2"}}}}}}, []Usage{boundUse(a2, 3000)},
			[]orderSummary{{Engine: "a1", Unit: "unit/s/m0/a2"}}},
		{"the last one at the build is not evicted", map[string]Report{"a1": held("m0", "m1"), "b1": held("m0", "m2")},
			[]Usage{boundUse(unit("m0"), 3000), waitingUse(unit("m3"), 3000), {Unit: unit("m2"), Waiting: 1, RunningAt: map[string]int{"b1": 5}}, {Unit: unit("m0"), RunningAt: map[string]int{"b1": 5}}},
			[]orderSummary{{Engine: "a1", Unit: "unit/s/m1", Unload: true}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := boundPlanner(t, tt.engines)
			p.RecordUsage("n", tt.uses, at(10))
			if diff := cmp.Diff(tt.want, orders(p.Plan(at(10), 1))); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBoundForecast checks when a model is expected to be served at the build that requests are bound to, and that the
// forecast ends with the requests.
func TestBoundForecast(t *testing.T) {
	p := boundPlanner(t, map[string]Report{
		"a1": {Holdings: directory.Holdings{OnDisk: []string{"m0"}}}, "b1": {Holdings: directory.Holdings{Models: heldList("m0")}},
	})
	b := BoundUnit{unit("m0"), directory.BuildOf("v1")}
	p.RecordUsage("n", []Usage{boundUse(unit("m0"), 3000)}, at(10))
	p.Plan(at(10), 1)
	if got := p.BoundReadyAt()[b].Sub(at(10)); got != 800*time.Millisecond {
		t.Errorf("expected in %v, want in the 0.8 s of a load from disk", got)
	}
	full := boundPlanner(t, map[string]Report{"a1": {Holdings: directory.Holdings{Models: heldList("m1", "m2"), OnDisk: []string{"m0"}}}, "b1": {}})
	busy := []Usage{boundUse(unit("m0"), 3000), {Unit: unit("m1"), Waiting: 9, Arrivals: 90, RunningAt: map[string]int{"a1": 9}}, {Unit: unit("m2"), Waiting: 9, Arrivals: 90, RunningAt: map[string]int{"a1": 9}}}
	full.RecordUsage("n", busy, at(10))
	full.Plan(at(10), 1)
	if got := full.BoundReadyAt()[b].Sub(at(10)); got != 6*time.Second {
		t.Errorf("where no engine can make way expected in %v, want in the 6 s of a load", got)
	}
	p.RecordUsage("n", nil, at(20))
	p.Plan(at(20), 1)
	if len(p.BoundReadyAt()) != 0 || len(p.bound) != 0 {
		t.Errorf("forecasts %v and usages %v are left after the requests", p.BoundReadyAt(), p.bound)
	}
}
