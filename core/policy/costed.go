package policy

import (
	"fmt"
	"time"
)

// horizons are the times ahead that are weighed.
var horizons = []time.Duration{
	time.Minute, 3 * time.Minute, 8 * time.Minute, 15 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 4 * time.Hour,
}

const (
	// minHold is the least time a replica is held after use, so that noise does
	// not load and unload.
	minHold = 20 * time.Second
	// prewarmMargin is how much more than its cost a prewarm must save: it takes
	// a load slot that others may need.
	prewarmMargin = 1.5
	// lossHorizon is how far ahead a victim's next use is weighed.
	lossHorizon = time.Hour
	// fallbackLoad is the load time assumed before one was seen.
	fallbackLoad = 10 * time.Second
)

// Costed is the policy of the product: keeping, prewarming and eviction by
// expected cost.
type Costed struct {
	*Learner
	Weights Weights
	// Off switches parts off, for ablation.
	Off Part
}

// Part is a part of the policy.
type Part uint8

// Parts.
const (
	// PartDay is the time of day.
	PartDay Part = 1 << iota
	// PartPauses is the unit's own histogram of pauses.
	PartPauses
	// PartWaiters is the number of requests that a cold start delays.
	PartWaiters
	// PartPrewarm is loading before anybody asks.
	PartPrewarm
	// PartLoss is eviction by expected cost; without it, by idle time.
	PartLoss
)

// NewCosted returns the policy for a deployment's weights.
func NewCosted(w Weights) *Costed {
	return &Costed{Learner: NewLearner(), Weights: w}
}

func (c *Costed) has(p Part) bool { return c.Off&p == 0 }

// returnCost is the cost of having to load a unit again.
func (c *Costed) returnCost(unit string) float64 {
	waiters := 1.0
	if c.has(PartWaiters) {
		waiters = c.Waiters(unit)
	}
	return c.LoadTime(unit, fallbackLoad).Seconds() * waiters * c.Weights.ColdStartSecond
}

// Decide weighs holding a unit that has been idle for a time and would take a
// share of an accelerator's memory.
//
// Holding until a horizon costs the idle time until the next use, or the whole
// horizon if none comes; it saves a return with the chance that one comes. The
// unit is worth holding if that is so for any horizon: at the end of a shorter
// one the question is asked again.
func (c *Costed) Decide(unit string, share float64, idle time.Duration, now time.Time) Decision {
	if idle < minHold {
		return Decision{Hold: true, Why: "kept: used just now"}
	}
	back := c.returnCost(unit)
	perSecond := c.Weights.IdleHour * share / 3600
	best, bestHorizon, bestChance := 0.0, time.Duration(0), 0.0
	day := 0.0
	for _, h := range horizons {
		chance := c.chance(unit, idle, now, h)
		worth := chance * back / (perSecond * h.Seconds() * (1 - chance/2))
		if worth > best {
			best, bestHorizon, bestChance = worth, h, chance
		}
		if c.has(PartDay) && h <= slotLength {
			d := c.DayChance(unit, now, h)
			day = max(day, d*back/(perSecond*h.Seconds()*(1-d/2)))
		}
	}
	why := fmt.Sprintf("next use within %s has a chance of %.0f %%, a return costs %.1f, an idle hour %.1f",
		bestHorizon, 100*bestChance, back, c.Weights.IdleHour*share)
	return Decision{Hold: best >= 1, Prewarm: c.has(PartPrewarm) && day >= prewarmMargin, Why: why}
}

// chance is how likely the unit is used within a horizon.
func (c *Costed) chance(unit string, idle time.Duration, now time.Time, h time.Duration) float64 {
	var p float64
	if c.has(PartPauses) {
		p = c.PauseChance(unit, idle, h)
	}
	if c.has(PartDay) {
		p = max(p, c.DayChance(unit, now, h))
	}
	return p
}

// Loss returns the expected cost of unloading a replica that has been idle.
func (c *Costed) Loss(unit string, idle time.Duration, now time.Time) float64 {
	if !c.has(PartLoss) {
		return Fixed{}.Loss(unit, idle, now)
	}
	return c.returnCost(unit) * c.chance(unit, idle, now, lossHorizon)
}

// Fixed is the baseline that keeps every replica for the same time after its
// last use and evicts the one that is idle longest.
type Fixed struct {
	// Keep is the time kept; a very long one never unloads.
	Keep time.Duration
}

// Decide implements the planner's policy.
func (f Fixed) Decide(_ string, _ float64, idle time.Duration, _ time.Time) Decision {
	return Decision{Hold: idle < f.Keep, Why: "kept " + f.Keep.String() + " after use"}
}

// Loss implements the planner's policy.
func (f Fixed) Loss(_ string, idle time.Duration, _ time.Time) float64 {
	return 1 / (1 + idle.Seconds())
}

// Used implements the planner's policy; a fixed time learns nothing.
func (f Fixed) Used(string, time.Time) {}

// Loaded implements the planner's policy.
func (f Fixed) Loaded(string, time.Duration) {}

// SetWeights puts a deployment's weights in force; what was learned stays.
func (c *Costed) SetWeights(w Weights) { c.Weights = w }
