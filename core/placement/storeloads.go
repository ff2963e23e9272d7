package placement

import (
	"slices"
	"time"
)

// allowedLoads is how many loads from the weight store may begin in a window. The
// overage is left as a reserve for loads whose beginning is not known exactly.
func (p *Planner) allowedLoads() int {
	rate := 0.0
	if p.table == nil {
		return 0
	}
	for _, s := range p.table.Config.Services {
		if s.Engine != nil {
			rate = max(rate, s.Engine.LoadsPerSecond)
		}
	}
	return max(1, int(rate*p.limits.Window.Seconds()))
}

// forgetStoreLoads drops the loads from the store that began before the window.
func (p *Planner) forgetStoreLoads(now time.Time) {
	p.storeLoads = slices.DeleteFunc(p.storeLoads, func(at time.Time) bool { return now.Sub(at) >= p.limits.Window })
}

// mayLoadFromStore reports whether a load of a model from the store may begin. The last
// places are kept for busy models: where engines were replaced four times within 24 s, one
// with 60 requests a second that no engine served any more waited 4.5 s for single
// requests' models, and was refused 700 times.
func (g *planning) mayLoadFromStore(m *modelState, urgent bool) bool {
	if len(g.storeLoads) >= g.allowedLoads() {
		g.wake(g.storeLoads[0].Add(g.limits.Window))
		return false
	}
	limit := g.store.atOnce
	if urgent && m.rate >= busyRate {
		limit += g.store.busyExtra()
	}
	return g.storeBusy < limit
}

// StoreLoadsAtOnce returns how many loads from the weight store are thought to run at
// full speed at once.
func (p *Planner) StoreLoadsAtOnce() int { return p.store.atOnce }

// followStore takes in how many loads from the store are in progress, and those that
// last longer than alone.
func (p *Planner) followStore(now time.Time) {
	p.store.advance(now, p.loading())
	for _, e := range p.order {
		if w := e.work; w != nil && w.fromStore {
			p.store.lasts(w.began, now, w.full, p.store.integral(now)-w.storeSum)
		}
	}
}

// storeEnded takes in that a load from the store has ended.
func (p *Planner) storeEnded(w *work, end time.Time) {
	p.store.ended(w.began, end, w.full, p.store.integral(end)-w.storeSum)
}

// fullSpeed is how long a load of a model from the store takes without others.
func (p *Planner) fullSpeed(u Unit) time.Duration {
	if m := p.model(u).spec; m != nil {
		return m.Load
	}
	return 0
}

// loading is how many loads from the weight store are in progress.
func (p *Planner) loading() int {
	n := 0
	for _, e := range p.order {
		if e.work != nil && e.work.fromStore || e.sent != nil && e.sent.FromStore {
			n++
		}
	}
	return n
}
