package traffic

import (
	"time"

	"olivetiller/core/quarantine"
	"olivetiller/core/view"
)

// Ask is a request for a slot.
type Ask struct {
	Caller string
	// Deadline is when the caller must have its answer or refusal.
	Deadline time.Time
	// Bytes is the memory the request holds while it waits.
	Bytes int64
	// Cost is what serving it takes; at least 1.
	Cost float64
	// Avoid names the endpoints that failed the request.
	Avoid []string
	// Request names the request, and State is what is thought of it: those under which
	// engines may end run apart from each other.
	Request quarantine.Fingerprint
	State   quarantine.State
	// Retry marks a second attempt, which the retry budget must allow.
	Retry bool
	// Again marks a further attempt after one of which nothing was sent: it counts no more.
	Again bool
	// Unlimited leaves out the endpoints that limit their requests.
	Unlimited bool
	// Budget names the retry budget; "" takes that of the pool.
	Budget string
	// Objective is the time from now within which an answer is in time; 0 for
	// none. Among waiting requests the one whose time ends first goes first.
	Objective time.Duration
	// Leaves is when the caller leaves if nothing of an answer came; zero where it
	// stays until the deadline.
	Leaves time.Time
	// Affinity is equal for requests that share the beginning of their prompts; 0
	// for none.
	Affinity uint64
	// Prompt is the length of the prompt in tokens; 0 where there is none.
	Prompt int
}

// suspect reports whether engines may end under the request.
func (a *Ask) suspect() bool {
	return a.State == quarantine.Suspected || a.State == quarantine.Isolated || a.State == quarantine.OnTrial
}

// urgent is the time by which the request wants its place.
func (a *Ask) urgent(now time.Time) time.Time {
	if at := now.Add(a.Objective); a.Objective > 0 && at.Before(a.Deadline) {
		return at
	}
	return a.Deadline
}

// until is when the request stops waiting: to wait on would only keep its caller from
// asking again.
func (a *Ask) until() time.Time {
	if !a.Leaves.IsZero() && a.Leaves.Before(a.Deadline) {
		return a.Leaves
	}
	return a.Deadline
}

// Slot is a place at an endpoint.
type Slot struct {
	Endpoint view.Endpoint
	// Waited is how long the request waited for it.
	Waited time.Duration
	// Cold is true when no endpoint was ready on arrival.
	Cold bool
	// Expected is when the first forecast expected the model that the request waited
	// for; zero if there was none.
	Expected time.Time
	// Others is how many other endpoints the pool had then.
	Others int

	dispatcher *Dispatcher
	pool       *pool
	gate       *gate
	at         time.Time
	// prompt is the length of the prompt until it has been read.
	prompt int
	// suspect is true where engines may end under the request.
	suspect bool
	// limit is what the endpoint takes, in requests a second, where the request is charged to it; 0 where it named no
	// limit.
	limit float64
}

// Result is what became of a request at its endpoint.
type Result struct {
	// Err is nil when the endpoint answered.
	Err error
	// Full is true when the endpoint refused for want of room.
	Full bool
	// NotBegun is true when the endpoint is well but did not take the request.
	NotBegun bool
	// Ended is true when the endpoint's process has ended.
	Ended bool
	// Silent is true when the endpoint gave no sign in time or was not reached.
	Silent bool
	// Missing is true when the engine does not hold what the request is for.
	Missing bool
	// Running is the load the endpoint reported; negative if none.
	Running int
	// Leaving is true when the endpoint said that it takes no new work.
	Leaving bool
}

// At is when the slot was given.
func (s *Slot) At() time.Time { return s.at }

// Began notes that the answer has begun: the prompt has been read.
func (s *Slot) Began() { s.dispatcher.began(s) }

// Release gives the slot back and lets the next request in.
func (s *Slot) Release(r Result) { s.dispatcher.release(s, r) }
