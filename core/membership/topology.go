package membership

import "olivetiller/core/rendezvous"

// SmallFleet is the number of peers up to which every node talks to every other.
const SmallFleet = 8

// Neighbours returns the peers that a node probes: all of a few, and of many
// those at distances 1, 2, 4, ... on the ring of names. Probes grow with the
// logarithm of the fleet, every node is probed by as many others, and news
// reaches all in at most as many steps. Peers must be in order of name.
func Neighbours(self string, peers []Member) []Member {
	if len(peers) <= SmallFleet {
		return peers
	}
	start := 0
	for start < len(peers) && peers[start].Node < self {
		start++
	}
	var out []Member
	for d := 1; d <= len(peers); d *= 2 {
		out = append(out, peers[(start+d-1)%len(peers)])
	}
	return out
}

// tailersPerHall is how many nodes of a data hall read the log themselves in a
// large fleet: two, so that one may go without a gap.
const tailersPerHall = 2

// Feed says how the records of the log reach a node.
type Feed struct {
	// Tails is true for a node that reads the log itself.
	Tails bool
	// Feeder is the node that passes records on to a node that does not.
	Feeder string
	// Fed are the nodes that this node passes records on to.
	Fed []Member
}

// FeedOf returns the feed of a node in a data hall, given the live peers. In a
// small fleet every node tails and passes its own appends to all.
func FeedOf(self, hall string, peers []Member) Feed {
	if len(peers) <= SmallFleet {
		return Feed{Tails: true, Fed: peers}
	}
	names := []string{self}
	for _, p := range peers {
		if p.Hall == hall {
			names = append(names, p.Node)
		}
	}
	tailers := rendezvous.Rank("log tailers of "+hall, names)
	if len(tailers) > tailersPerHall {
		tailers = tailers[:tailersPerHall]
	}
	isTailer := make(map[string]bool, len(tailers))
	for _, t := range tailers {
		isTailer[t] = true
	}
	if !isTailer[self] {
		return Feed{Feeder: rendezvous.Home(self, tailers)}
	}
	f := Feed{Tails: true}
	for _, p := range peers {
		if p.Hall == hall && !isTailer[p.Node] && rendezvous.Home(p.Node, tailers) == self {
			f.Fed = append(f.Fed, p)
		}
	}
	return f
}
