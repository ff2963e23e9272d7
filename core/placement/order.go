package placement

import (
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/signal"
)

// Order instructs an engine to load or unload a unit.
type Order struct {
	Engine, Address string
	Unit            Unit
	Unload          bool
	// Fence is the fencing number of the lease under which the order is given; engines refuse
	// lower numbers than the highest one that they have seen.
	Fence uint64
	// Taken is the number of orders that the engine must have taken before this one; an engine
	// with another count refuses the order.
	Taken int64
	// Reason is the reason for the order, ModelStats the statistics of its model, and EngineStats what the
	// planner knew of the engine when it decided; all three are for logs only.
	Reason      string
	ModelStats  ModelStats
	EngineStats EngineStats
	// FromStore is true when no copy is known at the engine, so that the weights come from the
	// weight store.
	FromStore bool
	// Expected is the expected duration of the order.
	Expected time.Duration
}

// ModelStats are the statistics of a model when an order was decided.
type ModelStats struct {
	// Rate is in requests a second.
	Rate float64
	// Waiting and Running count the requests for the model; Peak is the decaying peak of their
	// sum.
	Waiting, Running int
	Peak             float64
	// Replicas is the number of engines that serve the model.
	Replicas int
	// Loss is the estimated number of requests a second that would become late with one replica
	// fewer.
	Loss float64
}

// EngineStats describe what the planner knew of an engine when it decided an order.
type EngineStats struct {
	// FreeMB is the memory for weights, in MB, that is neither used nor reserved for a load.
	FreeMB float64
	// Models and Adapters count what the engine held or was loading, including adapters of a
	// model whose unload is unconfirmed.
	Models, Adapters int
	// Phase is the phase of the engine: doubtful, settled, working or unconfirmed.
	Phase string
	// ReportAge is the time since the engine's report was last accepted; negative if none was.
	ReportAge time.Duration
	// Unconfirmed names the load or unload that is assumed to have ended but that no reply or
	// report has confirmed; empty if there is none.
	Unconfirmed string
}

// Reply is the outcome of sending an order.
type Reply uint8

// Outcomes of sending an order.
const (
	// Accepted means that the engine is carrying out the order.
	Accepted Reply = iota + 1
	// NothingToDo means that the engine already was in the state that the order asks for.
	NothingToDo
	// Conflict means that the engine is busy with another order or that its count of orders
	// differs from Order.Taken.
	Conflict
	// Fenced means that the engine has seen a higher fencing number.
	Fenced
	// WrongEngine means that another engine answers at the address.
	WrongEngine
	// Invalid means that the engine does not understand the order.
	Invalid
	// Unanswered means that no answer came; the engine may have taken the order or may still take it
	// later.
	Unanswered
)

var replyNames = map[Reply]string{
	Accepted: "accepted", NothingToDo: "holds", Conflict: "conflict", Fenced: "fenced", WrongEngine: "gone", Invalid: "invalid", Unanswered: "lost",
}

// String implements fmt.Stringer.
func (r Reply) String() string { return replyNames[r] }

// Probe is a request for an engine's report.
type Probe struct {
	Engine, Address string
}

// Action is one step for the caller of Plan to carry out. Exactly one field is set.
type Action struct {
	Order *Order
	Probe *Probe
}

// Report is an engine's description of itself. It is some hundred milliseconds old when it
// arrives.
type Report struct {
	// Start identifies the engine's incarnation; Taken counts from that start.
	Start directory.Start
	// Taken is the number of orders that the engine has taken.
	Taken int64
	// Busy is true while the engine carries out an order.
	Busy bool
	// LoadingAdapters lists the adapters being loaded, one entry per adapter with the name of its model.
	LoadingAdapters []directory.Held
	// Running and Waiting count the requests at the engine.
	Running, Waiting int
	// Signals holds the signals in the header of the response, such as the engine's request limit.
	Signals signal.Signals
	directory.Holdings
}

// Adapters returns the number of loaded adapters; those in LoadingAdapters are not counted.
func (r *Report) Adapters() int {
	n := 0
	for _, h := range r.Models {
		n += len(h.Adapters)
	}
	return n
}

// Usage is one node's usage report for one unit.
type Usage struct {
	Unit Unit
	// Bound is true for requests that only engines of Build may serve.
	Bound   bool
	Build   directory.Build
	Waiting int
	// Arrivals counts the requests that arrived since the node's previous report.
	Arrivals int
	// Deferred counts the callers refused with a retry hint since the node's previous report.
	Deferred int
	// Objective is the least latency objective among the arrivals; 0 if none has one.
	Objective time.Duration
	// NextDue is the next deadline by which a waiting request needs an engine, or a past
	// deadline if all have passed. LastDue is the latest deadline. Both are zero if no request
	// waits.
	NextDue, LastDue time.Time
	// Rank is the most urgent rank among the waiting requests, 0 being the most urgent; 0 if their ranks do not differ,
	// or the node does not report them.
	Rank int
	// RunningAt counts the running requests by engine id.
	RunningAt map[string]int
	// Late counts the answers since the previous report that came late though they had a slot in time.
	Late int
	// Tokens and LongTokens are the lengths of the prompts, and of the long ones, that arrived since the previous report.
	Tokens, LongTokens int
	// ReadingAt is the length in tokens, by engine id, of the long prompts that are not read yet.
	ReadingAt map[string]int
}
