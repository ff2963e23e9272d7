package policy

import "time"

// Weights are a deployment's costs of the two measures.
type Weights struct {
	// ColdStartSecond is the cost of one second of a cold start.
	ColdStartSecond float64
	// IdleHour is the cost of one accelerator hour held idle.
	IdleHour float64
}

// DefaultWeights hold where the configuration sets none.
var DefaultWeights = Weights{ColdStartSecond: 1, IdleHour: 100}

// Window is when a replica is kept loaded without use, counted from its last
// use: until Keep, and again from Prewarm until Until. Without a prewarm both
// are zero.
type Window struct {
	Keep           time.Duration
	Prewarm, Until time.Duration
	// Reason says why, for operators.
	Reason string
}

// Holds reports whether the window keeps a replica that has been idle for d.
func (w Window) Holds(d time.Duration) bool {
	if d < w.Keep {
		return true
	}
	return w.Until > 0 && d >= w.Prewarm && d < w.Until
}
