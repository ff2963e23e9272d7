package retry

// Attempt is the state of a request after an attempt that gave no complete answer.
type Attempt struct {
	Outcome Outcome
	// OnceOnly is true if the request must not run twice.
	OnceOnly bool
	// Ran is the number of attempts that may have run, including this one. Attempts is its limit.
	Ran, Attempts int
	// Late is true if the deadline has passed. CallerGone is true if the caller has disconnected.
	Late, CallerGone bool
	// Withheld is true if the request must not be sent to engines any more.
	Withheld bool
}

// Step is what the caller of Next does with the request.
type Step uint8

// Steps.
const (
	// Repeat means another attempt. If the last one may have run, the retry budget must allow it.
	Repeat Step = iota
	// TimedOut means that the deadline has passed and that the request may have run.
	TimedOut
	// NotBegun means that no attempt has run.
	NotBegun
	// Withheld means that no attempt has run, and that none will, because the request must not be sent to engines.
	Withheld
	// Unknown means that a once-only request may have run.
	Unknown
	// Failed means that the request may have run and that it is not sent again.
	Failed
)

var stepNames = [...]string{"repeat", "timedOut", "notBegun", "withheld", "unknown", "failed"}

// String returns the name of the step.
func (s Step) String() string { return stepNames[s] }

// Next returns the step that follows an attempt without a complete answer.
func Next(a Attempt) Step {
	switch {
	case a.Late && a.Outcome != NotSent:
		return TimedOut
	case a.mayRepeat():
		return Repeat
	case a.Ran == 0 && a.Withheld:
		return Withheld
	case a.Ran == 0:
		return NotBegun
	case a.OnceOnly:
		return Unknown
	}
	return Failed
}

func (a *Attempt) mayRepeat() bool {
	return !a.CallerGone && !a.Late && !a.Withheld && a.Ran < a.Attempts && MayRepeat(a.Outcome, a.OnceOnly)
}
