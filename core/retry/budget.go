package retry

import "time"

// Limits bound retries within any span of time of a length.
type Limits struct {
	// Share is how many retries are allowed for each first attempt of the span, and
	// Reserve how many beyond.
	Share, Reserve float64
	Window         time.Duration
}

// DefaultLimits allow one retry for ten requests, and ten beyond, in ten seconds.
var DefaultLimits = Limits{Share: 0.1, Reserve: 10, Window: 10 * time.Second}

// Budget bounds retries. What it allows follows from the attempts of the last
// moments themselves, so that retries that come together may use what the whole span
// allows. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	// firsts are the first attempts, spent the retries that were sent.
	firsts, spent counts
	// held counts the retries that wait for a place.
	held int
}

// spendable is the least that pays for one retry; it leaves room for the error
// of adding tenths.
const spendable = 1 - 1e-9

// NewBudget returns a budget with nothing spent.
func NewBudget(l Limits) *Budget { return &Budget{limits: l} }

// Limit changes what the budget allows.
func (b *Budget) Limit(l Limits) { b.limits = l }

// Earn notes a first attempt.
func (b *Budget) Earn(now time.Time) { b.firsts.add(now, b.limits.Window) }

// Left returns how many retries may be made now.
func (b *Budget) Left(now time.Time) float64 {
	earned := b.limits.Share * float64(b.firsts.sum(now, b.limits.Window))
	return earned + b.limits.Reserve - float64(b.spent.sum(now, b.limits.Window)+b.held)
}

// Spend takes one retry that is sent at once, or reports false when the budget is used up.
func (b *Budget) Spend(now time.Time) bool {
	if !b.Hold(now) {
		return false
	}
	b.Sent(now)
	return true
}

// Hold takes one retry that is not sent yet, or reports false when the budget is used up. Sent
// or Drop must follow.
func (b *Budget) Hold(now time.Time) bool {
	if b.Left(now) < spendable {
		return false
	}
	b.held++
	return true
}

// Sent notes that a retry held is sent: it counts to the window from now on.
func (b *Budget) Sent(now time.Time) {
	b.held--
	b.spent.add(now, b.limits.Window)
}

// Drop gives a retry held back that was not sent.
func (b *Budget) Drop() { b.held-- }

// countSpans is into how many spans the window of a count is divided: what is counted
// leaves it one span at a time.
const countSpans = 20

// counts counts events within a sliding window.
type counts struct {
	spans [countSpans + 1]int
	// last is the number of the newest span since the beginning of time.
	last int64
}

// advance drops what has left the window and returns the place of the present span.
func (c *counts) advance(now time.Time, window time.Duration) *int {
	span := now.UnixNano() / max(1, int64(window)/countSpans)
	// A step of the clock backwards counts in the newest span.
	for n := min(span-c.last, int64(len(c.spans))); n > 0; n-- {
		c.spans[(span-n+1)%int64(len(c.spans))] = 0
	}
	c.last = max(c.last, span)
	return &c.spans[c.last%int64(len(c.spans))]
}

func (c *counts) add(now time.Time, window time.Duration) { *c.advance(now, window)++ }

// sum returns the events of the window and of the span that is leaving it.
func (c *counts) sum(now time.Time, window time.Duration) int {
	c.advance(now, window)
	n := 0
	for _, k := range c.spans {
		n += k
	}
	return n
}
