package control

import "context"

// question asks the control goroutine for something it owns.
type question[T any] struct {
	answer func(c *Controller) T
	reply  chan T
}

func (m question[T]) handle(c *Controller) { m.reply <- m.answer(c) }

// ask returns what the control goroutine answers; ok is false when the context
// ended first. The answer must not share state that the goroutine goes on to
// change.
func ask[T any](ctx context.Context, c *Controller, answer func(c *Controller) T) (got T, ok bool) {
	// The channel has room, so that the control goroutine never waits for a
	// caller that has gone.
	reply := make(chan T, 1)
	c.inbox.Send(ctx, question[T]{answer: answer, reply: reply})
	select {
	case got = <-reply:
		return got, true
	case <-ctx.Done():
		return got, false
	}
}
