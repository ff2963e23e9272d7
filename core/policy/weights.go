package policy

// Weights are a deployment's costs of the two measures.
type Weights struct {
	// ColdStartSecond is the cost of one second that one request waits for a
	// cold start.
	ColdStartSecond float64
	// IdleHour is the cost of one accelerator hour held idle.
	IdleHour float64
}

// DefaultWeights hold where the configuration sets none.
var DefaultWeights = Weights{ColdStartSecond: 1, IdleHour: 100}

// Decision is what a policy says of a replica that nothing uses, or of a unit
// that has none.
type Decision struct {
	// Hold keeps a replica that is loaded.
	Hold bool
	// Prewarm loads one that is not, before anybody asks.
	Prewarm bool
	// Why says it to operators.
	Why string
}
