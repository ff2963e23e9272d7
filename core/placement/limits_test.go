package placement

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
)

// TestLimitedEngines checks that a model is loaded at another engine if its only engine limits
// its requests below the demand, and that an engine with a limit gets no further models while
// others have none.
func TestLimitedEngines(t *testing.T) {
	tests := []struct {
		name     string
		limits   map[string]float64
		arrivals int
		use      Unit
		want     []orderSummary
	}{
		{"no limit", nil, 30, unit("m0"), nil},
		{"a limit below the demand", map[string]float64{"e1": 1}, 30, unit("m0"), []orderSummary{{"e2", "unit/s/m0", false, false}}},
		{"a limit above the demand", map[string]float64{"e1": 9}, 30, unit("m0"), nil},
		{"nothing new at a limited engine", map[string]float64{"e1": 9}, 1, unit("m1"), []orderSummary{{"e2", "unit/s/m1", false, false}}},
		{"all are limited", map[string]float64{"e1": 9, "e2": 9}, 1, unit("m2"), []orderSummary{{"e1", "unit/s/m2", false, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := testPlanner(t, 3, map[string]Report{
				"e1": {Holdings: directory.Holdings{Models: heldList("m0"), OnDisk: []string{"m1", "m2"}}},
				"e2": {Holdings: directory.Holdings{OnDisk: []string{"m0", "m1"}}},
			})
			p.SetRateLimits(func(engine string, _ directory.Start) float64 { return tt.limits[engine] })
			p.RecordUsage("n", []Usage{{Unit: tt.use, Waiting: 1, Arrivals: tt.arrivals, NextDue: at(2000), LastDue: at(2000)}}, at(10))
			if diff := cmp.Diff(tt.want, orders(p.Plan(at(10), 1))); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdapterOfLimitedEngine checks that an adapter is loaded at another replica of its model
// if the engine that holds it limits its requests below the demand, whether the callers wait or
// were refused with a retry hint.
func TestAdapterOfLimitedEngine(t *testing.T) {
	adapter := Unit{Service: "s", Model: "m0", Adapter: "a1"}
	tests := []struct {
		name   string
		limits map[string]float64
		use    Usage
		want   []orderSummary
	}{
		{"no limit", nil, Usage{Waiting: 1}, nil},
		{"a limit below the demand", map[string]float64{"e1": 1}, Usage{Waiting: 1}, []orderSummary{{"e2", "unit/s/m0/a1", false, false}}},
		{"a limit above the demand", map[string]float64{"e1": 9}, Usage{Waiting: 1}, nil},
		{"callers sent away", map[string]float64{"e1": 1}, Usage{Deferred: 1}, []orderSummary{{"e2", "unit/s/m0/a1", false, false}}},
		{"all are limited", map[string]float64{"e1": 1, "e2": 1}, Usage{Waiting: 1}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := testPlanner(t, 2, map[string]Report{
				"e1": {Holdings: directory.Holdings{Models: []directory.Held{{Model: "m0", Adapters: []string{"a1"}}}, OnDisk: []string{"m1"}}},
				"e2": {Holdings: directory.Holdings{Models: heldList("m0", "m1")}},
			})
			p.SetRateLimits(func(engine string, _ directory.Start) float64 { return tt.limits[engine] })
			use := tt.use
			use.Unit, use.Arrivals = adapter, 30
			if use.Waiting > 0 {
				use.NextDue, use.LastDue = at(2000), at(2000)
			}
			p.RecordUsage("n", []Usage{use}, at(10))
			if diff := cmp.Diff(tt.want, orders(p.Plan(at(10), 1))); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}
