package placement

import (
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/signal"
)

// Order is an instruction for an engine.
type Order struct {
	Engine, Address string
	Unit            Unit
	Unload          bool
	// Fence is the fencing number of the lease under which the order is given.
	Fence uint64
	// Taken is the number of orders that the engine must have taken before.
	Taken int64
	// Why says what the order is for, Facts what was known of its model then, and Books
	// what was believed of the engine, for logs.
	Why   string
	Facts Facts
	Books Books
	// FromStore is true when the weights may come from the weight store.
	FromStore bool
	// Expected is how long it should take.
	Expected time.Duration
}

// Facts are what was known of a model when an order was decided.
type Facts struct {
	// Rate is in requests a second.
	Rate float64
	// Waiting and Running count its requests, Peak the most at once of the last
	// moments.
	Waiting, Running int
	Peak             float64
	// Replicas is how many engines serve it.
	Replicas int
	// Loss is how many requests a second are late without the replica.
	Loss float64
}

// Books are what was believed of an engine when an order was decided.
type Books struct {
	// FreeMB is the memory for weights that was neither used nor promised.
	FreeMB float64
	// Models and Adapters count what it held, got, or had not surely dropped.
	Models, Adapters int
	// Phase names what was known of the orders before.
	Phase string
	// Age is the time since a report was taken over; negative if none was.
	Age time.Duration
	// Unconfirmed is the load or unload taken as ended that no reply or report has confirmed;
	// "" if there is none.
	Unconfirmed string
}

// Reply is what became of an order.
type Reply uint8

// The replies.
const (
	// Accepted orders are being carried out.
	Accepted Reply = iota + 1
	// Holds: nothing was to be done.
	Holds
	// Conflict: another order is in progress, or the engine took others before.
	Conflict
	// Fenced: the engine has seen a higher fencing number.
	Fenced
	// Gone: the address belongs to another engine.
	Gone
	// Invalid: the engine does not understand the order.
	Invalid
	// Lost: no answer; the order may have been taken, or may be taken later.
	Lost
)

var replyNames = map[Reply]string{
	Accepted: "accepted", Holds: "holds", Conflict: "conflict", Fenced: "fenced", Gone: "gone", Invalid: "invalid", Lost: "lost",
}

// String implements fmt.Stringer.
func (r Reply) String() string { return replyNames[r] }

// Probe asks for an engine's report.
type Probe struct {
	Engine, Address string
}

// Action is one step: exactly one field is set.
type Action struct {
	Order *Order
	Probe *Probe
}

// Report is what an engine tells of itself, as it stood some hundred
// milliseconds before.
type Report struct {
	// Start is the engine's start; its counts began then.
	Start directory.Start
	// Taken is the number of orders that it has taken.
	Taken int64
	// Busy is true while it carries out an order.
	Busy bool
	// Coming holds the adapters on their way, by their models.
	Coming           []directory.Held
	Running, Waiting int
	// Said is what the head of the answer says of the engine itself.
	Said signal.Said
	directory.Holdings
}

// Adapters returns how many adapters the engine holds, those on their way not counted.
func (r *Report) Adapters() int {
	n := 0
	for _, h := range r.Models {
		n += len(h.Adapters)
	}
	return n
}

// Use is one node's report of the requests for one unit.
type Use struct {
	Unit    Unit
	Waiting int
	// Arrivals counts the requests since the node's report before.
	Arrivals int
	// SentAway counts the callers told to come back since then.
	SentAway int
	// Objective is the least objective among the arrivals; 0 if none tells one.
	Objective time.Duration
	// Urgent is the next time by which one of the waiting wants its place, a past
	// one if all are late; Last is when the last of them does. Zero if none waits.
	Urgent, Last time.Time
	// RunningAt counts the running requests by engine.
	RunningAt map[string]int
}
