// Package endpoint sends requests to engines and plain services, and determines what is known about a request that
// got no complete answer.
//
// A request that must run at most once must be written at most once, but net/http repeats some requests by itself:
// those without a body, those with an Idempotency-Key header, and those whose body can be read again and whose reused
// connection was closed before the first byte of the answer. [Client] therefore removes from every request what lets
// net/http repeat it, and sends requests that must run at most once over a transport that never reuses a connection.
//
// An [Error] has the outcome retry.NotSent only if no connection was made, the request's [Check] withheld it, or the
// endpoint itself reported that it did not start the request. Package caller uses a Client for callers' requests; other
// protocols than the default one pass a [Judge] and may use [CheckedDial] and [WithCheck] with their own transports.
//
// A request goes over a connection of this node's, or through a tunnel by way of another node if [Paths] says so or if
// connecting directly fails. What an Error says of its outcome holds for both.
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
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"olivetiller/core/answerlimit"
	"olivetiller/core/retry"
	"olivetiller/core/signal"
	"olivetiller/io/silence"
)

// Headers of the default engine protocol. HeaderNotRun ("true"), HeaderRunning (the engine's load, in running
// requests) and HeaderLeaving ("true" while it drains) are on answers, the others on requests.
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

// dialTimeout limits the time to connect to an endpoint.
const dialTimeout = 2 * time.Second

// Request is one request to an endpoint.
type Request struct {
	// Address is the endpoint's host and port.
	Address string
	Method  string
	// Path is the request target as written, with the query. It begins with a slash.
	Path string
	// Host is the Host header; "" selects Address.
	Host   string
	Header http.Header
	Body   []byte
	// OnceOnly requests run at most once and are written to a new connection.
	OnceOnly bool
	// Timeout is the time until the request's deadline; 0 if it has none.
	Timeout time.Duration
	// Check is called right before each write of the request and may withhold it; nil for no check.
	Check Check
}

// Error is the failure of a request that got no complete answer, or one that counts as a failure.
type Error struct {
	// Outcome says whether the request may have run.
	Outcome retry.Outcome
	// Refused is true when the endpoint reported that it did not start the request.
	Refused bool
	// Full is true when the endpoint refused the request because it has no capacity.
	Full bool
	// Missing is true when the engine does not hold the model of the request.
	Missing bool
	// ConnectFailed is true when no connection was made, or the last one that was tried.
	ConnectFailed bool
	// ConnectionBroken is true when the endpoint's side broke the connection.
	ConnectionBroken bool
	// Withheld is true when Request.Check withheld the request before any of it was written.
	Withheld bool
	// Replaced is true when another endpoint now has the address.
	Replaced bool
	// Answered is true when the endpoint gave a complete answer that counts as a failure, such as a server error, or sent
	// more than an answer may have.
	Answered bool
	// Sends counts the connections on which part of the request may have been sent: 0 or 1.
	Sends int
	// Gateway is the address of the node by way of which the request went; "" if it went directly.
	Gateway string
	// Signals holds the signals in the endpoint's answer.
	Signals signal.Signals
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Outcome.String() + ": " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response is an endpoint's answer. Its body must be closed.
type Response struct {
	*http.Response
	// Running is the load that the endpoint reported, in running requests; -1 if it reported none.
	Running int
	// Draining is true when the endpoint reported that it is draining.
	Draining bool
	// Sends is as in [Error].
	Sends int
	// Gateway is the address of the node by way of which the request went; "" if it went directly.
	Gateway string
	// ConnectedAt is when the connection was opened; zero if the client has no clock.
	ConnectedAt time.Time
	// Signals holds the signals in the answer.
	Signals signal.Signals
}

// BrokenError returns the error for an answer whose body could not be read to its end because of cause.
func (r *Response) BrokenError(cause error) *Error {
	var tooLong *answerlimit.TooLongError
	if errors.As(cause, &tooLong) && tooLong.From == "" && r.Request != nil {
		tooLong.From = "endpoint " + r.Request.URL.Host
	}
	return &Error{Outcome: retry.Ran, ConnectionBroken: brokenByPeer(cause), Answered: tooLong != nil, Sends: r.Sends, Gateway: r.Gateway, Cause: cause}
}

// Framed reports whether the end of the answer is marked, by a length or chunked encoding, so that a truncated answer
// is recognized.
func (r *Response) Framed() bool {
	return r.ContentLength >= 0 || slices.Contains(r.TransferEncoding, "chunked")
}

// brokenByPeer reports whether err means that the other side broke the connection, as opposed to a cancellation on
// this side or a timeout.
func brokenByPeer(err error) bool {
	var timeout net.Error
	switch {
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), answerlimit.IsTooLong(err), answerlimit.IsNoRoom(err):
		return false
	case errors.As(err, &timeout) && timeout.Timeout():
		return false
	}
	return true
}

