package placement

import (
	"math"
	"time"
)

// storeRate learns how many loads from the weight store run at full speed at once. The
// platform slows all of them down in proportion beyond a number that it does not tell:
// one on some deployments, four on others. More at once than that bring nothing sooner, and
// the model that is needed most is there later: where one runs at full speed and a load takes
// 6 s, the first of many models was there after 36 s with a fixed four, after 18 s with the
// estimate (TestStoreRateLearned).
type storeRate struct {
	// atOnce is the estimate, 1 or more.
	atOnce int
	// tooMany is the least number that was seen to be too many, and tooManyAt is when; 0
	// while none was.
	tooMany   int
	tooManyAt time.Time
	// busy is how many loads were in progress at at, and sum the loads in progress summed
	// over time until then, in seconds.
	busy int
	at   time.Time
	sum  float64
}

const (
	// firstAtOnce is the estimate before any load has ended: with it a store that runs one
	// at full speed is known after about one load, and one that runs four after two.
	firstAtOnce = 2
	// mostAtOnce bounds the estimate.
	mostAtOnce = 64
	// slowedBy is from which multiple of its time a load counts as slowed by others: what
	// reports lag behind, up to half a second in loads of 6 s, is less.
	slowedBy = 1.15
	// lagShare is added to what loads that were slowed tell: reports are late, and a store
	// that runs two would be taken for one that runs 1.9.
	lagShare = 0.3
	// tooManyLife is how long a number counts as too many: stores change their pace.
	tooManyLife = time.Minute
)

func newStoreRate() storeRate { return storeRate{atOnce: firstAtOnce} }

// advance takes in how many loads are in progress now.
func (s *storeRate) advance(now time.Time, busy int) {
	if !s.at.IsZero() {
		s.sum += float64(s.busy) * now.Sub(s.at).Seconds()
	}
	s.busy, s.at = busy, now
}

// integral is the loads in progress summed over time until now, in seconds.
func (s *storeRate) integral(now time.Time) float64 {
	if s.at.IsZero() || now.Before(s.at) {
		return s.sum
	}
	return s.sum + float64(s.busy)*now.Sub(s.at).Seconds()
}

// ended takes in that a load which takes some time at full speed began and ended, with
// a sum of loads over the time between.
func (s *storeRate) ended(began, end time.Time, full time.Duration, sum float64) {
	took := end.Sub(began)
	if took <= 0 || full <= 0 {
		return
	}
	besides := sum / took.Seconds()
	if stretch := float64(took) / float64(full); stretch >= slowedBy {
		s.lower(besides/stretch, besides, end)
		return
	}
	if int(math.Round(besides)) < s.atOnce {
		return
	}
	// As many as ran beside each other, or one more to try: twice as many made eight of
	// four, and each of ten loads took 15 s instead of 6 for ten seconds.
	next := min(max(s.atOnce+1, int(besides+lagShare)), mostAtOnce)
	if s.tooMany > 0 && end.Sub(s.tooManyAt) < tooManyLife {
		next = min(next, s.tooMany-1)
	}
	s.atOnce = max(1, next)
}

// lasts takes in that a load has not ended yet.
func (s *storeRate) lasts(began, now time.Time, full time.Duration, sum float64) {
	took := now.Sub(began)
	stretch := float64(took) / float64(max(1, full))
	if stretch < slowedBy {
		return
	}
	besides := sum / took.Seconds()
	s.lower(besides/stretch, besides, now)
}

// lower takes in how many loads can have run at full speed at most, while some ran.
func (s *storeRate) lower(atMost, besides float64, now time.Time) {
	n := max(1, int(atMost+lagShare))
	ran := int(math.Round(besides))
	if n >= s.atOnce || n >= ran {
		// Fewer ran than would slow each other down: the engine itself is slow.
		return
	}
	s.tooMany, s.tooManyAt = n+1, now
	s.atOnce = n
}

// busyExtra is how many more may run for busy models, one at least: they are slowed by
// half, and so are the others, but need not wait for one of these to end.
func (s *storeRate) busyExtra() int { return max(1, s.atOnce/2) }

// slowed is how long a load takes beside others that are in progress.
func (s *storeRate) slowed(full time.Duration, busy int) time.Duration {
	return full * time.Duration(max(s.atOnce, busy+1)) / time.Duration(s.atOnce)
}
