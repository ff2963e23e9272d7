package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
)

// TestCopySet checks which copies an engine is expected to keep: as many as fit, and the least
// recently loaded ones go first.
func TestCopySet(t *testing.T) {
	size := func(string) float64 { return 60 }
	tests := []struct {
		name     string
		reported []string
		loads    []string
		spaceMB  float64
		want     []string
	}{
		{"room for all", []string{"a"}, []string{"b"}, 120, []string{"a", "b"}},
		{"the oldest goes", []string{"a"}, []string{"b", "c"}, 120, []string{"b", "c"}},
		{"a load renews", []string{"a"}, []string{"b", "a", "c"}, 120, []string{"a", "c"}},
		{"room not known", []string{"a"}, []string{"b", "c"}, 0, []string{"a", "b", "c"}},
		{"no room at all", nil, []string{"a"}, 30, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := make(copySet)
			s.sync(tt.reported)
			for i, m := range tt.loads {
				s.add(m, at(i), tt.spaceMB, size)
			}
			var got []string
			for m := range s {
				got = append(got, m)
			}
			slices.Sort(got)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("copies (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBusyReplicaStays checks that a model with one waiting request does not evict a replica of
// a busy model to be ready slightly sooner. Otherwise a model with 15 requests a second was left
// with one engine of three after 8.5 s, which then ran 70 to 95 requests for ten seconds.
func TestBusyReplicaStays(t *testing.T) {
	p := testPlanner(t, 5, map[string]Report{
		"e1": {Holdings: directory.Holdings{Models: heldList("m0"), Warm: []string{"m2"}, OnDisk: []string{"m0", "m2"}}},
		"e2": {Holdings: directory.Holdings{Models: heldList("m0"), OnDisk: []string{"m0", "m2"}}},
		"e3": {Holdings: directory.Holdings{Models: heldList("m3", "m4"), OnDisk: []string{"m2"}}},
		"e4": {Holdings: directory.Holdings{Models: heldList("m3", "m4")}},
	})
	for _, e := range p.engineList[:2] {
		// The other model of these engines is too young to be evicted.
		e.models["m1"] = newHeldModel(at(3000))
	}
	p.RecordUsage("n", []Usage{
		{Unit: unit("m0"), Arrivals: 60, RunningAt: map[string]int{"e2": 9}},
		{Unit: unit("m1"), Arrivals: 1, RunningAt: map[string]int{"e1": 1, "e2": 1}},
		waitingUse(unit("m2"), 5500),
	}, at(3000))
	// The busy model gets a replica of its own where idle models can be evicted.
	want := []orderSummary{{"e4", "unit/s/m3", true, false}, {"e3", "unit/s/m3", true, false}}
	if diff := cmp.Diff(want, orders(p.Plan(at(3000), 1))); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
}

// TestOnlyReplicaStays checks that the only replica of a busy model is not evicted for a model
// with one waiting request, even if nothing else can be evicted.
func TestOnlyReplicaStays(t *testing.T) {
	p := testPlanner(t, 3, map[string]Report{
		"e1": {Holdings: directory.Holdings{Models: heldList("m0", "m1"), OnDisk: []string{"m0", "m1", "m2"}}},
	})
	busy := func(ms int) {
		p.RecordUsage("n", []Usage{
			{Unit: unit("m0"), Arrivals: 10, Objective: 300 * time.Millisecond, RunningAt: map[string]int{"e1": 3}},
			// A model loaded for a request stays until the request has run.
			{Unit: unit("m1"), Waiting: 1, Arrivals: 1, Objective: 2 * time.Second, NextDue: at(ms + 500), LastDue: at(ms + 500)},
			waitingUse(unit("m2"), ms+2000),
		}, at(ms))
	}
	for ms := 10; ms < 1000; ms += 200 {
		busy(ms)
		if got := orders(p.Plan(at(ms), 1)); got != nil {
			t.Fatalf("orders after %d ms: %v, want none", ms, got)
		}
	}
}
