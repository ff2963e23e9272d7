package retry

import "time"

// Limits bounds the retries within any time span of the length Window.
type Limits struct {
	// Share is the number of retries allowed for each first attempt within the window. Reserve is the
	// number allowed in addition.
	Share, Reserve float64
	Window         time.Duration
}

// DefaultLimits allows one retry per ten first attempts, plus ten, within ten seconds.
var DefaultLimits = Limits{Share: 0.1, Reserve: 10, Window: 10 * time.Second}

// Budget bounds retries by the first attempts of a sliding window. It does not refill at a rate, so that a
// burst of retries may use what the whole window allows. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	// firsts counts the first attempts, spent the retries that were sent.
	firsts, spent windowCounter
	// reserved is the sum of what is reserved for retries that are not sent yet.
	reserved float64
}

// minBudget is the least budget that pays for one retry. It is slightly less than 1 to allow for rounding
// errors of multiples of Share, such as tenths.
const minBudget = 1 - 1e-9

// NewBudget returns a budget without first attempts or retries.
func NewBudget(l Limits) *Budget { return &Budget{limits: l} }

// Limit replaces the limits of the budget.
func (b *Budget) Limit(l Limits) { b.limits = l }

// AddFirst records a first attempt.
func (b *Budget) AddFirst(now time.Time) { b.firsts.add(1, now, b.limits.Window) }

// Left returns the number of retries that may be made now; it may be fractional or negative.
func (b *Budget) Left(now time.Time) float64 {
	earned := b.limits.Share * b.firsts.sum(now, b.limits.Window)
	return earned + b.limits.Reserve - b.spent.sum(now, b.limits.Window) - b.reserved
}

// Spend takes one retry that is sent now. It reports false if the budget is exhausted.
func (b *Budget) Spend(now time.Time) bool {
	if b.Left(now) < minBudget {
		return false
	}
	b.spent.add(1, now, b.limits.Window)
	return true
}

// SpendEarned is Spend without the limits' reserve: it leaves that to others.
func (b *Budget) SpendEarned(now time.Time) bool {
	if b.Left(now)-b.limits.Reserve < minBudget {
		return false
	}
	return b.Spend(now)
}

// Reserve reserves what is left for one retry that is sent later, and returns the reserved part, from 0 to 1. If it is
// less than 1, the remainder must come from elsewhere. A call of Sent or Release with the same part must follow.
func (b *Budget) Reserve(now time.Time) (part float64) {
	part = min(1, max(0, b.Left(now)))
	if part >= minBudget {
		part = 1
	}
	b.reserved += part
	return part
}

// AvailableAt returns when the budget next allows a retry if nothing happens until then; ok is false if it does not.
func (b *Budget) AvailableAt(now time.Time) (at time.Time, ok bool) {
	if b.Left(now) >= minBudget {
		return now, true
	}
	for n := range countSpans + 1 {
		firsts, end := b.firsts.sumWithout(n+1, now, b.limits.Window)
		spent, _ := b.spent.sumWithout(n+1, now, b.limits.Window)
		if b.limits.Share*firsts+b.limits.Reserve-spent-b.reserved >= minBudget {
			return end, true
		}
	}
	return time.Time{}, false
}

// Sent records that a retry is sent for which the part was reserved: it counts in the window from now on.
func (b *Budget) Sent(part float64, now time.Time) {
	b.reserved -= part
	b.spent.add(part, now, b.limits.Window)
}

// Release returns the part that was reserved for a retry that was not sent.
func (b *Budget) Release(part float64) { b.reserved -= part }

// countSpans is the number of spans into which the window of a counter is divided. Events leave the window
// one span at a time.
const countSpans = 20

// windowCounter is a sliding-window counter of events, or of parts of them.
type windowCounter struct {
	spans [countSpans + 1]float64
	// last is the number of the newest span, counted from the Unix epoch.
	last int64
}

// spanIndex returns the index of a span, whose number is negative before the Unix epoch.
func spanIndex(span int64) int64 {
	const n = countSpans + 1
	return (span%n + n) % n
}

// advance clears the spans that have left the window and returns the counter of the current span.
func (c *windowCounter) advance(now time.Time, window time.Duration) *float64 {
	span := now.UnixNano() / max(1, int64(window)/countSpans)
	// If the clock was set back, events count in the newest span.
	for n := min(span-c.last, int64(len(c.spans))); n > 0; n-- {
		c.spans[spanIndex(span-n+1)] = 0
	}
	c.last = max(c.last, span)
	return &c.spans[spanIndex(c.last)]
}

// sumWithout returns the sum without the n oldest spans, and when the last of these leaves the window.
func (c *windowCounter) sumWithout(n int, now time.Time, window time.Duration) (sum float64, leavesAt time.Time) {
	c.advance(now, window)
	for i := range int64(len(c.spans) - n) {
		sum += c.spans[spanIndex(c.last-i)]
	}
	return sum, time.Unix(0, (c.last+int64(n))*max(1, int64(window)/countSpans))
}

func (c *windowCounter) add(n float64, now time.Time, window time.Duration) {
	*c.advance(now, window) += n
}

// sum returns the number of events in the window and in the span that is partly outside of it.
func (c *windowCounter) sum(now time.Time, window time.Duration) float64 {
	c.advance(now, window)
	n := 0.0
	for _, k := range c.spans {
		n += k
	}
	return n
}
