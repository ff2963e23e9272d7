package placer

import (
	"maps"
	"time"

	"olivetiller/core/pace"
	"olivetiller/core/placement"
	"olivetiller/io/peer"
)

// paceInterval is the least time between two estimates of the paces of endpoints. It grows with their number by
// paceIntervalPerEndpoint, so that estimates take a bounded share of the lease holder's time.
const (
	paceInterval            = 500 * time.Millisecond
	paceIntervalPerEndpoint = time.Millisecond
)

// paces is what this node knows of the paces of endpoints.
type paces struct {
	// estimator makes the estimates while this node holds the lease.
	estimator *pace.Estimator
	// published holds the paces in force, by endpoint: the lease holder's own, or those received from it.
	published map[string]float64
	// loads holds the loads in force, in concurrent requests by endpoint, in the same way.
	loads map[string]int
	// estimatedAt is when the latest estimate was made.
	estimatedAt time.Time
}

func (p *paces) init() {
	p.estimator, p.published, p.loads = pace.NewEstimator(), make(map[string]float64), make(map[string]int)
}

// beginTerm starts the estimates of a new lease holder from the paces that the previous one had published.
func (p *paces) beginTerm(now time.Time) {
	p.estimator = pace.NewEstimator()
	p.estimator.Seed(p.published, now)
}

// addSamples adds the samples of a node, whose models are pool names.
func (p *paces) addSamples(samples []pace.Sample, now time.Time) {
	for _, s := range samples {
		if u, ok := placement.ParsePool(s.Model); ok {
			s.Model = u.Base().Pool()
			p.estimator.Add(s, now)
		}
	}
}

// estimatePaces estimates the paces of all endpoints if that is due, and publishes those that have changed.
func (c *Controller) estimatePaces(now time.Time) {
	p := &c.paces
	if now.Sub(p.estimatedAt) < paceInterval+time.Duration(len(p.published))*paceIntervalPerEndpoint {
		return
	}
	p.estimatedAt = now
	p.addSamples(c.o.Dispatcher.TakeGaps(), now)
	live := func(endpoint string) bool { return c.directory.Find(endpoint, now) != nil }
	p.estimator.Keep(live)
	maps.DeleteFunc(p.published, func(endpoint string, _ float64) bool { return !live(endpoint) })
	maps.DeleteFunc(p.loads, func(endpoint string, _ int) bool { return !live(endpoint) })
	changed, loads := pace.Changed(p.published, p.estimator.Paces(now)), pace.ChangedLoads(p.loads, c.planner.Loads())
	if len(changed)+len(loads) == 0 {
		return
	}
	maps.Copy(p.published, changed)
	maps.Copy(p.loads, loads)
	c.published.publishPaces(changed, loads)
	c.usePaces()
	for endpoint, v := range changed {
		c.o.Logger.Debug("pace of an endpoint changed", "endpoint", endpoint, "pace", v)
	}
}

// usePaces puts the published paces in force for this node's requests and plans.
func (c *Controller) usePaces() {
	c.o.Dispatcher.SetPaces(c.paces.published, c.paces.loads)
	c.planner.SetPaces(c.paces.published)
}

// receivePaces takes over the paces that the lease holder has published.
func (c *Controller) receivePaces(s *peer.Snapshot) {
	if s.Full {
		c.paces.published, c.paces.loads = make(map[string]float64, len(s.Paces)), make(map[string]int, len(s.Loads))
	}
	if len(s.Paces)+len(s.Loads) > 0 || s.Full {
		maps.Copy(c.paces.published, s.Paces)
		maps.Copy(c.paces.loads, s.Loads)
		c.usePaces()
	}
}

// publishPaces publishes paces and loads that have changed, without urgency.
func (p *publication) publishPaces(paces map[string]float64, loads map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == "" || len(paces)+len(loads) == 0 {
		return
	}
	p.wake(nil)
	p.setPaces(paces, loads, p.version)
}

// setPaces sets paces and loads that changed at a version, and drops those of engines that are gone. The caller holds p.mu.
func (p *publication) setPaces(paces map[string]float64, loads map[string]int, version uint64) {
	p.paces.set(paces, version, p.removedAt)
	p.loads.set(loads, version, p.removedAt)
}

// addPaces adds the paces and loads that changed after a version. The caller holds p.mu.
func (p *publication) addPaces(s *peer.Snapshot, after uint64) {
	s.Paces, s.Loads = p.paces.since(after), p.loads.since(after)
}

// versioned holds values by endpoint, and the version of the publication at which each changed.
type versioned[T any] map[string]versionedValue[T]

type versionedValue[T any] struct {
	value   T
	version uint64
}

// set sets values that changed at a version, and drops those of the endpoints in removed.
func (v versioned[T]) set(changed map[string]T, version uint64, removed map[string]uint64) {
	for endpoint, value := range changed {
		v[endpoint] = versionedValue[T]{value, version}
	}
	for endpoint := range removed {
		delete(v, endpoint)
	}
}

// since returns the values that changed after a version; nil if none did.
func (v versioned[T]) since(after uint64) map[string]T {
	var out map[string]T
	for endpoint, e := range v {
		if e.version <= after {
			continue
		}
		if out == nil {
			out = make(map[string]T)
		}
		out[endpoint] = e.value
	}
	return out
}
