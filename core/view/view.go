// Package view holds what traffic reads: an immutable picture of what is
// decided and known, made by the control goroutine and published by one atomic
// pointer, so that no request ever waits for a decision's lock.
package view

import (
	"sort"
	"time"

	"olivetiller/core/catalog"
	"olivetiller/core/ledger"
	"olivetiller/core/plan"
)

// Endpoint is one place that takes requests.
type Endpoint struct {
	// Name is the engine's or service instance's name.
	Name    string
	Address string
	Hall    string
	// Version is the unit's version there; empty for a plain service.
	Version string
	// Incarnation tells a replaced endpoint from the one before.
	Incarnation uint64
	// Concurrency is how many requests it runs at once, for all nodes together.
	Concurrency int
}

// View is the picture. Nothing in it changes once it is published.
type View struct {
	// Ready nodes take requests.
	Ready bool
	// Diverged nodes have folded a state that differs from the others'.
	Diverged bool
	Catalog  *catalog.Catalog
	Revision uint64
	// NextOffset is the first offset of the log not folded in.
	NextOffset uint64
	// Endpoints holds where each unit and service takes requests, by pool name.
	Endpoints map[string][]Endpoint
	// LoadingSince holds when the load in progress of a unit was first seen.
	LoadingSince map[string]time.Time
	// Live holds the live nodes in order.
	Live []string
}

// ServicePool is the pool name of a plain service. It cannot clash with a
// unit's, whose names hold no slash.
func ServicePool(name string) string { return "service/" + name }

// Service is one live instance of a plain service.
type Service struct {
	Service string
	Endpoint
	Leaving bool
}

// Input is what a view is made from.
type Input struct {
	Ledger   *ledger.State
	Engines  map[string]*plan.Engine
	Services []Service
	// LoadingSince is as in View.
	LoadingSince map[string]time.Time
	Live         []string
	Ready        bool
	Diverged     bool
}

// Build makes a view.
func Build(in *Input) *View {
	v := &View{
		Ready: in.Ready, Diverged: in.Diverged, Catalog: in.Ledger.Catalog,
		Revision: in.Ledger.Revision, NextOffset: in.Ledger.NextOffset,
		Endpoints:    make(map[string][]Endpoint),
		LoadingSince: in.LoadingSince, Live: in.Live,
	}
	for uv, replicas := range in.Ledger.Replicas {
		u := in.Ledger.Catalog.Units[uv.Unit]
		if u == nil || u.Banned || !serves(in, u, uv.Version) {
			continue
		}
		for _, p := range replicas {
			if e := in.Ledger.Engines[p.Engine]; takesWork(in, p, e) {
				v.Endpoints[uv.Unit] = append(v.Endpoints[uv.Unit], Endpoint{
					Name: e.Name, Address: e.Address, Hall: e.Hall, Version: uv.Version,
					Incarnation: e.Incarnation, Concurrency: u.Concurrency,
				})
			}
		}
	}
	for _, s := range in.Services {
		cfg := in.Ledger.Catalog.Services[s.Service]
		if cfg == nil || s.Leaving {
			continue
		}
		ep := s.Endpoint
		ep.Concurrency = int(cfg.GetConcurrency())
		pool := ServicePool(s.Service)
		v.Endpoints[pool] = append(v.Endpoints[pool], ep)
	}
	for _, eps := range v.Endpoints {
		sort.Slice(eps, func(i, j int) bool { return eps[i].Name < eps[j].Name })
	}
	return v
}

// serves reports whether requests go to a version: the serving one, or while
// that has no ready replica any other, so that a roll-over has no gap.
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

func takesWork(in *Input, p *ledger.Placement, e *ledger.Engine) bool {
	if p.Phase != ledger.Ready || e == nil || e.Draining {
		return false
	}
	soft := in.Engines[e.Name]
	return soft != nil && soft.Reachable && !soft.Leaving
}
