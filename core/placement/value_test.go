package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivetiller/core/directory"
	_ "olivetiller/internal/fixedseed"
)

// TestLateShare checks the properties that decisions depend on: the late share is between 0 and
// 1 and grows with the requests, and each further replica reduces it however many there are.
// When all replicas of a model were overloaded, an estimate without the last property saw no
// loss in one replica fewer, and four of five were evicted within a second.
func TestLateShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 100).Draw(t, "slots")
		runs := rapid.Float64Range(0.1, 2000).Draw(t, "runs")
		n := rapid.IntRange(1, 40).Draw(t, "replicas")
		few, more := lateShare(runs/float64(n), slots), lateShare(runs/float64(n+1), slots)
		if few < 0 || few >= 1 || more < 0 || more >= few {
			t.Errorf("%v requests at engines of %d slots: late share %v with %d replicas, %v with one more", runs, slots, few, n, more)
		}
	})
}

// TestMissLoss checks the cost of a request for a model without replicas: it is higher if the
// request cannot wait for the load, either because of its objective or because no engine keeps
// a copy.
func TestMissLoss(t *testing.T) {
	p := testPlanner(t, 3, map[string]Report{"e1": {Holdings: directory.Holdings{OnDisk: []string{"m0", "m1"}}}})
	ask := func(model string, objective time.Duration) Usage {
		return Usage{Unit: unit(model), Waiting: 1, Arrivals: 1, Objective: objective, NextDue: at(900), LastDue: at(900)}
	}
	p.RecordUsage("n", []Usage{ask("m0", 2*time.Second), ask("m1", 300*time.Millisecond), ask("m2", 2*time.Second)}, at(10))
	loss := make(map[string]float64)
	g := &planning{Planner: p, now: at(10), engineCounts: make(map[string]int)}
	g.computeStats()
	for _, model := range []string{"m0", "m1", "m2"} {
		loss[model] = g.missLoss(p.model(unit(model)))
	}
	if loss["m0"] != swapLoss || loss["m1"] <= swapLoss+1 || loss["m2"] <= loss["m1"] {
		t.Errorf("losses %v, want swapLoss for m0, more for m1, most for m2", loss)
	}
}
