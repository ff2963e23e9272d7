package membership

import "olivetiller/core/rendezvous"

// SmallFleet is the number of peers up to which every node probes all others and
// reads the log itself.
const SmallFleet = 8

// Neighbours returns the peers that a node probes. With up to SmallFleet peers these
// are all; otherwise those at distances 1, 2, 4, ... on the ring of sorted names.
// The number of neighbours grows with the logarithm of the fleet; every node is
// probed by as many others as it probes, and news reaches all nodes in at most as
// many hops. peers must be sorted by name.
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

// probesPerRound is the number of members that a node probes in a round. A received
// probe is evidence that its sender is alive, so a node gets evidence of twice as
// many members.
const probesPerRound = 3

// ProbeRound returns the members to probe in a round and the names of those that
// this node watches, which it reports silent if it gets no answer. In a small fleet
// a node watches all peers and probes them in rotation. In a large fleet it probes
// and watches the next node on the ring in every round, and probes its other
// neighbours in rotation, to exchange news with them.
func ProbeRound(self string, peers []Member, round int) (probe []Member, watched []string) {
	near := Neighbours(self, peers)
	if len(peers) <= SmallFleet {
		for _, m := range near {
			watched = append(watched, m.Node)
		}
		return roundRobin(near, round, probesPerRound), watched
	}
	fixed := near[:1]
	return append(append(probe, fixed...), roundRobin(near[1:], round, probesPerRound-1)...), []string{fixed[0].Node}
}

// roundRobin returns the n members to probe in a round, in rotation.
func roundRobin(members []Member, round, n int) []Member {
	if len(members) <= n {
		return members
	}
	out := make([]Member, 0, n)
	for i := range n {
		out = append(out, members[(round*n+i)%len(members)])
	}
	return out
}

// tailersPerHall is the number of nodes per data hall that read the log themselves
// in a large fleet; two, so that one can fail without interrupting the feed.
const tailersPerHall = 2

// Feed is a node's part in the distribution of log records.
type Feed struct {
	// TailsLog is true if the node reads the log itself.
	TailsLog bool
	// Feeder is the node that forwards records to this node; empty if TailsLog is set.
	Feeder string
	// Followers are the nodes to which this node forwards records.
	Followers []Member
}

// FeedOf returns the feed of the node self in a data hall, given the live peers. In a
// small fleet every node reads the log and forwards its own appends to all others.
func FeedOf(self, hall string, peers []Member) Feed {
	if len(peers) <= SmallFleet {
		return Feed{TailsLog: true, Followers: peers}
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
	f := Feed{TailsLog: true}
	for _, p := range peers {
		if p.Hall == hall && !isTailer[p.Node] && rendezvous.Home(p.Node, tailers) == self {
			f.Followers = append(f.Followers, p)
		}
	}
	return f
}
