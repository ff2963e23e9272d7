// Package rendezvous assigns each key a home: the node that collects the information about the key and acts on it
// for all nodes.
//
// Nodes must agree on a home without communicating, and when a node joins or leaves, only its own keys may move. The
// package uses highest-random-weight hashing: every node has a score for every key, and the node with the highest
// score is the key's home. A home only saves work: correctness must not depend on two nodes naming the same one,
// since they may know different sets of nodes.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Home returns the node with the highest score for key, or "" if nodes is empty.
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

// Rank returns the nodes by descending score for key: the home first, then the nodes that replace it in turn.
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

// Score returns the score of a node for a key, a hash of both.
func Score(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
