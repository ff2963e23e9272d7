package plan

import (
	"fmt"
	"sort"
	"time"

	"olivetiller/core/demand"
	"olivetiller/core/ledger"
	pb "olivetiller/proto/olivetiller/v1"
)

// unloads proposes to remove the replicas that nothing holds any longer.
func (p *Planner) unloads(in *Input) []Action {
	var acts []Action
	for _, uv := range p.loadedUnits(in) {
		for _, engine := range sortedNames(in.Ledger.Replicas[uv]) {
			pl := in.Ledger.Replicas[uv][engine]
			if pl.Phase == ledger.Queued && p.unwanted(in, uv.Unit) {
				acts = append(acts, p.unload(in, pl.Key, pl.Fence)...)
			}
			if pl.Phase != ledger.Ready {
				continue
			}
			held, why := p.held(in, pl)
			p.reasons[uv.Unit] = why
			if !held {
				acts = append(acts, p.unload(in, pl.Key, pl.Fence)...)
			}
		}
	}
	return acts
}

// unwanted reports whether a load that still waits for a slot has lost its cause.
func (p *Planner) unwanted(in *Input, unit string) bool {
	u := in.Ledger.Catalog.Units[unit]
	if u == nil || u.Banned {
		return true
	}
	d := in.Demand.Get(unit, in.Now)
	return !u.Pinned && d.Waiting == 0 && in.Now.Sub(d.LastUse) > demand.Life
}

// loadedUnits returns, in order, what is placed of the units whose home this
// node is.
func (p *Planner) loadedUnits(in *Input) []ledger.UnitVersion {
	out := make([]ledger.UnitVersion, 0, len(in.Ledger.Replicas))
	for uv := range in.Ledger.Replicas {
		if p.isHome(in, uv.Unit) {
			out = append(out, uv)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Unit != out[j].Unit {
			return out[i].Unit < out[j].Unit
		}
		return out[i].Version < out[j].Version
	})
	return out
}

func sortedNames[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func (p *Planner) unload(in *Input, k ledger.Key, fence uint64) []Action {
	return p.propose(in, &pb.Record{Body: &pb.Record_Unload{Unload: &pb.Unload{
		Unit: k.Unit, Version: k.Version, Engine: k.Engine, Fence: fence,
	}}})
}

// held reports whether a ready replica is kept, and why or why not.
func (p *Planner) held(in *Input, pl *ledger.Placement) (bool, string) {
	e := in.Ledger.Engines[pl.Engine]
	if hasAdapters(in, e, pl.Unit) {
		return true, "kept: adapters are loaded beside it"
	}
	u := in.Ledger.Catalog.Units[pl.Unit]
	d := in.Demand.Get(pl.Unit, in.Now)
	idle := p.idle(in, pl, d)
	soft := in.Engines[pl.Engine]
	switch {
	case u == nil || u.Versions[pl.Version] == 0:
		return false, "unloads: the configuration no longer has it"
	case u.Banned:
		return false, "unloads: banned"
	case e.Draining || (soft != nil && soft.Leaving):
		return false, "unloads: engine " + pl.Engine + " is leaving"
	case pl.Version != u.Serving:
		if p.anyReady(in, u) {
			return false, "unloads: version " + u.Serving + " serves now"
		}
		return true, "kept until version " + u.Serving + " is ready"
	case u.Pinned:
		return true, "kept: pinned"
	case d.Waiting+d.Running > 0:
		return true, fmt.Sprintf("kept: %d requests wait, %d run", d.Waiting, d.Running)
	}
	said := p.decide(pl.Unit, p.share(in, u, pl.Bytes), idle, in.Now)
	if said.Hold {
		return true, "kept: " + said.Why
	}
	return false, fmt.Sprintf("unloads: idle for %s; %s", idle.Round(time.Second), said.Why)
}
