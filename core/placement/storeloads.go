package placement

import (
	"slices"
	"time"
)

// allowedLoads returns how many loads from the weight store may start within the window, at
// least one. It does not use the overage that the platform allows; that is the reserve for
// loads whose start is not known exactly.
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

// expireStoreLoads removes the loads from the store that started before the window.
func (p *Planner) expireStoreLoads(now time.Time) {
	p.storeLoads = slices.DeleteFunc(p.storeLoads, func(at time.Time) bool { return now.Sub(at) >= p.limits.Window })
}

// mayLoadFromStore reports whether a load of a model from the store may start. Some extra loads
// are reserved for busy models: where engines were replaced four times within 24 s, a model
// with 60 requests a second and no engine left waited 4.5 s behind models for single requests,
// and its requests were refused 700 times.
func (g *planning) mayLoadFromStore(m *modelState, urgent bool) bool {
	if len(g.storeLoads) >= g.allowedLoads() {
		g.wake(g.storeLoads[0].Add(g.limits.Window))
		return false
	}
	limit := g.store.estimate
	if urgent && m.rate >= busyRate {
		limit += g.store.extraForBusy()
	}
	return g.storeBusy < limit
}

// StoreConcurrency returns the estimate of how many loads the weight store runs at full speed
// at the same time.
func (p *Planner) StoreConcurrency() int { return p.store.estimate }

// observeStore updates the estimate of the store's concurrency with the loads in progress, in
// particular those that last longer than at full speed.
func (p *Planner) observeStore(now time.Time) {
	p.store.advance(now, p.storeLoadsInProgress())
	for _, e := range p.engineList {
		if w := e.work; w != nil && w.fromStore {
			p.store.observeOngoing(w.startedAt, now, w.fullSpeedTime, p.store.integral(now)-w.storeIntegral)
		}
	}
}

// observeStoreLoadEnd updates the estimate of the store's concurrency with a load that ended.
func (p *Planner) observeStoreLoadEnd(w *work, end time.Time) {
	p.store.observeEnd(w.startedAt, end, w.fullSpeedTime, p.store.integral(end)-w.storeIntegral)
}

// fullSpeedLoadTime returns how long a load of a model from the store takes when it shares the
// store with no other; 0 if the configuration does not have the model.
func (p *Planner) fullSpeedLoadTime(u Unit) time.Duration {
	if m := p.model(u).spec; m != nil {
		return m.Load
	}
	return 0
}

// storeLoadsInProgress returns the number of loads from the weight store that are in progress
// or whose orders are pending.
func (p *Planner) storeLoadsInProgress() int {
	n := 0
	for _, e := range p.engineList {
		if e.work != nil && e.work.fromStore || e.pending != nil && e.pending.FromStore {
			n++
		}
	}
	return n
}
