package policy

import (
	"math"
	"sort"
	"time"
)

// Tier is where an engine would take a checkpoint from.
type Tier uint8

// Tiers, fastest first.
const (
	InMemory Tier = iota
	OnDisk
	Remote
)

// Candidate is one engine a load could go to.
type Candidate struct {
	Engine string
	// Free is the memory not accounted.
	Free uint64
	// Tier is where the checkpoint is, as far as known.
	Tier Tier
	// Busy counts the units on the engine that have requests waiting or running.
	Busy int
	// HallReplicas counts the unit's replicas in the engine's data hall.
	HallReplicas int
	// Tie orders engines that are alike otherwise. It differs from unit to unit,
	// so that homes that decide at the same moment choose different engines.
	Tie uint64
	// Victims are the replicas that could be unloaded here.
	Victims []Victim
}

// Victim is one replica that nothing runs on.
type Victim struct {
	Unit, Version string
	Bytes         uint64
	Fence         uint64
	// Idle is how long it has not been used.
	Idle time.Duration
	// Loss is the expected cost of having to load it again.
	Loss float64
	// First holds the adapters that must go before it; Bytes and Loss count them.
	First []Victim
}

// Choice is where a load goes and what must be unloaded first.
type Choice struct {
	Engine string
	// Evict is empty when there is room already.
	Evict []Victim
}

// Place returns the best engine for need bytes; ok is false when none could
// make room. A nearer checkpoint beats an engine with less to do, which beats
// spread over data halls, which beats a snug fit: idle replicas packed together
// hold fewer accelerators idle.
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

// busyStep is how many units with work an engine may have before another is
// preferred for it.
const busyStep = 3

func better(a, b *Candidate) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	if x, y := a.Busy/busyStep, b.Busy/busyStep; x != y {
		return x < y
	}
	if a.HallReplicas != b.HallReplicas {
		return a.HallReplicas < b.HallReplicas
	}
	if a.Free != b.Free {
		return a.Free < b.Free
	}
	if a.Tie != b.Tie {
		return a.Tie > b.Tie
	}
	return a.Engine < b.Engine
}

func placeByEviction(need uint64, cands []Candidate) (Choice, bool) {
	var best Choice
	bestLoss, found := 0.0, false
	for i := range cands {
		evict, loss, ok := cheapest(need, &cands[i])
		if !ok {
			continue
		}
		if !found || loss < bestLoss || (loss == bestLoss && cands[i].Engine < best.Engine) {
			best = Choice{Engine: cands[i].Engine, Evict: evict}
			bestLoss, found = loss, true
		}
	}
	return best, found
}

// cheapest frees need bytes by taking the victims of least loss per byte.
func cheapest(need uint64, c *Candidate) (evict []Victim, loss float64, ok bool) {
	vs := append([]Victim(nil), c.Victims...)
	sort.Slice(vs, func(i, j int) bool {
		a, b := vs[i].Loss/float64(vs[i].Bytes), vs[j].Loss/float64(vs[j].Bytes)
		if a != b {
			return a < b
		}
		return vs[i].Unit < vs[j].Unit
	})
	free := c.Free
	gone := make(map[string]bool)
	for _, v := range vs {
		if free >= need {
			break
		}
		if gone[v.Unit] || math.IsInf(v.Loss, 1) {
			continue
		}
		for _, f := range v.First {
			if gone[f.Unit] {
				// It was taken alone already.
				v.Bytes -= f.Bytes
			}
			gone[f.Unit] = true
		}
		gone[v.Unit] = true
		evict = append(evict, v)
		free += v.Bytes
		loss += v.Loss
	}
	return evict, loss, free >= need
}
