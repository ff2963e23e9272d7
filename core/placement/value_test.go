package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivetiller/core/directory"
)

// TestLateShare checks the shape that decisions rest on: between 0 and 1, rising with
// the requests, and each further replica of use however many there are. Found by a
// quiet day of jomd-amman-grown: where all replicas of a model were overrun, one fewer
// made no difference by the estimate, and four of five made way within a second.
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

// TestMissLoss checks what a request for a model that no engine holds costs: more where
// it cannot wait for the load, be it for its objective or because no engine keeps a copy.
func TestMissLoss(t *testing.T) {
	p := testPlanner(t, 3, map[string]Report{"e1": {Holdings: directory.Holdings{OnDisk: []string{"m0", "m1"}}}})
	ask := func(model string, objective time.Duration) Use {
		return Use{Unit: unit(model), Waiting: 1, Arrivals: 1, Objective: objective, Urgent: at(900), Last: at(900)}
	}
	p.Use("n", []Use{ask("m0", 2*time.Second), ask("m1", 300*time.Millisecond), ask("m2", 2*time.Second)}, at(10))
	loss := make(map[string]float64)
	g := &planning{Planner: p, now: at(10), engineCounts: make(map[string]int)}
	g.tally()
	for _, model := range []string{"m0", "m1", "m2"} {
		loss[model] = g.missLoss(p.model(unit(model)))
	}
	if loss["m0"] != swapLoss || loss["m1"] <= swapLoss+1 || loss["m2"] <= loss["m1"] {
		t.Errorf("losses %v, want that of a patient request for m0, more for m1, most for m2", loss)
	}
}
