package placement

import (
	"math"
	"time"
)

// Weights of a model's value. The unit is one request that is late.
const (
	// fullRuns is how many requests at one engine make nearly all of them late: of
	// those that met fewer than 12 others 3 in 100 were, with 18 8, with 40 30 and with
	// 60 80 (9 engines, 13,000 requests with objectives of 300 ms).
	fullRuns = 48
	// fullSlots is the same where the engine has few slots, as a part of these: some
	// requests queue at the engine without being late.
	fullSlots = 1.2
	// swapLoss is what a load costs beside its time, in late requests: the engine
	// loads nothing else meanwhile.
	swapLoss = 0.25
	// peakTime is the time constant with which the most requests at once of the last
	// moments is forgotten: a short lull must not cost a busy model its replicas,
	// since to bring one back takes longer than the lull.
	peakTime = 3 * time.Second
	// silentRequests is how many requests a model has had at most in the time since
	// its last one, when its rate is bounded by that: a model whose demand moved on
	// is not busy any more.
	silentRequests = 1.5
)

// rateBound is the highest rate that fits with the time since the last request.
func rateBound(rate float64, since time.Duration) float64 {
	if since <= reportAtMost {
		return rate
	}
	return min(rate, silentRequests/since.Seconds())
}

// crowded is the part of full from which engines serve no more requests in time when
// they get more.
const crowded = 0.7

// lateShare is the part of the requests that is late at engines with some slots, each of
// which runs a number of them. Beyond what they serve in time it goes on rising, so that
// replicas keep their worth where all of them are overrun.
func lateShare(runs float64, slots int) float64 {
	x := runs / min(fullRuns, fullSlots*float64(max(1, slots)))
	atCrowded := math.Pow(crowded, 3)
	if x <= crowded {
		return math.Pow(x, 3)
	}
	return 1 - (1-atCrowded)*crowded/x
}

// gain is how many requests a second are not late if a model gets one more replica.
// What its engines run for other models stays there.
func (g *planning) gain(m *modelState, replicas int) float64 {
	slots, n := g.slots(m.unit.Service), float64(replicas)
	runs := m.most + g.others(m)
	return m.rate * (lateShare(runs/n, slots) - lateShare(runs/(n+1), slots))
}

// others is how many requests for other models the engines of a model run.
func (g *planning) others(m *modelState) float64 {
	n := 0
	for _, e := range m.holders {
		n += e.running - m.at[e.id]
	}
	return float64(n)
}

func (g *planning) slots(service string) int {
	if s := g.shape(service); s != nil {
		return s.Slots
	}
	return 0
}

// lossOf is how many requests a second are late if a model has one replica fewer.
func (g *planning) lossOf(m *modelState, replicas int) float64 {
	if replicas > 1 {
		return g.gain(m, replicas-1)
	}
	return m.rate * g.missLoss(m)
}

// impatient reports whether the requests for a model cannot wait for a load of it.
func (g *planning) impatient(m *modelState) bool {
	return m.objective <= swapTime+g.reload(m)
}

// missLoss is what a request for a model that no engine holds costs, in late
// requests: a load, and with it the requests that cannot wait for it.
func (g *planning) missLoss(m *modelState) float64 {
	if !g.impatient(m) {
		return swapLoss
	}
	return swapLoss + 1 + m.rate*(swapTime+g.reload(m)).Seconds()
}

// reload is how long a model takes to come back: from a copy, if an engine keeps one.
func (g *planning) reload(m *modelState) time.Duration {
	switch {
	case m.spec == nil:
		return 0
	case m.spec.Disk > 0 && m.keepers > 0:
		return m.spec.Disk
	}
	return m.spec.Load
}
