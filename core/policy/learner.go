package policy

import (
	"fmt"
	"math"
	"time"
)

// The bins of a histogram grow by a constant factor from firstBin, so that a
// gap of seconds and one of days are told apart with few numbers.
const (
	bins      = 40
	firstBin  = 2 * time.Second
	binGrowth = 1.4
	// decay is what an old gap keeps of its weight for each newer one.
	decay = 0.97
	// prior is the weight of what is believed before any gap was seen.
	prior = 1.0
	// minKeepBin is the least time kept, about 15 s: noise within it must not
	// load and unload.
	minKeepBin = 6
)

var binEdges = makeEdges()

func makeEdges() [bins]time.Duration {
	var edges [bins]time.Duration
	d := float64(firstBin)
	for i := range edges {
		edges[i] = time.Duration(d)
		d *= binGrowth
	}
	return edges
}

func binOf(gap time.Duration) int {
	if gap <= firstBin {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(gap)/float64(firstBin)) / math.Log(binGrowth)))
	return min(i, bins-1)
}

// history is what is known of one unit's use.
type history struct {
	gaps [bins]float32
	// total is the decayed sum of gaps.
	total   float32
	lastUse time.Time
	// busyUntil is the end of the latest use.
	load time.Duration
}

// Learner keeps the inter-arrival histograms. It is owned by one goroutine.
type Learner struct {
	units map[string]*history
	// pooled is the histogram of all units together: the prior of a new one.
	pooled history
}

// NewLearner returns a learner that has seen nothing.
func NewLearner() *Learner { return &Learner{units: make(map[string]*history)} }

// Used notes that a unit was in use at a time. Uses must come in time order.
func (l *Learner) Used(unit string, at time.Time) {
	h := l.units[unit]
	if h == nil {
		h = &history{}
		l.units[unit] = h
	}
	if !h.lastUse.IsZero() {
		gap := at.Sub(h.lastUse)
		h.observe(gap)
		l.pooled.observe(gap)
	}
	h.lastUse = at
}

// Loaded notes how long a load of the unit took.
func (l *Learner) Loaded(unit string, d time.Duration) {
	h := l.units[unit]
	if h == nil {
		h = &history{}
		l.units[unit] = h
	}
	if h.load == 0 {
		h.load = d
		return
	}
	h.load += (d - h.load) / 4
}

// LoadTime returns the learned load time, or fallback.
func (l *Learner) LoadTime(unit string, fallback time.Duration) time.Duration {
	if h := l.units[unit]; h != nil && h.load > 0 {
		return h.load
	}
	return fallback
}

// LastUse returns when the unit was last used; zero if never.
func (l *Learner) LastUse(unit string) time.Time {
	if h := l.units[unit]; h != nil {
		return h.lastUse
	}
	return time.Time{}
}

// burstGap is the gap within which uses belong to one burst. Such gaps say
// nothing about when to unload, so they are not counted.
const burstGap = firstBin

func (h *history) observe(gap time.Duration) {
	if gap <= burstGap {
		return
	}
	for i := range h.gaps {
		h.gaps[i] *= decay
	}
	h.total = h.total*decay + 1
	h.gaps[binOf(gap)]++
}

// Cost is what keeping and returning cost for one replica.
type Cost struct {
	// Return is the cost of a cold start.
	Return float64
	// IdleSecond is the cost of one second loaded without use.
	IdleSecond float64
}

// Window returns the keeping that costs least in expectation.
//
// For a gap g, keeping until K costs min(g, K) idle seconds, and a cold start
// when g > K. Loading again at P costs a cold start when K < g < P, g - P idle
// seconds when P <= g < U, and U - P and a cold start after that. The expected
// cost of every (K), and of every (P, U) with K at one bin, is summed over the
// histogram, whose gaps are taken at their bins' upper edge.
func (l *Learner) Window(unit string, c Cost) Window {
	weights := l.distribution(unit)
	best, bestCost := minKeepBin, math.Inf(1)
	for k := minKeepBin; k < bins; k++ {
		if cost := keepCost(&weights, k, c); cost < bestCost {
			best, bestCost = k, cost
		}
	}
	w := Window{Keep: binEdges[best], Reason: fmt.Sprintf("kept %s after use: a return costs %.1f, an idle hour %.1f", binEdges[best].Round(time.Second), c.Return, c.IdleSecond*3600)}
	p, u, cost := prewarmBest(&weights, c)
	if cost < bestCost*prewarmGain {
		w.Keep = binEdges[minKeepBin]
		w.Prewarm, w.Until = binEdges[p], binEdges[u]
		w.Reason = fmt.Sprintf("next use expected between %s and %s after the last", binEdges[p].Round(time.Second), binEdges[u].Round(time.Second))
	}
	return w
}

// prewarmGain is what a prewarm must save before it is preferred: it costs a
// load of the weight store that keeping does not.
const prewarmGain = 0.9

// distribution returns the unit's gap weights, mixed with the pooled prior and
// summing to 1, the last bin standing for "never".
func (l *Learner) distribution(unit string) [bins]float64 {
	var w [bins]float64
	var total float64
	if l.pooled.total > 0 {
		for i, g := range l.pooled.gaps {
			w[i] = prior * float64(g) / float64(l.pooled.total)
		}
		total = prior
	} else {
		w[bins-1] = prior / 2
		w[bins/2] = prior / 2
		total = prior
	}
	if h := l.units[unit]; h != nil {
		for i, g := range h.gaps {
			w[i] += float64(g)
		}
		total += float64(h.total)
	}
	for i := range w {
		w[i] /= total
	}
	return w
}

func keepCost(w *[bins]float64, k int, c Cost) float64 {
	var cost float64
	keep := binEdges[k].Seconds()
	for i, p := range w {
		if i <= k && i < bins-1 {
			cost += p * binEdges[i].Seconds() * c.IdleSecond
			continue
		}
		cost += p * (keep*c.IdleSecond + c.Return)
	}
	return cost
}

// prewarmBest returns the window [P, U] of least cost, P after the first bins.
func prewarmBest(w *[bins]float64, c Cost) (p, u int, cost float64) {
	cost = math.Inf(1)
	short := binEdges[minKeepBin].Seconds() * c.IdleSecond
	var before float64
	for i := 0; i < bins-1; i++ {
		if i <= minKeepBin {
			continue
		}
		before += w[i]
		// Gaps within bins 0..i meet an unloaded replica.
		base := short + before*c.Return
		if base >= cost {
			break
		}
		idle := 0.0
		served := 0.0
		start := binEdges[i].Seconds()
		for j := i + 1; j < bins-1; j++ {
			held := binEdges[j].Seconds() - start
			idle += w[j] * held
			served += w[j]
			rest := max(0, 1-before-served)
			total := base + (idle+rest*held)*c.IdleSecond + rest*c.Return
			if total < cost {
				p, u, cost = i, j, total
			}
		}
	}
	return p, u, cost
}

// Chance returns how likely the unit is used within horizon, given that it has
// been idle for a time.
func (l *Learner) Chance(unit string, idle, horizon time.Duration) float64 {
	w := l.distribution(unit)
	from, to := binOf(idle), binOf(idle+horizon)
	var soon, rest float64
	for i := from; i < bins; i++ {
		rest += w[i]
		if i <= to && i < bins-1 {
			soon += w[i]
		}
	}
	if rest == 0 {
		return 0
	}
	return soon / rest
}
