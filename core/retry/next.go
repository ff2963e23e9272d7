package retry

// Attempt is what is known when an attempt gave no whole answer.
type Attempt struct {
	Outcome Outcome
	// OnceOnly requests may not run twice.
	OnceOnly bool
	// Ran counts the attempts that may have run, this one included, and Attempts bounds them.
	Ran, Attempts int
	// Late is true once the deadline has passed, Left once the caller has gone.
	Late, Left bool
	// Held is true where the request is kept from engines by now.
	Held bool
}

// Step is what follows an attempt.
type Step uint8

// The steps.
const (
	// Repeat: another attempt, if the budget pays for it where the last one may have run.
	Repeat Step = iota
	// TimedOut: the time is up, and the request may have run.
	TimedOut
	// NotBegun: no attempt has begun.
	NotBegun
	// Withheld: no attempt has begun, and none will: the request is kept from engines.
	Withheld
	// Unknown: a request that may run once may have run.
	Unknown
	// Failed: the request may have run, and will not be sent again.
	Failed
)

var stepNames = [...]string{"repeat", "timedOut", "notBegun", "withheld", "unknown", "failed"}

// String returns the step's name.
func (s Step) String() string { return stepNames[s] }

// Next decides what follows an attempt that gave no whole answer.
func Next(a Attempt) Step {
	switch {
	case a.Late && a.Outcome != NotSent:
		return TimedOut
	case a.mayRepeat():
		return Repeat
	case a.Ran == 0 && a.Held:
		return Withheld
	case a.Ran == 0:
		return NotBegun
	case a.OnceOnly:
		return Unknown
	}
	return Failed
}

func (a *Attempt) mayRepeat() bool {
	return !a.Left && !a.Late && !a.Held && a.Ran < a.Attempts && MayRepeat(a.Outcome, a.OnceOnly)
}
