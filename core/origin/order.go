package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/reach"
)

// Copies is at how many nodes other than the one that began a stream its record is kept.
const Copies = 2

// Asked is how many nodes are asked first for the record of a stream. A node that begins a stream is not among the
// keepers of its record, and nodes may join or leave between the two, so that more are asked than keep it.
const Asked = 4

// MaxAsked is how many nodes are asked in all if the first ones have no record.
const MaxAsked = 16

// Order returns the nodes by their order for a key: the highest scores first, but a second node of a data hall only after
// one of each hall. A node that joins or leaves changes the place of few others.
func Order(k Key, nodes []reach.Gateway) []reach.Gateway {
	type scored struct {
		reach.Gateway
		score uint64
		// inHall is the rank of the node among those of its hall.
		inHall int
	}
	all := make([]scored, len(nodes))
	var d xxhash.Digest
	for i, n := range nodes {
		d.Reset()
		// Writes to a hash do not fail.
		_, _ = d.Write(k[:])
		_, _ = d.WriteString(n.Address)
		all[i] = scored{Gateway: n, score: d.Sum64()}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Address, b.Address))
	})
	halls := make(map[string]int)
	for i := range all {
		all[i].inHall = halls[all[i].Hall]
		halls[all[i].Hall]++
	}
	slices.SortStableFunc(all, func(a, b scored) int { return a.inHall - b.inHall })
	out := make([]reach.Gateway, len(all))
	for i := range all {
		out[i] = all[i].Gateway
	}
	return out
}

// Without returns the addresses of the nodes but one, in their order.
func Without(self string, nodes []reach.Gateway) []string {
	out := make([]string, 0, len(nodes))
	for _, n := range nodes {
		if n.Address != self {
			out = append(out, n.Address)
		}
	}
	return out
}
