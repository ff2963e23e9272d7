// Package endpoint sends requests to engines and plain services and says what
// is known when no whole answer comes back.
//
// The problem: a request that may not be repeated must be written at most once,
// and net/http repeats some requests by itself: those without a body, those
// with an Idempotency-Key header, and those whose reused connection was closed
// before the first byte of the answer, if the body can be had again. The model:
// once-only requests go through a transport that never reuses a connection, and
// are stripped of the headers and the GetBody that would make them replayable.
// The outcome is NotSent only when no connection was ever obtained or the
// endpoint itself says that it did not begin.
package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"olivetiller/core/retry"
)

// Headers of the engines' protocol.
const (
	HeaderNotRun     = "Engine-Not-Run"
	HeaderRunning    = "Engine-Running"
	HeaderLeaving    = "Engine-Leaving"
	HeaderResumeFrom = "Engine-Resume-From"
	HeaderRequestID  = "Engine-Request-Id"
	HeaderVersion    = "Engine-Model-Version"
	HeaderPriority   = "Engine-Priority"
	HeaderRequestKey = "Olivetiller-Request-Key"
)

const dialTimeout = 2 * time.Second

// Request is one request to an endpoint.
type Request struct {
	// Address is the endpoint's host and port.
	Address string
	Method  string
	// Path begins with a slash and may hold a query.
	Path   string
	Header http.Header
	Body   []byte
	// OnceOnly requests are written at most once.
	OnceOnly bool
}

// Error is a dispatch without an answer.
type Error struct {
	Outcome retry.Outcome
	// Refused is true when the endpoint said that it did not begin.
	Refused bool
	// Full is true when the endpoint refused for want of room.
	Full bool
	// Cause is what happened.
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Outcome.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response is an endpoint's answer; its body must be closed.
type Response struct {
	*http.Response
	// Running is the load that the endpoint reported; -1 if it did not.
	Running int
	// Leaving is true when the endpoint said that it takes no more work.
	Leaving bool
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	pooled *http.Transport
	once   *http.Transport
}

// NewClient returns a client.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		pooled: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256,
			IdleConnTimeout: time.Minute, DisableCompression: true,
		},
		once: &http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		},
	}
}

// Do sends a request and returns the answer's head, or an *Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, "http://"+r.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &Error{Outcome: retry.NotSent, Cause: eris.Wrap(err, "build request")}
	}
	req.Header = r.Header
	transport := c.pooled
	if r.OnceOnly {
		transport = c.once
		makeUnrepeatable(req)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, &Error{Outcome: outcomeOf(sent.Load()), Cause: err}
	}
	return answered(resp)
}

// makeUnrepeatable takes from a request all that lets net/http repeat it.
func makeUnrepeatable(req *http.Request) {
	req.GetBody = nil
	req.Header = req.Header.Clone()
	req.Header.Del("Idempotency-Key")
	req.Header.Del("X-Idempotency-Key")
}

func outcomeOf(sent bool) retry.Outcome {
	if sent {
		return retry.MaybeRun
	}
	return retry.NotSent
}

// answered turns a refusal to begin into an error; anything else is an answer.
func answered(resp *http.Response) (*Response, error) {
	if resp.Header.Get(HeaderNotRun) == "true" {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
		resp.Body.Close()
		return nil, &Error{
			Outcome: retry.NotSent,
			Refused: true,
			Full:    resp.StatusCode == http.StatusTooManyRequests,
			Cause:   eris.Errorf("the endpoint did not begin: %s", bytes.TrimSpace(text)),
		}
	}
	r := &Response{Response: resp, Running: -1, Leaving: resp.Header.Get(HeaderLeaving) == "true"}
	if n, err := strconv.Atoi(resp.Header.Get(HeaderRunning)); err == nil {
		r.Running = n
	}
	return r, nil
}
