package retry

import "time"

// Bounds of extra attempts, which are second attempts beside an endpoint whose answer is later than nearly all of its kind.
const (
	// extraWindow is the time for which a first attempt pays for extra ones.
	extraWindow = time.Minute
	// minLateQuantile is the least quantile of the times of a kind of request after which an answer counts as late.
	minLateQuantile = 0.95
	// minMedians is the least time after which an answer counts as late, in medians of its kind. The extra attempt itself
	// takes about a median, so that it rarely wins if it opens earlier.
	minMedians = 2
	// minExtraWait is the least time after which an extra attempt opens. Shorter delays come from the network and from
	// this node.
	minExtraWait = 50 * time.Millisecond
)

// ExtraBudget bounds the extra attempts of one node to a share of its first attempts. Each first attempt earns the share of
// an extra one. What is earned expires with the window, except for one attempt, so that nodes with few requests have extra
// attempts too. A node begins with nothing. The sum over any number of nodes keeps these bounds without messages:
//
//   - never more extra attempts than the share of the first attempts until then,
//   - in any window at most the share of the first attempts of that window and the one before, and one for each node.
//
// It is not safe for concurrent use.
type ExtraBudget struct {
	share float64
	// left is what is earned and not spent, in attempts; it is at least 0.
	left          float64
	firsts, spent windowCounter
}

// NewExtraBudget returns a budget without attempts. share is the limit that the operator sets, from 0 to 1.
func NewExtraBudget(share float64) *ExtraBudget { return &ExtraBudget{share: share} }

// AddFirst records a first attempt.
func (b *ExtraBudget) AddFirst(now time.Time) {
	b.firsts.add(1, now, extraWindow)
	b.left += b.share
	b.expire(now)
}

// expire reduces what is left to what the first attempts of the window have earned.
func (b *ExtraBudget) expire(now time.Time) {
	b.left = min(b.left, max(1, b.share*b.firsts.sum(now, extraWindow)))
}

// Spend takes one extra attempt. It reports false if none is left.
func (b *ExtraBudget) Spend(now time.Time) bool {
	b.expire(now)
	if b.left < minBudget {
		return false
	}
	b.left = max(0, b.left-1)
	b.spent.add(1, now, extraWindow)
	return true
}

// Return puts back an attempt that was taken and not sent.
func (b *ExtraBudget) Return(now time.Time) {
	b.left++
	b.spent.add(-1, now, extraWindow)
	b.expire(now)
}

// Spent returns the extra attempts of the window, as a share of its first attempts; 0 without any.
func (b *ExtraBudget) Spent(now time.Time) float64 {
	return max(0, b.spent.sum(now, extraWindow)) / max(1, b.firsts.sum(now, extraWindow))
}

// LateQuantile returns the quantile of the times of a kind of request after which an answer counts as late, if extra attempts
// are limited to a share: about as many answers are late as the share pays for, so that it goes to the latest ones.
func LateQuantile(share float64) float64 { return max(minLateQuantile, 1-share) }

// Typical describes how long the answers of a kind of request take to begin or, if they are no streams, to be complete.
type Typical struct {
	// Median and UpperQuartile are quantiles of the times, and Late is the one after which an answer counts as late.
	Median, UpperQuartile, Late time.Duration
	// Samples is the number of answers that the quantiles come from. Older ones count for less than one.
	Samples float64
}

// ExtraAfter returns after how long without an answer an extra attempt opens. overlap limits how long two endpoints may work
// on the request, 0 for no limit; ok is false if an extra attempt often could not answer within it.
func (t Typical) ExtraAfter(overlap time.Duration) (after time.Duration, ok bool) {
	if overlap > 0 && t.UpperQuartile > overlap {
		return 0, false
	}
	return max(t.Late, minMedians*t.Median, minExtraWait), true
}

// Denial is the reason for which an extra attempt was not opened, as metrics name it; "" if it was opened.
type Denial string

// Denials.
const (
	// DeniedByShare: the operator's limit is used up.
	DeniedByShare Denial = "share"
	// DeniedByRetryBudget: the common budget of retries has none left at this node.
	DeniedByRetryBudget Denial = "retryBudget"
	// DeniedByRoom: requests wait, or no other endpoint has spare room.
	DeniedByRoom Denial = "room"
	// DeniedBySuspicion: the request is suspected of crashing engines.
	DeniedBySuspicion Denial = "suspicion"
	// DeniedByKey: the customer's key was withdrawn.
	DeniedByKey Denial = "key"
	// DeniedByDeadline: less time is left than an answer usually takes.
	DeniedByDeadline Denial = "deadline"
	// DeniedByDelay: this node itself was late, so that the answer may have come already.
	DeniedByDelay Denial = "delay"
)
