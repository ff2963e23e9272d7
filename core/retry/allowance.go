package retry

import "time"

const (
	// usedShare is the part of the bound on all nodes that they use together. The rest is
	// left for retries that arrive later than they were admitted, and for nodes that have not
	// heard of all others yet.
	usedShare = 0.7
	// assumedNodes share the bound as long as a node was told no number.
	assumedNodes = 100
)

// Allowance is the part of one node in what all nodes together may retry. It is not safe
// for concurrent use.
type Allowance struct {
	all   Limits
	nodes int
}

// NewAllowance returns the allowance of a node that begins at a moment, where the limits
// hold for all nodes together.
func NewAllowance(all Limits, _ time.Time) *Allowance {
	return &Allowance{all: all, nodes: assumedNodes}
}

// Heard notes how many nodes share the limits, by the holder of the lease.
func (a *Allowance) Heard(nodes int, _ time.Time) { a.nodes = max(1, nodes) }

// Nodes returns by how many nodes the limits are divided.
func (a *Allowance) Nodes(time.Time) int { return a.nodes }

// Limits returns what this node may retry.
func (a *Allowance) Limits(now time.Time) Limits {
	l := a.all
	l.Share *= usedShare
	l.Reserve = max(1, l.Reserve*usedShare/float64(a.Nodes(now)))
	return l
}
