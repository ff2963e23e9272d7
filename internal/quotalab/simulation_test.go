package quotalab

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// shifted is the load of the deployment of 71 nodes.
func shifted(seed uint64) Load {
	return Load{Nodes: 71, Customers: 16, Tokens: 418000, For: 34 * time.Second, Seed: seed}
}

// TestLimitsHold replays the loads under which a limit is broken or what is beneath it is
// refused: one customer at 7.5 times its usual beside a granter that is killed, and beside a
// third of the nodes that are cut off from it. The rule is the platform's; 1 in 1,000 and 1
// in 100 are the aims for tokens refused beneath the limit without trouble and with a cut.
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
		// most is the greatest share refused beneath the limit.
		most float64
	}{
		{"quiet", quiet, 0.001},
		{"hot", hot, 0.001},
		{"hot and the granter lost", lost, 1},
		{"hot and a third cut off", cut, 1},
		{"a small one hot and the granter lost", small, 1},
		{"7 nodes", few, 1},
		// The granter counted parts of nodes cut off from it for too long beside what they
		// spent by themselves: 1.02 of what is allowed.
		{"7 nodes, a third cut off", fewCut, 1},
		{"300 nodes", many, 1},
		{"1,000 customers", manyCustomers, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := Play(Parts, tt.load)
			if r.Over > 0 {
				t.Errorf("%d customers broke their limits, the worst had %.2f of what is allowed", r.Over, r.Worst)
			}
			if r.Refused > tt.most {
				t.Errorf("%.4f of tokens refused beneath the limit, %v at most", r.Refused, tt.most)
			}
			t.Logf("worst %.3f, refused %.4f, %.0f questions a second", r.Worst, r.Refused, r.Questions)
		})
	}
}

// TestSharesAlone shows that the lab finds what is wrong with a share for each node: it
// refuses what is beneath the limit, or breaks the limit.
func TestSharesAlone(t *testing.T) {
	l := shifted(2)
	l.Hot, l.HotFrom = 7.5, 5*time.Second
	l.HotRank = 15
	if r := Play(Shares, l); r.Refused < 0.001 && r.Over == 0 {
		t.Errorf("shares refused %.4f and broke no limit", r.Refused)
	}
}

// TestSameTwice checks that a seed gives the same figures again.
func TestSameTwice(t *testing.T) {
	l := shifted(3)
	l.For = 5 * time.Second
	if diff := cmp.Diff(Play(Parts, l), Play(Parts, l)); diff != "" {
		t.Errorf("second play (-first +second):\n%s", diff)
	}
}
