package placer

import (
	"maps"
	"time"

	"olivetiller/core/pace"
	"olivetiller/core/placement"
	"olivetiller/internal/traffic"
	"olivetiller/io/peer"
)

const (
	// paceInterval is the least time between two estimates of the paces of endpoints. It grows with the endpoints of the list by
	// paceIntervalPerEndpoint, so that estimates take a bounded share of the lease holder's time.
	paceInterval            = 500 * time.Millisecond
	paceIntervalPerEndpoint = 2 * time.Millisecond
	// loadWarmUp is how long a new lease holder publishes no loads, while its own averages are too low.
	loadWarmUp = 3 * time.Second
)

// uneven is what this node knows of how endpoints differ. It belongs to the owner.
type uneven struct {
	// estimator makes the estimates while this node holds the lease.
	estimator *pace.Estimator
	// Uneven is in force: the lease holder's own, or what was received from it.
	traffic.Uneven
	// estimatedAt is when the latest estimate was made.
	estimatedAt time.Time
}

func (u *uneven) init() {
	u.estimator = pace.NewEstimator()
	u.clear()
}

// clear forgets what was received from a lease holder.
func (u *uneven) clear() {
	u.Uneven = traffic.Uneven{Paces: make(map[string]float64), Loads: make(map[string]int), Lanes: make(map[string]bool)}
}

// beginTerm starts the estimates of a new lease holder from the paces that the previous one had published.
func (u *uneven) beginTerm(now time.Time) {
	u.estimator = pace.NewEstimator()
	u.estimator.Seed(u.Paces, now)
}

// addSamples adds the samples of a node, whose models are pool names.
func (u *uneven) addSamples(samples []pace.Sample, now time.Time) {
	for _, s := range samples {
		if unit, ok := placement.ParsePool(s.Model); ok {
			s.Service, s.Model = unit.Service, unit.Model
			u.estimator.Add(s, now)
		}
	}
}

// keep drops what is known of endpoints that are gone.
func (u *uneven) keep(live func(endpoint string) bool) {
	u.estimator.Keep(live)
	maps.DeleteFunc(u.Paces, func(endpoint string, _ float64) bool { return !live(endpoint) })
	maps.DeleteFunc(u.Loads, func(endpoint string, _ int) bool { return !live(endpoint) })
}

// estimateUneven estimates, at the lease holder, how endpoints differ if that is due, and publishes what has changed.
func (c *Controller) estimateUneven(now time.Time) {
	u := &c.uneven
	if !c.held || !c.termPublished || now.Sub(u.estimatedAt) < paceInterval+time.Duration(c.directory.Len())*paceIntervalPerEndpoint {
		return
	}
	u.estimatedAt = now
	u.addSamples(c.o.Dispatcher.TakeGaps(), now)
	u.keep(func(endpoint string) bool { return c.directory.Find(endpoint, now) != nil })
	changed := traffic.Uneven{Paces: pace.Changed(u.Paces, u.estimator.Paces(now)), Lanes: changedLanes(u.Lanes, c.planner.Lanes())}
	if now.Sub(c.heldSince) >= loadWarmUp {
		changed.Loads = pace.ChangedLoads(u.Loads, c.planner.Loads())
	}
	if len(changed.Paces)+len(changed.Loads)+len(changed.Lanes) == 0 {
		return
	}
	u.merge(changed)
	c.published.publishUneven(changed)
	c.useUneven()
	for endpoint, v := range changed.Paces {
		c.o.Logger.Debug("pace of an endpoint changed", "endpoint", endpoint, "pace", v)
	}
	for pool, on := range changed.Lanes {
		c.o.Logger.Info("lanes of a model changed", "pool", pool, "apart", on)
	}
}

// merge takes over changes.
func (u *uneven) merge(changed traffic.Uneven) {
	maps.Copy(u.Paces, changed.Paces)
	maps.Copy(u.Loads, changed.Loads)
	maps.Copy(u.Lanes, changed.Lanes)
}

// changedLanes returns the pools of the models that have lanes only in one of the arguments.
func changedLanes(published map[string]bool, next map[placement.Unit]bool) map[string]bool {
	out := make(map[string]bool)
	for unit := range next {
		if pool := unit.Pool(); !published[pool] {
			out[pool] = true
		}
	}
	for pool, on := range published {
		if unit, ok := placement.ParsePool(pool); ok && on && !next[unit] {
			out[pool] = false
		}
	}
	return out
}

// useUneven puts what is published in force for this node's requests and plans.
func (c *Controller) useUneven() {
	c.o.Dispatcher.SetUneven(c.uneven.Uneven)
	c.planner.SetPaces(c.uneven.Paces)
}

// receiveUneven takes over what the lease holder has published.
func (c *Controller) receiveUneven(s *peer.Snapshot, now time.Time) {
	changed := traffic.Uneven{Paces: s.Paces, Loads: s.Loads, Lanes: s.Lanes}
	if len(changed.Paces)+len(changed.Loads)+len(changed.Lanes) == 0 && !s.Full {
		return
	}
	c.uneven.merge(changed)
	c.uneven.keep(func(endpoint string) bool { return c.directory.Find(endpoint, now) != nil })
	c.useUneven()
}

// publishedUneven is traffic.Uneven with the version of the publication at which each value changed.
type publishedUneven struct {
	paces versioned[float64]
	loads versioned[int]
	lanes versioned[bool]
}

func newPublishedUneven() publishedUneven {
	return publishedUneven{make(versioned[float64]), make(versioned[int]), make(versioned[bool])}
}

// publishUneven publishes changes, without urgency.
func (p *publication) publishUneven(changed traffic.Uneven) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == "" || len(changed.Paces)+len(changed.Loads)+len(changed.Lanes) == 0 {
		return
	}
	p.wake(nil)
	p.setUneven(changed, p.version)
}

// setUneven sets what changed at a version, and drops endpoints that are not on the list. The caller holds p.mu.
func (p *publication) setUneven(changed traffic.Uneven, version uint64) {
	listed := func(endpoint string) bool { return p.store.instances[endpoint].record.Instance != nil }
	p.uneven.paces.set(changed.Paces, version, listed)
	p.uneven.loads.set(changed.Loads, version, listed)
	p.uneven.lanes.set(changed.Lanes, version, func(string) bool { return true })
}

// addUneven adds what changed after a version. The caller holds p.mu.
func (p *publication) addUneven(s *peer.Snapshot, after uint64) {
	s.Paces, s.Loads, s.Lanes = p.uneven.paces.since(after), p.uneven.loads.since(after), p.uneven.lanes.since(after)
}

// versioned holds values by name, and the version of the publication at which each changed.
type versioned[T any] map[string]versionedValue[T]

type versionedValue[T any] struct {
	value   T
	version uint64
}

// set sets values that changed at a version, and drops those that are not kept.
func (v versioned[T]) set(changed map[string]T, version uint64, kept func(name string) bool) {
	for name, value := range changed {
		v[name] = versionedValue[T]{value, version}
	}
	maps.DeleteFunc(v, func(name string, _ versionedValue[T]) bool { return !kept(name) })
}

// since returns the values that changed after a version; nil if none did.
func (v versioned[T]) since(after uint64) map[string]T {
	var out map[string]T
	for name, e := range v {
		if e.version <= after {
			continue
		}
		if out == nil {
			out = make(map[string]T)
		}
		out[name] = e.value
	}
	return out
}
