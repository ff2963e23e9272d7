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
