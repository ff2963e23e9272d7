// Package rendezvous chooses homes: for each key, the node that gathers what
// concerns it and acts for all.
//
// The problem: nodes must agree on a home without talking, and when a node
// comes or goes only its own keys may move. The model is highest-random-weight
// hashing: every node scores every key, the highest score is the home. A home
// only saves work; no promise rests on two nodes naming the same one.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Home returns the node with the highest score for key, or "" of no nodes.
func Home(key string, nodes []string) string {
	var best string
	var bestScore uint64
	for _, n := range nodes {
		s := Score(key, n)
		if best == "" || s > bestScore || (s == bestScore && n < best) {
			best, bestScore = n, s
		}
	}
	return best
}

// Rank returns the nodes by falling score for key: the home first, then the
// nodes that stand in for it.
func Rank(key string, nodes []string) []string {
	out := append([]string(nil), nodes...)
	sort.Slice(out, func(i, j int) bool {
		a, b := Score(key, out[i]), Score(key, out[j])
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out
}

// Score returns the weight of a node for a key.
func Score(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
