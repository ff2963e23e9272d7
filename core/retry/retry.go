// Package retry decides what may follow a dispatch that did not end well.
//
// The problem: a request that may not be repeated runs at most once, a refusal
// that says "not run" is true, and retries must not multiply an overload. The
// model: every dispatch ends in an [Outcome] that says what is known, and
// retries of whatever kind draw on a [Budget] that grows with the work done.
package retry

// Outcome says what is known about a dispatch that gave no whole answer.
type Outcome uint8

// The outcomes.
const (
	// NotSent: nothing of the request reached the endpoint, or the endpoint
	// said that it did not begin. Only this may be reported as "not run".
	NotSent Outcome = iota + 1
	// MaybeRun: something was sent and no answer says what became of it.
	MaybeRun
	// Ran: the endpoint began to answer.
	Ran
)

var outcomeNames = map[Outcome]string{NotSent: "notSent", MaybeRun: "maybeRun", Ran: "ran"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// MayRepeat reports whether a request may be sent again after the outcome.
func MayRepeat(o Outcome, onceOnly bool) bool {
	return o == NotSent || !onceOnly
}

// Budget bounds retries to a share of the requests. It is not safe for
// concurrent use.
type Budget struct {
	// left is the retries that may be made now, between 0 and reserve.
	left float64
	// share is what each first attempt earns.
	share   float64
	reserve float64
}

// Defaults of a Budget: one retry for ten requests, ten in reserve.
const (
	defaultShare   = 0.1
	defaultReserve = 10
)

// spendable is the least that pays for one retry; it leaves room for the error
// of adding tenths.
const spendable = 1 - 1e-9

// NewBudget returns a full budget with the default share and reserve.
func NewBudget() *Budget { return NewBudgetOf(defaultShare, defaultReserve) }

// NewBudgetOf returns a full budget that allows a share of the requests and a
// reserve beyond.
func NewBudgetOf(share, reserve float64) *Budget {
	return &Budget{left: reserve, share: share, reserve: reserve}
}

// Limit changes what the budget allows; what is left beyond a smaller reserve is
// gone.
func (b *Budget) Limit(share, reserve float64) {
	b.share, b.reserve = share, reserve
	b.left = min(b.left, reserve)
}

// Earn notes a first attempt.
func (b *Budget) Earn() { b.left = min(b.reserve, b.left+b.share) }

// Left returns how many retries may be made now.
func (b *Budget) Left() float64 { return b.left }

// Spend takes one retry, or reports false when the budget is used up.
func (b *Budget) Spend() bool {
	if b.left < spendable {
		return false
	}
	b.left--
	return true
}
