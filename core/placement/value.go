package placement

import (
	"math"
	"time"
)

// Weights of a model's value, in late requests.
const (
	// saturatingRuns is the number of concurrent requests at one engine that makes nearly all
	// of them late. At 9 engines, of 13,000 requests with objectives of 300 ms, 3% were late
	// next to fewer than 12 other requests, 8% next to 18, 30% next to 40 and 80% next to 60.
	saturatingRuns = 48
	// saturatingSlotShare is the same limit for engines with few slots, as a multiple of the
	// slots; it exceeds 1 because some requests queue at the engine without being late.
	saturatingSlotShare = 1.2
	// readingTokensPerRun is the length of long prompts being read that counts as one concurrent request: reading one
	// delays every stream of the engine.
	readingTokensPerRun = 150
	// swapLoss is what a load costs apart from its time, in late requests: the engine can load
	// nothing else in the meantime.
	swapLoss = 0.25
	// peakTimeConstant is the time constant with which the peak of concurrent requests decays.
	// A short lull must not cost a busy model its replicas, since loading one again takes
	// longer than the lull.
	peakTimeConstant = 3 * time.Second
	// maxSilentRequests bounds a model's rate once no request has come for a while: at most
	// that many requests are assumed in the time since the last one. Without it a model whose
	// demand has moved on would still count as busy.
	maxSilentRequests = 1.5
)

// rateBound limits a rate to what is plausible given the time since the last request.
func rateBound(rate float64, silence time.Duration) float64 {
	if silence <= maxReportInterval {
		return rate
	}
	return min(rate, maxSilentRequests/silence.Seconds())
}

// crowdedShare is the share of saturation from which further requests do not increase the
// number served in time.
const crowdedShare = 0.7

// lateShare returns the share of requests that are late at engines that have that many slots
// and run that many requests each. It keeps rising beyond saturation, so that replicas keep
// their value when all of them are overloaded.
func lateShare(runs float64, slots int) float64 {
	saturation := runs / min(saturatingRuns, saturatingSlotShare*float64(max(1, slots)))
	atCrowded := math.Pow(crowdedShare, 3)
	if saturation <= crowdedShare {
		return math.Pow(saturation, 3)
	}
	return 1 - (1-atCrowded)*crowdedShare/saturation
}

// gain returns how many late requests a second a model avoids if its engines have more capacity. capacity and added are in
// engines of the median pace. Requests for other models are assumed to stay at its current engines.
func (g *planning) gain(m *modelState, capacity, added float64) float64 {
	slots := g.slots(m.unit.Service)
	runs := m.recentPeak + g.otherRequests(m)
	return max(m.rate*(lateShare(runs/capacity, slots)-lateShare(runs/(capacity+added), slots)), m.lateGain(capacity, added))
}

// lateGain is gain by the answers that come late now: more of them do than the load explains where long prompts are read beside
// streams, and one more replica keeps some of them apart.
func (m *modelState) lateGain(capacity, added float64) float64 {
	return m.lateRate * added / (capacity + added)
}

// otherRequests returns how many requests for other models run at the engines of a model.
func (g *planning) otherRequests(m *modelState) float64 {
	n, reading := 0, 0.0
	for _, e := range m.replicas {
		n += e.running - m.runningAt[e.id]
		reading += e.reading.value
	}
	if !g.mixes.long(m.unit.Service) {
		return float64(n)
	}
	return float64(n) + max(0, reading-m.recentReading)/readingTokensPerRun
}

// slots returns the number of slots of an engine of the service.
func (g *planning) slots(service string) int {
	if s := g.config(service); s != nil {
		return s.Slots
	}
	return 0
}

// Loads returns the recent load of each engine in concurrent requests, by engine id, in services that read long prompts for the
// most part.
func (p *Planner) Loads() map[string]float64 {
	out := make(map[string]float64)
	for _, e := range p.engineList {
		if p.mixes.long(e.service) {
			out[e.id] = e.load.value
		}
	}
	return out
}

// lossOf returns how many requests a second become late if a model has one replica fewer, at an engine of the median pace.
func (g *planning) lossOf(m *modelState, replicas int) float64 {
	if replicas > 1 {
		return g.gain(m, float64(replicas-1), 1)
	}
	return m.rate * g.missLoss(m)
}

// lossAt is lossOf for the replica at an engine.
func (g *planning) lossAt(m *modelState, e *engine) float64 {
	if m.replicaCount() <= 1 {
		return g.lossOf(m, 1)
	}
	return g.gain(m, max(minCapacity, m.capacity-e.speed()), e.speed())
}

// minCapacity keeps the capacity of a model's other engines above 0 when engines are very slow.
const minCapacity = 0.1

// paceGain returns how many more late requests a second a replica of a model at an engine avoids than one at an engine of
// the median pace; negative for a slow engine, and 0 for the first replica.
func (g *planning) paceGain(m *modelState, e *engine) float64 {
	if e.speed() == 1 || m.replicaCount() == 0 {
		return 0
	}
	return g.gain(m, m.capacity, e.speed()) - g.gain(m, m.capacity, 1)
}

// loadExceedsObjective reports whether requests for a model would miss their objective by
// waiting for a load of it.
func (g *planning) loadExceedsObjective(m *modelState) bool {
	return m.objective <= swapTime+g.reloadTime(m)
}

// missLoss returns the cost of a request for a model without replicas, in late requests: the
// load, and the requests that cannot wait for it.
func (g *planning) missLoss(m *modelState) float64 {
	if !g.loadExceedsObjective(m) {
		return swapLoss
	}
	return swapLoss + 1 + m.rate*(swapTime+g.reloadTime(m)).Seconds()
}

// reloadTime returns how long loading the model again takes: the time from disk if an engine
// keeps a copy, otherwise that from the store.
func (g *planning) reloadTime(m *modelState) time.Duration {
	switch {
	case m.spec == nil:
		return 0
	case m.spec.Disk > 0 && m.copyCount > 0:
		return m.spec.Disk
	}
	return m.spec.Load
}
