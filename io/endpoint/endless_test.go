package endpoint

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/answerlimit"
	"olivetiller/core/retry"
	"olivetiller/standin/endless"
)

// TestRefusalWithoutItsText guards against a refusal that is known only at the deadline of its request, because the endpoint
// announces a text and does not send it.
func TestRefusalWithoutItsText(t *testing.T) {
	pipes := endless.Pipes{Serve: func(_ string, conn net.Conn) {
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+HeaderNotRun+": true\r\nContent-Length: 100\r\n\r\nfull")
		// Until the client closes the connection.
		_, _ = conn.Read(make([]byte, 1))
	}}
	c := NewClientWith(Options{Paths: pipes, Clock: clockwork.NewRealClock()})
	_, err := c.Do(t.Context(), &Request{Address: "e", Method: http.MethodGet, Path: "/", Header: http.Header{}})
	var e *Error
	if !errors.As(err, &e) || !e.Refused || e.Outcome != retry.NotSent {
		t.Errorf("%v, want a refusal of the endpoint", err)
	}
}

// TestEndlessHead guards against an endpoint whose endless head is taken for a broken connection, which is how a crash looks, or
// for a request that has not run.
func TestEndlessHead(t *testing.T) {
	for _, shape := range endless.Heads {
		t.Run(shape.Name, func(t *testing.T) {
			pipes := endless.Pipes{Serve: func(_ string, conn net.Conn) {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				shape.Play(conn, "")
			}}
			c := NewClientWith(Options{Paths: pipes})
			_, err := c.Do(t.Context(), &Request{Address: "e", Method: http.MethodGet, Path: "/", Header: http.Header{}})
			got, ok := err.(*Error)
			if !ok {
				t.Fatalf("%v, want an *Error", err)
			}
			want := &Error{Outcome: retry.MaybeRun, Answered: true, Sends: 1, Cause: &answerlimit.TooLongError{
				From: "endpoint pipe", Part: answerlimit.Head, Limit: answerlimit.HeadBytes,
			}}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEndlessInquiry guards against an endpoint that answers an inquiry about itself without end.
func TestEndlessInquiry(t *testing.T) {
	for _, shape := range append(endless.Heads, endless.Chunked, endless.Unframed) {
		t.Run(shape.Name, func(t *testing.T) {
			taken := make(chan int64, 1)
			pipes := endless.Pipes{Serve: func(_ string, conn net.Conn) {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				taken <- shape.Play(conn, "")
			}}
			c := NewClientWith(Options{Paths: pipes})
			_, err := c.Inquire(t.Context(), &Request{Address: "e", Method: http.MethodGet, Path: "/report", Header: http.Header{}})
			if !answerlimit.IsTooLong(err) {
				t.Errorf("%v, want an answer that is too long", err)
			}
			// Beyond the limit, buffers of net/http.
			if n := <-taken; n > maxInquiryBytes+answerlimit.HeadBytes {
				t.Errorf("%d bytes were read, want %d at most", n, maxInquiryBytes+answerlimit.HeadBytes)
			}
		})
	}
}
