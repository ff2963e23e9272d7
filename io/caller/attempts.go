package caller

import (
	"context"
	"errors"
	"strconv"
	"time"

	"olivetiller/core/answerlimit"
	"olivetiller/core/quarantine"
	"olivetiller/core/refusal"
	"olivetiller/core/retry"
	"olivetiller/internal/isolation"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// attemptFunc sends the request to the endpoint of slot, which was acquired with req, and reports to run when the
// endpoint starts and how it answers. The result goes back to the dispatcher when the slot is released.
type attemptFunc func(ctx context.Context, slot *traffic.Slot, req traffic.SlotRequest, run *isolation.Run) (traffic.Result, error)

// attempts calls do with one slot after another until an endpoint answers or no further attempt is allowed.
func (s *Server) attempts(ctx context.Context, x *Exchange, do attemptFunc) error {
	req := newSlotRequest(x)
	defer func() {
		if x.standby != nil {
			s.discard(x, x.standby)
		}
	}()
	defer func() {
		if x.trial {
			// The trial may have ended without an attempt, because no slot was found.
			s.Isolation.EndTrial(x.subjects...)
		}
	}()
	for sent := 1; ; sent++ {
		slot, unlock, err := s.nextSlot(ctx, x, &req)
		if err != nil {
			if x.ran == 0 {
				return err
			}
			// An earlier attempt may have run, so the refusal for the missing slot, which promises the opposite, must
			// not be returned as it is.
			x.slotErr = err
			return s.refusalFor(finalStep(x), x, err)
		}
		s.recordSlot(x, slot)
		if sent == 1 {
			s.Extra.addFirst(s.Clock.Now())
		}
		run, err := s.startRun(ctx, x, slot)
		result := traffic.Result{NotStarted: true, Running: -1}
		if err == nil {
			result, err = do(ctx, slot, req, run)
		}
		result.Ended = reportRun(ctx, run, err)
		unlock(err == nil)
		slot.Release(result)
		s.logAttempt(x, slot, sent, err)
		s.recordExcess(x, slot.Endpoint.Name, err)
		if err == nil {
			return nil
		}
		outcome := outcomeOf(err)
		if outcome != retry.NotSent {
			x.ran++
		}
		step := retry.Next(retry.Attempt{
			Outcome: outcome, OnceOnly: x.Target.OnceOnly, Ran: x.ran, Attempts: x.Target.attempts(),
			Late: s.Clock.Now().After(x.Deadline), CallerGone: ctx.Err() != nil, Withheld: s.Isolation.State(x.subjects...) == quarantine.Quarantined,
		})
		if step == retry.Repeat && x.standby == nil && answerlimit.IsNoRoom(err) {
			// Another endpoint's answer would find no room here either. Another node may have some.
			step = finalStep(x)
		}
		if step != retry.Repeat {
			return s.refusalFor(step, x, err)
		}
		req.Resend = nothingSent(err)
		s.Metrics.Retries.Add(outcome.String(), 1)
		req.Avoid = append(req.Avoid, slot.Endpoint.Name)
		req.Retry = outcome != retry.NotSent || x.Target.Budget != ""
		if outcome == retry.NotSent && !result.Full {
			s.Clock.Sleep(notStartedPause)
		}
	}
}

// startRun returns the run of the next attempt, which is about to be sent or is that of the standby. It fails if the
// endpoint has crashed and started again since it was chosen.
func (s *Server) startRun(ctx context.Context, x *Exchange, slot *traffic.Slot) (*isolation.Run, error) {
	if x.standby != nil {
		return x.standby.run, nil
	}
	run := s.Isolation.Send(x.Fingerprint, slot.Endpoint, x.parts()...)
	run.Service = x.Target.Service
	return run, verify(ctx, run)
}

// verify returns an *endpoint.Error if the endpoint of a run has crashed and started again since it was chosen.
func verify(ctx context.Context, run *isolation.Run) error {
	if err := run.Verify(ctx); err != nil {
		return &endpoint.Error{Outcome: retry.NotSent, Cause: err}
	}
	return nil
}

// newSlotRequest returns the slot request for the first attempt of an exchange.
func newSlotRequest(x *Exchange) traffic.SlotRequest {
	req := traffic.SlotRequest{
		Caller: x.Caller.GetName(), Deadline: x.Deadline, Bytes: int64(len(x.Body)), Cost: x.Target.Cost,
		Budget: x.Target.Budget, Objective: x.Target.Objective, Affinity: x.Target.Affinity,
		Prompt: x.Target.TokensIn, RequestFingerprint: x.Fingerprint, Service: x.Target.Service, Resumable: x.Target.Resumable,
	}
	if x.Target.Ranked {
		req.Ranked, req.Rank, req.Ahead = true, x.Target.Priority, &x.Progress.Ahead
		if x.Customer != nil {
			req.Caller = x.Customer.Name
		}
	}
	return req
}

// nextSlot waits for the slot of the next attempt and, for a request in isolation, for the lock under which one copy
// runs at a time. It refuses a request that is quarantined: otherwise one that crashes its engines is sent again by
// every node (30 times when its caller submitted it 15 times to 3 nodes, and 4 times with this check). The state is
// checked again once the slot is granted, since the wait may have been long. The caller must call unlock when the
// attempt is over, with whether an endpoint answered it. A standby already has its slot.
func (s *Server) nextSlot(ctx context.Context, x *Exchange, req *traffic.SlotRequest) (slot *traffic.Slot, unlock func(answered bool), err error) {
	if x.standby != nil {
		s.update(x, req)
		return x.standby.slot, func(bool) {}, nil
	}
	if !x.trial {
		trial, err := s.Isolation.Admit(ctx, x.subjects...)
		if err != nil {
			return nil, nil, err
		}
		x.trial = trial
	}
	s.update(x, req)
	slot, err = s.Dispatcher.Acquire(ctx, x.Target.Pool, *req)
	if err != nil {
		return nil, nil, err
	}
	unlock = func(bool) {}
	if !x.trial {
		unlock, err = s.Isolation.AcquireRun(ctx, x.subjects...)
	}
	if err == nil {
		if err = x.checkKey(); err != nil {
			unlock(true)
		}
	}
	if err != nil {
		slot.Release(traffic.Result{NotStarted: true, Running: -1})
		return nil, nil, err
	}
	return slot, unlock, nil
}

// update updates what has changed of a slot request since the attempt before.
func (s *Server) update(x *Exchange, req *traffic.SlotRequest) {
	req.AbandonAt, req.Began, req.State, req.Origin = s.abandonAt(x), x.Began, s.Isolation.State(x.subjects...), x.origin
}

// reportRun reports to run how its attempt ended. It returns true if the endpoint's process crashed with it.
func reportRun(ctx context.Context, run *isolation.Run, err error) (crashed bool) {
	var e *endpoint.Error
	switch {
	case err == nil:
		// Whether the answer was a good one was reported when it was read.
		run.Answered(false)
	case !errors.As(err, &e), wasReplaced(e):
		run.Abandoned()
	case e.Refused, e.Answered:
		run.Answered(false)
	case e.Outcome == retry.NotSent:
		run.NotSent()
	case e.ConnectionBroken:
		return run.ConnectionBroke(ctx)
	default:
		run.Abandoned()
	}
	return false
}

// abandonAt returns when the caller gives up if it receives no event; zero if it waits until its deadline.
func (s *Server) abandonAt(x *Exchange) time.Time {
	switch {
	case x.Target.FirstEventTimeout <= 0:
		return time.Time{}
	case x.Began:
		return s.Clock.Now().Add(x.Target.FirstEventTimeout)
	}
	return x.Start.Add(x.Target.FirstEventTimeout)
}

// logAttempt records an attempt in the exchange and logs it if it failed. n is the number of the attempt, from 1.
func (s *Server) logAttempt(x *Exchange, slot *traffic.Slot, n int, err error) {
	x.Progress.Sent, x.Progress.Endpoint, x.Progress.Build = n, slot.Endpoint.Name, slot.Endpoint.Build
	if err == nil {
		return
	}
	x.attemptErr, x.tried = err, append(x.tried, slot.Endpoint.Name)
	s.Logger.Info("attempt failed", "requestId", x.ID, "fingerprint", x.Fingerprint.String(), "attempt", n, "endpoint", slot.Endpoint.Name, "build", slot.Endpoint.Build.String(), "address", slot.Endpoint.Address,
		"pool", x.Target.Pool, "waitedMs", slot.Waited.Milliseconds(), "outcome", outcomeOf(err).String(),
		"heldMs", s.Clock.Now().Sub(slot.GrantedAt()).Milliseconds(), "events", x.Progress.Events, "sends", sendsOf(err), "gateway", x.Progress.Gateway, "parts", partNames(x.parts()), "error", err.Error())
}

// partNames returns the names of parts of a prompt for the log.
func partNames(parts []quarantine.Fingerprint) []string {
	out := make([]string, 0, len(parts))
	for _, f := range parts {
		out = append(out, f.String())
	}
	return out
}

// finalStep returns how a request ends that may have run and gets no further attempt.
func finalStep(x *Exchange) retry.Step {
	return retry.Next(retry.Attempt{Outcome: retry.MaybeRun, OnceOnly: x.Target.OnceOnly, Ran: 1, Attempts: 1})
}

// refusalFor converts the error of the last attempt to the refusal for the given step, whose kind says whether the
// request may have run.
func (s *Server) refusalFor(step retry.Step, x *Exchange, err error) error {
	switch step {
	case retry.TimedOut:
		return refusal.New(refusal.TimedOut, "%s did not answer in time: %v", x.Progress.Endpoint, err)
	case retry.NotBegun:
		return refusal.New(refusal.NoEndpoint, "no endpoint of %s took the request: %v", x.Target.Pool, err)
	case retry.Withheld:
		if held := s.Isolation.Blocked(x.subjects...); held != nil {
			return held
		}
		return refusal.New(refusal.NoEndpoint, "no endpoint of %s took the request: %v", x.Target.Pool, err)
	case retry.Unknown:
		return refusal.New(refusal.OutcomeUnknown, "the request was sent and its outcome is unknown: %v", err)
	}
	return refusal.New(refusal.EndpointFailed, "endpoints of %s failed: %v", x.Target.Pool, err)
}

// outcomeOf returns the outcome of a failed attempt; MaybeRun for an error of unknown origin.
func outcomeOf(err error) retry.Outcome {
	var e *endpoint.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return retry.MaybeRun
}

// sendsOf returns on how many connections part of the request of a failed attempt may have been sent.
func sendsOf(err error) int {
	var e *endpoint.Error
	if errors.As(err, &e) {
		return e.Sends
	}
	return 0
}

// nothingSent reports whether no byte of the request was sent, because its check failed or no connection was made.
func nothingSent(err error) bool {
	var e *endpoint.Error
	return errors.As(err, &e) && e.Outcome == retry.NotSent && e.Sends == 0
}

// failedResult converts the error of an attempt to its result for the dispatcher.
func failedResult(err error) traffic.Result {
	r := traffic.Result{Err: err, Running: -1}
	var e *endpoint.Error
	if errors.As(err, &e) {
		r.Full, r.Missing, r.Draining = e.Full, e.Missing, e.Replaced
		if e.Withheld || answerlimit.IsNoRoom(err) {
			// The request was withheld, or its answer given up, on this side, which says nothing about the endpoint.
			r.Err, r.NotStarted = nil, true
			return r
		}
		r.Silent = e.ConnectFailed || errors.Is(e.Cause, errStalled)
		if e.Outcome == retry.NotSent && e.Refused {
			// The endpoint is healthy and only refused to start this request.
			r.Err = nil
			r.NotStarted = true
		}
	}
	return r
}

// recordSlot records the wait for a slot in the exchange and the metrics.
func (s *Server) recordSlot(x *Exchange, slot *traffic.Slot) {
	x.Progress.Waited += slot.Waited
	x.Progress.Cold = x.Progress.Cold || slot.Cold
	x.Progress.Choice = slot.Choice
	if slot.Cold {
		s.Metrics.ColdStart.Record(slot.Waited.Milliseconds())
	}
	if !slot.Expected.IsZero() {
		missed := s.Clock.Now().Sub(slot.Expected)
		x.Progress.Expected = slot.Waited - missed
		s.Metrics.ForecastError.Record(missed.Abs().Milliseconds())
	}
	s.Metrics.Wait.Record(slot.Waited.Milliseconds())
	if x.Target.Ranked {
		s.Metrics.WaitByRank.Record(strconv.Itoa(x.Target.Priority), slot.Waited.Milliseconds())
	}
}
