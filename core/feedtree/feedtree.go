package feedtree

import (
	"cmp"
	"slices"
	"time"

	"olivetiller/core/rendezvous"
)

const (
	// FanOut bounds the nodes that one node sends to: a change of 1 KB to each takes 10 ms on a link of 100 Mbit/s.
	FanOut = 128
	// minFeeders is the minimum number of feeders in a data hall, so that one is left if the other is lost.
	minFeeders = 2
	// keepRatio is by how much a node must be stronger than a feeder to replace it. Replacing a feeder makes
	// its followers fetch the complete state again.
	keepRatio = 4
)

// Node is a node that may become a feeder.
type Node struct {
	// Name is the node's name. Address is where it accepts other nodes' requests for the state.
	Name    string
	Address string
	Hall    string
	// Strength is the capacity of the machine: cores times the link's bandwidth in Mbit/s.
	Strength float64
}

// Plan returns the feeders for a fleet of nodes, ordered by hall and name, or nil if the holder sends to all nodes.
// Feeders of the plan before stay feeders while they are among nodes, unless others are much stronger. Nodes without
// an address are not chosen.
func Plan(nodes []Node, before []Node) []Node {
	if len(nodes) <= FanOut {
		return nil
	}
	halls := make(map[string][]Node)
	for _, n := range nodes {
		if n.Address != "" {
			halls[n.Hall] = append(halls[n.Hall], n)
		}
	}
	feeder := make(map[string]bool, len(before))
	for _, f := range before {
		feeder[f.Name] = true
	}
	var out []Node
	for _, in := range halls {
		slices.SortFunc(in, func(a, b Node) int {
			return cmp.Or(cmp.Compare(rank(b, feeder), rank(a, feeder)), cmp.Compare(a.Name, b.Name))
		})
		k := max(minFeeders, (len(in)+FanOut-1)/FanOut)
		out = append(out, in[:min(k, len(in))]...)
	}
	slices.SortFunc(out, func(a, b Node) int { return cmp.Or(cmp.Compare(a.Hall, b.Hall), cmp.Compare(a.Name, b.Name)) })
	return out
}

// rank returns a node's strength for the choice of feeders, multiplied by keepRatio if it already is a feeder.
func rank(n Node, feeder map[string]bool) float64 {
	if feeder[n.Name] {
		return keepRatio * n.Strength
	}
	return n.Strength
}

// EqualPlans reports whether two plans contain the same feeders.
func EqualPlans(a, b []Node) bool {
	return slices.EqualFunc(a, b, func(x, y Node) bool { return x.Name == y.Name && x.Address == y.Address })
}

// IsFeeder reports whether the node called name is among the feeders.
func IsFeeder(feeders []Node, name string) bool {
	return slices.ContainsFunc(feeders, func(f Node) bool { return f.Name == name })
}

// Candidates returns the feeders that a node may follow, in order of preference: first those of its own data hall, in
// an order by rendezvous hashing that spreads the hall's nodes evenly, then those of other halls. It returns nil for a
// feeder, which follows the holder.
func Candidates(feeders []Node, name, hall string) []Node {
	if IsFeeder(feeders, name) {
		return nil
	}
	out := slices.Clone(feeders)
	slices.SortFunc(out, func(a, b Node) int {
		if (a.Hall == hall) != (b.Hall == hall) {
			if a.Hall == hall {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvous.Score(name, b.Name), rendezvous.Score(name, a.Name))
	})
	return out
}

// Delays after which a node that follows no other node reads the store itself.
const (
	// unknownSizeDelay is the least delay of a node that does not know the size of the fleet.
	unknownSizeDelay = 3 * time.Second
	// unknownSizeSpread is the range of the random part of that delay. It spreads nodes that start at the same time.
	unknownSizeSpread = 6 * time.Second
	// entriesPerSecond is the rate at which all nodes of a large fleet together read entries of the list of endpoints,
	// and readsPerSecond the rate of their complete reads for a list of unknown length. An entry takes some 300 bytes.
	entriesPerSecond = 400_000
	readsPerSecond   = 40
	// largeFleetDelay is the least delay in a fleet with feeders whose reads take longer than quickReads together: a
	// new holder feeds the nodes within a few seconds.
	largeFleetDelay = 1500 * time.Millisecond
	quickReads      = 200 * time.Millisecond
)

// ReadDelay returns how long a node that follows no other node waits before it reads the store itself. Nodes is the
// size of the fleet, 0 if unknown. Entries is the length of the list of endpoints, 0 if unknown. Draw is the node's own
// constant number between 0 and 1, spread evenly over all nodes, so that they do not read at the same time. The delay is
// 0 in a fleet of at most FanOut nodes, which the holder can serve alone.
func ReadDelay(nodes, entries int, draw float64) time.Duration {
	switch {
	case nodes <= 0:
		return unknownSizeDelay + time.Duration(draw*float64(unknownSizeSpread))
	case nodes <= FanOut:
		return 0
	}
	rate := float64(readsPerSecond)
	if entries > 0 {
		rate = max(rate, entriesPerSecond/float64(entries))
	}
	spread := time.Duration(float64(nodes) / rate * float64(time.Second))
	delay := time.Duration(draw * float64(spread))
	if spread > quickReads {
		delay += largeFleetDelay
	}
	return delay
}
