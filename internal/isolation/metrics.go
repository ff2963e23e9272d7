package isolation

import (
	"expvar"

	"olivetiller/core/quarantine"
)

// Metrics count what a guard saw.
type Metrics struct {
	// Ended counts the engines that ended without notice, Blamed the requests that this node blamed for
	// it, and Cleared those that an engine answered well later.
	Ended, Blamed, Cleared expvar.Int
}

// Tree returns the metrics under their names, with the number of requests in each state.
func (g *Guard) Tree() *expvar.Map {
	t := new(expvar.Map).Init()
	t.Set("enginesEnded", &g.Metrics.Ended)
	t.Set("blamed", &g.Metrics.Blamed)
	t.Set("cleared", &g.Metrics.Cleared)
	t.Set("states", expvar.Func(func() any {
		out := make(map[string]int, quarantine.States)
		for _, s := range g.List() {
			out[s.State.String()]++
		}
		return out
	}))
	return t
}
