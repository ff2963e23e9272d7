package retry

import "time"

const (
	// usedShare is the part of the bound on all nodes that they use together. The rest is
	// left for retries that arrive later than they were admitted, and for nodes that have not
	// heard of all others yet.
	usedShare = 0.7
	// partLife is how long a node keeps its part of the reserve while no holder tells it
	// anything.
	partLife = 30 * time.Second
	// leastNodes is the least count that divides the reserve: the part of a holder that is cut
	// off from all others, and counts only itself, fits beside the parts of the others.
	leastNodes = 3
	// countLife is how long a count bounds the parts after it was last told. A holder that is
	// cut off from all others counts only itself: it must not take the whole before the others
	// have given their parts up, what they spent has left the window, and another holder that
	// is cut off, too, has had the time to come and go.
	countLife = 5 * time.Minute
)

// Allowance is the part of one node in what all nodes together may retry. It is not safe
// for concurrent use.
//
// The share of first attempts is each node's own. The reserve is divided equally by the
// largest count of nodes told within countLife: a holder of the lease begins with a count of
// one, and one that is cut off from others counts too few. A node that is not told any more
// gives its part up before the others forget it. A node that has just begun, or hears of a
// holder again after that, has no part for one window: what its process before spent is
// unknown, and the first count may be too low.
type Allowance struct {
	all Limits
	// since is when the node began to be told counts, and toldAt when it last was.
	since, toldAt time.Time
	// ready is set once it was told one a window after it began.
	ready bool
	// counts are those told that no later one exceeds, the oldest and largest first.
	counts []toldCount
}

// toldCount is a count of nodes, and when it was last told.
type toldCount struct {
	nodes int
	at    time.Time
}

// NewAllowance returns the allowance of a node that begins, where the limits hold for all
// nodes together.
func NewAllowance(all Limits) *Allowance { return &Allowance{all: all} }

// Heard notes how many nodes share the limits, by the holder of the lease.
func (a *Allowance) Heard(nodes int, now time.Time) {
	if a.Nodes(now) == 0 || !a.told(now) {
		a.since, a.ready = now, false
	}
	a.ready = a.ready || now.Sub(a.since) >= a.all.Window
	for len(a.counts) > 0 && a.counts[len(a.counts)-1].nodes <= nodes {
		a.counts = a.counts[:len(a.counts)-1]
	}
	a.counts = append(a.counts, toldCount{nodes: max(leastNodes, nodes), at: now})
	a.toldAt = now
}

// told reports whether a holder has told a count lately enough for the node to have a part.
func (a *Allowance) told(now time.Time) bool { return now.Sub(a.toldAt) <= partLife }

// forget drops the counts that no longer bound the parts.
func (a *Allowance) forget(now time.Time) {
	for len(a.counts) > 0 && now.Sub(a.counts[0].at) > countLife {
		a.counts = a.counts[1:]
	}
}

// Nodes returns by how many nodes the reserve is divided; 0 where none is known.
func (a *Allowance) Nodes(now time.Time) int {
	a.forget(now)
	if len(a.counts) == 0 {
		return 0
	}
	return a.counts[0].nodes
}

// Limits returns what this node may retry.
func (a *Allowance) Limits(now time.Time) Limits {
	l := a.all
	l.Share *= usedShare
	l.Reserve = 0
	if n := a.Nodes(now); n > 0 && a.ready && a.told(now) {
		l.Reserve = a.all.Reserve * usedShare / float64(n)
	}
	return l
}
