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
	// reserved is the number of retries that are reserved and not sent yet.
	reserved int
}

// minBudget is the least budget that pays for one retry. It is slightly less than 1 to allow for rounding
// errors of multiples of Share, such as tenths.
const minBudget = 1 - 1e-9

// NewBudget returns a budget without first attempts or retries.
func NewBudget(l Limits) *Budget { return &Budget{limits: l} }

// Limit replaces the limits of the budget.
func (b *Budget) Limit(l Limits) { b.limits = l }

// AddFirst records a first attempt.
func (b *Budget) AddFirst(now time.Time) { b.firsts.add(now, b.limits.Window) }

// Left returns the number of retries that may be made now; it may be fractional or negative.
func (b *Budget) Left(now time.Time) float64 {
	earned := b.limits.Share * float64(b.firsts.sum(now, b.limits.Window))
	return earned + b.limits.Reserve - float64(b.spent.sum(now, b.limits.Window)+b.reserved)
}

// Spend takes one retry that is sent now. It reports false if the budget is exhausted.
func (b *Budget) Spend(now time.Time) bool {
	if !b.Reserve(now) {
		return false
	}
	b.Sent(now)
	return true
}

// Reserve reserves one retry that is sent later. It reports false if the budget is exhausted. A call of
// Sent or Release must follow if it returns true.
func (b *Budget) Reserve(now time.Time) bool {
	if b.Left(now) < minBudget {
		return false
	}
	b.reserved++
	return true
}

// AvailableAt returns when the budget next allows a retry if nothing happens until then; ok is false if it does not.
func (b *Budget) AvailableAt(now time.Time) (at time.Time, ok bool) {
	if b.Left(now) >= minBudget {
		return now, true
	}
	for n := range countSpans + 1 {
		firsts, end := b.firsts.sumWithout(n+1, now, b.limits.Window)
		spent, _ := b.spent.sumWithout(n+1, now, b.limits.Window)
		if b.limits.Share*float64(firsts)+b.limits.Reserve-float64(spent+b.reserved) >= minBudget {
			return end, true
		}
	}
	return time.Time{}, false
}

// Sent records that a reserved retry is sent: it counts in the window from now on.
func (b *Budget) Sent(now time.Time) {
	b.reserved--
	b.spent.add(now, b.limits.Window)
}

// Release returns a reserved retry that was not sent to the budget.
func (b *Budget) Release() { b.reserved-- }

// countSpans is the number of spans into which the window of a counter is divided. Events leave the window
// one span at a time.
const countSpans = 20

// windowCounter is a sliding-window counter of events.
type windowCounter struct {
	spans [countSpans + 1]int
	// last is the number of the newest span, counted from the Unix epoch.
	last int64
}

// advance clears the spans that have left the window and returns the counter of the current span.
func (c *windowCounter) advance(now time.Time, window time.Duration) *int {
	span := now.UnixNano() / max(1, int64(window)/countSpans)
	// If the clock was set back, events count in the newest span.
	for n := min(span-c.last, int64(len(c.spans))); n > 0; n-- {
		c.spans[(span-n+1)%int64(len(c.spans))] = 0
	}
	c.last = max(c.last, span)
	return &c.spans[c.last%int64(len(c.spans))]
}

// sumWithout returns the sum without the n oldest spans, and when the last of these leaves the window.
func (c *windowCounter) sumWithout(n int, now time.Time, window time.Duration) (sum int, leavesAt time.Time) {
	c.advance(now, window)
	for i := range int64(len(c.spans) - n) {
		sum += c.spans[(c.last-i)%int64(len(c.spans))]
	}
	return sum, time.Unix(0, (c.last+int64(n))*max(1, int64(window)/countSpans))
}

func (c *windowCounter) add(now time.Time, window time.Duration) { *c.advance(now, window)++ }

// sum returns the number of events in the window and in the span that is partly outside of it.
func (c *windowCounter) sum(now time.Time, window time.Duration) int {
	c.advance(now, window)
	n := 0
	for _, k := range c.spans {
		n += k
	}
	return n
}
