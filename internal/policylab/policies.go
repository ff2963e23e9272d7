package policylab

import (
	"math"
	"sort"
	"time"

	"olivetiller/core/plan"
	"olivetiller/core/policy"
)

// Named is a policy with the name it has in results.
type Named struct {
	Name   string
	Policy plan.Policy
}

// forever is a keep-alive longer than any run.
const forever = 1000 * 24 * time.Hour

// neverUnload keeps every replica loaded, even when a queued unit finds no free memory.
type neverUnload struct{ policy.Fixed }

// ReloadCost implements plan.Policy with an infinite reload cost, so that no replica is evicted.
func (neverUnload) ReloadCost(string, time.Duration, time.Time) float64 { return math.Inf(1) }

// Baselines returns the policies that the product's policy is compared with: never unloading,
// evicting the least recently used on demand, and a fixed keep-alive of each length in FixedKeeps.
func Baselines() []Named {
	out := []Named{
		{"never unload", neverUnload{policy.Fixed{Keep: forever}}},
		{"LRU on demand", policy.Fixed{Keep: forever}},
	}
	for _, keep := range FixedKeeps {
		out = append(out, Named{"fixed " + keep.String(), policy.Fixed{Keep: keep}})
	}
	return out
}

// FixedKeeps are the lengths of the fixed keep-alives. The best of them is the baseline that the
// product's policy has to beat.
var FixedKeeps = []time.Duration{
	30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 20 * time.Minute,
	40 * time.Minute, 90 * time.Minute, 3 * time.Hour, 6 * time.Hour,
}

// IdleHourWeights are the weights of an idle hour, against 1 for a second of cold start, at which
// the product's policy is run to draw its frontier.
var IdleHourWeights = []float64{3, 10, 30, 60, 100, 200, 400, 1000}

// oracle is a policy that knows every future arrival. It keeps a replica loaded if the time to its
// next use is less than twice the lead time of a load, and otherwise loads it again just in time.
type oracle struct {
	// uses holds the times of use of each unit, sorted.
	uses map[string][]time.Time
	// loadTime is how long a load from the weight store takes, with that of the base model for an adapter.
	loadTime map[string]time.Duration
}

// Oracle returns a policy with knowledge of the workload, as a lower bound on cost. It decides unit
// by unit, and its loads are in time unless the weight store's load slots are all in use.
func Oracle(w *Workload, p Platform) plan.Policy {
	o := &oracle{uses: make(map[string][]time.Time), loadTime: make(map[string]time.Duration)}
	bases := make(map[string]string)
	for _, u := range w.Units {
		o.loadTime[u.Name] = time.Duration(float64(u.Bytes) / p.StoreBytesPerSecond * float64(time.Second))
		bases[u.Name] = u.Base
		// An adapter is loaded after its base model.
		o.loadTime[u.Name] += o.loadTime[u.Base]
	}
	for _, a := range w.Arrivals {
		o.uses[a.Unit] = append(o.uses[a.Unit], epoch.Add(a.At))
		if b := bases[a.Unit]; b != "" {
			o.uses[b] = append(o.uses[b], epoch.Add(a.At))
		}
	}
	for _, uses := range o.uses {
		sort.Slice(uses, func(i, j int) bool { return uses[i].Before(uses[j]) })
	}
	return o
}

// timeToNextUse returns the time to the next use of a unit, and false if there is none.
func (o *oracle) timeToNextUse(unit string, now time.Time) (time.Duration, bool) {
	uses := o.uses[unit]
	i := sort.Search(len(uses), func(i int) bool { return uses[i].After(now) })
	if i == len(uses) {
		return 0, false
	}
	return uses[i].Sub(now), true
}

// Decide implements plan.Policy: a replica is kept if its next use is nearer than twice the lead
// time of a load, and prewarmed if it is nearer than the lead time.
func (o *oracle) Decide(unit string, _ float64, _ time.Duration, now time.Time) policy.Decision {
	gap, ok := o.timeToNextUse(unit, now)
	if !ok {
		return policy.Decision{}
	}
	leadTime := o.loadTime[unit] + 3*planInterval
	return policy.Decision{Hold: gap < 2*leadTime, Prewarm: gap < leadTime}
}

// ReloadCost implements plan.Policy: the replica whose next use is furthest away is evicted first.
func (o *oracle) ReloadCost(unit string, _ time.Duration, now time.Time) float64 {
	gap, ok := o.timeToNextUse(unit, now)
	if !ok {
		return 0
	}
	return 1 / (1 + gap.Seconds())
}

// Used implements plan.Policy.
func (o *oracle) Used(string, time.Time) {}

// Loaded implements plan.Policy.
func (o *oracle) Loaded(string, time.Duration) {}
