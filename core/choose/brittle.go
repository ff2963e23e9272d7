package choose

import (
	"math"
	"time"
)

// A brittle endpoint falls over if it has to turn requests away faster than it says. Nodes do not know each other's
// requests there, so that its slots are divided among them: each node sends no more at once than its share, and the
// endpoint has a slot for each request however uneven the load is, also while nodes are partitioned. Where there are more
// nodes than slots, the rate of all nodes together is limited instead.

// BrittleShare returns how many requests a node may have at a brittle endpoint with the given slots, one of nodes; 0 if
// there are fewer slots than nodes.
func BrittleShare(slots, nodes int) int { return max(0, slots) / max(1, nodes) }

// Limits of the rate at a brittle endpoint.
const (
	// brittleMargin is the number of standard deviations of the requests in progress that the slots leave room for.
	brittleMargin = 4
	// minBrittleLoad is the least mean number of requests in progress, as a fraction of the slots.
	minBrittleLoad = 0.1
	// brittleBurst is the number of requests beyond the rate that may come at once.
	brittleBurst = 2
)

// BrittleRate returns how many requests a second all nodes together may send to a brittle endpoint with the given slots
// that takes serve for each.
func BrittleRate(slots int, serve time.Duration) float64 {
	n := float64(max(1, slots))
	load := max(minBrittleLoad*n, n-brittleMargin*math.Sqrt(n))
	rate := load / max(time.Millisecond, serve).Seconds()
	// Half a second of the rate may come at once, beside brittleBurst.
	return min(rate, max(1, 2*(n-brittleBurst)))
}
