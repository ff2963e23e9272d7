package caller

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"olivetiller/core/oncekey"
	"olivetiller/core/refusal"
	"olivetiller/core/retry"
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
	switch {
	case x.Target.OnceOnly:
		return s.dispatchOnce(ctx, x)
	case x.Target.Stream:
		return s.stream(ctx, x)
	}
	answer, err := s.whole(ctx, x)
	if err != nil {
		return err
	}
	return writeAnswer(x, answer)
}

// dispatchOnce runs a request that may not be repeated.
func (s *Server) dispatchOnce(ctx context.Context, x *Exchange) error {
	key, err := oncekey.Parse(x.Caller.GetName(), x.R.Header.Get(HeaderRequestKey), s.Clock.Now())
	if err != nil {
		return err
	}
	answer, err := s.Once.Do(ctx, key, digest(x), x.Deadline, func(ctx context.Context) (*once.Answer, error) {
		return s.whole(ctx, x)
	})
	if err != nil {
		return err
	}
	return writeAnswer(x, answer)
}

// digest tells a repeat of a request from another one with the same key.
func digest(x *Exchange) [32]byte {
	h := sha256.New()
	_, _ = io.WriteString(h, x.R.Method+"\x00"+x.Target.Pool+"\x00"+x.Target.Path+"\x00")
	_, _ = h.Write(x.Body)
	var d [32]byte
	copy(d[:], h.Sum(nil))
	return d
}

func writeAnswer(x *Exchange, a *once.Answer) error {
	if a.ContentType != "" {
		x.W.Header().Set("Content-Type", a.ContentType)
	}
	x.Began = true
	x.W.WriteHeader(a.Status)
	// A failed write means that the caller is gone; there is nobody to tell.
	_, _ = x.W.Write(a.Body)
	return nil
}

// whole gets a whole answer, from another endpoint if the first one fails and
// the request allows it.
func (s *Server) whole(ctx context.Context, x *Exchange) (*once.Answer, error) {
	var answer *once.Answer
	err := s.attempts(ctx, x, func(ctx context.Context, slot *traffic.Slot) (traffic.Result, error) {
		resp, err := s.Endpoints.Do(ctx, s.request(x, slot, 0))
		if err != nil {
			return failed(err), err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(io.LimitReader(resp.Body, s.Limits.AnswerBytes+1))
		if err == nil && int64(len(body)) > s.Limits.AnswerBytes {
			err = errors.New("the answer is longer than limits.answerBytes")
		}
		if err != nil {
			err = &endpoint.Error{Outcome: retry.Ran, Cause: err}
			return failed(err), err
		}
		answer = &once.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
		return traffic.Result{Running: resp.Running, Leaving: resp.Leaving}, nil
	})
	return answer, err
}

// try sends the request to the endpoint of a slot.
type try func(ctx context.Context, slot *traffic.Slot) (traffic.Result, error)

// attempts tries endpoints until one answers, or the rules of repetition, the
// retry budget or the deadline forbid another attempt.
func (s *Server) attempts(ctx context.Context, x *Exchange, do try) error {
	ask := traffic.Ask{Caller: x.Caller.GetName(), Deadline: x.Deadline, Bytes: int64(len(x.Body)), Cost: x.Target.Cost}
	tried := 0
	for {
		slot, err := s.Dispatcher.Acquire(ctx, x.Target.Pool, ask)
		if err != nil {
			return err
		}
		s.noteSlot(x, slot)
		result, err := do(ctx, slot)
		slot.Release(result)
		if err == nil {
			return nil
		}
		outcome := outcomeOf(err)
		if outcome != retry.NotSent {
			tried++
		}
		if ctx.Err() != nil || !retry.MayRepeat(outcome, x.Target.OnceOnly) || tried >= maxAttempts || s.Clock.Now().After(x.Deadline) {
			return endOf(outcome, x, err)
		}
		s.Metrics.Retries.Add(outcome.String(), 1)
		ask.Avoid = slot.Endpoint.Name
		ask.Retry = outcome != retry.NotSent
		if outcome == retry.NotSent && !result.Full {
			s.Clock.Sleep(unsentPause)
		}
	}
}

// endOf turns the last failure into a refusal that says the truth about running.
func endOf(o retry.Outcome, x *Exchange, err error) error {
	switch {
	case o == retry.NotSent:
		return refusal.New(refusal.NoEndpoint, "no endpoint of %s took the request: %v", x.Target.Pool, err)
	case x.Target.OnceOnly:
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

func failed(err error) traffic.Result {
	r := traffic.Result{Err: err, Running: -1}
	var e *endpoint.Error
	if errors.As(err, &e) {
		r.Full = e.Full
		if e.Outcome == retry.NotSent && e.Refused {
			// The endpoint is well; it only did not begin this request.
			r.Err = nil
			r.NotBegun = true
		}
	}
	return r
}

func (s *Server) noteSlot(x *Exchange, slot *traffic.Slot) {
	if slot.Cold {
		s.Metrics.ColdStart.Record(slot.Waited.Milliseconds())
	}
	s.Metrics.Wait.Record(slot.Waited.Milliseconds())
}

// request builds the request to an endpoint, resuming a stream from a token.
func (s *Server) request(x *Exchange, slot *traffic.Slot, from int) *endpoint.Request {
	r := &endpoint.Request{
		Address: slot.Endpoint.Address, Method: x.R.Method, Path: x.Target.Path,
		Header: forwarded(x), Body: x.Body, OnceOnly: x.Target.OnceOnly,
	}
	r.Header.Set(endpoint.HeaderRequestID, x.ID)
	if x.Target.OnceOnly {
		r.Header.Set(endpoint.HeaderRequestKey, x.R.Header.Get(HeaderRequestKey))
	}
	if x.Target.Model {
		r.Header.Set(endpoint.HeaderVersion, slot.Endpoint.Version)
		setFrom(r.Header, from)
	}
	if p := x.R.Header.Get(HeaderPriority); p != "" {
		r.Header.Set(endpoint.HeaderPriority, p)
	}
	return r
}

// forwardedHeaders are the callers' headers that reach an endpoint. All others,
// those of the engines' own protocol above all, stay here.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Traceparent"}

func forwarded(x *Exchange) http.Header {
	h := make(http.Header, len(forwardedHeaders)+4)
	for _, name := range forwardedHeaders {
		if v := x.R.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	return h
}
