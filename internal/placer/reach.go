package placer

import (
	"sync"
	"time"
)

// reach tells whether the store answers this node, by the calls that have ended. It is safe
// for concurrent use.
type reach struct {
	mu sync.Mutex
	// answered is when the latest call began that got an answer.
	answered time.Time
	lost     bool
}

// gotAnswer notes the answer to a call that began at a moment.
func (r *reach) gotAnswer(begun time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if begun.After(r.answered) {
		r.answered = begun
	}
	r.lost = false
}

// gotNone notes that a call got no answer. It says nothing where a later call got one.
func (r *reach) gotNone(begun time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = r.lost || begun.After(r.answered)
}

// away reports whether the store does not answer.
func (r *reach) away() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}
