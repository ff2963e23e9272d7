package logservice

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Times of a tail.
const (
	tailWait  = 5 * time.Second
	tailPage  = 500
	tailRetry = 250 * time.Millisecond
)

// Reader takes what a tail reads.
type Reader interface {
	// Next returns the offset to read from.
	Next() uint64
	// Page takes the answer to a read; err is set when the log did not answer.
	Page(p Page, err error)
}

// Tail reads a stream on and on until the context ends, while wanted says so.
func Tail(ctx context.Context, c *Client, clock clockwork.Clock, r Reader, wanted func() bool) {
	for ctx.Err() == nil {
		if !wanted() {
			pause(ctx, clock, tailRetry)
			continue
		}
		rctx, cancel := context.WithTimeout(ctx, 2*tailWait)
		p, err := c.Read(rctx, r.Next(), tailWait, tailPage)
		cancel()
		if ctx.Err() != nil {
			return
		}
		r.Page(p, err)
		if err != nil {
			pause(ctx, clock, tailRetry/2+rand.N(tailRetry))
		}
	}
}

// pause sleeps, or less if the context ends.
func pause(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-clock.After(d):
	case <-ctx.Done():
	}
}
