package isolation

import (
	"expvar"

	"olivetiller/core/quarantine"
)

// Metrics counts the events that a guard recorded.
type Metrics struct {
	// Crashes counts engine crashes, Suspected the requests that this node suspected of one, and Cleared those that an
	// engine answered successfully later. Disproved counts engines that were taken for crashed and are alive.
	Crashes, Suspected, Cleared, Disproved expvar.Int
}

// Tree returns the metrics by name, with the number of requests in each state.
func (g *Guard) Tree() *expvar.Map {
	t := new(expvar.Map).Init()
	t.Set("enginesEnded", &g.Metrics.Crashes)
	t.Set("blamed", &g.Metrics.Suspected)
	t.Set("cleared", &g.Metrics.Cleared)
	t.Set("disproved", &g.Metrics.Disproved)
	t.Set("states", expvar.Func(func() any {
		out := make(map[string]int, quarantine.States)
		for _, s := range g.List() {
			out[s.State.String()]++
		}
		return out
	}))
	return t
}
