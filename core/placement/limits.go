package placement

import "olivetiller/core/directory"

// SetLimits takes over how many requests a second each engine takes by its own word; 0 where it names no limit.
func (p *Planner) SetLimits(of func(engine string, start directory.Start) float64) {
	for _, e := range p.order {
		e.limit = of(e.id, e.start)
	}
}

// countLimit counts an engine that serves a model and limits its requests.
func (m *modelState) countLimit(e *engine) {
	if e.limit > 0 {
		m.limited++
		m.limits += e.limit
	}
}

// serving is how many engines serve the model as far as it is asked for: those that limit their requests do not where
// they take fewer than come.
func (m *modelState) serving() int {
	if m.rate > m.limits {
		return m.replicas() - m.limited
	}
	return m.replicas()
}

// passesOver reports whether an engine gets no further models since it limits its requests, and others of its
// service do not.
func (g *planning) passesOver(e *engine) bool {
	return e.limit > 0 && g.limitedCounts[e.service] < g.engineCounts[e.service]
}
