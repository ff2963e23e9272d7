package policy

import (
	"math"
	"sort"
	"time"
)

// Tier is the storage tier from which an engine would load a checkpoint.
type Tier uint8

// The storage tiers, fastest first: the engine's host memory, its local disk and
// the remote weight store.
const (
	InMemory Tier = iota
	OnDisk
	Remote
)

// Candidate is an engine on which a unit could be loaded.
type Candidate struct {
	Engine string
	// Free is the engine's unaccounted memory in bytes.
	Free uint64
	// Tier is the fastest tier known to hold the checkpoint.
	Tier Tier
	// BusyUnits is the number of units on the engine with waiting or running
	// requests.
	BusyUnits int
	// HallReplicas is the number of the unit's replicas in the engine's data hall.
	HallReplicas int
	// TieBreak orders engines that are equal otherwise; the highest is chosen. It
	// differs from unit to unit, so that homes that decide at the same moment choose
	// different engines.
	TieBreak uint64
	// Evictable holds the replicas on the engine that could be evicted.
	Evictable []EvictableReplica
}

// EvictableReplica is an idle replica that could be evicted.
type EvictableReplica struct {
	Unit, Version string
	// Bytes is the engine memory that the eviction frees.
	Bytes uint64
	// Fence is the current fence of the replica's placement.
	Fence uint64
	// Idle is the time since the replica's last use.
	Idle time.Duration
	// ReloadCost is the expected cost of loading the replica again.
	ReloadCost float64
	// Adapters holds the adapters that must be unloaded before the replica, if it is
	// a base model. They are included in Bytes and ReloadCost.
	Adapters []EvictableReplica
}

// Choice is the engine chosen for a load and the evictions that it needs.
type Choice struct {
	Engine string
	// Evict holds the replicas to unload first; empty if there is room already.
	Evict []EvictableReplica
}

// Place returns the best engine for a unit of need bytes, and false if no engine
// has or can free that much. Engines with room are compared first by the tier of
// the checkpoint, then by load, then by the unit's replicas in the data hall, then
// by the tightest fit: packing idle replicas together leaves more accelerators
// free. Without room anywhere, the engine with the least reload cost of its
// evictions is chosen.
func Place(need uint64, cands []Candidate) (Choice, bool) {
	best := -1
	for i := range cands {
		if cands[i].Free < need {
			continue
		}
		if best < 0 || better(&cands[i], &cands[best]) {
			best = i
		}
	}
	if best >= 0 {
		return Choice{Engine: cands[best].Engine}, true
	}
	return placeByEviction(need, cands)
}

// busyUnitsPerLevel is the number of busy units per load level. Engines of the
// same level count as equally loaded.
const busyUnitsPerLevel = 3

// better reports whether candidate a, which has room, is preferred to b.
func better(a, b *Candidate) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	if x, y := a.BusyUnits/busyUnitsPerLevel, b.BusyUnits/busyUnitsPerLevel; x != y {
		return x < y
	}
	if a.HallReplicas != b.HallReplicas {
		return a.HallReplicas < b.HallReplicas
	}
	if a.Free != b.Free {
		return a.Free < b.Free
	}
	if a.TieBreak != b.TieBreak {
		return a.TieBreak > b.TieBreak
	}
	return a.Engine < b.Engine
}

// placeByEviction returns the engine on which need bytes can be freed at the least
// reload cost.
func placeByEviction(need uint64, cands []Candidate) (Choice, bool) {
	var best Choice
	bestCost, found := 0.0, false
	for i := range cands {
		evict, cost, ok := cheapestEviction(need, &cands[i])
		if !ok {
			continue
		}
		if !found || cost < bestCost || (cost == bestCost && cands[i].Engine < best.Engine) {
			best = Choice{Engine: cands[i].Engine, Evict: evict}
			bestCost, found = cost, true
		}
	}
	return best, found
}

// cheapestEviction selects replicas by rising reload cost per byte until need bytes
// are free; ok is false if all of them together are not enough. Replicas with an
// infinite reload cost are never selected.
func cheapestEviction(need uint64, c *Candidate) (evict []EvictableReplica, cost float64, ok bool) {
	vs := append([]EvictableReplica(nil), c.Evictable...)
	sort.Slice(vs, func(i, j int) bool {
		a, b := vs[i].ReloadCost/float64(vs[i].Bytes), vs[j].ReloadCost/float64(vs[j].Bytes)
		if a != b {
			return a < b
		}
		return vs[i].Unit < vs[j].Unit
	})
	free := c.Free
	evicted := make(map[string]bool)
	for _, v := range vs {
		if free >= need {
			break
		}
		if evicted[v.Unit] || math.IsInf(v.ReloadCost, 1) {
			continue
		}
		for _, f := range v.Adapters {
			if evicted[f.Unit] {
				// The adapter was selected on its own before.
				v.Bytes -= f.Bytes
			}
			evicted[f.Unit] = true
		}
		evicted[v.Unit] = true
		evict = append(evict, v)
		free += v.Bytes
		cost += v.ReloadCost
	}
	return evict, cost, free >= need
}
