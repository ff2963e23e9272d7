// Package view provides the snapshot of the routing state that request handling reads: which endpoints serve
// which unit or service, and the configuration.
//
// The control goroutine builds a [View] from the ledger and the state of the endpoints with a [Builder], and
// publishes it through one atomic pointer, so that no request waits for a lock. A published view is immutable.
package view

import (
	"maps"
	"sort"
	"time"

	"olivetiller/core/catalog"
	"olivetiller/core/directory"
	"olivetiller/core/ledger"
	"olivetiller/core/origin"
	"olivetiller/core/plan"
)

// Endpoint is an engine or a service instance that takes requests.
type Endpoint struct {
	// Name is the name of the engine or the service instance.
	Name    string
	Address string
	Hall    string
	// Version is the version of the unit that the endpoint serves; empty for a plain service.
	Version string
	// Build is the version of the endpoint's software.
	Build directory.Build
	// Start is when the endpoint's process started, in Unix milliseconds by its own clock; 0 if unknown.
	Start int64
	// Incarnation distinguishes a restarted or replaced endpoint from its predecessor of the same name.
	Incarnation uint64
	// Concurrency is the number of requests from all nodes together that the endpoint processes concurrently.
	Concurrency int
	// ColdUntil is until when the endpoint takes at most ColdRate requests a second, over all nodes; a time
	// in the past if it is warm.
	ColdUntil time.Time
	ColdRate  float64
}

// Cold reports whether the endpoint is cold at now, so that ColdRate limits its requests.
func (e *Endpoint) Cold(now time.Time) bool { return e.ColdRate > 0 && now.Before(e.ColdUntil) }

// View is an immutable snapshot of the routing state.
type View struct {
	// Ready is true if the node may take requests.
	Ready bool
	// Diverged is true if the node's ledger state differs from that of the other nodes.
	Diverged bool
	Catalog  *catalog.Catalog
	Revision uint64
	// NextOffset is the first offset of the log that is not applied yet.
	NextOffset uint64
	// Endpoints holds the endpoints that serve each unit or service, by pool name.
	Endpoints map[string][]Endpoint
	// Shared holds the endpoints of the pools that are not in Endpoints, by pool name. The lists of pools with
	// common endpoints point to the same Endpoint values.
	Shared map[string][]*Endpoint
	// LoadingSince holds when the load in progress of each unit was first seen, by unit name.
	LoadingSince map[string]time.Time
	// ReadyAt holds when each unit without an endpoint is expected to have one, by unit name.
	ReadyAt map[string]time.Time
	// Evacuated are the data halls whose endpoints get no requests. Cold holds the limit of each cold endpoint
	// in requests a second, by endpoint name.
	Evacuated []string
	Cold      map[string]float64
	// Builds counts the endpoints that may take requests by service and build, whatever models they hold; nil if builds
	// are not tracked. NewBuilds are those of them at which no stream may begin yet.
	Builds    map[origin.Origin]int
	NewBuilds map[origin.Origin]bool
	// Live are the names of the live nodes, sorted.
	Live []string
}

// Pool returns the endpoints that serve a unit or service, by pool name; empty if there are none.
func (v *View) Pool(name string) []Endpoint {
	if eps, ok := v.Endpoints[name]; ok {
		return eps
	}
	shared := v.Shared[name]
	out := make([]Endpoint, len(shared))
	for i, ep := range shared {
		out[i] = *ep
	}
	return out
}

// Pools returns the number of pools with endpoints.
func (v *View) Pools() int { return len(v.Endpoints) + len(v.Shared) }

// ServicePool returns the pool name of a plain service. It cannot collide with the name of a unit, which
// contains no slash.
func ServicePool(name string) string { return "service/" + name }

// BoundPool returns the key in [View.ReadyAt] of the part of a pool that is restricted to a build; the pool itself if it
// is not bound.
func BoundPool(pool string, bound bool, build directory.Build) string {
	if !bound {
		return pool
	}
	return pool + boundSeparator + build.String()
}

// boundSeparator is in no name of a unit.
const boundSeparator = "\x00"

// Service is a live instance of a plain service.
type Service struct {
	Service string
	Endpoint
	Leaving bool
}

// Input is the state from which a view is built.
type Input struct {
	Ledger   *ledger.State
	Engines  map[string]*plan.Engine
	Services []Service
	// LoadingSince is the same as [View.LoadingSince].
	LoadingSince map[string]time.Time
	Live         []string
	Ready        bool
	Diverged     bool
}

