package hosted

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/overload"
)

// shedder is an overload.Shedder that observes the timers of a clock. It is safe for concurrent use.
type shedder struct {
	clock clockwork.Clock
	mu    sync.Mutex
	s     overload.Shedder
}

// take reports whether a new connection of a caller is taken.
func (s *shedder) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.s.Take(s.clock.Now())
}

// run observes how late timers fire until ctx ends.
func (s *shedder) run(ctx context.Context) {
	for {
		due := s.clock.Now().Add(overload.SampleInterval)
		timer := s.clock.NewTimer(overload.SampleInterval)
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return
		}
		s.mu.Lock()
		s.s.Observe(s.clock.Now().Sub(due))
		s.mu.Unlock()
	}
}
