package caller

import (
	"context"
	"errors"
	"time"

	"olivetiller/core/quarantine"
	"olivetiller/core/refusal"
	"olivetiller/core/retry"
	"olivetiller/internal/isolation"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// try sends the request to the endpoint of a slot, which the ask got, and tells the run when
// the endpoint begins and whether it answered well.
type try func(ctx context.Context, slot *traffic.Slot, ask traffic.SlotRequest, run *isolation.Run) (traffic.Result, error)

// tries counts the attempts of a request.
type tries struct {
	// sent counts all of them, ran those that may have run.
	sent, ran int
}

// attempts tries endpoints until one answers, or what is known forbids another attempt.
func (s *Server) attempts(ctx context.Context, x *Exchange, do try) error {
	ask := newAsk(x)
	defer x.dropNext()
	defer func() {
		if x.trial {
			// It may have found no place.
			s.Isolation.TrialOver(x.Fingerprint)
		}
	}()
	var n tries
	for {
		slot, turnOver, err := s.nextPlace(ctx, x, &ask)
		if err != nil {
			if n.ran == 0 {
				return err
			}
			// An earlier attempt may have run: that no place is left is no promise.
			return s.endOf(endStep(x), x, err)
		}
		s.noteSlot(x, slot)
		n.sent++
		run := s.Isolation.Send(x.Fingerprint, slot.Endpoint)
		result, err := do(ctx, slot, ask, run)
		result.Ended = settleRun(ctx, run, err)
		turnOver(err == nil)
		slot.Release(result)
		s.noteAttempt(x, slot, n.sent, err)
		if err == nil {
			return nil
		}
		outcome := outcomeOf(err)
		if outcome != retry.NotSent {
			n.ran++
		}
		step := retry.Next(retry.Attempt{
			Outcome: outcome, OnceOnly: x.Target.OnceOnly, Ran: n.ran, Attempts: x.Target.attempts(),
			Late: s.Clock.Now().After(x.Deadline), Left: ctx.Err() != nil, Held: s.Isolation.State(x.Fingerprint) == quarantine.Quarantined,
		})
		if step != retry.Repeat {
			return s.endOf(step, x, err)
		}
		ask.Resend = withheld(err)
		s.Metrics.Retries.Add(outcome.String(), 1)
		ask.Avoid = append(ask.Avoid, slot.Endpoint.Name)
		ask.Retry = outcome != retry.NotSent || x.Target.Budget != ""
		if outcome == retry.NotSent && !result.Full {
			s.Clock.Sleep(unsentPause)
		}
	}
}

func newAsk(x *Exchange) traffic.SlotRequest {
	return traffic.SlotRequest{
		Caller: x.Caller.GetName(), Deadline: x.Deadline, Bytes: int64(len(x.Body)), Cost: x.Target.Cost,
		Budget: x.Target.Budget, Objective: x.Target.Objective, Affinity: x.Target.Affinity,
		Prompt: x.Target.TokensIn, RequestFingerprint: x.Fingerprint,
	}
}

// nextPlace waits for a place of the next attempt, unless the request is kept from engines: else one that
// ends engines is sent at every node for ever, 30 times in 15 tries at 3 nodes where it is 4 now.
// It is asked again once the place is there: the wait may have been long. The function returned
// is to be called when the attempt is over, with whether an endpoint has answered it.
func (s *Server) nextPlace(ctx context.Context, x *Exchange, ask *traffic.SlotRequest) (slot *traffic.Slot, turnOver func(well bool), err error) {
	if !x.trial {
		trial, err := s.Isolation.Admit(ctx, x.Fingerprint)
		if err != nil {
			return nil, nil, err
		}
		x.trial = trial
	}
	ask.AbandonAt, ask.State = s.leaves(x), s.Isolation.State(x.Fingerprint)
	slot, err = s.place(ctx, x, *ask)
	if err != nil {
		return nil, nil, err
	}
	turnOver = func(bool) {}
	if !x.trial {
		turnOver, err = s.Isolation.Turn(ctx, x.Fingerprint)
	}
	if err == nil {
		if err = x.good(); err != nil {
			turnOver(true)
		}
	}
	if err != nil {
		slot.Release(traffic.Result{NotStarted: true, Running: -1})
		return nil, nil, err
	}
	return slot, turnOver, nil
}

// settleRun tells a run how its attempt ended, and reports whether the endpoint's process
// has ended with it.
func settleRun(ctx context.Context, run *isolation.Run, err error) (ended bool) {
	var e *endpoint.Error
	switch {
	case err == nil:
		// Whether the answer was good was told with it.
		run.Answered(false)
	case !errors.As(err, &e), errors.Is(e.Cause, errStalled):
		run.Left()
	case e.Refused, e.Answered:
		run.Answered(false)
	case e.Outcome == retry.NotSent:
		run.NotSent()
	case e.Broke:
		return run.Broke(ctx)
	default:
		run.Left()
	}
	return false
}

// place returns the place of the next attempt: the one that it has already, or one
// that it waits for.
func (s *Server) place(ctx context.Context, x *Exchange, ask traffic.SlotRequest) (*traffic.Slot, error) {
	if slot := x.next; slot != nil {
		x.next = nil
		return slot, nil
	}
	return s.Dispatcher.Acquire(ctx, x.Target.Pool, ask)
}

// dropNext gives a place back that no attempt follows to.
func (x *Exchange) dropNext() {
	if x.next != nil {
		x.next.Release(traffic.Result{NotStarted: true, Running: -1})
		x.next = nil
	}
}

// leaves is when the caller leaves if no event comes; zero where it stays until its
// deadline.
func (s *Server) leaves(x *Exchange) time.Time {
	switch {
	case x.Target.Patience <= 0:
		return time.Time{}
	case x.Began:
		return s.Clock.Now().Add(x.Target.Patience)
	}
	return x.Start.Add(x.Target.Patience)
}

// noteAttempt logs what became of one attempt.
func (s *Server) noteAttempt(x *Exchange, slot *traffic.Slot, n int, err error) {
	x.Trail.Sent, x.Trail.Endpoint = n, slot.Endpoint.Name
	if err == nil {
		return
	}
	s.Logger.Info("attempt failed", "requestId", x.ID, "fingerprint", x.Fingerprint.String(), "attempt", n, "endpoint", slot.Endpoint.Name, "address", slot.Endpoint.Address,
		"pool", x.Target.Pool, "waitedMs", slot.Waited.Milliseconds(), "outcome", outcomeOf(err).String(),
		"heldMs", s.Clock.Now().Sub(slot.GrantedAt()).Milliseconds(), "events", x.Trail.Events, "sends", sendsOf(err), "error", err.Error())
}

// endStep is how a request ends of which an attempt may have run.
func endStep(x *Exchange) retry.Step {
	return retry.Next(retry.Attempt{Outcome: retry.MaybeRun, OnceOnly: x.Target.OnceOnly, Ran: 1, Attempts: 1})
}

// endOf turns the last failure into a refusal that says the truth about running.
func (s *Server) endOf(step retry.Step, x *Exchange, err error) error {
	switch step {
	case retry.TimedOut:
		return refusal.New(refusal.TimedOut, "%s did not answer in time: %v", x.Trail.Endpoint, err)
	case retry.NotBegun:
		return refusal.New(refusal.NoEndpoint, "no endpoint of %s took the request: %v", x.Target.Pool, err)
	case retry.Withheld:
		if held := s.Isolation.Held(x.Fingerprint); held != nil {
			return held
		}
		return refusal.New(refusal.NoEndpoint, "no endpoint of %s took the request: %v", x.Target.Pool, err)
	case retry.Unknown:
		return refusal.New(refusal.OutcomeUnknown, "the endpoint was sent the request: %v", err)
	}
	return refusal.New(refusal.EndpointFailed, "endpoints of %s failed: %v", x.Target.Pool, err)
}

func outcomeOf(err error) retry.Outcome {
	var e *endpoint.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return retry.MaybeRun
}

// sendsOf returns how often the transport sent the request in an attempt that failed.
func sendsOf(err error) int {
	var e *endpoint.Error
	if errors.As(err, &e) {
		return e.Sends
	}
	return 0
}

// withheld reports whether nothing of an attempt was sent, because its check forbade it.
func withheld(err error) bool {
	var e *endpoint.Error
	return errors.As(err, &e) && e.Withheld
}

func failed(err error) traffic.Result {
	r := traffic.Result{Err: err, Running: -1}
	var e *endpoint.Error
	if errors.As(err, &e) {
		r.Full, r.Missing, r.Leaving = e.Full, e.Missing, e.Gone
		if e.Withheld {
			// It says nothing of the endpoint.
			r.Err, r.NotStarted = nil, true
			return r
		}
		r.Silent = e.Unreached || errors.Is(e.Cause, errStalled)
		if e.Outcome == retry.NotSent && e.Refused {
			// The endpoint is well; it only did not begin this request.
			r.Err = nil
			r.NotStarted = true
		}
	}
	return r
}

func (s *Server) noteSlot(x *Exchange, slot *traffic.Slot) {
	x.Trail.Waited += slot.Waited
	x.Trail.Cold = x.Trail.Cold || slot.Cold
	if slot.Cold {
		s.Metrics.ColdStart.Record(slot.Waited.Milliseconds())
	}
	if !slot.Expected.IsZero() {
		missed := s.Clock.Now().Sub(slot.Expected)
		x.Trail.Expected = slot.Waited - missed
		s.Metrics.ForecastError.Record(missed.Abs().Milliseconds())
	}
	s.Metrics.Wait.Record(slot.Waited.Milliseconds())
}
