package quarantine

// State is the quarantine state of a request.
type State uint8

// Possible states.
const (
	// Clear: there is no unexplained suspicion.
	Clear State = iota
	// Suspected: an engine crashed while it ran this request and many others. It is preferably sent to an engine with
	// little load and no other suspects.
	Suspected
	// Isolated: it is one of few suspects. It is placed like a suspected request, and its copies run one at a time
	// (see [RunLocks]).
	Isolated
	// Quarantined: it is sent to no engine.
	Quarantined
	// OnTrial: it is quarantined, but one run is allowed as a trial.
	OnTrial
	// Released: it was quarantined and is cleared.
	Released
)

// severity orders the states by what they keep a request from.
var severity = [States]int{Clear: 0, Released: 0, Suspected: 1, Isolated: 2, OnTrial: 3, Quarantined: 4}

// WorseThan reports whether s restricts a request more than o.
func (s State) WorseThan(o State) bool { return severity[s] > severity[o] }

// States is the number of states.
const States = int(Released) + 1

var stateNames = [States]string{"clear", "suspected", "isolated", "quarantined", "onTrial", "released"}

// String returns the state's name, for logs and the status.
func (s State) String() string { return stateNames[s] }

// event is an input of the state machine.
type event uint8

// Possible events. The first four are results of assess.
const (
	// explained: every suspicion is explained by a verdict on another request or by another cause.
	explained event = iota
	// weakSuspicion: there is an unexplained crash with many suspects.
	weakSuspicion
	// strongSuspicion: it is one of few suspects.
	strongSuspicion
	// verdictReached: it crashes engines, almost certainly.
	verdictReached
	// successfulAnswer: an engine answered it successfully.
	successfulAnswer
	// trialBegun: a trial run begins.
	trialBegun
	// trialOver: the trial ended without an answer or a crash.
	trialOver
	// operatorRelease: an operator released it.
	operatorRelease
	// crashDisproved: a crash that it was quarantined for is disproved.
	crashDisproved
	// recordExpired: it was not seen for its retention time.
	recordExpired
)

// events is the number of events.
const events = int(recordExpired) + 1

// transitions is the transition table of the state machine.
var transitions = [States][events]State{
	Clear: {
		explained: Clear, weakSuspicion: Suspected, strongSuspicion: Isolated, verdictReached: Quarantined,
		successfulAnswer: Clear, trialBegun: Clear, trialOver: Clear, operatorRelease: Clear, crashDisproved: Clear, recordExpired: Clear,
	},
	Suspected: {
		explained: Clear, weakSuspicion: Suspected, strongSuspicion: Isolated, verdictReached: Quarantined,
		successfulAnswer: Clear, trialBegun: Suspected, trialOver: Suspected, operatorRelease: Clear, crashDisproved: Clear, recordExpired: Clear,
	},
	Isolated: {
		explained: Clear, weakSuspicion: Suspected, strongSuspicion: Isolated, verdictReached: Quarantined,
		successfulAnswer: Clear, trialBegun: Isolated, trialOver: Isolated, operatorRelease: Clear, crashDisproved: Clear, recordExpired: Clear,
	},
	// A verdict is not withdrawn when other requests get one: two requests that only ever ran together would release
	// each other.
	Quarantined: {
		explained: Quarantined, weakSuspicion: Quarantined, strongSuspicion: Quarantined, verdictReached: Quarantined,
		successfulAnswer: Released, trialBegun: OnTrial, trialOver: Quarantined, operatorRelease: Released, crashDisproved: Released, recordExpired: Clear,
	},
	OnTrial: {
		explained: OnTrial, weakSuspicion: Quarantined, strongSuspicion: Quarantined, verdictReached: Quarantined,
		successfulAnswer: Released, trialBegun: OnTrial, trialOver: Quarantined, operatorRelease: Released, crashDisproved: Released, recordExpired: Clear,
	},
	Released: {
		explained: Released, weakSuspicion: Suspected, strongSuspicion: Isolated, verdictReached: Quarantined,
		successfulAnswer: Released, trialBegun: Released, trialOver: Released, operatorRelease: Released, crashDisproved: Released, recordExpired: Clear,
	},
}

// blocked reports whether a request in this state is refused, apart from the trial run.
func (s State) blocked() bool { return s == Quarantined || s == OnTrial }
