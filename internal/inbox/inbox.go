// Package inbox passes messages to the single goroutine that owns some state.
//
// Readers, peers and timers run on their own goroutines, but only the owner may change the state. They send messages
// to an [Inbox]; the owner handles one, then all others that wait ([Inbox.Drain]), and only then acts, so that one
// step covers all of them. A sender blocks while the inbox is full, until its context or the owner ends. Packages
// internal/placer and internal/control use it for their controllers.
package inbox

import "context"

// Inbox is a bounded queue of messages of type M.
type Inbox[M any] struct {
	// C is the channel from which the owner receives.
	C     chan M
	ended chan struct{}
}

// New returns an inbox that buffers up to size messages.
func New[M any](size int) *Inbox[M] {
	return &Inbox[M]{C: make(chan M, size), ended: make(chan struct{})}
}

// Send queues a message and waits for space if the inbox is full. It returns false if ctx or the owner ends first.
func (b *Inbox[M]) Send(ctx context.Context, m M) bool {
	select {
	case b.C <- m:
		return true
	case <-ctx.Done():
		return false
	case <-b.ended:
		return false
	}
}

// Offer queues a message unless the inbox is full, and reports whether it did.
func (b *Inbox[M]) Offer(m M) bool {
	select {
	case b.C <- m:
		return true
	default:
		return false
	}
}

// Drain handles the queued messages, at most as many as the inbox can buffer.
func (b *Inbox[M]) Drain(handle func(M)) {
	for range cap(b.C) {
		select {
		case m := <-b.C:
			handle(m)
		default:
			return
		}
	}
}

// End makes all current and later calls of Send return. The owner calls it once, when it stops receiving.
func (b *Inbox[M]) End() { close(b.ended) }
