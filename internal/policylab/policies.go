package policylab

import (
	"math"
	"sort"
	"time"

	"olivetiller/core/plan"
	"olivetiller/core/policy"
)

// Named is a policy with its name.
type Named struct {
	Name   string
	Policy plan.Policy
}

// forever is a keep-alive that no run outlasts.
const forever = 1000 * 24 * time.Hour

// neverUnload keeps everything, even when a unit that waits finds no room.
type neverUnload struct{ policy.Fixed }

// Loss makes every replica too dear to unload.
func (neverUnload) Loss(string, time.Duration, time.Time) float64 { return math.Inf(1) }

// Baselines returns the baselines.
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

// FixedKeeps are the lengths of the fixed keep-alives, of which the best is the
// baseline to beat.
var FixedKeeps = []time.Duration{
	30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 20 * time.Minute,
	40 * time.Minute, 90 * time.Minute, 3 * time.Hour, 6 * time.Hour,
}

// IdleHourWeights are the weights of an idle hour, against 1 for a second of a
// cold start, at which the product's policy is run for the frontier.
var IdleHourWeights = []float64{3, 10, 30, 60, 100, 200, 400, 1000}

// oracle knows every arrival to come. It keeps a replica through a gap that
// costs less than a return, and otherwise loads it again just in time.
type oracle struct {
	uses map[string][]time.Time
	load map[string]time.Duration
}

// Oracle returns a lower bound for a workload: its decisions are made unit by
// unit with the future known, its loads are in time unless the store is full.
func Oracle(w *Workload, p Platform) plan.Policy {
	o := &oracle{uses: make(map[string][]time.Time), load: make(map[string]time.Duration)}
	bases := make(map[string]string)
	for _, u := range w.Units {
		o.load[u.Name] = time.Duration(float64(u.Bytes) / p.StoreBytesPerSecond * float64(time.Second))
		bases[u.Name] = u.Base
		// An adapter comes after its base model.
		o.load[u.Name] += o.load[u.Base]
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

// next returns the time to the next use.
func (o *oracle) next(unit string, now time.Time) (time.Duration, bool) {
	uses := o.uses[unit]
	i := sort.Search(len(uses), func(i int) bool { return uses[i].After(now) })
	if i == len(uses) {
		return 0, false
	}
	return uses[i].Sub(now), true
}

// Decide implements plan.Policy: a replica is held while a return takes longer
// than the time to its next use, and loaded again just in time.
func (o *oracle) Decide(unit string, _ float64, _ time.Duration, now time.Time) policy.Decision {
	gap, ok := o.next(unit, now)
	if !ok {
		return policy.Decision{}
	}
	ahead := o.load[unit] + 3*round
	return policy.Decision{Hold: gap < 2*ahead, Prewarm: gap < ahead}
}

// Loss implements plan.Policy: what is needed last goes first.
func (o *oracle) Loss(unit string, _ time.Duration, now time.Time) float64 {
	gap, ok := o.next(unit, now)
	if !ok {
		return 0
	}
	return 1 / (1 + gap.Seconds())
}

// Used implements plan.Policy.
func (o *oracle) Used(string, time.Time) {}

// Loaded implements plan.Policy.
func (o *oracle) Loaded(string, time.Duration) {}
