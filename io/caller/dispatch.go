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
	s.held.keep(int64(len(a.body)))
	defer s.held.drop(int64(len(a.body)))
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
	switch {
	case x.Customer != nil:
		// Not the key: a request that ends engines would come as another one under each key.
		caller = x.Customer.Name
	case caller == "":
		caller = x.R.Header.Get("Authorization")
	}
	x.Digest = quarantine.DigestOf(x.R.Method, x.Target.identity(), x.Target.Path, x.Body)
	x.Fingerprint = quarantine.FingerprintOf(caller, x.Digest)
}

func writeAnswer(x *Exchange, p Protocol, a *answer) error {
	p.Head(x.W.Header(), a.header)
	x.Began = true
	x.Trail.Status = a.status
	// The connection's next request lifts the bound: net/http sends the end of the answer after this.
	writeWithin(http.NewResponseController(x.W), unreadTime)
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
	err := s.attempts(ctx, x, func(ctx context.Context, slot *traffic.Slot, ask traffic.SlotRequest, run *isolation.Run) (traffic.Result, error) {
		ctx, st := s.watchStall(ctx, x, slot, ask)
		defer st.end()
		resp, err := s.send(ctx, x, slot, "")
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

// request builds the request to an endpoint, going on with a stream at a position.
func (s *Server) request(x *Exchange, slot *traffic.Slot, position string) *endpoint.Request {
	now := s.Clock.Now()
	r := s.protocol().Request(x, slot.Endpoint, x.Deadline.Sub(now), position)
	begun := false
	r.Check = func() error {
		if !begun {
			// What is on its way goes on: to cut it off would leave unknown what became of it.
			if err := s.Dispatcher.CheckSend(slot); err != nil {
				return err
			}
			begun = true
		}
		return s.mayLeave(x, now)
	}
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
