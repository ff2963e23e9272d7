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
func (h *storeHealth) succeeded(begun time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if begun.After(h.lastSuccess) {
		h.lastSuccess = begun
	}
	h.lost = false
}

// failed records that a call got no answer. It has no effect if a call that began later was answered.
func (h *storeHealth) failed(begun time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost = h.lost || begun.After(h.lastSuccess)
}

// unavailable reports whether the store does not answer.
func (h *storeHealth) unavailable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}
