package placement

import (
	"testing"

	"pgregory.net/rapid"
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
