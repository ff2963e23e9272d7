// Package inbox carries messages to the one goroutine that owns a state.
//
// The problem: readers, peers and timers learn things on goroutines of their own,
// and only one goroutine may change the state. The model: they send messages; the
// owner handles one, then what else waits, and only then acts, so that one step
// serves all of them. A sender is held up while the inbox is full, until its context
// or the owner ends.
package inbox

import "context"

// Inbox holds the messages of type M that wait for the owner.
type Inbox[M any] struct {
	// C is what the owner receives from.
	C     chan M
	ended chan struct{}
}

// New returns an inbox for a number of messages.
func New[M any](size int) *Inbox[M] {
	return &Inbox[M]{C: make(chan M, size), ended: make(chan struct{})}
}

// Send tells the owner something; it reports false when the context or the owner
// has ended first.
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

// Offer tells the owner something unless the inbox is full.
func (b *Inbox[M]) Offer(m M) bool {
	select {
	case b.C <- m:
		return true
	default:
		return false
	}
}

// Drain handles what waits now.
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

// End lets all senders go. The owner calls it once, when it stops receiving.
func (b *Inbox[M]) End() { close(b.ended) }
