package placement

import (
	"cmp"
	"slices"
	"time"
)

// capacity is the free memory of an engine and the ways to free more.
type capacity struct {
	// unknown is true if the engine holds a model of unknown size.
	unknown bool
	// free is in MB.
	free float64
	// evictions are the ways to free memory, those of the lowest price first.
	evictions []eviction
}

// eviction is a set of models of one engine to unload together.
type eviction struct {
	evicted []string
	// mb is the memory that they free in MB, and loss the late requests a second that their
	// unload causes.
	mb, loss float64
	// runs counts their running requests, and drainTime is how long the unloads wait for these.
	runs      int
	drainTime time.Duration
}

// price returns the cost of an eviction in late requests a second. The second term counts the
// drain time twice: while an unload waits for running requests, the model that needs the memory
// is not served, and the engine can do nothing else. Without it, an eviction with running
// requests and little loss was chosen before idle ones with slightly more loss.
func (v *eviction) price() float64 { return v.loss + 2*v.drainTime.Seconds()/delayPerLoss.Seconds() }

// cheapestEviction returns the eviction of the lowest price that frees at least mb megabytes;
// nil if none does. Models differ in size: evicting one that is too small on its own would free
// nothing useful.
func (c *capacity) cheapestEviction(mb float64) *eviction {
	for i := range c.evictions {
		if c.evictions[i].mb >= mb {
			return &c.evictions[i]
		}
	}
	return nil
}

// maxEvictionCandidates bounds the models of an engine that are considered for eviction: evictions
// enumerates all combinations of them.
const maxEvictionCandidates = 6

// capacity returns the engine's capacity, which is cached until an order in the same plan
// changes it. urgent includes models with running requests.
func (g *planning) capacity(e *engine, urgent bool) *capacity {
	i := 0
	if urgent {
		i = 1
	}
	if e.capacities[i] == nil {
		e.capacities[i] = &capacity{unknown: e.unknownWeights(g.table), free: e.freeMB(g.table), evictions: evictions(g.evictable(e, urgent), g.drainTime)}
	}
	return e.capacities[i]
}

// evictable returns the models of an engine that can be evicted, each as an eviction of its
// own, those of the least loss per MB first. It returns none while the engine is unloading a
// model.
func (g *planning) evictable(e *engine, urgent bool) []eviction {
	var out []eviction
	for name, h := range e.models {
		if e.isUnloading(name) {
			return nil
		}
		m := g.modelAt(e, name)
		loss, runs := g.loss(e, m, h), m.runningAt[e.id]
		if loss < 0 || !urgent && runs > 0 {
			continue
		}
		out = append(out, eviction{evicted: []string{name}, mb: e.sizeMB(g.table, name, h), loss: loss, runs: runs})
	}
	slices.SortFunc(out, func(a, b eviction) int {
		// Compare loss per MB by cross-multiplication: sizes may be 0.
		return cmp.Or(cmp.Compare(a.loss*b.mb, b.loss*a.mb), cmp.Compare(a.evicted[0], b.evicted[0]))
	})
	return out[:min(len(out), maxEvictionCandidates)]
}

// evictions returns the combinations of the candidates without those that cost at least as much
// as another one and free no more. drainTime returns how long unloads wait for a number of
// running requests.
func evictions(candidates []eviction, drainTime func(runs int) time.Duration) []eviction {
	all := make([]eviction, 0, 1<<len(candidates))
	for set := 1; set < 1<<len(candidates); set++ {
		var v eviction
		for i, c := range candidates {
			if set&(1<<i) != 0 {
				v.evicted = append(v.evicted, c.evicted[0])
				v.mb += c.mb
				v.loss += c.loss
				v.runs += c.runs
			}
		}
		v.drainTime = drainTime(v.runs)
		all = append(all, v)
	}
	slices.SortStableFunc(all, func(a, b eviction) int {
		return cmp.Or(cmp.Compare(a.price(), b.price()), cmp.Compare(len(a.evicted), len(b.evicted)))
	})
	kept := all[:0]
	for _, v := range all {
		if len(kept) == 0 || v.mb > kept[len(kept)-1].mb {
			kept = append(kept, v)
		}
	}
	return kept
}
