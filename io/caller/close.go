package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"

	"olivetiller/core/refusal"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// CloseCause says why the connection of a whole request ended without a complete answer or a refusal.
type CloseCause string

// Causes of a close. Those from endpointBroke on apply if the last attempt failed and no further one was allowed.
const (
	// closePanicked means that a handler panicked after the answer had begun.
	closePanicked CloseCause = "panic"
	// closeUnread means that the caller did not read what was written to it for writeTimeout.
	closeUnread CloseCause = "callerDoesNotRead"
	// closeCallerGone means that the caller closed or reset its connection.
	closeCallerGone CloseCause = "callerGone"
	// closeStopped means that the node aborted its requests at the end of a shutdown, or refused a further attempt for it.
	closeStopped CloseCause = "shutdown"
	// closeDeadline means that the deadline passed.
	closeDeadline CloseCause = "deadline"
	// closeRetryBudget means that the retry budget allowed no further attempt.
	closeRetryBudget CloseCause = "retryBudget"
	// closeNoSlot means that no endpoint took a further attempt, and closeBuildGone that none of the stream's build was left.
	closeNoSlot    CloseCause = "noSlot"
	closeBuildGone CloseCause = "buildGone"
	// closeKeyInvalid means that the customer's key was withdrawn, or that the node could not confirm it.
	closeKeyInvalid CloseCause = "keyInvalid"
	// closeQuarantined means that the request is withheld from engines.
	closeQuarantined CloseCause = "quarantined"
	// closeEndpointBroke means that the endpoint broke the connection.
	closeEndpointBroke CloseCause = "endpointBroke"
	// closeEndpointRefused means that the endpoint did not start the request.
	closeEndpointRefused CloseCause = "endpointRefused"
	// closeEndpointFailed means that the endpoint answered with a failure.
	closeEndpointFailed CloseCause = "endpointFailed"
	// closeStalled means that this node canceled the attempt because its endpoint was silent.
	closeStalled CloseCause = "stalled"
	// closeUnconfirmed means that it was not certain that the endpoint was still the process that was chosen.
	closeUnconfirmed CloseCause = "unconfirmed"
	// closeOther is any other failure of an attempt, or an internal error.
	closeOther CloseCause = "other"
)

// errStopped is the cause with which the contexts of requests are canceled at the end of a shutdown.
var errStopped = errors.New("this node is shutting down")

// ending is what is known of a request that ended without a complete answer.
type ending struct {
	// err is the error of the handler; nil if it wrote a complete answer.
	err error
	// writeErr is the first error of a write to the caller.
	writeErr error
	// canceled is the cause with which the context of the request was canceled; nil if it was not.
	canceled error
	// attemptErr is the error of the last attempt, and slotErr the reason for which no further one got a slot.
	attemptErr, slotErr error
	// late is true if the deadline has passed.
	late bool
}

// callerLeft reports whether a refusal could not be written.
func (e *ending) callerLeft() bool {
	return e.writeErr != nil || e.canceled != nil && !errors.Is(e.canceled, errStopped)
}

// closeCause derives the cause of a close. What ends the connection itself goes before what ended the last attempt, since
// an attempt is also canceled when its caller leaves.
func closeCause(e *ending) CloseCause {
	var panicked *panicError
	switch {
	case errors.As(e.err, &panicked):
		return closePanicked
	case errors.Is(e.canceled, errStopped):
		return closeStopped
	case errors.Is(e.writeErr, os.ErrDeadlineExceeded):
		return closeUnread
	case e.writeErr != nil, e.canceled != nil:
		return closeCallerGone
	case e.late, e.err != nil && refusal.As(e.err).Kind == refusal.TimedOut:
		return closeDeadline
	case e.slotErr != nil:
		return slotCause(e.slotErr)
	}
	return attemptCause(e.attemptErr)
}

// slotCause returns the cause of a close for want of a slot.
func slotCause(err error) CloseCause {
	var budget *traffic.RetryBudgetError
	if errors.As(err, &budget) {
		return closeRetryBudget
	}
	switch refusal.As(err).Kind {
	case refusal.Stopping:
		return closeStopped
	case refusal.BuildGone:
		return closeBuildGone
	case refusal.Unauthorized, refusal.KeysUnknown:
		return closeKeyInvalid
	case refusal.Quarantined:
		return closeQuarantined
	case refusal.Internal:
		return closeOther
	}
	return closeNoSlot
}

// attemptCause returns the cause of a close after an attempt that failed.
func attemptCause(err error) CloseCause {
	var e *endpoint.Error
	var unconfirmed *unconfirmedError
	switch {
	case !errors.As(err, &e):
		return closeOther
	case wasReplaced(e):
		return closeStalled
	case errors.As(e.Cause, &unconfirmed):
		return closeUnconfirmed
	case e.Refused:
		return closeEndpointRefused
	case e.Answered:
		return closeEndpointFailed
	case e.ConnectionBroken:
		return closeEndpointBroke
	}
	return closeOther
}

// logClose logs and counts a request that ended without a complete answer or a refusal. err is the error of its handler.
func (s *Server) logClose(ctx context.Context, x *Exchange, err error) {
	now, w := s.Clock.Now(), writerOf(x.W)
	last, sent := x.Start, int64(0)
	if x.Began && !w.last.IsZero() {
		last, sent = w.last, w.bytes
	}
	cause := closeCause(s.endingOf(ctx, x, err))
	s.Metrics.Closed.Add(string(cause), 1)
	s.Logger.Info("closed without a complete answer", append(x.logArgs(), "cause", string(cause), "events", x.Progress.Events, "bytes", sent,
		"silentMs", now.Sub(last).Milliseconds(), "endpoints", x.tried, "attemptLimit", x.Target.attempts(), "attemptError", errorText(x.attemptErr),
		"slotError", errorText(x.slotErr), "writeError", errorText(w.err), "canceled", errorText(context.Cause(ctx)), "error", errorText(err),
		"allowedMs", x.Allowed.Milliseconds(), "tookMs", now.Sub(x.Start).Milliseconds())...)
}

// endingOf returns what is known of a request that ended. ctx is the context of its connection.
func (s *Server) endingOf(ctx context.Context, x *Exchange, err error) *ending {
	e := &ending{
		err: err, writeErr: writerOf(x.W).err, canceled: context.Cause(ctx), attemptErr: x.attemptErr, slotErr: x.slotErr,
		late: !x.Deadline.IsZero() && s.Clock.Now().After(x.Deadline),
	}
	if s.closed.Load() {
		e.canceled = errStopped
	}
	return e
}

// errorText returns the text of an error; "" for none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// panicError is the error of a handler that panicked.
type panicError struct{ value any }

// Error implements error.
func (e *panicError) Error() string { return fmt.Sprintf("handler panicked: %v", e.value) }

// recoverPanic turns a panic of an inner handler into an error, since net/http would close the connection without an answer.
func (s *Server) recoverPanic(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (err error) {
		defer func() {
			v := recover()
			if v == http.ErrAbortHandler {
				panic(v)
			}
			if v != nil {
				s.Logger.Error("handler panicked", "requestId", x.ID, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
				err = &panicError{v}
			}
		}()
		return next(ctx, x)
	}
}
