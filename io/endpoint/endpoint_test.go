package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/retry"
)

// requestBytes bounds the byte positions at which the requests of the test are cut; they are a few bytes longer.
const requestBytes = 124

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\n\r\nok"

// serveEach listens on a free port until the test ends and calls serve for each connection on its own goroutine.
func serveEach(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l
}

// cutServer reads up to readMost bytes of each request, writes the first writeMost bytes of the answer and closes the
// connection. requests counts the requests of which any byte arrived.
type cutServer struct {
	l                   net.Listener
	readMost, writeMost int
	requests            atomic.Int64
}

func newCutServer(t *testing.T, readMost, writeMost int) *cutServer {
	t.Helper()
	s := &cutServer{readMost: readMost, writeMost: writeMost}
	s.l = serveEach(t, s.serve)
	return s
}

func (s *cutServer) serve(c net.Conn) {
	defer c.Close()
	n, _ := io.ReadAtLeast(c, make([]byte, 4096), s.readMost)
	if n > 0 {
		s.requests.Add(1)
	}
	_, _ = c.Write([]byte(wholeAnswer)[:s.writeMost])
}

func onceRequest(address string) *Request {
	return &Request{
		Address: address, Method: http.MethodPost, Path: "/new", Body: []byte(`{"ticket":1}`), OnceOnly: true,
		Header: http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}},
	}
}

// TestOnceOnlyIsWrittenOnce cuts the connection after each byte of the exchange. At most one request may be written,
// and the outcome may be NotSent only if nothing arrived: where the server reads nothing, the connection may be closed
// before the first byte is written.
func TestOnceOnlyIsWrittenOnce(t *testing.T) {
	type cut struct {
		name        string
		read, write int
	}
	var cuts []cut
	for read := range requestBytes {
		cuts = append(cuts, cut{fmt.Sprintf("after %d bytes of the request", read), read, 0})
	}
	for write := range len(wholeAnswer) {
		cuts = append(cuts, cut{fmt.Sprintf("after %d bytes of the answer", write), 1, write})
	}
	for _, tc := range cuts {
		s := newCutServer(t, tc.read, tc.write)
		resp, err := NewClient().Do(context.Background(), onceRequest(s.l.Addr().String()))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil {
				t.Errorf("%s: a truncated answer was returned as complete", tc.name)
			}
		}
		var e *Error
		if errors.As(err, &e) && e.Outcome == retry.NotSent && tc.read > 0 {
			t.Errorf("%s: the outcome is NotSent", tc.name)
		}
		if n := s.requests.Load(); n > 1 {
			t.Errorf("%s: written %d times", tc.name, n)
		}
	}
}

// TestNetHTTPRepeats shows the behavior that the client prevents: on a reused connection that closes before the
// answer, net/http writes a request with an Idempotency-Key again.
func TestNetHTTPRepeats(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				for i := 0; ; i++ {
					if n, err := c.Read(buf); err != nil || n == 0 {
						return
					}
					requests.Add(1)
					if i > 0 {
						return // the second request on a connection gets no answer
					}
					_, _ = c.Write([]byte(wholeAnswer))
				}
			}()
		}
	}()
	count := func(send func() (*http.Response, error)) int64 {
		before := requests.Load()
		for range 2 {
			if resp, err := send(); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}
		return requests.Load() - before
	}
	bare := &http.Transport{}
	written := count(func() (*http.Response, error) {
		r := onceRequest(l.Addr().String())
		req, err := http.NewRequest(r.Method, "http://"+r.Address+r.Path, bytes.NewReader(r.Body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header = r.Header
		return bare.RoundTrip(req)
	})
	if written != 3 {
		t.Errorf("net/http wrote two requests %d times, want 3: net/http no longer repeats the request", written)
	}
	for _, once := range []bool{false, true} {
		c := NewClient()
		written := count(func() (*http.Response, error) {
			r := onceRequest(l.Addr().String())
			r.OnceOnly = once
			resp, err := c.Do(context.Background(), r)
			if err != nil {
				return nil, err
			}
			return resp.Response, nil
		})
		if written != 2 {
			t.Errorf("two requests, once only %t, were written %d times", once, written)
		}
	}
}

// TestRefusedConnectionIsNotSent checks that a request to an address where nobody listens has the outcome NotSent.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	_, err = NewClient().Do(context.Background(), onceRequest(address))
	var e *Error
	if !errors.As(err, &e) || e.Outcome != retry.NotSent {
		t.Errorf("error = %v, want notSent", err)
	}
}

// closedConn is a connection that the other side closes once it is idle, before this side has noticed.
type closedConn struct {
	net.Conn
	closed *atomic.Bool
}

// Write implements net.Conn.
func (c closedConn) Write(b []byte) (int, error) {
	if c.closed.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(b)
}

// closedPaths connects directly until closed is set, and then refuses.
type closedPaths struct {
	directOnly
	closed *atomic.Bool
}

// Direct implements Paths.
func (p closedPaths) Direct(ctx context.Context, network, address string) (net.Conn, error) {
	if p.closed.Load() {
		return nil, syscall.ECONNREFUSED
	}
	conn, err := p.directOnly.Direct(ctx, network, address)
	return closedConn{conn, p.closed}, err
}

