package traffic

import (
	"time"

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
	// Avoid names an endpoint that just failed the request.
	Avoid string
	// Retry marks a second attempt, which the retry budget must allow.
	Retry bool
}

// Slot is a place at an endpoint.
type Slot struct {
	Endpoint view.Endpoint
	// Waited is how long the request waited for it.
	Waited time.Duration
	// Cold is true when no endpoint was ready on arrival.
	Cold bool

	dispatcher *Dispatcher
	pool       *pool
	gate       *gate
	at         time.Time
}

// Result is what became of a request at its endpoint.
type Result struct {
	// Err is nil when the endpoint answered.
	Err error
	// Full is true when the endpoint refused for want of room.
	Full bool
	// NotBegun is true when the endpoint is well but did not take the request.
	NotBegun bool
	// Running is the load the endpoint reported; negative if none.
	Running int
	// Leaving is true when the endpoint said that it takes no new work.
	Leaving bool
}

// Release gives the slot back and lets the next request in.
func (s *Slot) Release(r Result) { s.dispatcher.release(s, r) }
