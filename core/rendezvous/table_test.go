package rendezvous

import (
	"fmt"
	"sort"
	"testing"

	"pgregory.net/rapid"

	_ "olivetiller/internal/fixedseed"
)

// TestTableAgreesWithHome checks that a table has the homes that Home computes, after nodes have joined and left.
func TestTableAgreesWithHome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := NewTable()
		for range 10 {
			set := rapid.MapOfN(rapid.IntRange(0, 12), rapid.Just(true), 0, 13).Draw(rt, "nodes")
			var nodes []string
			for n := range set {
				nodes = append(nodes, fmt.Sprint("n", n))
			}
			sort.Strings(nodes)
			table.Update(nodes)
			for key := range 20 {
				k := fmt.Sprint("k", key)
				if got, want := table.Home(k), Home(k, nodes); got != want {
					rt.Fatalf("home of %s among %v is %q, want %q", k, nodes, got, want)
				}
			}
		}
	})
}

// BenchmarkUpdate measures the replacement of one of 420 nodes in a table with 23,000 keys.
func BenchmarkUpdate(b *testing.B) {
	nodes := make([]string, 420)
	for i := range nodes {
		nodes[i] = fmt.Sprint("n", i)
	}
	table := NewTable()
	table.Update(nodes)
	for k := range 23000 {
		table.Home(fmt.Sprint("k", k))
	}
	for i := 0; b.Loop(); i++ {
		nodes[i%420] = fmt.Sprint("m", i)
		table.Update(nodes)
		for k := range 23000 {
			table.Home(fmt.Sprint("k", k))
		}
	}
}
