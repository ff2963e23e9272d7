package logservice

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Parameters of a tail: how long a read waits for the first record, the maximum number of records in a read, and the
// mean backoff after a failed read.
const (
	tailWait        = 5 * time.Second
	tailPageRecords = 500
	tailBackoff     = 250 * time.Millisecond
)

// Reader receives what Tail reads.
type Reader interface {
	// Next returns the offset of the next read.
	Next() uint64
	// Page handles the answer to a read; err is set if the read failed.
	Page(p Page, err error)
}

// Tail reads a stream repeatedly until ctx ends. While wanted returns false, it polls wanted instead of the log.
func Tail(ctx context.Context, c *Client, clock clockwork.Clock, r Reader, wanted func() bool) {
	for ctx.Err() == nil {
		if !wanted() {
			pause(ctx, clock, tailBackoff)
			continue
		}
		rctx, cancel := context.WithTimeout(ctx, 2*tailWait)
		p, err := c.Read(rctx, r.Next(), tailWait, tailPageRecords)
		cancel()
		if ctx.Err() != nil {
			return
		}
		r.Page(p, err)
		if err != nil {
			pause(ctx, clock, tailBackoff/2+rand.N(tailBackoff))
		}
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-clock.After(d):
	case <-ctx.Done():
	}
}
