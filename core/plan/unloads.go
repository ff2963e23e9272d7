package plan

import (
	"fmt"
	"sort"
	"time"

	"olivetiller/core/demand"
	"olivetiller/core/ledger"
	pb "olivetiller/proto/olivetiller/v1"
)

// unloadActions proposes to unload ready replicas that the planner no longer
// keeps, and to cancel queued loads that are no longer wanted. It covers the units
// whose home is this node.
func (p *Planner) unloadActions(in *Input) []Action {
	var acts []Action
	for _, uv := range p.loadedUnits(in) {
		for _, engine := range sortedNames(in.Ledger.Replicas[uv]) {
			pl := in.Ledger.Replicas[uv][engine]
			if pl.Phase == ledger.Queued && p.unwanted(in, uv.Unit) {
				acts = append(acts, p.proposeUnload(in, pl.Key, pl.Fence)...)
			}
			if pl.Phase != ledger.Ready {
				continue
			}
			keep, why := p.shouldKeep(in, pl)
			p.reasons[uv.Unit] = why
			if !keep {
				acts = append(acts, p.proposeUnload(in, pl.Key, pl.Fence)...)
			}
		}
	}
	return acts
}

// unwanted reports whether a queued load of the unit can be cancelled: the unit is
// banned or no longer configured, or it is not pinned, no request waits for it and
// it was last used longer ago than the TTL of a demand report.
func (p *Planner) unwanted(in *Input, unit string) bool {
	u := in.Ledger.Catalog.Units[unit]
	if u == nil || u.Banned {
		return true
	}
	d := in.Demand.Get(unit, in.Now)
	return !u.Pinned && d.Waiting == 0 && in.Now.Sub(d.LastUse) > demand.ReportTTL
}

// loadedUnits returns, sorted, the versions with at least one placement of the
// units whose home is this node.
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

func (p *Planner) proposeUnload(in *Input, k ledger.Key, fence uint64) []Action {
	return p.propose(in, &pb.Record{Body: &pb.Record_Unload{Unload: &pb.Unload{
		Unit: k.Unit, Version: k.Version, Engine: k.Engine, Fence: fence,
	}}})
}

// shouldKeep reports whether a ready replica stays loaded, with the reason that
// operators see in the unit's status.
func (p *Planner) shouldKeep(in *Input, pl *ledger.Placement) (bool, string) {
	e := in.Ledger.Engines[pl.Engine]
	if hasAdapters(in, e, pl.Unit) {
		return true, "kept: adapters are loaded beside it"
	}
	u := in.Ledger.Catalog.Units[pl.Unit]
	d := in.Demand.Get(pl.Unit, in.Now)
	idle := p.idleTime(in, pl, d)
	observed := in.Engines[pl.Engine]
	switch {
	case u == nil || u.Versions[pl.Version] == 0:
		return false, "unloads: the configuration no longer has it"
	case u.Banned:
		return false, "unloads: banned"
	case e.Draining || (observed != nil && observed.Leaving):
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
	decision := p.askPolicy(pl.Unit, p.memoryShare(in, u, pl.Bytes), idle, in.Now)
	if decision.Hold {
		return true, "kept: " + decision.Why
	}
	return false, fmt.Sprintf("unloads: idle for %s; %s", idle.Round(time.Second), decision.Why)
}
