package placer

import (
	"sync"
	"time"
)

// storeHealth tracks whether the store answers this node, by the calls that have completed. It is safe for concurrent
// use.
type storeHealth struct {
	mu sync.Mutex
	// lastSuccess is when the latest call began that was answered.
	lastSuccess time.Time
	lost        bool
}

// succeeded records the answer to a call that began at a time.
func (r *storeHealth) succeeded(begun time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if begun.After(r.lastSuccess) {
		r.lastSuccess = begun
	}
	r.lost = false
}

// failed records that a call got no answer. It has no effect if a call that began later was answered.
func (r *storeHealth) failed(begun time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = r.lost || begun.After(r.lastSuccess)
}

// unavailable reports whether the store does not answer.
func (r *storeHealth) unavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}
