package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/ledger"
)

// testFleet is a set of tables that exchange probes in virtual time.
type testFleet struct {
	tables map[string]*Table
	names  []string
	// cut reports whether a message from one node to another is lost.
	cut func(from, to string) bool
	now time.Time
}

func newTestFleet(n int) *testFleet {
	c := &testFleet{tables: make(map[string]*Table), now: time.Unix(1000, 0), cut: func(string, string) bool { return false }}
	var list []Member
	for i := range n {
		name := fmt.Sprintf("n%03d", i)
		c.names = append(c.names, name)
		list = append(list, Member{NodeRef: ledger.NodeRef{Node: name}, Address: name, Hall: "h"})
	}
	for _, name := range c.names {
		c.tables[name] = NewTable(ledger.NodeRef{Node: name, Incarnation: 1})
		c.tables[name].UpdateListed(list)
	}
	return c
}

// rounds runs the probe rounds in [from, to), one per second.
func (c *testFleet) rounds(from, to int) {
	for r := from; r < to; r++ {
		c.now = c.now.Add(time.Second)
		for _, name := range c.names {
			t := c.tables[name]
			probe, watched := ProbeRound(name, t.Peers(c.now), r)
			t.SetProbed(watched, c.now)
			for _, m := range probe {
				if c.cut(name, m.Node) || c.cut(m.Node, name) {
					continue
				}
				other := c.tables[m.Node]
				other.ObserveAlive(t.Self, c.now)
				t.ObserveAlive(other.Self, c.now)
				for _, n := range t.News(c.now) {
					other.Merge(n, c.now)
				}
				for _, n := range other.News(c.now) {
					t.Merge(n, c.now)
				}
			}
		}
	}
}

// TestAliveUnderBrokenLinks drops all probes on some links of a node. If no node
// can reach it, every other node must count it as dead; if only one cannot, even
// its watcher, every other node must count it as alive.
func TestAliveUnderBrokenLinks(t *testing.T) {
	tests := []struct {
		name  string
		nodes int
		cut   func(from, to string) bool
		// alive is whether the other nodes must count n001 as alive.
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
			c := newTestFleet(tc.nodes)
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
				t.Errorf("nodes with the wrong result for n001 (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNoFalseSuspicionUnderProbeLoss drops one in twenty messages at random for ten
// minutes. No node may count a live one as dead in any round.
func TestNoFalseSuspicionUnderProbeLoss(t *testing.T) {
	for _, n := range []int{7, 60} {
		c := newTestFleet(n)
		c.rounds(0, 15)
		rng := rand.New(rand.NewPCG(1, 2))
		c.cut = func(string, string) bool { return rng.Float64() < 0.05 }
		falseDeaths := 0
		for r := 15; r < 615; r++ {
			c.rounds(r, r+1)
			for _, name := range c.names {
				falseDeaths += n - len(c.tables[name].Live(c.now, false))
			}
		}
		if falseDeaths > 0 {
			t.Errorf("%d nodes: live nodes counted as dead %d times in 600 rounds", n, falseDeaths)
		}
	}
}

// TestFeedReachesAll computes the feeds of all nodes of a large fleet. Every node
// must either read the log itself or be a follower of exactly one that does.
func TestFeedReachesAll(t *testing.T) {
	var all []Member
	for i := range 420 {
		all = append(all, Member{NodeRef: ledger.NodeRef{Node: fmt.Sprintf("n%03d", i)}, Hall: fmt.Sprint("h", i%15)})
	}
	tailers, sources := 0, make(map[string]int)
	for i, m := range all {
		peers := append(append([]Member(nil), all[:i]...), all[i+1:]...)
		f := FeedOf(m.Node, m.Hall, peers)
		if f.TailsLog {
			tailers++
			sources[m.Node]++
		}
		for _, to := range f.Followers {
			sources[to.Node]++
		}
	}
	for _, m := range all {
		if sources[m.Node] != 1 {
			t.Errorf("%s receives records from %d sources, want 1", m.Node, sources[m.Node])
		}
	}
	if tailers != 30 {
		t.Errorf("%d nodes read the log, want 30", tailers)
	}
}
