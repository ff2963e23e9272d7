package placement

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
	"olivetiller/core/route"
)

func TestEvictions(t *testing.T) {
	small := eviction{evicted: []string{"small"}, mb: 30, loss: 1}
	large := eviction{evicted: []string{"large"}, mb: 70, loss: 3}
	busy := eviction{evicted: []string{"busy"}, mb: 60, loss: 9, runs: 1}
	running := eviction{evicted: []string{"running"}, mb: 70, loss: 0.5, runs: 2}
	idle := eviction{evicted: []string{"idle"}, mb: 70, loss: 1.5}
	secondEach := func(runs int) time.Duration { return time.Duration(runs) * time.Second }
	tests := []struct {
		name       string
		candidates []eviction
		needed     float64
		want       []string
	}{
		{"one that is enough", []eviction{small, large}, 30, []string{"small"}},
		{"the one that is large enough", []eviction{small, large}, 40, []string{"large"}},
		{"two together", []eviction{small, large}, 80, []string{"small", "large"}},
		{"two of little loss before one of much", []eviction{small, large, busy}, 90, []string{"small", "large"}},
		{"all", []eviction{small, large, busy}, 160, []string{"small", "large", "busy"}},
		{"not even all", []eviction{small, large, busy}, 161, nil},
		{"none", nil, 1, nil},
		{"an idle one before one whose runs hold it up", []eviction{running, idle}, 60, []string{"idle"}},
		{"an idle one of great loss after it", []eviction{running, busy, {evicted: []string{"dear"}, mb: 70, loss: 9}}, 70, []string{"running"}},
	}
	for _, test := range tests {
		r := capacity{evictions: evictions(test.candidates, secondEach)}
		var got []string
		if w := r.cheapestEviction(test.needed); w != nil {
			got = w.evicted
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// TestSmallModelsEvictedTogether checks that several models are evicted for one that is larger
// than each of them: the engine unloads one after the other, and then loads.
func TestSmallModelsEvictedTogether(t *testing.T) {
	e := &route.Engine{Slots: 8, WeightsMB: 200, AdapterSlots: 4, LoadsPerSecond: 3}
	for name, mb := range map[string]float64{"a": 65, "b": 66, "c": 67, "big": 130} {
		e.Models = append(e.Models, route.Model{Name: name, WeightsMB: mb, Load: 6 * time.Second, Disk: 500 * time.Millisecond})
	}
	table, err := route.New(&route.Config{Version: 1, Services: []route.Service{{Name: "s", Engine: e}}})
	if err != nil {
		t.Fatal(err)
	}
	p := New(Limits{Window: 5 * time.Second})
	p.SetTable(table)
	p.SetEngines([]*directory.Entry{entry("e1")}, at(0))
	p.Plan(at(0), 1)
	p.HandleReport("e1", &Report{Holdings: directory.Holdings{Models: heldList("a", "b", "c"), OnDisk: []string{"a", "b", "c", "big"}}}, at(0), at(1))
	p.RecordUsage("n", []Usage{waitingUse(unit("big"), 2000)}, at(2))
	var got []orderSummary
	for ms := 3; ms < 1500; ms += 10 {
		for _, a := range p.Plan(at(ms), 1) {
			if a.Order != nil {
				got = append(got, orders([]Action{a})...)
				p.HandleReply(a.Order, Accepted, at(ms))
			}
		}
	}
	want := []orderSummary{
		{"e1", "unit/s/a", true, false},
		{"e1", "unit/s/b", true, false},
		{"e1", "unit/s/big", false, false},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
}

// TestCopyBeforeStore checks that a model is not loaded from the store while an engine that
// keeps a copy is busy with a short load. A load from the store takes an engine as long as ten
// others, and its disk drops another copy for it.
func TestCopyBeforeStore(t *testing.T) {
	p := testPlanner(t, 4, map[string]Report{
		"e1": {Holdings: directory.Holdings{OnDisk: []string{"m0", "m1", "m2", "m3"}}},
		"e2": {},
	})
	p.RecordUsage("n", []Usage{waitingUse(unit("m0"), 2000)}, at(10))
	first := p.Plan(at(10), 1)
	if diff := cmp.Diff([]orderSummary{{"e1", "unit/s/m0", false, false}}, orders(first)); diff != "" {
		t.Fatalf("orders (-want +got):\n%s", diff)
	}
	p.HandleReply(first[0].Order, Accepted, at(12))
	p.RecordUsage("n", []Usage{waitingUse(unit("m0"), 2000), waitingUse(unit("m1"), 2000)}, at(20))
	if got := orders(p.Plan(at(20), 1)); got != nil {
		t.Errorf("orders while the engine with the copy is busy: %v, want none", got)
	}
	if got := p.ReadyAt()[unit("m1")]; got.After(at(2000)) {
		t.Errorf("m1 is expected %v after the start, want at most the load in progress and its own", got.Sub(start))
	}
}
