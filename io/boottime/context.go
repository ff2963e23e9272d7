package boottime

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithTimeout returns a context that is canceled with the cause context.DeadlineExceeded after d by the given clock.
// Unlike context.WithTimeout it sets no deadline, because libraries would compare a time of this clock with the
// time of day.
func WithTimeout(parent context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := clock.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
