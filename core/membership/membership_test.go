package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/ledger"
)

// cluster is a fleet of tables that exchange probes in virtual time.
type cluster struct {
	tables map[string]*Table
	names  []string
	// cut reports whether a probe from one to the other is lost.
	cut func(from, to string) bool
	now time.Time
}

func newCluster(n int) *cluster {
	c := &cluster{tables: make(map[string]*Table), now: time.Unix(1000, 0), cut: func(string, string) bool { return false }}
	var list []Member
	for i := range n {
		name := fmt.Sprintf("n%03d", i)
		c.names = append(c.names, name)
		list = append(list, Member{NodeRef: ledger.NodeRef{Node: name}, Address: name, Hall: "h"})
	}
	for _, name := range c.names {
		c.tables[name] = NewTable(ledger.NodeRef{Node: name, Incarnation: 1})
		c.tables[name].Listed(list)
	}
	return c
}

// rounds runs probe rounds a second apart.
func (c *cluster) rounds(from, to int) {
	for r := from; r < to; r++ {
		c.now = c.now.Add(time.Second)
		for _, name := range c.names {
			t := c.tables[name]
			probe, watched := Round(name, t.Peers(c.now), r)
			t.Probing(watched, c.now)
			for _, m := range probe {
				if c.cut(name, m.Node) || c.cut(m.Node, name) {
					continue
				}
				other := c.tables[m.Node]
				other.Heard(t.Self, c.now)
				t.Heard(other.Self, c.now)
				for _, n := range t.News(c.now) {
					other.Take(n, c.now)
				}
				for _, n := range other.News(c.now) {
					t.Take(n, c.now)
				}
			}
		}
	}
}

// TestJudgement breaks links and expects who holds whom for alive.
func TestJudgement(t *testing.T) {
	tests := []struct {
		name  string
		nodes int
		cut   func(from, to string) bool
		// alive is whether the others hold n001 for alive.
		alive bool
	}{
		{"all well, 7", 7, func(string, string) bool { return false }, true},
		{"all well, 60", 60, func(string, string) bool { return false }, true},
		{"dead, 7", 7, func(a, b string) bool { return a == "n001" || b == "n001" }, false},
		{"dead, 60", 60, func(a, b string) bool { return a == "n001" || b == "n001" }, false},
		{"cut off from one peer, 7", 7, func(a, b string) bool { return a == "n001" && b == "n002" || a == "n002" && b == "n001" }, true},
		{"cut off from its watcher, 60", 60, func(a, b string) bool { return a == "n000" && b == "n001" || a == "n001" && b == "n000" }, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(tc.nodes)
			c.rounds(0, 15)
			c.cut = tc.cut
			c.rounds(15, 40)
			var got []string
			for _, name := range c.names {
				if name != "n001" && c.tables[name].Alive(ledger.NodeRef{Node: "n001", Incarnation: 1}, c.now) != tc.alive {
					got = append(got, name)
				}
			}
			if diff := cmp.Diff([]string(nil), got); diff != "" {
				t.Errorf("nodes of another opinion (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNoFlappingUnderLoss loses one probe in twenty for ten minutes.
func TestNoFlappingUnderLoss(t *testing.T) {
	for _, n := range []int{7, 60} {
		c := newCluster(n)
		c.rounds(0, 15)
		rng := rand.New(rand.NewPCG(1, 2))
		c.cut = func(string, string) bool { return rng.Float64() < 0.05 }
		flaps := 0
		for r := 15; r < 615; r++ {
			c.rounds(r, r+1)
			for _, name := range c.names {
				flaps += n - len(c.tables[name].Live(c.now, false))
			}
		}
		if flaps > 0 {
			t.Errorf("%d nodes: %d wrong judgements in 600 rounds", n, flaps)
		}
	}
}

// TestFeedReachesAll follows the feed tree of a large fleet: every node that
// does not read the log itself is fed by exactly one that does.
func TestFeedReachesAll(t *testing.T) {
	var all []Member
	for i := range 420 {
		all = append(all, Member{NodeRef: ledger.NodeRef{Node: fmt.Sprintf("n%03d", i)}, Hall: fmt.Sprint("h", i%15)})
	}
	tails, fed := 0, make(map[string]int)
	for i, m := range all {
		peers := append(append([]Member(nil), all[:i]...), all[i+1:]...)
		f := FeedOf(m.Node, m.Hall, peers)
		if f.Tails {
			tails++
			fed[m.Node]++
		}
		for _, to := range f.Fed {
			fed[to.Node]++
		}
	}
	for _, m := range all {
		if fed[m.Node] != 1 {
			t.Errorf("%s is fed %d times", m.Node, fed[m.Node])
		}
	}
	if tails != 30 {
		t.Errorf("%d nodes read the log, want 30", tails)
	}
}
