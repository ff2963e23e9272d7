package paths

import "expvar"

// Metrics count tunnels and lost paths.
type Metrics struct {
	// Lost and Regained count the direct paths of this node that were lost and regained.
	Lost, Regained expvar.Int
	// Used counts the tunnels that other nodes opened for this one, and Opened those that this node opened for others.
	Used, Opened expvar.Int
}

// Tree returns the metrics and the state of the paths.
func (p *Paths) Tree() expvar.Var {
	t := new(expvar.Map).Init()
	t.Set("lost", &p.Metrics.Lost)
	t.Set("regained", &p.Metrics.Regained)
	t.Set("tunnelsUsed", &p.Metrics.Used)
	t.Set("tunnelsOpened", &p.Metrics.Opened)
	t.Set("state", expvar.Func(func() any {
		p.mu.Lock()
		defer p.mu.Unlock()
		unreached, reachable := p.registry.Unreached()
		return struct {
			Unreached int `json:"unreached"`
			Reachable int `json:"reachable"`
			Tunnels   int `json:"tunnelsOpen"`
		}{unreached, reachable, p.tunnels}
	}))
	return t
}
