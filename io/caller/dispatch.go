package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"olivetiller/core/oncekey"
	"olivetiller/core/quarantine"
	"olivetiller/core/refusal"
	"olivetiller/core/retry"
	"olivetiller/internal/isolation"
	"olivetiller/internal/once"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// Bounds of a dispatch.
const (
	// maxAttempts bounds the attempts that may have run.
	maxAttempts = 3
	// unsentPause is the pause after an endpoint did not begin for another
	// reason than want of room, for which its gate closes.
	unsentPause = 5 * time.Millisecond
)

// dispatch sends the request to an endpoint and its answer back.
func (s *Server) dispatch(ctx context.Context, x *Exchange) error {
	x.takeFingerprint()
	switch {
	case x.Target.OnceOnly && x.Target.Keyed:
		return s.dispatchOnce(ctx, x)
	case x.Target.Stream:
		return s.stream(ctx, x)
	}
	a, err := s.whole(ctx, x)
	if err != nil {
		return err
	}
	return writeAnswer(x, s.protocol(), a)
}

// answer is a whole answer of an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// dispatchOnce runs a request that may not be repeated.
func (s *Server) dispatchOnce(ctx context.Context, x *Exchange) error {
	if err := s.Isolation.Held(x.Fingerprint); err != nil {
		// Before its key is claimed.
		return err
	}
	key, err := oncekey.Parse(x.Caller.GetName(), x.R.Header.Get(HeaderRequestKey), s.Clock.Now())
	if err != nil {
		return err
	}
	kept, err := s.Once.Do(ctx, key, x.Digest, x.Deadline, func(ctx context.Context) (*once.Answer, error) {
		a, err := s.whole(ctx, x)
		if err != nil {
			return nil, err
		}
		return &once.Answer{Status: a.status, ContentType: a.header.Get("Content-Type"), Body: a.body}, nil
	})
	if err != nil {
		return err
	}
	h := make(http.Header, 1)
	if kept.ContentType != "" {
		h.Set("Content-Type", kept.ContentType)
	}
	return writeAnswer(x, s.protocol(), &answer{status: kept.Status, header: h, body: kept.Body})
}

// takeFingerprint hashes the request once, whose body has been read.
func (x *Exchange) takeFingerprint() {
	caller := x.Caller.GetName()
	if caller == "" {
		caller = x.R.Header.Get("Authorization")
	}
	x.Digest = quarantine.DigestOf(x.R.Method, x.Target.identity(), x.Target.Path, x.Body)
	x.Fingerprint = quarantine.FingerprintOf(caller, x.Digest)
}

func writeAnswer(x *Exchange, p Protocol, a *answer) error {
	p.Head(x.W.Header(), a.header)
	x.Began = true
	x.Trail.Status = a.status
	x.W.WriteHeader(a.status)
	// A failed write means that the caller is gone; there is nobody to tell.
	_, _ = x.W.Write(a.body)
	return nil
}

// whole gets a whole answer, from another endpoint if the first one fails and
// the request allows it.
func (s *Server) whole(ctx context.Context, x *Exchange) (*answer, error) {
	// got is the latest whole answer, be it a failure.
	var got *answer
	err := s.attempts(ctx, x, func(ctx context.Context, slot *traffic.Slot, ask traffic.Ask, run *isolation.Run) (traffic.Result, error) {
		ctx, st := s.watchStall(ctx, x, slot, ask)
		defer st.end()
		resp, err := s.Endpoints.Do(ctx, s.request(x, slot, ""))
		if err = st.explain(err); err != nil {
			return failed(err), err
		}
		defer resp.Body.Close()
		run.Began()
		body, err := io.ReadAll(io.LimitReader(resp.Body, s.Limits.AnswerBytes+1))
		if err == nil && int64(len(body)) > s.Limits.AnswerBytes {
			err := &endpoint.Error{Outcome: retry.Ran, Answered: true, Sends: resp.Sends, Cause: errors.New("the answer is longer than limits.answerBytes")}
			return failed(err), err
		}
		if err != nil {
			err = st.explain(resp.Broken(err))
			return failed(err), err
		}
		got = &answer{status: resp.StatusCode, header: resp.Header, body: body}
		if err := failedAnswer(x, got); err != nil {
			return failed(err), err
		}
		run.Answered(got.status/100 == 2 && resp.Framed())
		return traffic.Result{Running: resp.Running, Leaving: resp.Leaving}, nil
	})
	if got != nil {
		// An endpoint's own failure tells the caller more than ours would.
		return got, nil
	}
	return nil, err
}

// failedAnswer returns an error for an endpoint's failure that another endpoint
// may do better.
func failedAnswer(x *Exchange, a *answer) error {
	if x.Target.OnceOnly || !x.Target.RetryFailures || a.status < http.StatusInternalServerError {
		return nil
	}
	return &endpoint.Error{Outcome: retry.Ran, Answered: true, Cause: fmt.Errorf("status %d", a.status)}
}

