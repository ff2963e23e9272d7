package quotalab

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// shifted returns the load of the deployment of 71 nodes.
func shifted(seed uint64) Load {
	return Load{Nodes: 71, Customers: 16, Tokens: 418000, For: 34 * time.Second, Seed: seed}
}

// TestLimitsHold guards against customers that exceed their limits and against refusals within the
// limits. Both occur when one customer sends 7.5 times its usual traffic while the granter is
// killed or a third of the nodes is partitioned from it. The rule is the platform's; the aims for
// tokens refused within the limits are 1 in 1,000 without faults and 1 in 100 with a partition.
func TestLimitsHold(t *testing.T) {
	quiet := shifted(1)
	hot := shifted(2)
	hot.Hot, hot.HotRank, hot.HotFrom = 7.5, 0, 5*time.Second
	lost := hot
	lost.LostFrom, lost.LostFor = 15*time.Second, 3500*time.Millisecond
	cut := hot
	cut.CutShare, cut.CutFrom, cut.CutFor = 0.33, 12*time.Second, 9*time.Second
	small := lost
	small.HotRank = 15
	fewCut := cut
	fewCut.Nodes = 7
	few, many := lost, lost
	few.Nodes, many.Nodes = 7, 300
	manyCustomers := lost
	manyCustomers.Customers = 1000
	tests := []struct {
		name string
		load Load
		// most is the greatest share that may be refused within the limits.
		most float64
	}{
		{"quiet", quiet, 0.001},
		{"hot", hot, 0.001},
		{"hot and the granter lost", lost, 1},
		{"hot and a third cut off", cut, 1},
		{"a small one hot and the granter lost", small, 1},
		{"7 nodes", few, 1},
		// Guards against usage of 1.02 times what is allowed: the granter counted the shares of
		// partitioned nodes for too long, in addition to what these nodes spent on their own.
		{"7 nodes, a third cut off", fewCut, 1},
		{"300 nodes", many, 1},
		{"1,000 customers", manyCustomers, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := Simulate(GranterOrShare, tt.load)
			if r.Over > 0 {
				t.Errorf("%d customers exceeded their limits, the worst used %.2f times what is allowed", r.Over, r.Worst)
			}
			if r.Refused > tt.most {
				t.Errorf("%.4f of the tokens were refused within the limits, want %v at most", r.Refused, tt.most)
			}
			t.Logf("worst %.3f, refused %.4f, %.0f grant requests a second", r.Worst, r.Refused, r.Questions)
		})
	}
}

// TestFixedSharesFail checks that the simulation detects the fault of fixed shares, which refuse
// requests within the limit or let the limit be exceeded. It guards against checks that cannot
// fail.
func TestFixedSharesFail(t *testing.T) {
	l := shifted(2)
	l.Hot, l.HotFrom = 7.5, 5*time.Second
	l.HotRank = 15
	if r := Simulate(FixedShares, l); r.Refused < 0.001 && r.Over == 0 {
		t.Errorf("fixed shares refused %.4f and exceeded no limit, want a refused share of 0.001 at least or an exceeded limit", r.Refused)
	}
}

// TestSameSeed checks that a seed gives the same figures in every run.
func TestSameSeed(t *testing.T) {
	l := shifted(3)
	l.For = 5 * time.Second
	if diff := cmp.Diff(Simulate(GranterOrShare, l), Simulate(GranterOrShare, l)); diff != "" {
		t.Errorf("second run (-first +second):\n%s", diff)
	}
}
