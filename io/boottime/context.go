package boottime

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithTimeout returns a context that ends after a time by a clock; its cause is
// context.DeadlineExceeded then. Unlike one with a deadline it hands no moment of the clock to
// libraries, which would compare it with the time of day.
func WithTimeout(parent context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := clock.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
