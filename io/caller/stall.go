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
// one has taken its place.
var errStalled = errors.New("the endpoint sent nothing for too long; the request moved to another one")

// Factors from the objectives of a route to the time after which a silent endpoint counts as stalled. A loaded engine
// may pause for about its objective; after longer silence a second endpoint may be the faster one.
const (
	wholeAnswerStallFactor = 0.65
	firstEventStallFactor  = 2.0
	eventGapStallFactor    = 3.0
	// minStallTimeout keeps requests with short objectives from moving at every short delay.
	minStallTimeout = 150 * time.Millisecond
)

// maxStreamOverlap limits the time for which two endpoints work on one stream. The platform allows 400 ms, of which a
// part goes by until the endpoint notices that its connection was closed.
const maxStreamOverlap = 250 * time.Millisecond

// timerError is how much earlier than its time a timer may end.
const timerError = 5 * time.Millisecond

// maxTimerDelay is the delay of a timer above which this node, and not the endpoint, is taken for the one that stood
// still: what the endpoint sent meanwhile has not been read.
const maxTimerDelay = 100 * time.Millisecond

// stall watches one attempt. If the endpoint is silent, the request may be repeated and another endpoint has a free slot,
// it opens a standby there; earlier, and within the operator's limit, if the answer is later than nearly all of its kind.
// The attempt goes on until the standby has an event or a whole answer: a silent endpoint may send again at any time, and
// the other one may refuse the request or break off. The first to send something serves the caller, and the other one is
// canceled.
type stall struct {
	s      *Server
	x      *Exchange
	slot   *traffic.Slot
	cancel context.CancelFunc
	// first is the stall timeout before the first event. gap is the one after it; 0 to stop watching then.
	first, gap time.Duration
	// req is the slot request for a standby.
	req traffic.SlotRequest
	// late decides on an extra attempt before the first stall timeout.
	late lateness

	mu    sync.Mutex
	timer clockwork.Timer
	// due is when timer was set to end.
	due   time.Time
	ended bool
	// events counts the calls of forwarded, and position is the position in the stream after the latest one.
	events   int
	position string
	// forwarding is true while events of the attempt are being forwarded.
	forwarding bool
	// retryAfter is the time to the next standby if the latest one failed; 0 if there was none since the latest event.
	retryAfter time.Duration
	// standby is under way; nil for none. Whoever sets it to nil owns it.
	standby *standby
	// replaced is set once the standby has taken the place of the attempt, which is canceled then.
	replaced bool
}

