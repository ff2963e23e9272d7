package placement

import (
	"time"

	"olivetiller/core/directory"
)

// SetRateLimits sets the request limit of each engine, in requests a second, from a function that
// returns 0 for an engine without one.
func (p *Planner) SetRateLimits(of func(engine string, start directory.Start) float64) {
	for _, e := range p.engineList {
		e.rateLimit = of(e.id, e.start)
	}
}

// SetNotBefore sets the earliest time of the next order of each engine, by a function that returns the zero time for an
// engine that may be ordered at once; nil if all may.
func (p *Planner) SetNotBefore(at func(engine string) time.Time) {
	for _, e := range p.engineList {
		e.notBefore = time.Time{}
		if at != nil {
			e.notBefore = at(e.id)
		}
	}
}

// SetPaces sets how long each engine takes for the same work, by engine id; engines that are not named count as of the
// median pace.
func (p *Planner) SetPaces(paces map[string]float64) {
	p.paces = paces
}

// addRateLimit adds the limit of an engine that serves the model, if it has one.
func (m *modelState) addRateLimit(e *engine) {
	if e.rateLimit > 0 {
		m.limitedReplicas++
		m.limitedRate += e.rateLimit
	}
}

// effectiveReplicas returns how many replicas can take the model's demand. If the rate exceeds
// the sum of the limits, replicas at engines with a limit do not count.
func (m *modelState) effectiveReplicas() int {
	if m.rate > m.limitedRate {
		return m.replicaCount() - m.limitedReplicas
	}
	return m.replicaCount()
}

// skipsLimited reports whether an engine gets no further models because it limits its requests
// while other engines of its service do not.
func (g *planning) skipsLimited(e *engine) bool {
	return e.rateLimit > 0 && g.limitedCounts[e.service] < g.engineCounts[e.service]
}

// adapterSites returns the replicas of a model where an adapter may be loaded. Replicas at
// engines with a limit are left out if they cannot take the demand and others can.
func (g *planning) adapterSites(m *modelState) []*engine {
	if n := m.effectiveReplicas(); n == 0 || n == m.replicaCount() {
		return m.replicas
	}
	out := make([]*engine, 0, len(m.replicas))
	for _, e := range m.replicas {
		if e.rateLimit == 0 {
			out = append(out, e)
		}
	}
	return out
}

// deferredByLimits reports whether callers of an adapter were deferred recently because engines
// that hold its model limit their requests below the demand.
func (g *planning) deferredByLimits(u *usage) bool {
	return g.recentlyDeferred(u.deferredAt) && u.model.effectiveReplicas() < u.model.replicaCount()
}
