// Package retry decides whether a request may be sent again after an attempt without a complete answer, and
// bounds the retries of all nodes.
//
// A request that must not be repeated runs at most once, a refusal that states "not run" is always true, and
// retries must not multiply an overload. Every attempt therefore ends with an [Outcome] that states what is
// known about it, and [Next] derives the next step from it. Retries of every kind are charged to a [Budget],
// whose size follows the number of first attempts. An [Allowance] computes the limits of one node's budget
// such that all nodes together stay within a common bound. What a node's budget lacks for a retry, the lease holder
// grants from a pool (package quota), because equal parts of a common reserve are too small to use in a large
// deployment.
package retry

// Outcome states what is known about an attempt that gave no complete answer.
type Outcome uint8

// Outcomes.
const (
	// NotSent means that nothing of the request reached the endpoint, or that the endpoint stated that
	// it did not begin. Only this outcome may be reported as "not run".
	NotSent Outcome = iota + 1
	// MaybeRun means that something was sent, and that no answer states whether it ran.
	MaybeRun
	// Ran means that the endpoint began to answer.
	Ran
)

var outcomeNames = map[Outcome]string{NotSent: "notSent", MaybeRun: "maybeRun", Ran: "ran"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// MayRepeat reports whether a request may be sent again after the outcome.
func MayRepeat(o Outcome, onceOnly bool) bool {
	return o == NotSent || !onceOnly
}
