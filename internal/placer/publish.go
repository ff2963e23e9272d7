package placer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/directory"
	"olivetiller/core/placement"
	"olivetiller/core/view"
)

// publish makes the view of what is known now and puts it in force.
func (c *Controller) publish(now time.Time) {
	t := c.table.Load()
	v := &view.View{Ready: t != nil && c.listed && c.suspects.known.Load(), Endpoints: make(map[string][]view.Endpoint), ReadyAt: c.readyAt(now)}
	if t != nil {
		v.Revision = uint64(t.Config.Version)
		for _, e := range c.directory.Live(now) {
			if !e.Draining {
				c.place(v, e, now)
			}
		}
	}
	c.suspects.guard.SetEngines(len(c.directory.Live(now)))
	for _, eps := range v.Endpoints {
		sort.Slice(eps, func(i, j int) bool { return eps[i].Name < eps[j].Name })
	}
	if c.held {
		c.holder.showInstances(c.directory.Records(now), c.listedTo)
	}
	c.view.Store(v)
	c.o.Dispatcher.Update(v, nil)
}

// defaultSlots is taken for a service whose endpoints do not tell how many
// requests they run at once.
const defaultSlots = 16

// place adds an endpoint to the pools that it serves.
func (c *Controller) place(v *view.View, e *directory.Entry, now time.Time) {
	ep := view.Endpoint{Name: e.ID, Address: e.Address, Hall: e.Hall, Start: int64(e.Start), Incarnation: incarnation(e), Concurrency: e.Slots}
	if ep.Concurrency <= 0 {
		ep.Concurrency = defaultSlots
	}
	s := c.table.Load().Service(e.Service)
	switch {
	case s == nil:
		return
	case s.Engine == nil:
		pool := view.ServicePool(e.Service)
		v.Endpoints[pool] = append(v.Endpoints[pool], ep)
		return
	}
	for _, pool := range c.pools(e, now) {
		if until, missing := c.misses[missKey{e.ID, pool}]; !missing || now.After(until) {
			v.Endpoints[pool] = append(v.Endpoints[pool], ep)
		}
	}
}

// incarnation tells an endpoint that started again from the one before, which its breakers
// and its patience were of.
func incarnation(e *directory.Entry) uint64 {
	return xxhash.Sum64String(e.ID) + uint64(e.Start)
}

// pools returns the pools that an engine serves, from the best source there is.
func (c *Controller) pools(e *directory.Entry, now time.Time) []string {
	if c.held {
		if pools, ok := c.holder.pools(e.ID); ok {
			return pools
		}
	} else if c.remote.fresh {
		if pools, ok := c.remote.serving[e.ID]; ok {
			return pools
		}
	}
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

// pools returns what the board shows of an engine.
func (b *board) pools(engine string) ([]string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sh, ok := b.serving[engine]
	return sh.pools, ok
}

// readyAt returns when units without an engine are expected, by pool.
func (c *Controller) readyAt(now time.Time) map[string]time.Time {
	switch {
	case c.held:
		out := make(map[string]time.Time)
		for u, at := range c.planner.ReadyAt() {
			out[u.Pool()] = at
		}
		return out
	case c.remote.fresh:
		return c.remote.readyAt
	}
	return nil
}
