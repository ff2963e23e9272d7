// Package admit predicts how long a request will wait, so that one that cannot
// make its deadline is refused at once, before anything is spent on it.
//
// The idea of admitting by predicted cost, and of setting the prediction beside
// what came to pass, follows the paper on diffusion serving that the users gave
// us (sections "Admission" and "Observability and capacity"); the model here is
// one of loads and queues instead of denoising steps.
package admit

import "time"

// Estimate is a mean that follows its observations, with a deviation.
type Estimate struct {
	mean, dev float64
	n         int
}

const (
	gain    = 0.25
	devGain = 0.25
)

// Observe takes one duration in.
func (e *Estimate) Observe(d time.Duration) {
	v := float64(d)
	e.n++
	if e.n == 1 {
		e.mean, e.dev = v, v/4
		return
	}
	diff := v - e.mean
	e.mean += gain * diff
	if diff < 0 {
		diff = -diff
	}
	e.dev += devGain * (diff - e.dev)
}

// Mean returns the expected duration, or fallback when nothing was observed.
func (e *Estimate) Mean(fallback time.Duration) time.Duration {
	if e.n == 0 {
		return fallback
	}
	return time.Duration(e.mean)
}

// Low returns a duration that the next one will hardly fall below. Admission
// uses it, so that a request is refused only when it is hopeless, not when it
// is merely doubtful.
func (e *Estimate) Low() time.Duration {
	if e.n < 2 {
		return 0
	}
	return time.Duration(max(0, e.mean-2*e.dev))
}

// Wait is what a request faces.
type Wait struct {
	// Ready is true when a replica is loaded.
	Ready bool
	// Ahead is how many requests wait before it.
	Ahead int
	// Capacity is how many requests run at once, at least 1.
	Capacity int
	// LoadElapsed is how long the load in progress has run.
	LoadElapsed time.Duration
}

// Model holds what was learned about one unit.
type Model struct {
	// Load is how long a load takes from demand to ready.
	Load Estimate
	// Serve is how long an answer takes at the engine.
	Serve Estimate
}

// AtLeast returns a time before which the request will hardly begin.
func (m *Model) AtLeast(w Wait) time.Duration {
	var d time.Duration
	if !w.Ready {
		d = max(0, m.Load.Low()-w.LoadElapsed)
	}
	rounds := w.Ahead / max(1, w.Capacity)
	return d + time.Duration(rounds)*m.Serve.Low()
}
