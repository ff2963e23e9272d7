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

// Tail reads a stream on and on until the context ends.
func Tail(ctx context.Context, c *Client, clock clockwork.Clock, r Reader) {
	for ctx.Err() == nil {
		rctx, cancel := context.WithTimeout(ctx, 2*tailWait)
		p, err := c.Read(rctx, r.Next(), tailWait, tailPage)
		cancel()
		if ctx.Err() != nil {
			return
		}
		r.Page(p, err)
		if err != nil {
			clock.Sleep(tailRetry/2 + rand.N(tailRetry))
		}
	}
}
