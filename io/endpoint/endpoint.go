// Package endpoint sends requests to engines and plain services and says what
// is known when no whole answer comes back.
//
// The problem: a request that may not be repeated must be written at most once,
// and net/http repeats some requests by itself: those without a body, those
// with an Idempotency-Key header, and those whose reused connection was closed
// before the first byte of the answer, if the body can be had again. The model: all
// that has net/http repeat a request is taken from it, and once-only requests go through a
// transport that never reuses a connection.
// The outcome is NotSent only when no connection was ever obtained or the
// endpoint itself says that it did not begin.
package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"olivetiller/core/retry"
	"olivetiller/core/signal"
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
	Path string
	// Host is the host that the endpoint is told; "" takes the address.
	Host   string
	Header http.Header
	Body   []byte
	// OnceOnly requests are written at most once.
	OnceOnly bool
	// Check is asked right before the request's bytes leave; nil where nothing is to be asked.
	Check Check
}

// Error is a dispatch without an answer.
type Error struct {
	Outcome retry.Outcome
	// Refused is true when the endpoint said that it did not begin.
	Refused bool
	// Full is true when the endpoint refused for want of room.
	Full bool
	// Missing is true when the engine does not hold what the request is for.
	Missing bool
	// Unreached is true when no connection came about.
	Unreached bool
	// Broke is true when the endpoint's side broke the connection.
	Broke bool
	// Withheld is true when the request's check forbade it.
	Withheld bool
	// Gone is true when the address belongs to another endpoint by now.
	Gone bool
	// Answered is true when the endpoint gave a whole answer that counts as a failure.
	Answered bool
	// Sends is how often the transport began to write the request; 0 where it never did.
	Sends int
	// Said is what the endpoint's answer says of the endpoint itself.
	Said signal.Said
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
	// Sends is how often the transport began to write the request.
	Sends int
	// Said is what the answer says of the endpoint itself.
	Said signal.Said
}

// Broken returns the error of an answer that did not come whole.
func (r *Response) Broken(cause error) *Error {
	return &Error{Outcome: retry.Ran, Broke: broke(cause), Sends: r.Sends, Cause: cause}
}

// Framed reports whether the answer's end is told, so that one cut short does not look whole.
func (r *Response) Framed() bool {
	return r.ContentLength >= 0 || slices.Contains(r.TransferEncoding, "chunked")
}

// broke reports whether an error means that the other side broke the connection: not that this
// side gave up, or that nothing came in time.
func broke(err error) bool {
	var timeout net.Error
	switch {
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return false
	case errors.As(err, &timeout) && timeout.Timeout():
		return false
	}
	return true
}

// Verdict is what an answer's head says beside its status.
type Verdict struct {
	// NotBegun is true when the endpoint states that it did not begin the request.
	NotBegun bool
	// Full, Missing and Gone are as in Error.
	Full, Missing, Gone bool
	// Foreign answers belong to another request.
	Foreign bool
	// Running is the load that the endpoint reported; -1 if it did not.
	Running int
	// Leaving is true when the endpoint said that it takes no more work.
	Leaving bool
	// Said is what the answer says of the endpoint itself; nothing where it is another endpoint's.
	Said signal.Said
}

// Judge reads a verdict from the head of an answer.
type Judge func(r *Request, resp *http.Response) Verdict

// Options are what a client is made of.
type Options struct {
	// Judge reads the answers; nil takes the product's own protocol.
	Judge Judge
	// Dialer opens connections; nil takes one with a time limit.
	Dialer *net.Dialer
}

// CloseIdleConnections closes the connections that are kept and at rest: after a sleep of the machine
// the other sides may have given them up.
func (c *Client) CloseIdleConnections() { c.pooled.CloseIdleConnections() }

// Client sends requests. It is safe for concurrent use.
type Client struct {
	judge  Judge
	dialer *net.Dialer
	pooled *http.Transport
	once   *http.Transport
}

// NewClient returns a client of the product's own protocol.
func NewClient() *Client { return NewClientWith(Options{}) }

// NewClientWith returns a client.
func NewClientWith(o Options) *Client {
	dialer := o.Dialer
	if dialer == nil {
		dialer = &net.Dialer{Timeout: dialTimeout}
	}
	if o.Judge == nil {
		o.Judge = judgeOwn
	}
	return &Client{
		judge:  o.Judge,
		dialer: dialer,
		pooled: &http.Transport{
			DialContext: CheckedDial(dialer.DialContext), MaxIdleConnsPerHost: 256,
			IdleConnTimeout: time.Minute, DisableCompression: true,
		},
		once: &http.Transport{
			DialContext: CheckedDial(dialer.DialContext), DisableKeepAlives: true, DisableCompression: true,
		},
	}
}

