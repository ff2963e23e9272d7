package quota

import (
	"fmt"
	"testing"
	"time"
)

// retryRule is the bound on the retries of all nodes in the simulation: 1/usedRetries of what the granter may grant.
var retryRule = simRule{window: 10 * time.Second, slack: 130, includeDisturbed: true}

// usedRetries is the fraction of the bound that the granter may use. The rest covers grants that are used late.
const usedRetries = 0.7

// retryPause is how long, in seconds, the nodes of the simulation need no retries, and how long they need them then.
const retryPause = 9

// newRetryDeployment returns a deployment whose nodes retry as often as they may.
func newRetryDeployment(nodes int, seed uint64) *simDeployment {
	s := newSimDeployment(nodes, 0, seed)
	s.retries, s.rule = true, retryRule
	s.bound = func(n int) Bound { return RetryBound(usedRetries*retryRule.slack, retryRule.window, n) }
	return s
}

// retryPlays are the series of faults for which the bound is checked.
var retryPlays = []struct {
	name string
	run  func(s *simDeployment)
}{
	{"drawn faults", injectFaults},
	{"the granter changes", func(s *simDeployment) {
		s.run(retryPause * time.Second)
		for i := range 8 {
			s.makeGranter(i % len(s.nodes))
			s.run(time.Second)
		}
	}},
	{"all restart, three times", func(s *simDeployment) {
		s.run(2 * retryPause * time.Second)
		for k := range 3 {
			s.run(3 * time.Second)
			for i := range s.nodes {
				s.restart(i)
			}
			s.makeGranter(k % len(s.nodes))
		}
		s.run(3 * time.Second)
	}},
	{"two granters", func(s *simDeployment) {
		s.run(retryPause * time.Second)
		for i, n := range s.nodes {
			n.island = i % 2
		}
		s.makeGranter(len(s.nodes) / 2)
		s.run(3 * time.Second)
		s.makeGranter(len(s.nodes) - 1)
		s.run(retryPause * time.Second)
	}},
}

// TestRetryPoolHolds guards against nodes that together retry more often than the common bound while each uses all it
// may, the granter changes, is duplicated or lost, and nodes restart, freeze and are partitioned.
func TestRetryPoolHolds(t *testing.T) {
	for _, nodes := range []int{1, 2, 7, 71, 300} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			t.Parallel()
			for seed := range max(3, *plays*7/uint64(max(7, nodes))) {
				for _, play := range retryPlays {
					s := newRetryDeployment(nodes, seed)
					play.run(s)
					if float64(s.maxInWindow) > s.allowed() {
						t.Errorf("%s, seed %d: %d retries in %v, %.1f allowed", play.name, seed, s.maxInWindow, s.rule.window, s.allowed())
					}
				}
			}
		})
	}
}

// TestRetryPoolDetectsFaults checks that the simulation detects injected faults.
func TestRetryPoolDetectsFaults(t *testing.T) {
	faults := []struct {
		name   string
		inject func(s *simDeployment, n *simNode)
		bound  func(b Bound, nodes int) Bound
	}{
		{"a granter that forgets what it granted", func(s *simDeployment, n *simNode) {
			if n.granter != nil && s.r.IntN(100) == 0 {
				n.granter.buckets = make(map[string]*bucket)
				n.granter.startedAt = s.now.Add(-time.Minute)
			}
		}, func(b Bound, _ int) Bound { return b }},
		{"each partitioned node has the whole rate", nil, func(b Bound, nodes int) Bound {
			b.PartitionedRate *= float64(nodes)
			return b
		}},
		{"twice the rate", nil, func(b Bound, _ int) Bound { b.Rate, b.Capacity = 2*b.Rate, 2*b.Capacity; return b }},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(20) {
				for _, play := range retryPlays {
					s := newRetryDeployment(71, seed)
					of := s.bound
					s.inject, s.bound = f.inject, func(nodes int) Bound { return f.bound(of(nodes), nodes) }
					play.run(s)
					if float64(s.maxInWindow) > s.allowed() {
						return
					}
				}
			}
			t.Error("not detected in 20 runs")
		})
	}
}

// TestRetryPoolIsUsed guards against a pool that nodes with few requests cannot use: one of many nodes gets the retries
// that it needs at once, also where an equal part would be less than one.
func TestRetryPoolIsUsed(t *testing.T) {
	for _, nodes := range []int{7, 71, 300} {
		g := NewGranter(Tolerance{}, nodes, start)
		now := at(10 * time.Second)
		for i := range nodes {
			g.Observe(fmt.Sprint(i), false, now)
		}
		of := RetryBound(usedRetries*retryRule.slack, retryRule.window, nodes)
		got := 0
		for g.GrantRetry("s", of, 1, false, now).Granted > 0 {
			got++
		}
		urgent := 0
		for g.GrantRetry("s", of, 1, true, now).Granted > 0 {
			urgent++
		}
		if got < 34 || urgent < 11 {
			t.Errorf("%d nodes: one node gets %d retries and then %d urgent ones, want three quarters and the rest of 45", nodes, got, urgent)
		}
	}
}

// TestUrgentRetriesInOrder checks that urgent retries are scheduled one after the other, and that other ones, which do
// not return, take no place among them.
func TestUrgentRetriesInOrder(t *testing.T) {
	g := NewGranter(Tolerance{}, 0, start)
	for _, n := range []string{"a", "b", "c"} {
		g.Observe(n, false, start)
	}
	of := RetryBound(20, 10*time.Second, 3)
	var got []time.Duration
	for _, urgent := range []bool{true, false, false, true} {
		got = append(got, g.GrantRetry("s", of, 1, urgent, start).RetryAfter.Round(10*time.Millisecond))
	}
	// Three quarters of the rate of 1 a second are for all.
	if got[0] != 1330*time.Millisecond || got[3] != 2670*time.Millisecond {
		t.Errorf("urgent retries wait %v and %v, want 1.33s and 2.67s", got[0], got[3])
	}
}
