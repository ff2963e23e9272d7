package placer

import (
	"context"
	"sync"
)

// sharedRead shares the results of reads among callers that ask at about the same time. The read whose result a caller
// gets begins after the caller asked. The zero value is ready for use.
type sharedRead[T any] struct {
	mu sync.Mutex
	// running is the read in progress, and next the one that begins after it; nil if there is none.
	running, next *readResult[T]
}

// readResult is the result of one read, once done is closed.
type readResult[T any] struct {
	done  chan struct{}
	value T
}

// Read returns the result of a read that begins after the call. If ctx ends before, it returns the zero value.
func (s *sharedRead[T]) Read(ctx context.Context, read func() T) (value T) {
	r := s.join(read)
	select {
	case <-r.done:
		return r.value
	case <-ctx.Done():
		return value
	}
}

// join returns the read that is to begin next, and begins it if none is in progress.
func (s *sharedRead[T]) join(read func() T) *readResult[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &readResult[T]{done: make(chan struct{})}
		if s.running == nil {
			s.begin(read)
			return s.running
		}
	}
	return s.next
}

// begin begins the next read. The caller holds s.mu.
func (s *sharedRead[T]) begin(read func() T) {
	s.running, s.next = s.next, nil
	go s.run(s.running, read)
}

func (s *sharedRead[T]) run(r *readResult[T], read func() T) {
	r.value = read()
	close(r.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = nil
	if s.next != nil {
		s.begin(read)
	}
}
