package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

const (
	// simStep is the interval of the simulation. reportTTL is how long the holder counts a node after its
	// latest report.
	simStep   = 100 * time.Millisecond
	reportTTL = 1500 * time.Millisecond
	// reportEvery is the longest interval between two reports of a node.
	reportEvery = time.Second
)

// simNode is a node of a simulated deployment that makes all the retries that its budget allows.
type simNode struct {
	allowance *Allowance
	budget    *Budget
	// reportedAt holds when each node last reported to this one while it was the holder.
	reportedAt map[int]time.Time
	reportAt   time.Time
}

// sim is a deployment in virtual time. One node holds the lease and sends the others the number of nodes
// that reported to it.
type sim struct {
	total  Limits
	r      *rand.Rand
	now    time.Time
	nodes  []*simNode
	holder int
	// partitioned is true for nodes that are partitioned from the holder.
	partitioned []bool
	// sent holds the times of the retries of the latest window; maxInWindow is the largest number of them so far.
	sent        []time.Time
	maxInWindow int
	// injectFault injects a fault into the nodes in each step; nil for none.
	injectFault func(s *sim)
}

func newSim(nodes int, total Limits, seed uint64) *sim {
	s := &sim{total: total, r: rand.New(rand.NewPCG(seed, 1)), now: start, partitioned: make([]bool, nodes)}
	for range nodes {
		s.nodes = append(s.nodes, nil)
	}
	for i := range nodes {
		s.restart(i)
	}
	return s
}

// restart replaces the process of a node.
func (s *sim) restart(i int) {
	s.nodes[i] = &simNode{allowance: NewAllowance(s.total), budget: NewBudget(Limits{}), reportedAt: make(map[int]time.Time), reportAt: s.now.Add(s.randomDelay())}
}

// setHolder makes a node the lease holder. It has received no reports yet.
func (s *sim) setHolder(i int) {
	s.holder = i
	s.nodes[i].reportedAt = make(map[int]time.Time)
}

func (s *sim) randomDelay() time.Duration { return time.Duration(s.r.Int64N(int64(reportEvery))) }

// run advances the simulation by d.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.report()
		s.sendCount()
		if s.injectFault != nil {
			s.injectFault(s)
		}
		s.retry()
	}
}

func (s *sim) report() {
	h := s.nodes[s.holder]
	for i, n := range s.nodes {
		if i == s.holder || s.partitioned[i] || s.partitioned[s.holder] || s.now.Before(n.reportAt) {
			continue
		}
		h.reportedAt[i] = s.now
		n.reportAt = s.now.Add(s.randomDelay())
	}
}

func (s *sim) sendCount() {
	h, count := s.nodes[s.holder], 1
	for _, at := range h.reportedAt {
		if s.now.Sub(at) <= reportTTL {
			count++
		}
	}
	h.allowance.ObserveNodes(count, s.now)
	sharedCount := h.allowance.Nodes(s.now)
	for i, n := range s.nodes {
		if i != s.holder && !s.partitioned[i] && !s.partitioned[s.holder] {
			n.allowance.ObserveNodes(sharedCount, s.now)
		}
	}
}

// retry makes each node send all the retries that it may, and counts those within a window.
func (s *sim) retry() {
	for _, n := range s.nodes {
		n.budget.Limit(n.allowance.Limits(s.now))
		for n.budget.Spend(s.now) {
			s.sent = append(s.sent, s.now)
		}
	}
	for len(s.sent) > 0 && s.now.Sub(s.sent[0]) >= s.total.Window {
		s.sent = s.sent[1:]
	}
	s.maxInWindow = max(s.maxInWindow, len(s.sent))
}

// runRandom runs a random series of changes of the holder, restarts, partitions and their ends.
func runRandom(s *sim) {
	for range 60 {
		switch i := s.r.IntN(len(s.nodes)); s.r.IntN(4) {
		case 0:
			s.setHolder(i)
		case 1:
			s.restart(i)
		case 2:
			s.partitioned[i] = true
		case 3:
			clear(s.partitioned)
		}
		s.run(time.Duration(s.r.Int64N(int64(3 * time.Second))))
	}
}