// watchStall starts the watch of an attempt that begins at a position in the stream. The returned context is canceled when
// the attempt is replaced or ends.
func (s *Server) watchStall(ctx context.Context, x *Exchange, slot *traffic.Slot, req traffic.SlotRequest, position string) (context.Context, *stall) {
	requestCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	st := &stall{s: s, x: x, slot: slot, cancel: cancel, req: req, position: position}
	t := &x.Target
	now := s.Clock.Now()
	st.watchLate(now)
	if t.OnceOnly || slot.OtherEndpoints == 0 || !x.mayOpenStandby() {
		return ctx, st
	}
	if t.Objective > 0 {
		st.setTimeouts(t)
	}
	wait := st.arm()
	if wait <= 0 {
		return ctx, st
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.due = now.Add(wait)
	st.timer = s.Clock.AfterFunc(wait, func() { st.openStandby(requestCtx) })
	return ctx, st
}

// setTimeouts sets the stall timeouts from the objectives of a target.
func (st *stall) setTimeouts(t *Target) {
	st.first = stallTimeout(t.Objective, wholeAnswerStallFactor)
	if t.Stream {
		st.first = stallTimeout(t.Objective, firstEventStallFactor)
		if t.Pause > 0 {
			st.gap = stallTimeout(t.Pause, eventGapStallFactor)
		}
	}
}

// mayOpenStandby reports whether the request may be sent to a further endpoint beside the one of the attempt in progress.
func (x *Exchange) mayOpenStandby() bool { return x.ran+x.canceled+1 < x.Target.attempts() }

// stallTimeout returns the objective d times a factor, but at least minStallTimeout.
func stallTimeout(d time.Duration, by float64) time.Duration {
	return max(minStallTimeout, time.Duration(by*float64(d)))
}

// openStandby opens a standby for an attempt whose endpoint is silent or late and waits for it, or tries again after a while.
// It does not hold st.mu while it acquires a slot, because that may take as long as an answer of the lease holder.
func (st *stall) openStandby(ctx context.Context) {
	s, x := st.s, st.x
	now := s.Clock.Now()
	st.mu.Lock()
	events, position, req, wait := st.events, st.position, st.req, st.ended || st.forwarding || !x.mayOpenStandby()
	// If the timer was set anew after it had ended, another call follows.
	wait = wait || st.due.Sub(now) > timerError
	extra := !wait && st.late.armed
	if extra {
		st.late.armed = false
	}
	switch {
	case wait:
	case now.Sub(st.due) > maxTimerDelay:
		wait = true
		st.putOff(extra, minStallTimeout, retry.DeniedByDelay)
	case x.checkKey() != nil:
		// The key was withdrawn: what has begun goes on, and nothing is sent for it any more.
		wait = true
		st.putOff(extra, st.timeout(), retry.DeniedByKey)
	}
	st.mu.Unlock()
	if wait {
		return
	}
	if events > 0 && x.Target.Resumable {
		req.Origin = &origin.Origin{Service: x.Target.Service, Build: st.slot.Endpoint.Build}
	}
	req.State = s.Isolation.State(x.subjects...)
	var sb *standby
	var second *traffic.Slot
	var ok bool
	if extra {
		second, ok = st.acquireExtra(req)
	} else {
		second, ok = s.Dispatcher.Switch(ctx, st.slot, req)
	}
	st.mu.Lock()
	switch current := !st.ended && !st.forwarding && st.events == events; {
	case !current && ok:
		second.Release(traffic.Result{NotStarted: true, Running: -1})
		if extra {
			s.Extra.putBack(s.Clock.Now())
		}
	case current && !ok && extra:
		st.rearmAfterExtra()
	case current && !ok:
		st.rearm(st.timeout())
	case current:
		if extra {
			st.logExtra(second.Endpoint.Name)
		} else {
			s.Logger.Info("opened a standby at another endpoint", "requestId", x.ID, "endpoint", st.slot.Endpoint.Name, "standby", second.Endpoint.Name,
				"events", events, "position", position)
		}
		sb = s.openStandby(ctx, x, second, position, extra)
		st.standby = sb
	}
	st.mu.Unlock()
	if sb != nil {
		st.awaitStandby(sb)
	}
}

// awaitStandby waits until the standby of an attempt has opened, or two endpoints may no longer work on the stream, and
// decides which of them goes on.
func (st *stall) awaitStandby(sb *standby) {
	var overlapped <-chan time.Time
	if st.x.Target.Stream {
		timer := st.s.Clock.NewTimer(maxStreamOverlap)
		defer timer.Stop()
		overlapped = timer.Chan()
	}
	state := retry.Standby{}
	select {
	case <-sb.opened:
		state.Opened, state.Failed = true, sb.failed()
	case <-overlapped:
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.standby != sb {
		return
	}
	state.FirstBegan = st.events > 0
	if state.Replaces() {
		st.replaced, st.late.lost = true, sb.extra && (st.first <= 0 || st.s.Clock.Since(st.late.started) < st.first)
		st.cancel()
		return
	}
	st.discard()
	st.afterDiscard(sb)
}

// timeout returns the stall timeout that applies now. st.mu must be held.
func (st *stall) timeout() time.Duration {
	if st.events > 0 && st.gap > 0 {
		return st.gap
	}
	return st.first
}

// putOff sets the timer of an attempt beside which no standby opens now, to a time from now, or to the stall timeout if it
// would have been an extra attempt. st.mu must be held.
func (st *stall) putOff(extra bool, d time.Duration, reason retry.Denial) {
	if extra {
		st.deny(reason)
		st.rearmAfterExtra()
		return
	}
	st.rearm(d)
}

// rearm sets the timer. st.mu must be held.
func (st *stall) rearm(d time.Duration) {
	st.due = st.s.Clock.Now().Add(d)
	st.timer.Reset(d)
}

// claim reports whether the attempt may forward what its endpoint sent. It may not once a standby has replaced it;
// otherwise a standby is discarded. If it reports true, forwarded must be called unless the attempt ends.
func (st *stall) claim() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.replaced {
		return false
	}
	st.forwarding = true
	if st.standby != nil {
		st.discard()
	}
	return true
}

// discard discards the standby. st.mu must be held.
func (st *stall) discard() {
	st.s.discard(st.x, st.standby)
	st.standby = nil
}

// forwarded records that events of the attempt were forwarded, up to a position in the stream.
func (st *stall) forwarded(position string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.forwarding, st.retryAfter = false, 0
	st.observe()
	st.late.armed = false
	st.events++
	st.position = position
	switch {
	case st.timer == nil:
	case st.gap > 0:
		st.rearm(st.gap)
	default:
		st.timer.Stop()
	}
}

// end ends the watch and the attempt. The exchange gets the standby that is under way, if there is one.
func (st *stall) end() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	st.observeUnanswered()
	st.x.standby, st.standby = st.standby, nil
	if st.timer != nil {
		st.timer.Stop()
	}
	st.cancel()
}

// withStallCause returns the error of an attempt, with errStalled or errLate as its cause if a standby has replaced it.
func (st *stall) withStallCause(err error) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if err == nil || !st.replaced {
		return err
	}
	outcome := retry.MaybeRun
	var e *endpoint.Error
	if errors.As(err, &e) {
		outcome = e.Outcome
	}
	return &endpoint.Error{Outcome: outcome, Cause: st.cause()}
}
