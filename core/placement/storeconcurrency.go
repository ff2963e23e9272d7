package placement

import (
	"math"
	"time"
)

// storeConcurrency estimates how many loads the weight store runs at full speed at the same
// time. Beyond that number the platform slows all loads in proportion. It does not tell the
// number, which is one on some deployments and four on others. Starting more loads than that
// completes nothing sooner, and delays the model that is needed most: with a store that runs
// one at full speed and loads of 6 s, the first of many models was ready after 36 s with a
// fixed concurrency of four, and after 18 s with the estimate (TestStoreConcurrencyEstimate).
type storeConcurrency struct {
	// estimate is 1 or more.
	estimate int
	// tooMany is the least number of loads that was observed to slow the store down, and
	// tooManyAt is when; 0 if none was.
	tooMany   int
	tooManyAt time.Time
	// busy is the number of loads in progress as of at, and sum its integral over time until
	// then, in load seconds.
	busy int
	at   time.Time
	sum  float64
}

const (
	// initialConcurrency is the estimate before any load has ended. From there, a store that
	// runs one at full speed is recognized after about one load, and one that runs four after
	// two.
	initialConcurrency = 2
	// maxConcurrency bounds the estimate.
	maxConcurrency = 64
	// slowdownThreshold is the multiple of its full-speed time from which a load counts as
	// slowed down by others. The delay of reports, up to 0.5 s in loads of 6 s, is below it.
	slowdownThreshold = 1.15
	// lagMargin is added to the estimate from loads that were slowed down. Because reports
	// arrive late, a store that runs two would otherwise be taken for one that runs 1.9.
	lagMargin = 0.3
	// tooManyTTL is how long tooMany stays valid: the speed of a store changes.
	tooManyTTL = time.Minute
)

func newStoreConcurrency() storeConcurrency { return storeConcurrency{estimate: initialConcurrency} }

// advance sets the number of loads in progress from now on.
func (s *storeConcurrency) advance(now time.Time, busy int) {
	if !s.at.IsZero() {
		s.sum += float64(s.busy) * now.Sub(s.at).Seconds()
	}
	s.busy, s.at = busy, now
}

// integral returns the integral of the loads in progress over time until now, in load seconds.
func (s *storeConcurrency) integral(now time.Time) float64 {
	if s.at.IsZero() || now.Before(s.at) {
		return s.sum
	}
	return s.sum + float64(s.busy)*now.Sub(s.at).Seconds()
}

// observeEnd updates the estimate with a load that began and ended. full is its duration at
// full speed, and sum the integral of the loads in progress over its time.
func (s *storeConcurrency) observeEnd(began, end time.Time, full time.Duration, sum float64) {
	elapsed := end.Sub(began)
	if elapsed <= 0 || full <= 0 {
		return
	}
	meanLoads := sum / elapsed.Seconds()
	if slowdown := float64(elapsed) / float64(full); slowdown >= slowdownThreshold {
		s.lower(meanLoads/slowdown, meanLoads, end)
		return
	}
	if int(math.Round(meanLoads)) < s.estimate {
		return
	}
	// Raise the estimate to the number that ran together, or by one as a trial. Doubling it
	// turned four into eight, and for ten seconds each of ten loads took 15 s instead of 6 s.
	next := min(max(s.estimate+1, int(meanLoads+lagMargin)), maxConcurrency)
	if s.tooMany > 0 && end.Sub(s.tooManyAt) < tooManyTTL {
		next = min(next, s.tooMany-1)
	}
	s.estimate = max(1, next)
}

// observeOngoing updates the estimate with a load that has not ended yet.
func (s *storeConcurrency) observeOngoing(began, now time.Time, full time.Duration, sum float64) {
	elapsed := now.Sub(began)
	slowdown := float64(elapsed) / float64(max(1, full))
	if slowdown < slowdownThreshold {
		return
	}
	meanLoads := sum / elapsed.Seconds()
	s.lower(meanLoads/slowdown, meanLoads, now)
}

// lower reduces the estimate to the number of loads that can have run at full speed, given the
// mean number that ran.
func (s *storeConcurrency) lower(atMost, meanLoads float64, now time.Time) {
	n := max(1, int(atMost+lagMargin))
	running := int(math.Round(meanLoads))
	if n >= s.estimate || n >= running {
		// Fewer loads ran than would slow each other down, so the engine itself is slow.
		return
	}
	s.tooMany, s.tooManyAt = n+1, now
	s.estimate = n
}

// extraForBusy returns how many more loads may run for busy models, at least one. All loads
// then take about half as long again, but a busy model need not wait for one of them to end.
func (s *storeConcurrency) extraForBusy() int { return max(1, s.estimate/2) }

// slowedLoadTime returns how long a load takes next to the loads that are in progress.
func (s *storeConcurrency) slowedLoadTime(full time.Duration, busy int) time.Duration {
	return full * time.Duration(max(s.estimate, busy+1)) / time.Duration(s.estimate)
}
