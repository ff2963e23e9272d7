// Package admit predicts how long a request has to wait, so that a request that cannot meet its deadline is
// refused immediately, before any work is spent on it.
//
// A [Model] learns the load time and the service time of one unit from observations. Its prediction,
// [Model.MinWait], is the remaining load time plus the service times of the requests ahead. It is a lower bound
// that is rarely wrong, so that only requests without a chance are refused. Admission by predicted cost is known
// from the serving of diffusion models; here the cost consists of loads and queues instead of denoising steps.
package admit

import "time"

// Estimate is an exponentially weighted moving average of durations and of their absolute deviation.
type Estimate struct {
	mean, dev float64
	n         int
}

const (
	gain    = 0.25
	devGain = 0.25
)

// Observe adds one duration to the estimate.
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

// Mean returns the mean duration, or fallback if there were no observations.
func (e *Estimate) Mean(fallback time.Duration) time.Duration {
	if e.n == 0 {
		return fallback
	}
	return time.Duration(e.mean)
}

// Low returns a lower bound that the next duration rarely falls below: the mean less two deviations, or 0 with
// fewer than two observations. Admission uses it, so that a request is refused only if it has no chance, and
// not if it is merely unlikely to meet its deadline.
func (e *Estimate) Low() time.Duration {
	if e.n < 2 {
		return 0
	}
	return time.Duration(max(0, e.mean-2*e.dev))
}

// Backlog is the state of the unit that a request has to wait for.
type Backlog struct {
	// Ready is true if a replica of the unit is loaded.
	Ready bool
	// Ahead is the number of requests that wait before this one.
	Ahead int
	// Capacity is the number of requests that run concurrently, at least 1.
	Capacity int
	// LoadElapsed is how long the load in progress has taken so far.
	LoadElapsed time.Duration
}

// Model holds the learned durations of one unit.
type Model struct {
	// Load is the duration of a load, from demand to ready.
	Load Estimate
	// Serve is the duration of an answer at the engine.
	Serve Estimate
}

// MinWait returns a lower bound of the time until the request can start.
func (m *Model) MinWait(w Backlog) time.Duration {
	var d time.Duration
	if !w.Ready {
		d = max(0, m.Load.Low()-w.LoadElapsed)
	}
	rounds := w.Ahead / max(1, w.Capacity)
	return d + time.Duration(rounds)*m.Serve.Low()
}
