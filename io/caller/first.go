package caller

import (
	"sync"
	"time"
)

// firstShare is the part of a route's longest time allowed from which a request
// counts as its caller's first attempt: a repeat has less time left, by at least
// what its first attempt took.
const firstShare = 0.995

// firstAttempts tells first attempts from repeats by the time that they allow,
// since nothing else on a request does. A repeat must not be sent away again.
type firstAttempts struct {
	mu sync.Mutex
	// longest is the longest time allowed that was seen, by route.
	longest map[string]time.Duration
}

// note takes in the time that a request allows and reports whether it is a first
// attempt.
func (f *firstAttempts) note(route string, allowed time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.longest == nil {
		f.longest = make(map[string]time.Duration)
	}
	if allowed > f.longest[route] {
		f.longest[route] = allowed
	}
	return float64(allowed) >= firstShare*float64(f.longest[route])
}
