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
	// simStep is the time between two looks at the nodes, and heardLife how long a holder
	// counts a node that it heard.
	simStep   = 100 * time.Millisecond
	heardLife = 1500 * time.Millisecond
	// reportEvery is the longest time between two reports of a node.
	reportEvery = time.Second
)

// simNode is one node of a simulated deployment, which retries whatever it may.
type simNode struct {
	allowance *Allowance
	budget    *Budget
	// heard is when each node last reported to this one, as the holder.
	heard    map[int]time.Time
	reportAt time.Time
}

// sim is a deployment in virtual time. One node holds the lease and tells the others how many
// it hears of.
type sim struct {
	all    Limits
	r      *rand.Rand
	now    time.Time
	nodes  []*simNode
	holder int
	// cut is true for nodes that hear nothing of the holder, nor it of them.
	cut []bool
	// sent are the moments of the latest retries, at most one window old.
	sent  []time.Time
	worst int
	// plant spoils the nodes before each step; nil for nothing.
	plant func(s *sim)
}

func newSim(nodes int, all Limits, seed uint64) *sim {
	s := &sim{all: all, r: rand.New(rand.NewPCG(seed, 1)), now: start, cut: make([]bool, nodes)}
	for range nodes {
		s.nodes = append(s.nodes, nil)
	}
	for i := range nodes {
		s.restart(i)
	}
	return s
}

// restart starts the process of a node anew.
func (s *sim) restart(i int) {
	s.nodes[i] = &simNode{allowance: NewAllowance(s.all), budget: NewBudget(Limits{}), heard: make(map[int]time.Time), reportAt: s.now.Add(s.soon())}
}

// hold makes a node the holder, which has heard of nobody.
func (s *sim) hold(i int) {
	s.holder = i
	s.nodes[i].heard = make(map[int]time.Time)
}

func (s *sim) soon() time.Duration { return time.Duration(s.r.Int64N(int64(reportEvery))) }

// run lets time pass.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.report()
		s.tell()
		if s.plant != nil {
			s.plant(s)
		}
		s.retry()
	}
}

func (s *sim) report() {
	h := s.nodes[s.holder]
	for i, n := range s.nodes {
		if i == s.holder || s.cut[i] || s.cut[s.holder] || s.now.Before(n.reportAt) {
			continue
		}
		h.heard[i] = s.now
		n.reportAt = s.now.Add(s.soon())
	}
}

func (s *sim) tell() {
	h, count := s.nodes[s.holder], 1
	for _, at := range h.heard {
		if s.now.Sub(at) <= heardLife {
			count++
		}
	}
	h.allowance.Heard(count, s.now)
	told := h.allowance.Nodes(s.now)
	for i, n := range s.nodes {
		if i != s.holder && !s.cut[i] && !s.cut[s.holder] {
			n.allowance.Heard(told, s.now)
		}
	}
}

// retry has each node make all the retries that it may, and counts those of a window.
func (s *sim) retry() {
	for _, n := range s.nodes {
		n.budget.Limit(n.allowance.Limits(s.now))
		for n.budget.Spend(s.now) {
			s.sent = append(s.sent, s.now)
		}
	}
	for len(s.sent) > 0 && s.now.Sub(s.sent[0]) >= s.all.Window {
		s.sent = s.sent[1:]
	}
	s.worst = max(s.worst, len(s.sent))
}

// playDrawn has the holder change and nodes start again, be cut off and reached again, in series.
func playDrawn(s *sim) {
	for range 60 {
		switch i := s.r.IntN(len(s.nodes)); s.r.IntN(4) {
		case 0:
			s.hold(i)
		case 1:
			s.restart(i)
		case 2:
			s.cut[i] = true
		case 3:
			clear(s.cut)
		}
		s.run(time.Duration(s.r.Int64N(int64(3 * time.Second))))
	}
}

