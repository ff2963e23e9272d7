package retry

import "time"

const (
	// usedFraction is the fraction of the common bound that the nodes use. The rest covers retries that arrive
	// later than they were admitted, and nodes that have not received reports of all others yet.
	usedFraction = 0.7
	// pooledFraction is the fraction of the reserve that the lease holder grants to whichever node asks for it. The
	// rest is divided among the nodes, which may use it without an answer from the holder.
	pooledFraction = 5.0 / 7
	// shareTTL is how long a node keeps its share of the reserve after the lease holder last sent a count.
	shareTTL = 30 * time.Second
	// minNodes is the minimum divisor of the reserve. A holder that is partitioned from all other nodes
	// counts only itself; with this divisor its share fits beside the shares that the others still use.
	minNodes = 3
	// countTTL is how long a count bounds the shares after it was last received. A holder that is partitioned
	// from all other nodes counts only itself. It must not use the whole reserve before the others have
	// given up their shares and their retries have left the window. The time also covers another partitioned
	// holder that came and went in between.
	countTTL = 5 * time.Minute
)

// Split divides the limits on the retries of all nodes. Each node follows divided by means of its [Allowance]. pooled is
// the number of retries in any window that the lease holder may grant in addition; 0 without a window.
func (l Limits) Split() (divided Limits, pooled float64) {
	divided = l
	if l.Window <= 0 {
		return divided, 0
	}
	divided.Reserve *= 1 - pooledFraction
	return divided, l.Reserve * pooledFraction * usedFraction
}

// Allowance computes the limits of one node's retry budget, such that all nodes together keep a common
// bound. It is not safe for concurrent use.
//
// The share of first attempts applies to each node by itself. The reserve is divided equally by the largest
// node count received within countTTL, because the counts can be too low: a new lease holder begins with a
// count of one, and a partitioned one misses nodes. A node that receives no counts gives up its share before
// the others forget it. A node that has just started, or receives a count again after that, has no share for
// one window, since the retries of its previous process are unknown and the first count may be too low.
type Allowance struct {
	total Limits
	// since is when the node began to receive counts; receivedAt is when it received the latest one.
	since, receivedAt time.Time
	// ready is true once a count was received at least one window after since.
	ready bool
	// counts holds the received counts that no later one exceeds, oldest and largest first.
	counts []nodeCount
}

// nodeCount is a node count and when it was last received.
type nodeCount struct {
	nodes int
	at    time.Time
}

// NewAllowance returns the allowance of a node that has just started. The limits apply to all nodes together.
func NewAllowance(total Limits) *Allowance { return &Allowance{total: total} }

// ObserveNodes records the number of nodes that share the limits, as counted by the lease holder.
func (a *Allowance) ObserveNodes(nodes int, now time.Time) {
	if a.Nodes(now) == 0 || !a.receiving(now) {
		a.since, a.ready = now, false
	}
	a.ready = a.ready || now.Sub(a.since) >= a.total.Window
	for len(a.counts) > 0 && a.counts[len(a.counts)-1].nodes <= nodes {
		a.counts = a.counts[:len(a.counts)-1]
	}
	a.counts = append(a.counts, nodeCount{nodes: max(minNodes, nodes), at: now})
	a.receivedAt = now
}

// receiving reports whether a count was received within shareTTL, so that the node keeps its share.
func (a *Allowance) receiving(now time.Time) bool { return now.Sub(a.receivedAt) <= shareTTL }

// forget removes the counts that are older than countTTL.
func (a *Allowance) forget(now time.Time) {
	for len(a.counts) > 0 && now.Sub(a.counts[0].at) > countTTL {
		a.counts = a.counts[1:]
	}
}

// Nodes returns the number of nodes by which the reserve is divided; 0 if none is known.
func (a *Allowance) Nodes(now time.Time) int {
	a.forget(now)
	if len(a.counts) == 0 {
		return 0
	}
	return a.counts[0].nodes
}

// Limits returns the limits of this node's budget.
func (a *Allowance) Limits(now time.Time) Limits {
	l := a.total
	l.Share *= usedFraction
	l.Reserve = 0
	if n := a.Nodes(now); n > 0 && a.ready && a.receiving(now) {
		l.Reserve = a.total.Reserve * usedFraction / float64(n)
	}
	return l
}
