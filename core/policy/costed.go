package policy

import (
	"fmt"
	"time"
)

// horizons are the times ahead for which the cost of keeping a unit is compared
// with the expected saving.
var horizons = []time.Duration{
	time.Minute, 3 * time.Minute, 8 * time.Minute, 15 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 4 * time.Hour,
}

const (
	// minKeepTime is the time that a replica is always kept after its last use, so
	// that noise in the estimates does not cause repeated loads and unloads.
	minKeepTime = 20 * time.Second
	// prewarmMargin is the ratio of expected saving to cost from which a unit is
	// prewarmed. It is above 1 because a prewarm takes a load slot that other units
	// may need.
	prewarmMargin = 1.5
	// reloadHorizon is the time ahead within which a use of an evicted unit counts
	// as a reload.
	reloadHorizon = time.Hour
	// defaultLoadTime is the load time assumed for a unit before its first load.
	defaultLoadTime = 10 * time.Second
)

// Costed is the default policy: it keeps, prewarms and evicts by expected cost.
type Costed struct {
	*Learner
	Weights Weights
	// Off holds the parts that are switched off; only ablation experiments set it.
	Off Part
}

// Part is a bit set of parts of the policy that can be switched off.
type Part uint8

// The parts of the policy.
const (
	// PartDay predicts the next use from the time of day of earlier ones.
	PartDay Part = 1 << iota
	// PartPauses predicts the next use from the histograms of pauses.
	PartPauses
	// PartWaiters multiplies the cost of a cold start by the number of requests
	// that it delays; without it, one request is assumed.
	PartWaiters
	// PartPrewarm loads units before they are requested.
	PartPrewarm
	// PartReloadCost evicts by expected cost; without it, by idle time.
	PartReloadCost
)

// NewCosted returns a policy with the given weights that has learned nothing yet.
func NewCosted(w Weights) *Costed {
	return &Costed{Learner: NewLearner(), Weights: w}
}

func (c *Costed) enabled(p Part) bool { return c.Off&p == 0 }

// reloadCost returns the cost of a cold start of the unit: its load time, times
// the requests that wait for it, times the weight of a second.
func (c *Costed) reloadCost(unit string) float64 {
	waiters := 1.0
	if c.enabled(PartWaiters) {
		waiters = c.Waiters(unit)
	}
	return c.LoadTime(unit, defaultLoadTime).Seconds() * waiters * c.Weights.ColdStartSecond
}

// Decide compares the cost of keeping, or prewarming, a unit that has been idle
// for a time with the expected cost of a cold start. share is the fraction of an
// accelerator's memory that the unit takes.
//
// Keeping a unit until a horizon costs the idle time until the next use, or the
// whole horizon if it is not used; it saves a cold start with the probability of
// a use. The unit is kept if the saving outweighs the cost for any horizon: when
// a short horizon ends, the decision is made again.
func (c *Costed) Decide(unit string, share float64, idle time.Duration, now time.Time) Decision {
	if idle < minKeepTime {
		return Decision{Hold: true, Why: "kept: used just now"}
	}
	reload := c.reloadCost(unit)
	perSecond := c.Weights.IdleHour * share / 3600
	best, bestHorizon, bestChance := 0.0, time.Duration(0), 0.0
	prewarm := 0.0
	for _, h := range horizons {
		p := c.useProbability(unit, idle, now, h)
		ratio := p * reload / (perSecond * h.Seconds() * (1 - p/2))
		if ratio > best {
			best, bestHorizon, bestChance = ratio, h, p
		}
		if c.enabled(PartDay) && h <= slotLength {
			d := c.DayChance(unit, now, h)
			prewarm = max(prewarm, d*reload/(perSecond*h.Seconds()*(1-d/2)))
		}
	}
	why := fmt.Sprintf("next use within %s has a chance of %.0f %%, a return costs %.1f, an idle hour %.1f",
		bestHorizon, 100*bestChance, reload, c.Weights.IdleHour*share)
	return Decision{Hold: best >= 1, Prewarm: c.enabled(PartPrewarm) && prewarm >= prewarmMargin, Why: why}
}

// useProbability returns the probability that a unit, idle for a time, is used
// within horizon h: the higher one of the estimates by pauses and by time of day.
func (c *Costed) useProbability(unit string, idle time.Duration, now time.Time, h time.Duration) float64 {
	var p float64
	if c.enabled(PartPauses) {
		p = c.PauseChance(unit, idle, h)
	}
	if c.enabled(PartDay) {
		p = max(p, c.DayChance(unit, now, h))
	}
	return p
}

// ReloadCost returns the expected cost of unloading a replica that has been idle
// for a time: the cost of a cold start, times the probability of a use within
// reloadHorizon.
func (c *Costed) ReloadCost(unit string, idle time.Duration, now time.Time) float64 {
	if !c.enabled(PartReloadCost) {
		return Fixed{}.ReloadCost(unit, idle, now)
	}
	return c.reloadCost(unit) * c.useProbability(unit, idle, now, reloadHorizon)
}

// Fixed is a baseline policy for experiments. It keeps every replica for the same
// time after its last use, evicts the one that has been idle longest and never
// prewarms.
type Fixed struct {
	// Keep is how long a replica stays loaded after its last use.
	Keep time.Duration
}

// Decide keeps the replica while it has been idle for less than Keep.
func (f Fixed) Decide(_ string, _ float64, idle time.Duration, _ time.Time) Decision {
	return Decision{Hold: idle < f.Keep, Why: "kept " + f.Keep.String() + " after use"}
}

// ReloadCost returns a cost that decreases with the idle time.
func (f Fixed) ReloadCost(_ string, idle time.Duration, _ time.Time) float64 {
	return 1 / (1 + idle.Seconds())
}

// Used does nothing: the policy does not learn.
func (f Fixed) Used(string, time.Time) {}

// Loaded does nothing: the policy does not learn.
func (f Fixed) Loaded(string, time.Duration) {}

// SetWeights replaces the weights and keeps what was learned.
func (c *Costed) SetWeights(w Weights) { c.Weights = w }
