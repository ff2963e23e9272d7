package placement

import (
	"math"
	"time"
)

// Times of the reports of use.
const (
	// useLife is how long a node's report counts unless renewed: a few of the
	// intervals at which nodes report.
	useLife = 3 * time.Second
	// rateTime is the time constant of the rate of requests: long enough to
	// smooth a rare model's requests, short enough to follow a shift of demand
	// within seconds.
	rateTime = 6 * time.Second
)

// use is the merged use of one unit.
type use struct {
	nodes map[string]nodeUse
	// rate is in requests a second, as of rateAt.
	rate    float64
	rateAt  time.Time
	lastUse time.Time
	// sentAwayAt is when a caller was last told to come back.
	sentAwayAt time.Time
}

// nodeUse is one node's latest report.
type nodeUse struct {
	Use
	at time.Time
}

func (u *use) add(node string, r Use, now time.Time) {
	u.nodes[node] = nodeUse{Use: r, at: now}
	u.rate = u.rateNow(now) + float64(r.Arrivals)/rateTime.Seconds()
	u.rateAt = now
	if r.Arrivals > 0 || r.Waiting > 0 {
		u.lastUse = now
	}
	if r.SentAway > 0 {
		u.sentAwayAt = now
	}
}

func (u *use) rateNow(now time.Time) float64 {
	return u.rate * math.Exp(-now.Sub(u.rateAt).Seconds()/rateTime.Seconds())
}

// sums returns the waiting and running requests of all nodes, and when the first
// of the waiting wants its place.
func (u *use) sums(now time.Time) (waiting, running int, urgent time.Time) {
	for _, n := range u.nodes {
		if now.Sub(n.at) > useLife {
			continue
		}
		waiting += n.Waiting
		for _, k := range n.RunningAt {
			running += k
		}
		if n.Waiting > 0 && (urgent.IsZero() || n.Urgent.Before(urgent)) {
			urgent = n.Urgent
		}
	}
	return waiting, running, urgent
}

// runningAt returns the running requests at one engine.
func (u *use) runningAt(engine string, now time.Time) int {
	n := 0
	for _, nu := range u.nodes {
		if now.Sub(nu.at) <= useLife {
			n += nu.RunningAt[engine]
		}
	}
	return n
}

// modelUse is the use of a model with all its adapters.
type modelUse struct {
	unit             Unit
	waiting, running int
	rate             float64
	lastUse, urgent  time.Time
	sentAwayAt       time.Time
}
