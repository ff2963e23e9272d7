package placer

import (
	"maps"
	"slices"
	"strings"

	"olivetiller/core/view"
)

// index holds the endpoints of each pool. It is updated one endpoint at a time, so that the cost of a change does not
// grow with the number of endpoints. Maps and lists that it has returned are never modified (copy on write).
type index struct {
	// byEndpoint holds the endpoints with their pools, by name.
	byEndpoint map[string]indexed
	// byPool holds the endpoints of each pool, ordered by name.
	byPool map[string][]*view.Endpoint
	// shared is true while a view uses byPool.
	shared bool
	// changedPools are the pools that changed since the last call of changed.
	changedPools map[string]bool
}

type indexed struct {
	endpoint *view.Endpoint
	pools    []string
}

func newIndex() *index {
	return &index{byEndpoint: make(map[string]indexed), byPool: make(map[string][]*view.Endpoint), changedPools: make(map[string]bool)}
}

// set adds an endpoint to the given pools and removes it from all others.
func (x *index) set(ep view.Endpoint, pools []string) {
	old, known := x.byEndpoint[ep.Name]
	same := known && *old.endpoint == ep
	if same && slices.Equal(old.pools, pools) {
		return
	}
	next := &ep
	if same {
		next = old.endpoint
	}
	for _, pool := range old.pools {
		if !slices.Contains(pools, pool) {
			x.change(pool, ep.Name, nil)
		}
	}
	for _, pool := range pools {
		if !same || !slices.Contains(old.pools, pool) {
			x.change(pool, ep.Name, next)
		}
	}
	if len(pools) == 0 {
		delete(x.byEndpoint, ep.Name)
		return
	}
	x.byEndpoint[ep.Name] = indexed{next, pools}
}

// change adds an endpoint to a pool, or removes it if ep is nil.
func (x *index) change(pool, name string, ep *view.Endpoint) {
	if x.shared {
		x.byPool, x.shared = maps.Clone(x.byPool), false
	}
	x.changedPools[pool] = true
	old := x.byPool[pool]
	at, found := slices.BinarySearchFunc(old, name, func(e *view.Endpoint, name string) int { return strings.Compare(e.Name, name) })
	if ep != nil && at == len(old) {
		// Readers of the old list do not read beyond its length, so that appending in place is safe.
		if len(old) == cap(old) {
			// Grow by an eighth instead of doubling: each node holds thousands of these lists.
			old = append(make([]*view.Endpoint, 0, len(old)+len(old)/8+1), old...)
		}
		x.byPool[pool] = append(old, ep)
		return
	}
	next := make([]*view.Endpoint, 0, len(old)+1)
	next = append(next, old[:at]...)
	if ep != nil {
		next = append(next, ep)
	}
	if found {
		at++
	}
	next = append(next, old[at:]...)
	if len(next) == 0 {
		delete(x.byPool, pool)
		return
	}
	x.byPool[pool] = next
}

// pools returns the endpoints of each pool. The result is not modified later.
func (x *index) pools() map[string][]*view.Endpoint {
	x.shared = true
	return x.byPool
}

// changed returns the pools that changed since the last call; never nil.
func (x *index) changed() []string {
	out := make([]string, 0, len(x.changedPools))
	for pool := range x.changedPools {
		out = append(out, pool)
	}
	clear(x.changedPools)
	return out
}

// has reports whether an endpoint is in any pool.
func (x *index) has(endpoint string) bool {
	_, ok := x.byEndpoint[endpoint]
	return ok
}

// endpoints returns how many endpoints are in at least one pool.
func (x *index) endpoints() int { return len(x.byEndpoint) }
