package placer

import (
	"maps"
	"slices"
	"strings"

	"olivetiller/core/origin"
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
	// pooled counts the endpoints that are in at least one pool.
	pooled int
	// counts holds the number of endpoints of each build, and published is the copy of it that views use; nil after a
	// change.
	counts    map[origin.Origin]*buildCount
	published map[origin.Origin]int
}

type indexed struct {
	endpoint *view.Endpoint
	pools    []string
	build    *buildCount
}

// buildCount counts the endpoints of one build.
type buildCount struct {
	origin.Origin
	n int
}

func newIndex() *index {
	return &index{
		byEndpoint: make(map[string]indexed), byPool: make(map[string][]*view.Endpoint), changedPools: make(map[string]bool),
		counts: make(map[origin.Origin]*buildCount),
	}
}

// remove removes an endpoint, which takes no requests any more.
func (x *index) remove(name string) {
	old, known := x.byEndpoint[name]
	if !known {
		return
	}
	x.move(old.pools, name, nil, nil, false)
	x.count(old.build, -1)
	delete(x.byEndpoint, name)
}

// set adds an endpoint of a service to the given pools and removes it from all others. An endpoint may be in none.
func (x *index) set(ep view.Endpoint, service string, pools []string) {
	old, known := x.byEndpoint[ep.Name]
	same := known && *old.endpoint == ep
	build := x.buildCount(origin.Origin{Service: service, Build: ep.Build})
	if same && old.build == build && slices.Equal(old.pools, pools) {
		return
	}
	next := &ep
	if same {
		next = old.endpoint
	}
	x.move(old.pools, ep.Name, next, pools, same)
	if old.build != build {
		x.count(old.build, -1)
		x.count(build, 1)
	}
	x.byEndpoint[ep.Name] = indexed{next, pools, build}
}

// move moves an endpoint from some pools to others. same is true if it has not changed itself.
func (x *index) move(from []string, name string, ep *view.Endpoint, to []string, same bool) {
	for _, pool := range from {
		if !slices.Contains(to, pool) {
			x.change(pool, name, nil)
		}
	}
	for _, pool := range to {
		if !same || !slices.Contains(from, pool) {
			x.change(pool, name, ep)
		}
	}
	x.pooled += min(1, len(to)) - min(1, len(from))
}

// buildCount returns the counter of a build.
func (x *index) buildCount(o origin.Origin) *buildCount {
	c := x.counts[o]
	if c == nil {
		c = &buildCount{Origin: o}
		x.counts[o] = c
	}
	return c
}

// count adds to the counter of a build, which may be nil.
func (x *index) count(c *buildCount, by int) {
	if c == nil {
		return
	}
	c.n += by
	x.published = nil
	if c.n == 0 {
		delete(x.counts, c.Origin)
	}
}

// builds returns the number of endpoints of each build. The result is not modified later.
func (x *index) builds() map[origin.Origin]int {
	if x.published == nil {
		x.published = make(map[origin.Origin]int, len(x.counts))
		for o, c := range x.counts {
			if c.n > 0 {
				x.published[o] = c.n
			}
		}
	}
	return x.published
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
	x.changedPools = emptied(x.changedPools)
	return out
}

// maxKeptNames is up to how many names a set that is emptied keeps its memory.
const maxKeptNames = 256

// emptied returns an empty set in place of one. A set that has held the names of a whole fleet would keep the memory for them.
func emptied(set map[string]bool) map[string]bool {
	if len(set) > maxKeptNames {
		return make(map[string]bool)
	}
	clear(set)
	return set
}

// has reports whether an endpoint takes requests.
func (x *index) has(endpoint string) bool {
	_, ok := x.byEndpoint[endpoint]
	return ok
}

// endpoints returns how many endpoints are in at least one pool.
func (x *index) endpoints() int { return x.pooled }
