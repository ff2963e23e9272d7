package control

import "context"

// query is a message that reads the state of the control goroutine.
type query[T any] struct {
	answer func(c *Controller) T
	reply  chan T
}

func (m query[T]) handle(c *Controller) { m.reply <- m.answer(c) }

// ask runs answer in the control goroutine and returns its result; ok is false if
// the context ended first. The result must not share state that the control
// goroutine modifies later.
func ask[T any](ctx context.Context, c *Controller, answer func(c *Controller) T) (got T, ok bool) {
	// The channel is buffered, so that the control goroutine never waits for a
	// caller that gave up.
	reply := make(chan T, 1)
	c.inbox.Send(ctx, query[T]{answer: answer, reply: reply})
	select {
	case got = <-reply:
		return got, true
	case <-ctx.Done():
		return got, false
	}
}
