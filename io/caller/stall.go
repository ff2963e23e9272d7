package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/origin"
	"olivetiller/core/retry"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// errStalled is the cause of an attempt that was canceled because its endpoint sent nothing for too long and another
// one was chosen.
var errStalled = errors.New("the endpoint sent nothing for too long; the request moved to another one")

// Factors from the objectives of a route to the time after which a silent endpoint counts as stalled. A loaded engine
// may pause for about its objective; after longer silence the request is better served elsewhere.
const (
	wholeAnswerStallFactor = 0.65
	firstEventStallFactor  = 2.0
	eventGapStallFactor    = 3.0
	// minStallTimeout keeps requests with short objectives from moving at every short delay.
	minStallTimeout = 150 * time.Millisecond
)

// stall watches one attempt and cancels it if the endpoint is silent, the request may be repeated and another
// endpoint has a free slot. Until there is one, the attempt continues.
type stall struct {
	cancel context.CancelFunc
	// gapTimeout is the stall timeout after the first event; 0 to stop watching then.
	gapTimeout time.Duration

	mu    sync.Mutex
	timer clockwork.Timer
	ended bool
	// events counts the calls of progress.
	events int
	// stalled is set once a slot at another endpoint is reserved and the attempt canceled.
	stalled bool
}

// watchStall starts the watch of an attempt. The returned context is canceled when the attempt stalls or ends.
func (s *Server) watchStall(ctx context.Context, x *Exchange, slot *traffic.Slot, req traffic.SlotRequest) (context.Context, *stall) {
	ctx, cancel := context.WithCancel(ctx)
	st := &stall{cancel: cancel}
	t := &x.Target
	if t.OnceOnly || t.Objective <= 0 || slot.OtherEndpoints == 0 || x.Progress.Sent+1 >= t.attempts() {
		return ctx, st
	}
	first := stallTimeout(t.Objective, wholeAnswerStallFactor)
	if t.Stream {
		first = stallTimeout(t.Objective, firstEventStallFactor)
		if t.Pause > 0 {
			st.gapTimeout = stallTimeout(t.Pause, eventGapStallFactor)
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.timer = s.Clock.AfterFunc(first, func() { s.switchStalled(ctx, x, st, slot, req, first) })
	return ctx, st
}

// switchStalled reserves a slot at another endpoint and cancels the stalled attempt, or tries again after a while. It
// does not hold st.mu while it reserves, because that may take as long as an answer of the lease holder.
func (s *Server) switchStalled(ctx context.Context, x *Exchange, st *stall, slot *traffic.Slot, req traffic.SlotRequest, again time.Duration) {
	st.mu.Lock()
	ended, events := st.ended, st.events
	st.mu.Unlock()
	if ended {
		return
	}
	if events > 0 && x.Target.Resumable {
		req.Origin = &origin.Origin{Service: x.Target.Service, Build: slot.Endpoint.Build}
	}
	reserved, ok := s.Dispatcher.Switch(ctx, slot, req)
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case st.ended || st.events != events:
		// The attempt has ended or gone on meanwhile; progress has set the timer.
		if ok {
			reserved.Release(traffic.Result{NotStarted: true, Running: -1})
		}
	case !ok:
		// No other endpoint has a slot. Canceling now would leave the caller with nothing.
		st.timer.Reset(again)
	default:
		x.reserved, st.stalled = reserved, true
		st.cancel()
	}
}

// stallTimeout returns the objective d times a factor, but at least minStallTimeout.
func stallTimeout(d time.Duration, by float64) time.Duration {
	return max(minStallTimeout, time.Duration(by*float64(d)))
}

// progress records that the endpoint has sent something.
func (st *stall) progress() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.events++
	switch {
	case st.timer == nil:
	case st.gapTimeout > 0:
		st.timer.Reset(st.gapTimeout)
	default:
		st.timer.Stop()
	}
}

// end ends the watch and the attempt. After it, the watch reserves no slot any more.
func (st *stall) end() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	if st.timer != nil {
		st.timer.Stop()
	}
	st.cancel()
}

// withStallCause returns the error of an attempt, with errStalled as its cause if it was canceled as stalled.
func (st *stall) withStallCause(err error) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err == nil || !st.stalled {
		return err
	}
	outcome := retry.MaybeRun
	var e *endpoint.Error
	if errors.As(err, &e) {
		outcome = e.Outcome
	}
	return &endpoint.Error{Outcome: outcome, Cause: errStalled}
}
