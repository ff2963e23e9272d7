package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/reach"
)

const (
	// Copies is at how many nodes other than the one that began a stream its record is kept.
	Copies = 2
	// maxTried is how many nodes a record is sent to until so many have taken it.
	maxTried = 4
	// minAsked is the least number of nodes that are asked first for a record, and maxAsked the number that are asked in all
	// if those have none.
	minAsked = 4
	maxAsked = 16
	// askedElsewhere is how many of the nodes that are asked first are outside of any single data hall: the second copy is
	// kept in another hall than the first one, where the node that began the stream and one that joined since may precede it.
	askedElsewhere = 3
)

// Order returns the nodes by their order for a key, by rendezvous: a node that joins or leaves moves the others by one
// place.
func Order(k Key, nodes []reach.Gateway) []reach.Gateway {
	type scored struct {
		reach.Gateway
		score uint64
	}
	all := make([]scored, len(nodes))
	var d xxhash.Digest
	for i, n := range nodes {
		d.Reset()
		// Writes to a hash do not fail.
		_, _ = d.Write(k[:])
		_, _ = d.WriteString(n.Address)
		all[i] = scored{n, d.Sum64()}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Address, b.Address))
	})
	out := make([]reach.Gateway, len(all))
	for i := range all {
		out[i] = all[i].Gateway
	}
	return out
}

// Keepers returns the addresses of the nodes that keep copies of a record, given their order, for the node at the address
// self that began the stream: the first one, the first one of another data hall, and then those that replace them if they do
// not answer.
func Keepers(self string, order []reach.Gateway) []string {
	others := without(self, order)
	if len(others) > 2 {
		if i := slices.IndexFunc(others, func(n reach.Gateway) bool { return n.Hall != others[0].Hall }); i > 1 {
			second := others[i]
			copy(others[2:i+1], others[1:i])
			others[1] = second
		}
	}
	return addresses(others[:min(len(others), maxTried)])
}

// Asked returns the addresses of the nodes to ask for a record, given their order, for the node at the address self: first
// those that keep it unless several nodes have joined or left since, then some more.
func Asked(self string, order []reach.Gateway) (first, more []string) {
	n, most, inHall := 0, 0, make(map[string]int)
	oneHall := !slices.ContainsFunc(order, func(w reach.Gateway) bool { return w.Hall != order[0].Hall })
	for n < min(len(order), maxAsked) && (n < minAsked || !oneHall && n-most < askedElsewhere) {
		hall := order[n].Hall
		inHall[hall]++
		most = max(most, inHall[hall])
		n++
	}
	return addresses(without(self, order[:n])), addresses(without(self, order[n:min(len(order), maxAsked)]))
}

// without returns the nodes but the one at an address.
func without(address string, nodes []reach.Gateway) []reach.Gateway {
	return slices.DeleteFunc(slices.Clone(nodes), func(n reach.Gateway) bool { return n.Address == address })
}

func addresses(nodes []reach.Gateway) []string {
	out := make([]string, len(nodes))
	for i, n := range nodes {
		out[i] = n.Address
	}
	return out
}
