package originlab

import (
	"testing"
	"time"
)

// TestNoDesignButHashGuesses checks in virtual time that no stream goes on at a wrong build with any design that keeps
// records or the ledger, whatever happens to nodes and builds, and that the chosen design refuses none for which a node
// with its record can be reached.
func TestNoDesignButHashGuesses(t *testing.T) {
	const lasts = 20 * time.Second
	for _, r := range Rollouts(lasts) {
		for _, f := range Faults {
			for _, d := range Designs {
				for seed := range uint64(3) {
					l := Load{Nodes: 6, Halls: 3, PerNode: 9, Breaks: 0.05, For: lasts, Rollout: r, Fault: f, Seed: seed + 1}
					got := Simulate(d, l)
					if got.TakenUp == 0 {
						t.Fatalf("%s, %s, %s: no stream was taken up", r.Name, f, d)
					}
					if got.Joined > 0 && d != Hash {
						t.Errorf("%s, %s, %s, seed %d: %d of %d streams went on at another build", r.Name, f, d, l.Seed, got.Joined, got.TakenUp)
					}
					if d != HomesAndLedger || f == CutApart || f == AllKilled && len(r.Builds) > 1 {
						continue
					}
					if got.Unknown > 0 {
						t.Errorf("%s, %s, seed %d: %d of %d streams refused as unknown", r.Name, f, l.Seed, got.Unknown, got.TakenUp)
					}
				}
			}
		}
	}
}

// TestSimulationRepeats checks that a seed gives the same figures each time.
func TestSimulationRepeats(t *testing.T) {
	l := Load{Nodes: 20, Halls: 4, PerNode: 5, Breaks: 0.05, For: 15 * time.Second, Rollout: Rollouts(15 * time.Second)[1], Fault: Killed, Seed: 7}
	a, b := Simulate(HomesAndLedger, l), Simulate(HomesAndLedger, l)
	if a.String() != b.String() {
		t.Errorf("first %s, then %s", a.String(), b.String())
	}
}
