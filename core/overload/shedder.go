// Package overload decides which new connections a node closes unread while it has too little processor time for those
// that it serves.
//
// A request that was read must be answered, however late, and counts as the node's failure if it is not. A connection that
// was closed unread is tried again at another node. So a node to which most new connections go takes as many as it can
// serve and closes the others at once.
//
// The measure is the lateness of timers: how long a goroutine that could run waits for a processor. Each request waits
// that long some dozen times.
package overload

import "time"

// SampleInterval is the time between two samples of the lateness of timers.
const SampleInterval = 25 * time.Millisecond

const (
	// Above maxLateness connections are closed, the more the later timers are; at closeAllLateness all of them.
	maxLateness      = 4 * time.Millisecond
	closeAllLateness = 24 * time.Millisecond
	// samples is the number of samples of which the least counts, so that a pause counts only if it lasts.
	samples = 4
	// minRate is the number of connections a second that are always taken. A node that is late because of its neighbours
	// and not of its callers closes none, and the taken ones show when the node is in time again.
	minRate = 16.0
)

// Shedder chooses the connections to close. It is not safe for concurrent use.
type Shedder struct {
	// recent holds the latest samples; next is the index of the oldest.
	recent [samples]time.Duration
	next   int
	// due counts up to 1 by the share to close; a connection is closed when it is reached.
	due float64
	// free is the number of connections that are taken in any case, as of freeAt.
	free   float64
	freeAt time.Time
}

// Observe records how late a timer fired.
func (s *Shedder) Observe(lateness time.Duration) {
	s.recent[s.next] = lateness
	s.next = (s.next + 1) % samples
}

// share returns the share of new connections to close, in [0, 1].
func (s *Shedder) share() float64 {
	least := s.recent[0]
	for _, d := range s.recent {
		least = min(least, d)
	}
	return min(1, max(0, float64(least-maxLateness)/float64(closeAllLateness-maxLateness)))
}

// Take reports whether a new connection is taken; otherwise it is to be closed unread.
func (s *Shedder) Take(now time.Time) bool {
	s.free = min(minRate, s.free+now.Sub(s.freeAt).Seconds()*minRate)
	s.freeAt = now
	if s.free >= 1 {
		s.free--
		return true
	}
	if s.due += s.share(); s.due < 1 {
		return true
	}
	s.due--
	return false
}
