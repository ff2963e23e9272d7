package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// Flags of TestManyFaults, for a search by hand.
var (
	plays     = flag.Uint64("plays", 40, "seeds per rate of TestManyFaults")
	playNodes = flag.Int("playNodes", 7, "number of nodes of TestManyFaults")
)

// faultRun is a run of injectFaults against an endpoint's limit.
type faultRun struct {
	cold      bool
	nodes     int
	perSecond float64
	seed      uint64
}

// check fails the test if the endpoint gets more requests than the rule allows.
func (r faultRun) check(t *testing.T) {
	t.Helper()
	s := newSimDeployment(r.nodes, r.perSecond, r.seed)
	if r.cold {
		s = newColdDeployment(r.nodes, r.perSecond, r.seed)
	}
	injectFaults(s)
	if float64(s.maxInWindow) > s.allowed() {
		t.Errorf("%+v: %d requests in %v, %.1f allowed", r, s.maxInWindow, s.rule.window, s.allowed())
	}
}

// TestManyFaults guards against overloads that occur with few seeds only. A search by hand plays some thousand seeds:
// go test ./core/quota -run TestManyFaults -plays 6000.
func TestManyFaults(t *testing.T) {
	for _, cold := range []bool{true, false} {
		for _, perSecond := range []float64{0.3, 1, 1.8, 2, 8, 10, 16, 30} {
			t.Run(fmt.Sprintf("cold %t, %g a second", cold, perSecond), func(t *testing.T) {
				t.Parallel()
				for seed := range *plays {
					faultRun{cold, *playNodes, perSecond, seed}.check(t)
				}
			})
		}
	}
}

// TestGrantersApartKeepLimit guards against granters that exist side by side and each take the shares of the nodes that
// report to the other one.
func TestGrantersApartKeepLimit(t *testing.T) {
	for _, r := range []faultRun{
		{false, 7, 1.8, 2050}, {false, 7, 2, 49}, {false, 7, 8, 1001}, {false, 7, 8, 2267},
		{false, 7, 10, 599}, {false, 7, 10, 1081}, {false, 7, 16, 25}, {false, 7, 30, 404},
	} {
		r.check(t)
	}
}

// TestFrozenNodesSaveNoShare guards against partitioned nodes that spend, as soon as they resume, the shares of all the
// time for which they were frozen.
func TestFrozenNodesSaveNoShare(t *testing.T) {
	for _, r := range []faultRun{
		{true, 7, 1, 14}, {true, 7, 1, 16}, {true, 7, 1, 206}, {true, 7, 2, 112},
		{true, 7, 8, 54}, {true, 7, 8, 151}, {true, 7, 8, 174}, {true, 7, 8, 251},
		{true, 7, 30, 467}, {true, 7, 30, 730}, {true, 7, 30, 1138},
	} {
		r.check(t)
	}
}

// TestIdleShareExpires checks what a partitioned node admits at once after a pause: at most what it may hold, and one
// request that was refused until then.
func TestIdleShareExpires(t *testing.T) {
	of := Bound{PartitionedRate: 4, MinNodes: 1}
	tests := []struct {
		name  string
		pause time.Duration
		most  int
	}{
		{"as long as the refusal said", 0, 1},
		{"a little longer", shareTTL, 5},
		{"suspended", time.Minute, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewAllowance("a-1", Tolerance{})
			p.Unanswered(start, start)
			now, wait := start, time.Duration(0)
			for wait == 0 {
				wait = p.TakeBound("e", of, 1, now).RetryAfter
			}
			// Rounded up: the refusal's delay is truncated to nanoseconds.
			now = now.Add(wait + time.Nanosecond + tt.pause)
			admitted := 0
			for p.TakeBound("e", of, 1, now).Step == Admitted {
				admitted++
			}
			if admitted < 1 && tt.pause < shareTTL || admitted > tt.most {
				t.Errorf("%d admitted at once, want 1 to %d", admitted, tt.most)
			}
		})
	}
}

// TestPartitionedNodesHaveNoBurst guards against nodes that become partitioned from a cold endpoint's granter several
// times and spend a burst at each.
func TestPartitionedNodesHaveNoBurst(t *testing.T) {
	for _, r := range []faultRun{{true, 7, 0.3, 2430}, {true, 7, 0.3, 3129}} {
		r.check(t)
	}
}