// Builder builds views, each from its predecessor. Unchanged parts are shared, so that the cost of a change
// depends on the pools that it touches, not on the number of loaded models. It is not safe for concurrent use.
type Builder struct {
	last *View
	// dirty holds the pools to rebuild; all is true if every pool must be rebuilt.
	dirty map[string]bool
	all   bool
}

// NewBuilder returns a Builder whose first view is built completely.
func NewBuilder() *Builder { return &Builder{dirty: make(map[string]bool), all: true} }

// Touch marks a unit for the next Build.
func (b *Builder) Touch(unit string) { b.dirty[unit] = true }

// TouchAll marks all units and services for the next Build.
func (b *Builder) TouchAll() { b.all = true }

// Build returns a new view and the names of the pools that it rebuilt; nil means all pools.
func (b *Builder) Build(in *Input) (v *View, changed []string) {
	v = &View{
		Ready: in.Ready, Diverged: in.Diverged, Catalog: in.Ledger.Catalog,
		Revision: in.Ledger.Revision, NextOffset: in.Ledger.NextOffset,
		LoadingSince: in.LoadingSince, Live: in.Live,
	}
	switch {
	case b.all:
		v.Endpoints = make(map[string][]Endpoint, len(in.Ledger.Replicas))
		for uv := range in.Ledger.Replicas {
			b.buildUnit(in, v, uv.Unit)
		}
	case len(b.dirty) > 0:
		v.Endpoints = maps.Clone(b.last.Endpoints)
		for unit := range b.dirty {
			b.buildUnit(in, v, unit)
			changed = append(changed, unit)
		}
	default:
		v.Endpoints = b.last.Endpoints
		changed = []string{}
	}
	if b.all {
		b.buildServices(in, v)
	}
	b.last, b.all = v, false
	clear(b.dirty)
	return v, changed
}

// buildUnit sets the endpoints of a unit in v.
func (b *Builder) buildUnit(in *Input, v *View, name string) {
	delete(v.Endpoints, name)
	u := in.Ledger.Catalog.Units[name]
	if u == nil || u.Banned {
		return
	}
	var eps []Endpoint
	for version := range u.Versions {
		if !serves(in, u, version) {
			continue
		}
		for _, p := range in.Ledger.Replicas[ledger.UnitVersion{Unit: name, Version: version}] {
			if e := in.Ledger.Engines[p.Engine]; isAvailable(in, p, e) {
				eps = append(eps, Endpoint{
					Name: e.Name, Address: e.Address, Hall: e.Hall, Version: version,
					Incarnation: e.Incarnation, Concurrency: u.Concurrency,
				})
			}
		}
	}
	if len(eps) > 0 {
		sortByName(eps)
		v.Endpoints[name] = eps
	}
}

// buildServices sets the endpoints of the plain services in v.
func (b *Builder) buildServices(in *Input, v *View) {
	for _, s := range in.Services {
		cfg := in.Ledger.Catalog.Services[s.Service]
		if cfg == nil || s.Leaving {
			continue
		}
		ep := s.Endpoint
		ep.Concurrency = int(cfg.GetConcurrency())
		pool := ServicePool(s.Service)
		v.Endpoints[pool] = append(v.Endpoints[pool], ep)
		sortByName(v.Endpoints[pool])
	}
}

func sortByName(eps []Endpoint) {
	sort.Slice(eps, func(i, j int) bool { return eps[i].Name < eps[j].Name })
}

// serves reports whether a version of a unit gets requests: the serving version, or any other configured
// version while the serving one has no ready replica, so that a rollout causes no downtime.
func serves(in *Input, u *catalog.Unit, version string) bool {
	if version == u.Serving {
		return true
	}
	for _, p := range in.Ledger.Replicas[ledger.UnitVersion{Unit: u.Name, Version: u.Serving}] {
		if p.Phase == ledger.Ready {
			return false
		}
	}
	return u.Versions[version] != 0
}

func isAvailable(in *Input, p *ledger.Placement, e *ledger.Engine) bool {
	if p.Phase != ledger.Ready || e == nil || e.Draining {
		return false
	}
	observed := in.Engines[e.Name]
	return observed != nil && observed.Reachable && !observed.Leaving
}
