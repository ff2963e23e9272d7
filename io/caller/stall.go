package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/retry"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// errStalled is the cause when an endpoint gave no sign for so long that another
// one is asked instead.
var errStalled = errors.New("the endpoint gave no sign for too long; another one is asked")

// Patience with a silent endpoint, as parts of what the route calls in time. An
// engine under load pauses up to about its objective; beyond that, to go on with a
// request elsewhere serves its caller better.
const (
	wholePatience = 0.65
	firstPatience = 2.0
	pausePatience = 3.0
	// leastPatience keeps short objectives from moving requests at every hiccup.
	leastPatience = 150 * time.Millisecond
)

// stall ends an attempt at a silent endpoint when the request may be repeated and
// another endpoint takes it. Until one does, the attempt goes on.
type stall struct {
	cancel context.CancelFunc
	// between is the patience between two signs, zero for none after the first.
	between time.Duration

	mu    sync.Mutex
	timer clockwork.Timer
	ended bool
	// stalled is set once another endpoint has taken the request.
	stalled bool
}

// watchStall bounds the silence of an attempt. The context ends with it.
func (s *Server) watchStall(ctx context.Context, x *Exchange, slot *traffic.Slot, ask traffic.SlotRequest) (context.Context, *stall) {
	ctx, cancel := context.WithCancel(ctx)
	st := &stall{cancel: cancel}
	t := &x.Target
	if t.OnceOnly || t.Objective <= 0 || slot.OtherEndpoints == 0 || x.Trail.Sent+1 >= t.attempts() {
		return ctx, st
	}
	first := scale(t.Objective, wholePatience)
	if t.Stream {
		first = scale(t.Objective, firstPatience)
		if t.Pause > 0 {
			st.between = scale(t.Pause, pausePatience)
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.timer = s.Clock.AfterFunc(first, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		if st.ended {
			return
		}
		next, ok := s.Dispatcher.Switch(slot, ask)
		if !ok {
			// To give up here would leave the caller with nothing.
			st.timer.Reset(first)
			return
		}
		x.next, st.stalled = next, true
		cancel()
	})
	return ctx, st
}

func scale(d time.Duration, by float64) time.Duration {
	return max(leastPatience, time.Duration(by*float64(d)))
}

// progress notes a sign of the endpoint.
func (st *stall) progress() {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case st.timer == nil:
	case st.between > 0:
		st.timer.Reset(st.between)
	default:
		st.timer.Stop()
	}
}

// end ends the attempt. After it, no other endpoint takes the request any more.
func (st *stall) end() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	if st.timer != nil {
		st.timer.Stop()
	}
	st.cancel()
}

// explain returns the error of an attempt, with the stall as its cause if it was
// one.
func (st *stall) explain(err error) error {
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
