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

// probesPerRound is how many members a node probes in a round. Being probed is
// evidence too, so a node exchanges signs of life with twice as many.
const probesPerRound = 3

// Round returns the members to probe in a round, and of those the ones this node
// watches: it must hear from them, and reports their silence. In a small fleet
// it takes turns and watches all. In a large one it probes its next on the ring,
// which it alone watches beside that one's other neighbour, and takes turns with
// the others, over whom news travels.
func Round(self string, peers []Member, round int) (probe []Member, watched []string) {
	near := Neighbours(self, peers)
	if len(peers) <= SmallFleet {
		for _, m := range near {
			watched = append(watched, m.Node)
		}
		return turn(near, round, probesPerRound), watched
	}
	fixed := near[:1]
	return append(append(probe, fixed...), turn(near[1:], round, probesPerRound-1)...), []string{fixed[0].Node}
}

// turn returns the n members whose turn it is.
func turn(members []Member, round, n int) []Member {
	if len(members) <= n {
		return members
	}
	out := make([]Member, 0, n)
	for i := range n {
		out = append(out, members[(round*n+i)%len(members)])
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