// TestClosedIdleConnectionIsNotSent guards against a request that counts as one that may have run, although it found its idle
// connection closed and a new one was refused.
func TestClosedIdleConnectionIsNotSent(t *testing.T) {
	for _, body := range []string{"", "body"} {
		s := newKeptServer(t)
		closed := new(atomic.Bool)
		c := NewClientWith(Options{Paths: closedPaths{directOnly{new(net.Dialer)}, closed}})
		req := func() *Request {
			return &Request{Address: s.l.Addr().String(), Method: http.MethodPost, Path: "/", Body: []byte(body), Header: http.Header{}}
		}
		resp, err := c.Do(t.Context(), req())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		closed.Store(true)
		_, err = c.Do(t.Context(), req())
		var e *Error
		if !errors.As(err, &e) || e.Outcome != retry.NotSent || e.Sends != 0 {
			t.Errorf("with body %q: error = %#v, want notSent", body, err)
		}
		if n := s.requests.Load(); n != 1 {
			t.Errorf("%d requests arrived, want 1", n)
		}
	}
}

// gatewayPaths asks a gateway for each connection, which opens none.
type gatewayPaths struct {
	directOnly
	gateway string
}

// Direct implements Paths.
func (p gatewayPaths) Direct(ctx context.Context, _, _ string) (net.Conn, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.gateway, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	resp.Body.Close()
	return nil, syscall.ECONNREFUSED
}

// TestRefusedAfterGatewayIsNotSent guards against a request that counts as one that may have run, because a connection to a
// gateway was taken for one to the endpoint.
func TestRefusedAfterGatewayIsNotSent(t *testing.T) {
	gateway := newKeptServer(t)
	c := NewClientWith(Options{Paths: gatewayPaths{directOnly{new(net.Dialer)}, gateway.l.Addr().String()}})
	_, err := c.Do(t.Context(), &Request{Address: "127.0.0.1:1", Method: http.MethodPost, Path: "/", Header: http.Header{}})
	var e *Error
	if !errors.As(err, &e) || e.Outcome != retry.NotSent || !e.ConnectFailed {
		t.Errorf("error = %#v, want notSent", err)
	}
	if n := gateway.requests.Load(); n != 1 {
		t.Errorf("%d requests arrived at the gateway, want 1", n)
	}
}

// keptServer answers the first request of each connection and closes the connection when the second one arrives.
// requests counts the requests.
type keptServer struct {
	l        net.Listener
	requests atomic.Int64
}

func newKeptServer(t *testing.T) *keptServer {
	t.Helper()
	s := &keptServer{}
	s.l = serveEach(t, s.serve)
	return s
}

func (s *keptServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		if i == 0 {
			_, _ = io.WriteString(c, wholeAnswer)
		}
	}
}

// TestNoHiddenRepeat checks that an attempt writes a request once. When a reused connection breaks before the first
// byte of the answer, net/http by itself writes a request without a body again (3 arrivals of 2 requests), so that
// engines crashed under arrivals that no counter, budget or log showed.
func TestNoHiddenRepeat(t *testing.T) {
	tests := []struct {
		name, method string
		body         string
		header       http.Header
	}{
		{"without a body", http.MethodGet, "", http.Header{}},
		{"with a body", http.MethodPost, "body", http.Header{}},
		{"with a body and a key", http.MethodPost, "body", http.Header{"Idempotency-Key": {"k"}}},
		{"with a key and no body", http.MethodPost, "", http.Header{"Idempotency-Key": {"k"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newKeptServer(t)
			c := NewClient()
			req := func() *Request {
				return &Request{Address: s.l.Addr().String(), Method: test.method, Path: "/", Body: []byte(test.body), Header: test.header.Clone()}
			}
			resp, err := c.Do(context.Background(), req())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			var failed *Error
			if _, err = c.Do(context.Background(), req()); !errors.As(err, &failed) {
				t.Errorf("the second request was answered, want a broken connection: %v", err)
			}
			if n := s.requests.Load(); n != 2 {
				t.Errorf("%d arrivals of 2 requests", n)
			}
		})
	}
}

// TestSilentInquiry checks that the error of an inquiry to an endpoint that sends nothing says that its time has passed, and
// that of an endpoint that refuses connections does not.
func TestSilentInquiry(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = gone.Close()
	tests := []struct {
		name, address string
		want          bool
	}{
		{"silent", silent.Addr().String(), true},
		{"gone", gone.Addr().String(), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := NewClient().Inquire(ctx, &Request{Address: tt.address, Method: http.MethodGet, Path: "/", Header: http.Header{}})
			if diff := cmp.Diff([]bool{true, tt.want}, []bool{err != nil, errors.Is(err, context.DeadlineExceeded)}); diff != "" {
				t.Errorf("an error, and one of time (-want +got):\n%s%v", diff, err)
			}
		})
	}
}

// TestInvalidStatus guards against answers with a status that cannot be passed on: net/http panics when it writes one below
// 100, which closes the connection of the caller, and 101 is no answer to a request that asked for no other protocol.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		t.Run(status, func(t *testing.T) {
			l := serveEach(t, func(c net.Conn) {
				defer c.Close()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" x\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 0\r\n\r\n")
			})
			resp, err := NewClient().Do(t.Context(), &Request{Address: l.Addr().String(), Method: http.MethodPost, Path: "/", Header: http.Header{}})
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("response %v, error %v, want an *Error", resp, err)
			}
			if diff := cmp.Diff([]any{retry.MaybeRun, 1}, []any{e.Outcome, e.Sends}); diff != "" {
				t.Errorf("outcome and sends (-want +got):\n%s%v", diff, e)
			}
		})
	}
}
