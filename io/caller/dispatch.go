package caller

import (
	"context"
	"errors"
	"fmt"
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
	// notStartedPause is the pause before the next attempt after an endpoint did not start the request for another
	// reason than missing capacity. (For that one, the dispatcher closes the endpoint's window.)
	notStartedPause = 5 * time.Millisecond
)

// dispatch sends the request to an endpoint and its answer to the caller. It is the last handler of each chain.
func (s *Server) dispatch(ctx context.Context, x *Exchange) error {
	x.setFingerprint()
	x.held.held = &s.heldBytes
	if x.Target.OnceOnly && x.Target.Keyed {
		return s.dispatchOnce(ctx, x)
	}
	defer x.held.end()
	if x.Target.Stream {
		return s.stream(ctx, x)
	}
	a, err := s.fetchAnswer(ctx, x)
	if err != nil {
		return err
	}
	return writeAnswer(x, s.protocol(), a)
}

// answer is a complete answer of an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// dispatchOnce runs a request at most once per request key and returns the stored answer to a repeat of it.
func (s *Server) dispatchOnce(ctx context.Context, x *Exchange) error {
	if err := s.Isolation.Blocked(x.subjects...); err != nil {
		// Refused before its key is claimed, so that the caller may use the key again.
		return err
	}
	key, err := oncekey.Parse(x.Caller.GetName(), x.R.Header.Get(HeaderRequestKey), s.Clock.Now())
	if err != nil {
		return err
	}
	kept, err := s.Once.Do(ctx, key, x.Digest, x.Deadline, func(ctx context.Context) (*once.Answer, error) {
		// The run may go on after the end of the exchange.
		defer x.held.end()
		a, err := s.fetchAnswer(ctx, x)
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

// setFingerprint sets the digest, the fingerprint and the subjects of a request whose body has been read.
func (x *Exchange) setFingerprint() {
	caller := x.Caller.GetName()
	switch {
	case x.Customer != nil:
		// The customer's name and not its key, since a request that crashes engines would otherwise count as a
		// different one under each key.
		caller = x.Customer.Name
	case caller == "":
		caller = x.R.Header.Get("Authorization")
	}
	x.Digest = quarantine.DigestOf(x.R.Method, x.Target.identity(), x.Target.Path, x.Body)
	x.Fingerprint = quarantine.FingerprintOf(caller, x.Digest)
	x.subjects = []quarantine.Fingerprint{x.Fingerprint}
	for _, id := range x.Target.PromptParts {
		x.subjects = append(x.subjects, quarantine.PartFingerprint(id))
	}
}

// writeAnswer writes a complete answer to the caller.
func writeAnswer(x *Exchange, p Protocol, a *answer) error {
	p.Head(x.W.Header(), a.header)
	x.Began = true
	x.Progress.Status = a.status
	// The next request on the connection resets the timeout. It cannot be reset here, because net/http flushes the
	// end of the answer after the handler returns.
	setWriteTimeout(http.NewResponseController(x.W), writeTimeout)
	x.W.WriteHeader(a.status)
	// A write fails only if the caller has disconnected, so the error cannot be reported to it.
	_, _ = x.W.Write(a.body)
	return nil
}

// fetchAnswer reads a complete answer from an endpoint, or from another one if the first fails and the request may be
// repeated.
func (s *Server) fetchAnswer(ctx context.Context, x *Exchange) (*answer, error) {
	// got is the latest complete answer, including one with a failure status.
	var got *answer
	err := s.attempts(ctx, x, func(ctx context.Context, slot *traffic.Slot, req traffic.SlotRequest, run *isolation.Run) (traffic.Result, error) {
		ctx, st := s.watchStall(ctx, x, slot, req, "")
		defer st.end()
		resp, err := s.send(ctx, x, slot, "")
		if err = st.withStallCause(err); err != nil {
			return failedResult(err), err
		}
		defer resp.Body.Close()
		run.Began()
		a, err := x.readAnswer(resp)
		if err != nil {
			err = st.withStallCause(err)
			return failedResult(err), err
		}
		got = a
		if err := failedAnswer(x, got); err != nil {
			return failedResult(err), err
		}
		success := got.status/100 == 2
		if success {
			// Endpoints reject requests faster than they answer them.
			st.answered()
		}
		run.Answered(success && resp.Framed())
		return traffic.Result{Running: resp.Running, Draining: resp.Draining}, nil
	})
	if got == nil {
		got = x.standbyFailure
	}
	if got != nil {
		// The endpoint's own failure answer tells the caller more than a refusal by this node.
		return got, nil
	}
	return nil, err
}

// failedAnswer returns an error if the answer's status is a server error and the request may be retried at another
// endpoint.
func failedAnswer(x *Exchange, a *answer) error {
	if x.Target.OnceOnly || !x.Target.RetryFailures || a.status < http.StatusInternalServerError {
		return nil
	}
	return &endpoint.Error{Outcome: retry.Ran, Answered: true, Cause: fmt.Errorf("status %d", a.status)}
}

// endpointRequest builds the request to the endpoint of a slot. position is where an interrupted stream resumes; "" for
// none. trial marks the trial run of a quarantined request.
func (s *Server) endpointRequest(x *Exchange, slot *traffic.Slot, position string, trial bool) *endpoint.Request {
	now := s.Clock.Now()
	r := s.protocol().Request(x, slot.Endpoint, x.Deadline.Sub(now), position)
	begun := false
	r.Check = func() error {
		if err := s.checkSend(x, trial); err != nil || begun {
			return err
		}
		// What follows applies only before the first bytes. A request that is being written is completed, since aborting
		// it would leave its outcome unknown, and its endpoint may pause while it reads a long body.
		if s.Clock.Now().Sub(now) > maxRequestAge {
			return errStaleTimeout
		}
		if err := s.Dispatcher.CheckSend(slot); err != nil {
			return err
		}
		begun = true
		return nil
	}
	return r
}

// maxRequestAge is the largest age of a request when its first bytes are written. The request states the time that was left
// when it was built, and the platform tolerates an error of 500 ms.
const maxRequestAge = 400 * time.Millisecond

// Reasons for which a request is withheld.
var (
	errDeadlinePassed = errors.New("the request's deadline has passed")
	errStaleTimeout   = errors.New("the remaining time that the request states is out of date")
)

// checkSend returns why a request must not be written any more, or nil. trial marks the trial run of a quarantined request.
// The machine may have been suspended between the decision to send it and the write.
func (s *Server) checkSend(x *Exchange, trial bool) error {
	switch {
	case s.Clock.Now().After(x.Deadline):
		return errDeadlinePassed
	case trial:
		return nil
	}
	return s.Isolation.Blocked(x.subjects...)
}
