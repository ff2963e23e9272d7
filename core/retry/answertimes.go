package retry

import (
	"math"
	"math/bits"
	"time"
)

const (
	// answerHalfLife is the time after which an observed answer counts for half.
	answerHalfLife = 5 * time.Minute
	// minSamples is the least number of answers of which one can be later than a share of 1 - minLateQuantile of them.
	minSamples = 20
	// maxKinds limits the names whose times are kept. The name that had no answer for the longest time makes way.
	maxKinds = 128
	// sizeClasses is the number of size classes of prompts.
	sizeClasses = 7
	// timeBuckets is the number of buckets of a distribution, of which bucketsPerDoubling double the time. They reach from
	// shortestBucket to 65 s, with an error of 12 % at most.
	timeBuckets        = 16 * bucketsPerDoubling
	bucketsPerDoubling = 6
	shortestBucket     = time.Millisecond
	// maxHalvings limits the weight of an answer relative to the oldest ones, to bound rounding errors.
	maxHalvings = 20
)

// SizeClass returns the size class of a prompt: 0 if its length in tokens is not known, 1 below 256 tokens, and one more for
// each factor of 4.
func SizeClass(tokens int) int {
	if tokens <= 0 {
		return 0
	}
	return min(sizeClasses-1, 1+(bits.Len(uint(tokens)>>8)+1)/2)
}

// Kind is a kind of request, whose answers take similar times at similar load.
type Kind struct {
	// Name is that of the route.
	Name string
	// Size is the size class of the prompt, from [SizeClass].
	Size int
}

// AnswerTimes learns how long the answers of each kind of request take. Its memory is bounded. It is not safe for concurrent
// use.
type AnswerTimes struct {
	names map[string]*nameTimes
}

// nameTimes holds the distributions of one name by size class; nil for those without an answer.
type nameTimes struct {
	sizes  [sizeClasses]*distribution
	latest time.Time
}

// NewAnswerTimes returns times without answers.
func NewAnswerTimes() *AnswerTimes { return &AnswerTimes{names: make(map[string]*nameTimes)} }

// Observe records an answer that took d, or that had not come after d when its attempt ended.
func (a *AnswerTimes) Observe(k Kind, d time.Duration, now time.Time) {
	n := a.names[k.Name]
	if n == nil {
		if len(a.names) >= maxKinds {
			a.removeOldest()
		}
		n = new(nameTimes)
		a.names[k.Name] = n
	}
	n.latest = now
	if n.sizes[k.Size] == nil {
		n.sizes[k.Size] = &distribution{since: now}
	}
	n.sizes[k.Size].add(d, now)
}

// removeOldest removes the name that had no answer for the longest time.
func (a *AnswerTimes) removeOldest() {
	oldest := ""
	for name, n := range a.names {
		if oldest == "" || n.latest.Before(a.names[oldest].latest) {
			oldest = name
		}
	}
	delete(a.names, oldest)
}

// Typical returns how long answers of a kind take; ok is false if too few are known. late is the quantile of Typical.Late.
// If too few prompts of the size were answered, those of the next larger sizes count too: they take no less time, so that an
// answer rather counts as late too seldom.
func (a *AnswerTimes) Typical(k Kind, late float64, now time.Time) (t Typical, ok bool) {
	n := a.names[k.Name]
	if n == nil {
		return Typical{}, false
	}
	var sum [timeBuckets]float64
	for size := k.Size; size < sizeClasses && t.Samples < minSamples; size++ {
		if d := n.sizes[size]; d != nil {
			t.Samples += d.addTo(&sum, now)
		}
		if k.Size == 0 {
			break
		}
	}
	if t.Samples < minSamples {
		return t, false
	}
	t.Median, t.UpperQuartile, t.Late = quantile(&sum, 0.5*t.Samples), quantile(&sum, 0.75*t.Samples), quantile(&sum, late*t.Samples)
	return t, true
}

// distribution is a distribution of times in which an answer counts for half after each answerHalfLife.
type distribution struct {
	// weights are the sums of the weights in each bucket, total that of all. An answer at since has weight 1, later ones
	// have more.
	weights [timeBuckets]float64
	total   float64
	since   time.Time
}

// weight returns the weight of an answer at now. It scales the weights down if the weight would be too large.
func (d *distribution) weight(now time.Time) float64 {
	halvings := max(0, float64(now.Sub(d.since))/float64(answerHalfLife))
	if halvings <= maxHalvings {
		return math.Exp2(halvings)
	}
	scale := math.Exp2(-halvings)
	for i := range d.weights {
		d.weights[i] *= scale
	}
	d.total *= scale
	d.since = now
	return 1
}

func (d *distribution) add(took time.Duration, now time.Time) {
	w := d.weight(now)
	i := 0
	if took > shortestBucket {
		i = min(timeBuckets-1, int(bucketsPerDoubling*math.Log2(float64(took)/float64(shortestBucket))))
	}
	d.weights[i] += w
	d.total += w
}

// addTo adds the weights, relative to that of an answer at now, to those of sum, and returns their total.
func (d *distribution) addTo(sum *[timeBuckets]float64, now time.Time) float64 {
	w := d.weight(now)
	for i, n := range d.weights {
		sum[i] += n / w
	}
	return d.total / w
}

// quantile returns the upper end of the bucket in which the sum of the weights reaches a rank.
func quantile(weights *[timeBuckets]float64, rank float64) time.Duration {
	sum, last := 0.0, 0
	for i, w := range weights {
		if w > 0 {
			last = i
		}
		if sum += w; sum >= rank {
			break
		}
	}
	return time.Duration(float64(shortestBucket) * math.Exp2(float64(last+1)/bucketsPerDoubling))
}