// ResponseInfo is what the head of an answer states apart from its status.
type ResponseInfo struct {
	// NotStarted is true when the endpoint reports that it did not start the request.
	NotStarted bool
	// Full, Missing and Replaced are as in Error.
	Full, Missing, Replaced bool
	// Mismatched is true when the answer belongs to another request.
	Mismatched bool
	// Running is the load that the endpoint reported, in running requests; -1 if it reported none.
	Running int
	// Draining is true when the endpoint reported that it is draining.
	Draining bool
	// Signals holds the signals in the answer; none if the answer is from another endpoint than the request was meant
	// for.
	Signals signal.Signals
}

// Judge reads a ResponseInfo from the head of the answer to r.
type Judge func(r *Request, resp *http.Response) ResponseInfo

// Options configure a Client.
type Options struct {
	// Judge reads the heads of answers; nil selects the default engine protocol.
	Judge Judge
	// Dialer opens connections; nil selects one with dialTimeout.
	Dialer *net.Dialer
	// Paths chooses the paths to endpoints; nil to connect to all of them directly.
	Paths Paths
	// Clock is the clock for Paths; nil without them.
	Clock clockwork.Clock
}

// CloseIdleConnections closes the idle connections in the pool. After the machine was suspended, the other sides may
// have dropped them.
func (c *Client) CloseIdleConnections() { c.pooled.CloseIdleConnections() }

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	judge Judge
	paths Paths
	clock clockwork.Clock
	// pooled and onceOnly connect directly, tunnelled by way of other nodes.
	pooled, onceOnly, tunnelled *http.Transport
}

// transportHeadBytes is net/http's own bound on heads. It is higher than that of checkedConn, whose error has a type.
const transportHeadBytes = 2 * answerlimit.HeadBytes

// NewClient returns a client for the default engine protocol.
func NewClient() *Client { return NewClientWith(Options{}) }

// NewClientWith returns a client with the given options.
func NewClientWith(o Options) *Client {
	if o.Judge == nil {
		o.Judge = judgeDefault
	}
	if o.Paths == nil {
		if o.Dialer == nil {
			o.Dialer = &net.Dialer{Timeout: dialTimeout}
		}
		o.Paths = directOnly{o.Dialer}
	}
	return &Client{
		judge: o.Judge, paths: o.Paths, clock: o.Clock,
		pooled: &http.Transport{
			DialContext: CheckedDial(o.Paths.Direct), MaxIdleConnsPerHost: 256,
			IdleConnTimeout: silence.PoolTimeout, DisableCompression: true, MaxResponseHeaderBytes: transportHeadBytes,
		},
		onceOnly: &http.Transport{
			DialContext: CheckedDial(o.Paths.Direct), DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: transportHeadBytes,
		},
		// A gateway may stop at any time, so that no tunnel is kept for a later request.
		tunnelled: &http.Transport{
			DialContext: CheckedDial(o.Paths.Tunnel), DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: transportHeadBytes,
		},
	}
}

