package placer

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/directory"
	"olivetiller/core/placement"
	"olivetiller/core/view"
)

// touch marks an endpoint as changed, so that the next view updates it.
func (c *Controller) touch(id string) {
	c.touched[id] = true
	c.viewStale = true
}

// touchAll has the next view built from the complete state.
func (c *Controller) touchAll() { c.rebuildAll, c.viewStale = true, true }

// publish builds a view of the current state and puts it in force. It updates only the endpoints that were touched
// since the last view, unless rebuildAll is set.
func (c *Controller) publish(now time.Time) {
	t := c.Table()
	v := &view.View{Ready: t != nil && c.listed && c.suspects.known.Load(), ReadyAt: c.readyAt(now)}
	if recorded := c.directory.StartsPublished(); recorded != c.startsRecorded {
		// This determines which entries count as endpoints, so that the view is built anew.
		c.startsRecorded, c.rebuildAll = recorded, true
	}
	if c.rebuildAll || t == nil {
		c.index, c.halls.coldRates, c.halls.firstWarmAt = newIndex(), make(map[string]float64), time.Time{}
		c.gateways.reset()
	}
	var changed []string
	if t != nil {
		v.Revision = uint64(t.Config.Version)
		if c.rebuildAll {
			for _, e := range c.directory.Live(now) {
				c.indexEndpoint(e, now)
			}
		} else {
			for id := range c.touched {
				c.updateEndpoint(id, now)
			}
			changed = c.index.changed()
		}
	}
	v.Shared = c.index.pools()
	c.setBuilds(v)
	if c.builds.changed {
		changed, c.builds.changed = nil, false
	}
	v.Evacuated, v.Cold = c.halls.evacuated.Halls(), maps.Clone(c.halls.coldRates)
	c.suspects.guard.SetEngines(c.index.endpoints())
	if c.held && (c.rebuildAll || len(c.touched) > 0) {
		c.publishInstances(now)
	}
	c.rebuildAll = t == nil
	c.touched = emptied(c.touched)
	c.view.Store(v)
	c.o.Dispatcher.Update(v, changed)
	if v.Ready && !c.wasReady {
		c.wasReady = true
		close(c.firstReady)
	}
}

// updateEndpoint updates the pools of an endpoint, and removes it from all of them if its entry is gone.
func (c *Controller) updateEndpoint(id string, now time.Time) {
	delete(c.halls.coldRates, id)
	if e := c.directory.Find(id, now); e != nil {
		c.indexEndpoint(e, now)
		return
	}
	c.index.remove(id)
	c.gateways.removeEndpoint(id)
}

// publishInstances publishes the list of endpoints to this lease holder's followers.
func (c *Controller) publishInstances(now time.Time) {
	c.published.publishInstances(c.directory.Records(now), c.listedTo)
}

// defaultSlots is the concurrency of an endpoint whose entry does not give one, in requests.
const defaultSlots = 16

// indexEndpoint adds an endpoint to the pools that it serves and removes it from all others.
func (c *Controller) indexEndpoint(e *directory.Entry, now time.Time) {
	ep := view.Endpoint{Name: e.ID, Address: e.Address, Hall: e.Hall, Build: e.Build, Start: int64(e.Start), Incarnation: incarnation(e), Concurrency: e.Slots}
	if ep.Concurrency <= 0 {
		ep.Concurrency = defaultSlots
	}
	s := c.Table().Service(e.Service)
	if s == nil || e.Draining || c.halls.evacuated.Evacuated(e.Hall) {
		c.index.remove(e.ID)
		c.gateways.removeEndpoint(e.ID)
		return
	}
	c.gateways.setEndpoint(e)
	c.setCold(&ep, e, now)
	if s.Engine == nil {
		c.index.set(ep, e.Service, []string{view.ServicePool(e.Service)})
		return
	}
	var pools []string
	for _, pool := range c.pools(e) {
		if until, missing := c.misses[missKey{e.ID, pool}]; !missing || now.After(until) {
			pools = append(pools, pool)
		}
	}
	c.index.set(ep, e.Service, pools)
}

// incarnation distinguishes a restarted endpoint from its predecessor, whose circuit breakers and backoff must not
// apply to it.
func incarnation(e *directory.Entry) uint64 {
	return xxhash.Sum64String(e.ID) + uint64(e.Start)
}

// pools returns the pools that an engine serves. At the lease holder this is the published state; at other nodes the
// lease holder's state, as long as it is fresh or the engine's entry does not list what it holds. In the latter case
// outdated state is better than none, since the engine refuses requests for units that it lacks.
func (c *Controller) pools(e *directory.Entry) []string {
	if c.held {
		if pools, ok := c.published.pools(e.ID); ok {
			return pools
		}
	} else if c.holderState.fresh || !e.HoldingsKnown {
		if pools, ok := c.holderState.serving[e.ID]; ok {
			return pools
		}
	}
	return poolsOf(e)
}

// poolsOf returns the pools that an engine serves by its entry.
func poolsOf(e *directory.Entry) []string {
	var pools []string
	for _, m := range e.Models {
		u := placement.Unit{Service: e.Service, Model: m.Model}
		pools = append(pools, u.Pool())
		for _, a := range m.Adapters {
			u.Adapter = a
			pools = append(pools, u.Pool())
		}
	}
	return pools
}

// pools returns the pools that are published for an engine.
func (p *publication) pools(engine string) ([]string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sh, ok := p.serving[engine]
	return sh.pools, ok
}

// readyAtByPool returns the expected ready times of a planner, by the keys of [view.View.ReadyAt].
func readyAtByPool(p *placement.Planner) map[string]time.Time {
	out := make(map[string]time.Time, len(p.ReadyAt()))
	for u, at := range p.ReadyAt() {
		out[u.Pool()] = at
	}
	for b, at := range p.BoundReadyAt() {
		out[view.BoundPool(b.Pool(), true, b.Build)] = at
	}
	return out
}

// readyAt returns by pool when units that no engine serves yet are expected to be ready.
func (c *Controller) readyAt(now time.Time) map[string]time.Time {
	switch {
	case c.held:
		return readyAtByPool(c.planner)
	case c.holderState.fresh:
		return c.holderState.readyAt
	}
	return nil
}

// ListedAsOf returns a time at which the list of endpoints had nothing that the view in force does not show; zero if none
// is known.
func (c *Controller) ListedAsOf() time.Time {
	if at := c.listedAsOf.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// updateListedAsOf updates the result of ListedAsOf, after the view was put in force.
func (c *Controller) updateListedAsOf() {
	at := c.listReadAt
	if m := c.relayed.Load(); m != nil && m.at.After(at) {
		at = m.at
	}
	if at.After(c.ListedAsOf()) {
		c.listedAsOf.Store(&at)
	}
}
