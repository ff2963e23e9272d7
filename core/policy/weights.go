package policy

// Weights are the costs that a deployment assigns to cold starts and to idle
// accelerators, in one unit of its choice.
type Weights struct {
	// ColdStartSecond is the cost of one second that one request waits for a
	// cold start.
	ColdStartSecond float64
	// IdleHour is the cost of one accelerator hour held idle.
	IdleHour float64
}

// DefaultWeights are used if the configuration sets no weights.
var DefaultWeights = Weights{ColdStartSecond: 1, IdleHour: 100}

// Decision is the decision of a policy on an idle unit.
type Decision struct {
	// Hold is true if a loaded replica stays loaded.
	Hold bool
	// Prewarm is true if the unit is to be loaded although no request waits for it.
	Prewarm bool
	// Why explains the decision to operators.
	Why string
}
