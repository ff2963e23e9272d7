package caller

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/origin"
	"olivetiller/core/refusal"
	"olivetiller/core/retry"
	"olivetiller/core/view"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// Origins knows where streams began, at this node and at others.
type Origins interface {
	// Began records where a stream began, when its first event goes to the caller. The result must be called when the
	// answer ends.
	Began(r origin.Record) (ended func())
	// Find returns where the stream with a key began. service is the one that the request would go to, by version of the
	// configuration. The error is a *refusal.Error.
	Find(ctx context.Context, k origin.Key, service string, version int64) (origin.Origin, error)
	// Conclude is Find for a stream of which the caller did not say which request began it.
	Conclude(ctx context.Context, service string, version int64) (origin.Origin, error)
}

// Processes tells whether endpoints are still the processes that were chosen.
type Processes interface {
	// Confirm returns nil once it is certain that a connection that was opened at a time leads to the incarnation e of an
	// endpoint of a service, whose build it therefore has. It may ask the endpoint. The error wraps context.DeadlineExceeded
	// if that is only not known yet.
	Confirm(ctx context.Context, service string, e view.Endpoint, connectedAt time.Time) error
}

// unconfirmedError is the error of an answer whose events must not be forwarded, because they may come from another process
// than the one that was chosen, with another version of its software.
type unconfirmedError struct{ cause error }

// Error implements error.
func (e *unconfirmedError) Error() string { return e.cause.Error() }

// Unwrap returns the reason why the process is not confirmed.
func (e *unconfirmedError) Unwrap() error { return e.cause }

// confirmPatience is how long a stream that has begun waits for the confirmation of the process at which it goes on, since
// without it the caller is left with a truncated answer. Endpoints in good order may be silent for about a second, and lists
// of endpoints late. An implementation of Processes may wait longer by itself.
const confirmPatience = 2 * time.Second

// confirmProcess returns an *unconfirmedError if the first events of an answer must not be forwarded. began is true if the
// caller has a part of the answer.
func (s *Server) confirmProcess(ctx context.Context, x *Exchange, began bool, e view.Endpoint, connectedAt time.Time) error {
	if !x.Target.Resumable || s.Processes == nil {
		return nil
	}
	until := s.Clock.Now().Add(confirmPatience)
	for {
		err := s.Processes.Confirm(ctx, x.Target.Service, e, connectedAt)
		if err == nil {
			return nil
		}
		unknown := errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil
		if !began || !unknown || !s.Clock.Now().Before(until) {
			return &unconfirmedError{err}
		}
	}
}

// brokenWithin is how long the connection of an answer that is not confirmed is read on, to tell whether its process has
// crashed.
const brokenWithin = 100 * time.Millisecond

// unconfirmed returns the result of an attempt whose events were not forwarded. A process that has crashed confirms
// nothing, and is reported as any other that broke its connection.
func (s *Server) unconfirmed(resp *endpoint.Response, err error) (traffic.Result, error) {
	timer := s.Clock.AfterFunc(brokenWithin, func() { _ = resp.Body.Close() })
	_, broken := io.Copy(io.Discard, resp.Body)
	if timer.Stop() && broken != nil {
		err := resp.BrokenError(broken)
		return failedResult(err), err
	}
	return traffic.Result{NotStarted: true, Running: -1}, &endpoint.Error{Outcome: retry.Ran, Cause: err}
}

// resolveOrigin finds out where the stream began that the caller takes up, if it takes one up.
func (s *Server) resolveOrigin(ctx context.Context, x *Exchange) error {
	if !x.Target.Resumable || !x.Resumes.Stated() || s.Origins == nil {
		return nil
	}
	var o origin.Origin
	var err error
	switch {
	case x.Resumes.Of != "":
		o, err = s.Origins.Find(ctx, x.streamKey(), x.Target.Service, x.Target.Version)
	case x.Target.Split:
		err = refusal.New(refusal.StreamUnknown, "the request names a position, but not the request that began the stream, and its route leads to several services")
	default:
		o, err = s.Origins.Conclude(ctx, x.Target.Service, x.Target.Version)
	}
	if err != nil {
		return err
	}
	if o.Service != x.Target.Service && !x.Retarget(o.Service) {
		return refusal.New(refusal.BuildGone, "the stream began at %s, to which route %s no longer leads", o, x.Target.Route)
	}
	x.origin = &o
	return nil
}

// streamKey returns the key of the stream that the request begins or takes up.
func (x *Exchange) streamKey() origin.Key {
	id := x.ID
	if x.Resumes.Of != "" {
		id = x.Resumes.Of
	}
	return origin.KeyOf(x.customerName(), x.Target.Host, id)
}

// recordOrigin records that the first event of this answer comes from an endpoint. The result must be called when the
// answer ends.
func (s *Server) recordOrigin(x *Exchange, e view.Endpoint) (ended func()) {
	if !x.Target.Resumable {
		return func() {}
	}
	x.origin = &origin.Origin{Service: x.Target.Service, Build: e.Build}
	if s.Origins == nil {
		return func() {}
	}
	return s.Origins.Began(origin.Record{
		Key: x.streamKey(), Origin: *x.origin, Owner: origin.Owner(xxhash.Sum64String(x.customerName())), Expires: x.Start.Add(x.patience()),
	})
}

// patience returns how long after its arrival the caller may still take the stream up.
func (x *Exchange) patience() time.Duration {
	if x.Allowed > 0 {
		return x.Allowed
	}
	return defaultPatience
}

// defaultPatience is how long a stream may be taken up whose caller does not say how long it waits.
const defaultPatience = 10 * time.Minute