// try sends the request to the endpoint of a slot, which the ask got, and tells the run when
// the endpoint begins and whether it answered well.
type try func(ctx context.Context, slot *traffic.Slot, ask traffic.Ask, run *isolation.Run) (traffic.Result, error)

// tries counts the attempts of a request.
type tries struct {
	// sent counts all of them, ran those that may have run.
	sent, ran int
}

// attempts tries endpoints until one answers, or what is known forbids another attempt.
func (s *Server) attempts(ctx context.Context, x *Exchange, do try) error {
	ask := newAsk(x)
	defer x.dropNext()
	var n tries
	for {
		slot, err := s.nextPlace(ctx, x, &ask)
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
		s.Metrics.Retries.Add(outcome.String(), 1)
		ask.Avoid = append(ask.Avoid, slot.Endpoint.Name)
		ask.Retry = outcome != retry.NotSent || x.Target.Budget != ""
		if outcome == retry.NotSent && !result.Full {
			s.Clock.Sleep(unsentPause)
		}
	}
}

func newAsk(x *Exchange) traffic.Ask {
	return traffic.Ask{
		Caller: x.Caller.GetName(), Deadline: x.Deadline, Bytes: int64(len(x.Body)), Cost: x.Target.Cost,
		Budget: x.Target.Budget, Objective: x.Target.Objective, Affinity: x.Target.Affinity,
		Prompt: x.Target.TokensIn, Request: x.Fingerprint,
	}
}

// nextPlace waits for a place of the next attempt, unless the request is kept from engines: else one that
// ends engines is sent at every node for ever, 30 times in 15 tries at 3 nodes where it is 4 now.
// It is asked again once the place is there: the wait may have been long.
func (s *Server) nextPlace(ctx context.Context, x *Exchange, ask *traffic.Ask) (*traffic.Slot, error) {
	if !x.trial {
		trial, err := s.Isolation.Admit(ctx, x.Fingerprint)
		if err != nil {
			return nil, err
		}
		x.trial = trial
	}
	ask.Leaves, ask.State = s.leaves(x), s.Isolation.State(x.Fingerprint)
	slot, err := s.place(ctx, x, *ask)
	if err != nil || x.trial {
		return slot, err
	}
	if err := s.Isolation.Held(x.Fingerprint); err != nil {
		slot.Release(traffic.Result{NotBegun: true, Running: -1})
		return nil, err
	}
	return slot, nil
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
func (s *Server) place(ctx context.Context, x *Exchange, ask traffic.Ask) (*traffic.Slot, error) {
	if slot := x.next; slot != nil {
		x.next = nil
		return slot, nil
	}
	return s.Dispatcher.Acquire(ctx, x.Target.Pool, ask)
}

// dropNext gives a place back that no attempt follows to.
func (x *Exchange) dropNext() {
	if x.next != nil {
		x.next.Release(traffic.Result{NotBegun: true, Running: -1})
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
		"heldMs", s.Clock.Now().Sub(slot.At()).Milliseconds(), "events", x.Trail.Events, "sends", sendsOf(err), "error", err.Error())
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

func failed(err error) traffic.Result {
	r := traffic.Result{Err: err, Running: -1}
	var e *endpoint.Error
	if errors.As(err, &e) {
		r.Full, r.Missing, r.Leaving = e.Full, e.Missing, e.Gone
		if e.Withheld {
			// It says nothing of the endpoint.
			r.Err, r.NotBegun = nil, true
			return r
		}
		r.Silent = e.Unreached || errors.Is(e.Cause, errStalled)
		if e.Outcome == retry.NotSent && e.Refused {
			// The endpoint is well; it only did not begin this request.
			r.Err = nil
			r.NotBegun = true
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

// request builds the request to an endpoint, going on with a stream at a position.
func (s *Server) request(x *Exchange, slot *traffic.Slot, position string) *endpoint.Request {
	now := s.Clock.Now()
	r := s.protocol().Request(x, slot.Endpoint, x.Deadline.Sub(now), position)
	r.Check = func() error { return s.mayLeave(x, now) }
	return r
}

// staleSend is how old a request may be when its bytes leave: it tells the endpoint the time that was left
// when it was made. The platform allows half a second.
const staleSend = 400 * time.Millisecond

// Reasons why a request does not leave.
var (
	errTooLate = errors.New("its deadline has passed")
	errStale   = errors.New("the time left that it tells is too old")
)

// mayLeave returns why the bytes of a request that was made at a moment must not leave: between the
// decision to send it and its bytes the machine may have slept.
func (s *Server) mayLeave(x *Exchange, made time.Time) error {
	now := s.Clock.Now()
	switch {
	case now.After(x.Deadline):
		return errTooLate
	case now.Sub(made) > staleSend:
		return errStale
	case x.trial:
		return nil
	}
	return s.Isolation.Held(x.Fingerprint)
}