// Do sends a request and returns the answer's head, or an *Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	var sends atomic.Int32
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sends.Add(1) }}
	cancel := func() {}
	if r.Check != nil {
		// On success it ends with the caller's context, since the body is read in it.
		ctx, cancel = WithCheck(ctx, r.Check)
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, "http://"+r.Address+"/", bytes.NewReader(r.Body))
	if err != nil {
		cancel()
		return nil, &Error{Outcome: retry.NotSent, Cause: eris.Wrap(err, "build request")}
	}
	// The path goes out byte for byte as it came.
	req.URL.Opaque = r.Path
	req.Header = r.Header
	if r.Host != "" {
		req.Host = r.Host
	}
	if len(r.Body) == 0 {
		req.Body, req.ContentLength = nil, 0
	}
	makeUnrepeatable(req)
	transport := c.pooled
	if r.OnceOnly {
		transport = c.once
	}
	resp, err := transport.RoundTrip(req)
	n := int(sends.Load())
	if err != nil {
		defer cancel()
		if why := context.Cause(ctx); Withheld(why) {
			return nil, &Error{Outcome: retry.NotSent, Withheld: true, Cause: why}
		}
		return nil, &Error{Outcome: outcomeOf(n > 0), Unreached: n == 0, Broke: n > 0 && ctx.Err() == nil && broke(err), Sends: n, Cause: err}
	}
	answer, failure := c.answered(r, resp)
	if failure != nil {
		cancel()
		failure.Sends = n
		return nil, failure
	}
	answer.Sends = n
	return answer, nil
}

// Refuses opens a connection to an address, closes it, and reports whether it was refused: no
// process listens there.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was written.
	_ = conn.Close()
	return false
}

// makeUnrepeatable takes from a request all that lets net/http repeat it: engines would end under
// arrivals that no budget and no log knows of. Without it, two requests over a kept connection that
// breaks are written three times, counted at the other side.
func makeUnrepeatable(req *http.Request) {
	req.GetBody = nil
	if req.Body == nil && repeatedWithoutBody[req.Method] {
		req.Body = io.NopCloser(emptyBody{})
	}
	for _, name := range repeatHeaders {
		if values, ok := req.Header[name]; ok {
			// In any case the name is the same on the wire.
			req.Header = req.Header.Clone()
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = values
		}
	}
}

// repeatedWithoutBody are the methods that net/http repeats where a request has no body.
var repeatedWithoutBody = map[string]bool{http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true}

// repeatHeaders are the headers, as net/http looks for them, that have it repeat any request.
var repeatHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// emptyBody is a body that is read to its end at once; unlike http.NoBody net/http does not know
// that it could be had again.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func outcomeOf(sent bool) retry.Outcome {
	if sent {
		return retry.MaybeRun
	}
	return retry.NotSent
}

// errForeign is the cause when an answer belongs to another request: what became
// of this one is not known.
var errForeign = eris.New("the answer belongs to another request")

// maxReason bounds what is read of a refusal's text.
const maxReason = 256

// answered turns a refusal to begin into an error; anything else is an answer.
func (c *Client) answered(req *Request, resp *http.Response) (*Response, *Error) {
	v := c.judge(req, resp)
	switch {
	case v.Foreign:
		resp.Body.Close()
		return nil, &Error{Outcome: retry.MaybeRun, Cause: errForeign}
	case v.NotBegun:
		text, err := io.ReadAll(io.LimitReader(resp.Body, maxReason))
		if err != nil {
			text = []byte(err.Error())
		}
		resp.Body.Close()
		return nil, &Error{
			Outcome: retry.NotSent, Refused: true, Full: v.Full, Missing: v.Missing, Gone: v.Gone, Said: v.Said,
			Cause: eris.Errorf("the endpoint did not begin (%d): %s", resp.StatusCode, bytes.TrimSpace(text)),
		}
	}
	return &Response{Response: resp, Running: v.Running, Leaving: v.Leaving, Said: v.Said}, nil
}

// judgeOwn reads the product's own protocol.
func judgeOwn(_ *Request, resp *http.Response) Verdict {
	v := Verdict{
		NotBegun: resp.Header.Get(HeaderNotRun) == "true", Full: resp.StatusCode == http.StatusTooManyRequests,
		Running: -1, Leaving: resp.Header.Get(HeaderLeaving) == "true",
	}
	if n, err := strconv.Atoi(resp.Header.Get(HeaderRunning)); err == nil {
		v.Running = n
	}
	return v
}
