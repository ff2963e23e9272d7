package placement

import (
	"math"
	"time"

	"olivetiller/core/queue"
)

// Times of the reports of use.
const (
	// reportAtMost is the longest time between two reports of a node.
	reportAtMost = time.Second
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
	// objective is the least objective among the requests of the latest report that
	// told one; 0 if none did.
	objective time.Duration
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
	if r.Objective > 0 {
		u.objective = r.Objective
	}
	if r.SentAway > 0 {
		u.sentAwayAt = now
	}
}

func (u *use) rateNow(now time.Time) float64 {
	return u.rate * math.Exp(-now.Sub(u.rateAt).Seconds()/rateTime.Seconds())
}

// sums is the use of a unit over all nodes.
type sums struct {
	waiting, running int
	// at counts the running requests by engine; nil where nobody asked.
	at map[string]int
	// due is when the waiting want their places.
	due
}

// due is when waiting requests want their places: the next time, a past one if all
// are late, and the last. Both are zero if none waits.
type due struct{ urgent, last time.Time }

// add takes other waiting requests in.
func (d *due) add(o due, now time.Time) {
	if d.urgent.IsZero() || queue.Sooner(o.urgent, d.urgent, now) {
		d.urgent = o.urgent
	}
	if o.last.After(d.last) {
		d.last = o.last
	}
}

// sums adds the nodes' reports up.
func (u *use) sums(now time.Time) sums {
	var s sums
	u.addTo(&s, now)
	return s
}

// addTo adds the nodes' reports to other units'.
func (u *use) addTo(s *sums, now time.Time) {
	for _, n := range u.nodes {
		if now.Sub(n.at) > useLife {
			continue
		}
		s.waiting += n.Waiting
		for e, k := range n.RunningAt {
			s.running += k
			if s.at != nil {
				s.at[e] += k
			}
		}
		if n.Waiting > 0 {
			s.add(due{n.Urgent, n.Last}, now)
		}
	}
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
	unit Unit
	sums
	rate                float64
	lastUse, sentAwayAt time.Time
	// objective is the least objective among its requests; 0 if none is known.
	objective time.Duration
	// peak is the most requests at once of the last moments.
	peak float64
}

// peak is the most of a figure of the last moments, which is forgotten with peakTime.
type peak struct {
	value float64
	at    time.Time
}

// note takes the present value in and returns the peak.
func (p *peak) note(value float64, now time.Time) float64 {
	p.value = max(value, p.value*math.Exp(-now.Sub(p.at).Seconds()/peakTime.Seconds()))
	p.at = now
	return p.value
}