// TestReserveOfAllNodes checks that nodes which retry all they may keep the bound on all nodes
// together, while the holder of the lease changes, nodes are cut off, start again and join.
func TestReserveOfAllNodes(t *testing.T) {
	loads := []struct {
		name string
		play func(s *sim)
	}{
		{"undisturbed", func(s *sim) { s.run(30 * time.Second) }},
		{"the holder changes", func(s *sim) {
			s.run(15 * time.Second)
			for i := range 4 {
				s.hold(1 + i)
				s.run(2 * time.Second)
			}
		}},
		{"a new holder hears half of the nodes", func(s *sim) {
			s.run(15 * time.Second)
			for i := range s.cut {
				s.cut[i] = i%2 == 0
			}
			s.hold(1)
			s.run(partLife + countLife + 30*time.Second)
			clear(s.cut)
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
				s.hold(2)
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
				s.hold(3 * k)
				s.run(2500 * time.Millisecond)
			}
		}},
		{"cut off from the start until there is a new holder", func(s *sim) {
			for i := range s.cut {
				s.cut[i] = i > 0
			}
			s.run(15 * time.Second)
			clear(s.cut)
			s.hold(1)
			s.run(15 * time.Second)
		}},
		{"drawn", playDrawn},
	}
	for _, nodes := range []int{9, 71, 300} {
		for _, load := range loads {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, load.name), func(t *testing.T) {
				for seed := range uint64(3) {
					s := newSim(nodes, Limits{Reserve: 180, Window: 10 * time.Second}, seed)
					load.play(s)
					if s.worst > 180 {
						t.Errorf("seed %d: %d retries in a window, 180 allowed", seed, s.worst)
					}
				}
			})
		}
	}
}

// TestReserveFaultsFound checks that the drawn load finds nodes that divide the reserve wrongly.
func TestReserveFaultsFound(t *testing.T) {
	faults := []struct {
		name  string
		plant func(s *sim)
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
				if s.cut[i] {
					n.allowance.counts, n.allowance.toldAt, n.allowance.ready = []toldCount{{1, s.now}}, s.now, true
				}
			}
		}},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSim(9, Limits{Reserve: 180, Window: 10 * time.Second}, seed)
				s.plant = f.plant
				playDrawn(s)
				if s.worst > 180 {
					return
				}
			}
			t.Error("20 seeds kept the bound")
		})
	}
}

// TestAllowance checks a node's part of a reserve of 90 by what it was told.
func TestAllowance(t *testing.T) {
	type told struct {
		nodes int
		at    time.Duration
	}
	// Told by one holder without a pause.
	steady := []told{{9, 0}, {9, 10 * time.Second}, {9, 35 * time.Second}}
	tests := []struct {
		name string
		told []told
		at   time.Duration
		want float64
	}{
		{"never told", nil, time.Hour, 0},
		{"for less than a window", []told{{9, 0}, {9, 9 * time.Second}}, 9 * time.Second, 0},
		{"for a window", []told{{9, 0}, {9, 10 * time.Second}}, 10 * time.Second, 7},
		{"a new holder that heard of nobody", append(steady[:2:2], told{1, 11 * time.Second}), 11 * time.Second, 7},
		{"more nodes", append(steady[:2:2], told{18, 11 * time.Second}), 11 * time.Second, 3.5},
		{"no word for a while", steady[:2], 40 * time.Second, 7},
		{"no word for long", steady[:2], 41 * time.Second, 0},
		{"a word after long", append(steady[:2:2], told{9, 50 * time.Second}), 50 * time.Second, 0},
		{"few nodes for a while", append(steady[:3:3], told{3, 60 * time.Second}, told{3, 80 * time.Second}), 90 * time.Second, 7},
		{"few nodes for long", append(steady[:3:3], told{3, 336 * time.Second}, told{3, 350 * time.Second}), 360 * time.Second, 21},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewAllowance(Limits{Share: 0.2, Reserve: 90, Window: 10 * time.Second})
			for _, h := range tt.told {
				a.Heard(h.nodes, start.Add(h.at))
			}
			if diff := cmp.Diff(tt.want, a.Limits(start.Add(tt.at)).Reserve, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Errorf("reserve (-want +got):\n%s", diff)
			}
		})
	}
}
