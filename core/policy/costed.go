package policy

import "time"

// lossHorizon is how far ahead a victim's next use is weighed.
const lossHorizon = time.Hour

// Costed is the policy of the product: keeping and eviction by expected cost.
type Costed struct {
	*Learner
	Weights Weights
	// Fallback is the load time assumed before one was seen.
	Fallback time.Duration
}

// NewCosted returns the policy for a deployment's weights.
func NewCosted(w Weights) *Costed {
	return &Costed{Learner: NewLearner(), Weights: w, Fallback: 10 * time.Second}
}

// KeepWindow returns how long a replica that takes share of an accelerator's
// memory is kept.
func (c *Costed) KeepWindow(unit string, share float64) Window {
	load := c.LoadTime(unit, c.Fallback)
	return c.Window(unit, Cost{
		Return:     load.Seconds() * c.Weights.ColdStartSecond,
		IdleSecond: c.Weights.IdleHour * share / 3600,
	})
}

// Loss returns the expected cost of unloading a replica that has been idle.
func (c *Costed) Loss(unit string, idle time.Duration) float64 {
	load := c.LoadTime(unit, c.Fallback)
	return load.Seconds() * c.Weights.ColdStartSecond * c.Chance(unit, idle, lossHorizon)
}

// Fixed is the baseline that keeps every replica for the same time after its
// last use and evicts the one that is idle longest.
type Fixed struct {
	// Keep is the time kept; a very long one never unloads.
	Keep time.Duration
}

// KeepWindow implements the planner's policy.
func (f Fixed) KeepWindow(string, float64) Window {
	return Window{Keep: f.Keep, Reason: "kept " + f.Keep.String() + " after use"}
}

// Loss implements the planner's policy.
func (f Fixed) Loss(_ string, idle time.Duration) float64 {
	return 1 / (1 + idle.Seconds())
}

// Used implements the planner's policy; a fixed time learns nothing.
func (f Fixed) Used(string, time.Time) {}

// Loaded implements the planner's policy.
func (f Fixed) Loaded(string, time.Duration) {}