// Do sends a request and returns the head of the answer. The error is always an *Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	var s sending
	var gateway string
	var connectedAt time.Time
	trace := s.trace()
	trace.GotConn = func(info httptrace.GotConnInfo) {
		s.take(info.Conn)
		gateway, connectedAt = gatewayOf(info.Conn), c.connectedAt(info)
	}
	ctx = withTunnelLifetime(ctx, r.Timeout)
	cancel := func() {}
	if r.Check != nil {
		// On success the context must outlive Do, because the response body is read in it, so cancel is not called
		// then; it ends with the caller's context.
		ctx, cancel = WithCheck(ctx, r.Check)
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, "http://"+r.Address+"/", bytes.NewReader(r.Body))
	if err != nil {
		cancel()
		return nil, &Error{Outcome: retry.NotSent, Cause: eris.Wrap(err, "build request")}
	}
	if err := setTarget(req.URL, r.Path); err != nil {
		cancel()
		return nil, &Error{Outcome: retry.NotSent, Cause: err}
	}
	req.Header = r.Header
	if r.Host != "" {
		req.Host = r.Host
	}
	if len(r.Body) == 0 {
		req.Body, req.ContentLength = nil, 0
	}
	preventRepeats(req)
	resp, err := c.roundTrip(req, r, &s)
	n := 1
	if err != nil {
		n = s.sends(ctx)
		defer cancel()
		if why := context.Cause(ctx); Withheld(why) {
			return nil, &Error{Outcome: retry.NotSent, Withheld: true, Cause: why}
		}
		failure := &Error{Outcome: outcomeOf(n > 0), ConnectFailed: s.conn == nil, ConnectionBroken: n > 0 && ctx.Err() == nil && brokenByPeer(err), Sends: n, Gateway: gateway, Cause: err}
		var tooLong *answerlimit.TooLongError
		if errors.As(err, &tooLong) {
			failure.Answered, failure.Cause = true, tooLong
		}
		return nil, failure
	}
	answer, failure := c.classify(r, resp)
	if failure != nil {
		cancel()
		failure.Sends, failure.Gateway = n, gateway
		return nil, failure
	}
	answer.Sends, answer.Gateway, answer.ConnectedAt = n, gateway, connectedAt
	return answer, nil
}

// maxInquiryBytes bounds the answer to an inquiry.
const maxInquiryBytes = 256 << 10

// Inquire sends a request that the endpoint answers about itself, over the path that other requests take, and returns the
// body of the answer. It fails unless the status is 200.
func (c *Client) Inquire(ctx context.Context, r *Request) ([]byte, error) {
	var s sending
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, s.trace()), r.Method, "http://"+r.Address+r.Path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	req.Header = r.Header
	resp, err := c.roundTrip(req, r, &s)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status %d", resp.StatusCode)
	}
	return ReadBody(resp.Body, maxInquiryBytes, "endpoint "+r.Address)
}

// ReadBody reads a body of at most limit bytes. The error is an *answerlimit.TooLongError if it is longer; from names the
// sender and its address.
func ReadBody(body io.Reader, limit int64, from string) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, limit+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(raw)) > limit:
		return nil, &answerlimit.TooLongError{From: from, Part: answerlimit.Body, Limit: limit}
	}
	return raw, nil
}

// sending tracks the connections that net/http takes for a request. It takes another one only if nothing was written on the
// one before; see preventRepeats.
type sending struct {
	// taken is set once there was a connection.
	taken bool
	// conn is the connection of the latest try; nil while it has none.
	conn net.Conn
}

// trace returns hooks that track the connections.
func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { s.conn = nil },
		GotConn: func(info httptrace.GotConnInfo) { s.take(info.Conn) },
	}
}

func (s *sending) take(conn net.Conn) {
	s.taken, s.conn = true, conn
	if c, ok := conn.(*checkedConn); ok {
		c.beginRequest()
		c.awaitHead()
	}
}

// headComplete notes that the head of the answer has been read.
func (s *sending) headComplete() {
	if c, ok := s.conn.(*checkedConn); ok {
		c.headComplete()
	}
}

// sends returns on how many connections part of a request that failed may have been sent: 0 or 1. A connection on which
// nothing was written when it broke is closed by then, unless the request was given up on this side.
func (s *sending) sends(ctx context.Context) int {
	c, ok := s.conn.(*checkedConn)
	if s.conn == nil || ok && ctx.Err() == nil && !c.begunWriting() {
		return 0
	}
	return 1
}

// connectedAt returns when the connection of a request was opened; zero without a clock.
func (c *Client) connectedAt(info httptrace.GotConnInfo) time.Time {
	conn, ok := info.Conn.(*checkedConn)
	if !ok || c.clock == nil {
		return time.Time{}
	}
	if !info.Reused {
		conn.openedAt = c.clock.Now()
	}
	return conn.openedAt
}

