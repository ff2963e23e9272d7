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

// adapterSites returns the holders of a model at which an adapter serves and may be loaded: those that take what comes
// for the model, if there are any.
func (g *planning) adapterSites(m *modelState) []*engine {
	if n := m.serving(); n == 0 || n == m.replicas() {
		return m.holders
	}
	out := make([]*engine, 0, len(m.holders))
	for _, e := range m.holders {
		if e.limit == 0 {
			out = append(out, e)
		}
	}
	return out
}

// sentAwayByLimits reports whether callers of an adapter were sent away lately since the engines that hold it take less
// than comes for its model.
func (g *planning) sentAwayByLimits(u *use) bool {
	return g.lately(u.sentAwayAt) && u.model.serving() < u.model.replicas()
}