// TestReserveOfAllNodes guards against nodes that together retry more than the common bound while the lease
// holder changes and nodes are partitioned, restart and join. Each node makes all the retries that it may.
func TestReserveOfAllNodes(t *testing.T) {
	loads := []struct {
		name string
		play func(s *sim)
	}{
		{"undisturbed", func(s *sim) { s.run(30 * time.Second) }},
		{"the holder changes", func(s *sim) {
			s.run(15 * time.Second)
			for i := range 4 {
				s.setHolder(1 + i)
				s.run(2 * time.Second)
			}
		}},
		{"a new holder hears half of the nodes", func(s *sim) {
			s.run(15 * time.Second)
			for i := range s.partitioned {
				s.partitioned[i] = i%2 == 0
			}
			s.setHolder(1)
			s.run(shareTTL + countTTL + 30*time.Second)
			clear(s.partitioned)
			s.run(5 * time.Second)
		}},
		{"one starts again and again", func(s *sim) {
			for range 12 {
				s.run(time.Second)
				s.restart(3)
			}
		}},
		{"all start again, twice", func(s *sim) {
			s.run(15 * time.Second)
			for range 2 {
				for i := range s.nodes {
					s.restart(i)
				}
				s.setHolder(2)
				s.run(3 * time.Second)
			}
			s.run(15 * time.Second)
		}},
		{"a third starts again, three times, with the holder", func(s *sim) {
			s.run(15 * time.Second)
			for k := range 3 {
				for i := 0; i < len(s.nodes); i += 3 {
					s.restart(i)
				}
				s.setHolder(3 * k)
				s.run(2500 * time.Millisecond)
			}
		}},
		{"cut off from the start until there is a new holder", func(s *sim) {
			for i := range s.partitioned {
				s.partitioned[i] = i > 0
			}
			s.run(15 * time.Second)
			clear(s.partitioned)
			s.setHolder(1)
			s.run(15 * time.Second)
		}},
		{"drawn", runRandom},
	}
	for _, nodes := range []int{9, 71, 300} {
		for _, load := range loads {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, load.name), func(t *testing.T) {
				for seed := range uint64(3) {
					s := newSim(nodes, Limits{Reserve: 180, Window: 10 * time.Second}, seed)
					load.play(s)
					if s.maxInWindow > 180 {
						t.Errorf("seed %d: %d retries in a window, 180 allowed", seed, s.maxInWindow)
					}
				}
			})
		}
	}
}

// TestReserveFaultsFound checks that the random series reveals each of three faults in dividing the reserve.
func TestReserveFaultsFound(t *testing.T) {
	faults := []struct {
		name        string
		injectFault func(s *sim)
	}{
		{"a count counts alone, not the largest told lately", func(s *sim) {
			for _, n := range s.nodes {
				if len(n.allowance.counts) > 1 {
					n.allowance.counts = n.allowance.counts[len(n.allowance.counts)-1:]
				}
			}
		}},
		{"a new process has its part at once", func(s *sim) {
			for _, n := range s.nodes {
				n.allowance.ready = true
			}
		}},
		{"a node that is not told keeps its part", func(s *sim) {
			for i, n := range s.nodes {
				if s.partitioned[i] {
					n.allowance.counts, n.allowance.receivedAt, n.allowance.ready = []nodeCount{{1, s.now}}, s.now, true
				}
			}
		}},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSim(9, Limits{Reserve: 180, Window: 10 * time.Second}, seed)
				s.injectFault = f.injectFault
				runRandom(s)
				if s.maxInWindow > 180 {
					return
				}
			}
			t.Error("no seed of 20 exceeded the bound, although the fault is injected")
		})
	}
}

// TestAllowance checks a node's share of a reserve of 90 after a series of received counts.
func TestAllowance(t *testing.T) {
	type observedCount struct {
		nodes int
		at    time.Duration
	}
	// Received from one holder without a gap.
	steady := []observedCount{{9, 0}, {9, 10 * time.Second}, {9, 35 * time.Second}}
	tests := []struct {
		name   string
		counts []observedCount
		at     time.Duration
		want   float64
	}{
		{"never told", nil, time.Hour, 0},
		{"for less than a window", []observedCount{{9, 0}, {9, 9 * time.Second}}, 9 * time.Second, 0},
		{"for a window", []observedCount{{9, 0}, {9, 10 * time.Second}}, 10 * time.Second, 7},
		{"a new holder that heard of nobody", append(steady[:2:2], observedCount{1, 11 * time.Second}), 11 * time.Second, 7},
		{"more nodes", append(steady[:2:2], observedCount{18, 11 * time.Second}), 11 * time.Second, 3.5},
		{"no word for a while", steady[:2], 40 * time.Second, 7},
		{"no word for long", steady[:2], 41 * time.Second, 0},
		{"a word after long", append(steady[:2:2], observedCount{9, 50 * time.Second}), 50 * time.Second, 0},
		{"few nodes for a while", append(steady[:3:3], observedCount{3, 60 * time.Second}, observedCount{3, 80 * time.Second}), 90 * time.Second, 7},
		{"few nodes for long", append(steady[:3:3], observedCount{3, 336 * time.Second}, observedCount{3, 350 * time.Second}), 360 * time.Second, 21},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewAllowance(Limits{Share: 0.2, Reserve: 90, Window: 10 * time.Second})
			for _, h := range tt.counts {
				a.ObserveNodes(h.nodes, start.Add(h.at))
			}
			if diff := cmp.Diff(tt.want, a.Limits(start.Add(tt.at)).Reserve, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Errorf("reserve (-want +got):\n%s", diff)
			}
		})
	}
}