// Refuses reports whether the address refuses TCP connections, also those of other nodes, so that no process listens
// there. It closes a connection that is accepted without writing to it.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	return c.paths.Refuses(ctx, address)
}

// preventRepeats removes everything from a request that lets net/http repeat it. Engines could otherwise crash under
// repeated requests that no retry budget counts and no log shows: two requests over a reused connection that breaks
// were written three times, as counted by the server.
func preventRepeats(req *http.Request) {
	req.GetBody = nil
	if req.Body == nil && repeatedMethods[req.Method] {
		req.Body = io.NopCloser(emptyBody{})
	}
	for _, name := range idempotencyHeaders {
		if values, ok := req.Header[name]; ok {
			// net/http looks for the canonical spelling only. Header names are case-insensitive, so the lower-case
			// one means the same to the endpoint.
			req.Header = req.Header.Clone()
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = values
		}
	}
}

// repeatedMethods are the methods of which net/http repeats requests without a body.
var repeatedMethods = map[string]bool{http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true}

// idempotencyHeaders are the headers, in canonical spelling, with which net/http repeats any request.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// emptyBody is an empty body. net/http does not know that it can be read again, unlike http.NoBody.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// outcomeOf returns the outcome of a request without an answer, depending on whether any of it may have been sent.
func outcomeOf(sent bool) retry.Outcome {
	if sent {
		return retry.MaybeRun
	}
	return retry.NotSent
}

// errMismatched is the cause of an error when the answer belongs to another request, so that the outcome of this one
// is unknown.
var errMismatched = eris.New("the answer belongs to another request")

// maxRefusalText is the number of bytes of a refusal's body that are put into the error.
const maxRefusalText = 256

// classify returns an answer as a Response, or as an *Error if the endpoint did not start the request, or the answer has no
// valid status or belongs to another request.
func (c *Client) classify(req *Request, resp *http.Response) (*Response, *Error) {
	if resp.StatusCode < http.StatusOK {
		resp.Body.Close()
		return nil, &Error{Outcome: retry.MaybeRun, Cause: eris.Errorf("the answer has status %03d, which ends no request", resp.StatusCode)}
	}
	v := c.judge(req, resp)
	switch {
	case v.Mismatched:
		resp.Body.Close()
		return nil, &Error{Outcome: retry.MaybeRun, Cause: errMismatched}
	case v.NotStarted:
		text := c.refusalText(resp.Body)
		return nil, &Error{
			Outcome: retry.NotSent, Refused: true, Full: v.Full, Missing: v.Missing, Replaced: v.Replaced, Signals: v.Signals,
			Cause: eris.Errorf("the endpoint did not start the request (%d): %s", resp.StatusCode, bytes.TrimSpace(text)),
		}
	}
	return &Response{Response: resp, Running: v.Running, Draining: v.Draining, Signals: v.Signals}, nil
}

// refusalTextTimeout bounds the wait for the text of a refusal. The head says all that counts.
const refusalTextTimeout = 200 * time.Millisecond

// refusalText reads the begin of a refusal's body and closes it.
func (c *Client) refusalText(body io.ReadCloser) []byte {
	defer body.Close()
	if c.clock != nil {
		defer c.clock.AfterFunc(refusalTextTimeout, func() { _ = body.Close() }).Stop()
	}
	text, err := io.ReadAll(io.LimitReader(body, maxRefusalText))
	if err != nil {
		text = append(text, " ("+err.Error()+")"...)
	}
	return text
}

// judgeDefault is the Judge of the default engine protocol.
func judgeDefault(_ *Request, resp *http.Response) ResponseInfo {
	v := ResponseInfo{
		NotStarted: resp.Header.Get(HeaderNotRun) == "true", Full: resp.StatusCode == http.StatusTooManyRequests,
		Running: -1, Draining: resp.Header.Get(HeaderLeaving) == "true",
	}
	if n, err := strconv.Atoi(resp.Header.Get(HeaderRunning)); err == nil {
		v.Running = n
	}
	return v
}
