package quarantine

// State is what is thought of a request.
type State uint8

// The states.
const (
	// Clear: nothing speaks against it.
	Clear State = iota
	// Suspected: an engine ended under it, as it did under others. It is sent to another
	// engine than they are.
	Suspected
	// Isolated: it is one of few that may have ended engines. It runs where least else does.
	Isolated
	// Quarantined: it is sent to no engine.
	Quarantined
	// OnTrial: one run of it is being tried.
	OnTrial
	// Released: it was quarantined, and is not any more.
	Released
)

// States counts the states.
const States = int(Released) + 1

var stateNames = [States]string{"clear", "suspected", "isolated", "quarantined", "onTrial", "released"}

// String returns the state's name, for logs and the status.
func (s State) String() string { return stateNames[s] }

// event is something that changes what is thought of a request.
type event uint8

// The events. The first four are what weighing its blames has come to.
const (
	// explained: no end speaks against it that another request or reason does not explain.
	explained event = iota
	// doubt: an end speaks against it, as against others.
	doubt
	// strongDoubt: it is one of few.
	strongDoubt
	// conviction: it is the one.
	conviction
	// goodAnswer: an engine answered it well.
	goodAnswer
	// trialBegun: one run is being tried.
	trialBegun
	// trialOver: the trial came to nothing, good or bad.
	trialOver
	// release: an operator lets it go.
	release
	// forgotten: it was not heard of for long.
	forgotten
)

// events counts the events.
const events = int(forgotten) + 1

// transitions holds the next state by state and event.
var transitions = [States][events]State{
	Clear: {
		explained: Clear, doubt: Suspected, strongDoubt: Isolated, conviction: Quarantined,
		goodAnswer: Clear, trialBegun: Clear, trialOver: Clear, release: Clear, forgotten: Clear,
	},
	Suspected: {
		explained: Clear, doubt: Suspected, strongDoubt: Isolated, conviction: Quarantined,
		goodAnswer: Clear, trialBegun: Suspected, trialOver: Suspected, release: Clear, forgotten: Clear,
	},
	Isolated: {
		explained: Clear, doubt: Suspected, strongDoubt: Isolated, conviction: Quarantined,
		goodAnswer: Clear, trialBegun: Isolated, trialOver: Isolated, release: Clear, forgotten: Clear,
	},
	// A verdict does not end because other requests are convicted: two that only ever ran
	// together would let each other go.
	Quarantined: {
		explained: Quarantined, doubt: Quarantined, strongDoubt: Quarantined, conviction: Quarantined,
		goodAnswer: Released, trialBegun: OnTrial, trialOver: Quarantined, release: Released, forgotten: Clear,
	},
	OnTrial: {
		explained: OnTrial, doubt: Quarantined, strongDoubt: Quarantined, conviction: Quarantined,
		goodAnswer: Released, trialBegun: OnTrial, trialOver: Quarantined, release: Released, forgotten: Clear,
	},
	Released: {
		explained: Released, doubt: Suspected, strongDoubt: Isolated, conviction: Quarantined,
		goodAnswer: Released, trialBegun: Released, trialOver: Released, release: Released, forgotten: Clear,
	},
}

// held reports whether a request in this state is kept from engines.
func (s State) held() bool { return s == Quarantined || s == OnTrial }
