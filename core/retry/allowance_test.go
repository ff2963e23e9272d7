package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
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
	s.nodes[i] = &simNode{allowance: NewAllowance(s.all, s.now), budget: NewBudget(Limits{}), heard: make(map[int]time.Time), reportAt: s.now.Add(s.soon())}
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
	h := s.nodes[s.holder]
	count := 1
	for _, at := range h.heard {
		if s.now.Sub(at) <= heardLife {
			count++
		}
	}
	for i, n := range s.nodes {
		if i == s.holder || !s.cut[i] && !s.cut[s.holder] {
			n.allowance.Heard(count, s.now)
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
			s.run(100 * time.Second)
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
		{"drawn", func(s *sim) {
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
		}},
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
