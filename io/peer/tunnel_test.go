package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
)

// fakeOpener opens tunnels to one end of a pipe, or of a TCP connection if tcp is set, of which the test holds the other.
type fakeOpener struct {
	err       error
	tcp       bool
	endpoints chan net.Conn
	stop      chan struct{}
	done      chan struct{}
	asked     chan TunnelRequest
}

func newFakeOpener() *fakeOpener {
	return &fakeOpener{endpoints: make(chan net.Conn, 1), stop: make(chan struct{}), done: make(chan struct{}, 9), asked: make(chan TunnelRequest, 9)}
}

func (o *fakeOpener) Open(_ context.Context, q TunnelRequest) (net.Conn, <-chan struct{}, func(), error) {
	o.asked <- q
	if o.err != nil {
		return nil, nil, nil, o.err
	}
	mine, endpoint := net.Pipe()
	if o.tcp {
		var err error
		if mine, endpoint, err = tcpPair(); err != nil {
			return nil, nil, nil, err
		}
	}
	o.endpoints <- endpoint
	return mine, o.stop, func() { o.done <- struct{}{} }, nil
}

// tcpPair returns both ends of a TCP connection.
func tcpPair() (a, b net.Conn, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	if a, err = net.Dial("tcp", l.Addr().String()); err != nil {
		return nil, nil, err
	}
	b, err = l.Accept()
	return a, b, err
}

// openTunnel opens a tunnel through a gateway and returns both ends.
func openTunnel(t *testing.T, o *fakeOpener, clock clockwork.Clock, q TunnelRequest) (node, endpoint net.Conn) {
	t.Helper()
	srv := httptest.NewServer(Handler(&fakeHolder{}, o, nil, clock))
	t.Cleanup(srv.Close)
	node, err := NewClient(&net.Dialer{Timeout: time.Second}).Tunnel(t.Context(), strings.TrimPrefix(srv.URL, "http://"), q)
	if err != nil {
		t.Fatal(err)
	}
	return node, <-o.endpoints
}

// TestTunnel checks that bytes pass both ways through a tunnel, and that whatever ends it closes both sides.
func TestTunnel(t *testing.T) {
	q := TunnelRequest{Node: "n", Endpoint: "10.0.0.1:80", Lifetime: time.Minute}
	tests := []struct {
		name string
		end  func(o *fakeOpener, clock *clockwork.FakeClock, node, endpoint net.Conn)
	}{
		{"the node leaves", func(_ *fakeOpener, _ *clockwork.FakeClock, node, _ net.Conn) { node.Close() }},
		{"the endpoint closes", func(_ *fakeOpener, _ *clockwork.FakeClock, _, endpoint net.Conn) { endpoint.Close() }},
		{"the gateway stops", func(o *fakeOpener, _ *clockwork.FakeClock, _, _ net.Conn) { close(o.stop) }},
		{"its lifetime is over", func(_ *fakeOpener, clock *clockwork.FakeClock, _, _ net.Conn) { clock.Advance(time.Minute) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o, clock := newFakeOpener(), clockwork.NewFakeClock()
			node, endpoint := openTunnel(t, o, clock, q)
			if diff := cmp.Diff(q, <-o.asked); diff != "" {
				t.Errorf("request (-want +got):\n%s", diff)
			}
			for i, ends := range [][2]net.Conn{{node, endpoint}, {endpoint, node}} {
				want := fmt.Sprint("message ", i)
				if _, err := io.WriteString(ends[0], want); err != nil {
					t.Fatal(err)
				}
				got := make([]byte, len(want))
				if _, err := io.ReadFull(ends[1], got); err != nil || string(got) != want {
					t.Fatalf("got %q, %v; want %q", got, err, want)
				}
			}
			tt.end(o, clock, node, endpoint)
			<-o.done
			for _, end := range []net.Conn{node, endpoint} {
				if _, err := end.Read(make([]byte, 1)); err == nil {
					t.Error("a side is still open")
				}
			}
		})
	}
}

// TestTunnelHoldsUpWriter checks that an endpoint is held up while the node does not read, so that a gateway keeps few
// bytes for it.
func TestTunnelHoldsUpWriter(t *testing.T) {
	o := newFakeOpener()
	node, endpoint := openTunnel(t, o, clockwork.NewFakeClock(), TunnelRequest{Node: "n", Endpoint: "10.0.0.1:80"})
	const size = 64 << 20
	wrote := make(chan error, 1)
	go func() {
		_, err := endpoint.Write(make([]byte, size))
		endpoint.Close()
		wrote <- err
	}()
	select {
	case err := <-wrote:
		t.Fatalf("the endpoint wrote %d bytes that the node had not read: %v", size, err)
	case <-time.After(100 * time.Millisecond):
	}
	n, err := io.Copy(io.Discard, node)
	if err != nil || n != size {
		t.Errorf("the node read %d bytes, %v; want %d", n, err, size)
	}
	if err := <-wrote; err != nil {
		t.Error(err)
	}
}

// TestLateBytesNotForwarded guards against requests that a gateway sends although it was suspended after it had checked
// the endpoint's state.
func TestLateBytesNotForwarded(t *testing.T) {
	o, clock := newFakeOpener(), clockwork.NewFakeClock()
	node, endpoint := openTunnel(t, o, clock, TunnelRequest{Node: "n", Endpoint: "10.0.0.1:80"})
	clock.Advance(maxTunnelDelay + time.Millisecond)
	if _, err := io.WriteString(node, "request"); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(endpoint); len(got) > 0 || err != nil {
		t.Errorf("the endpoint got %q, %v; want nothing", got, err)
	}
}

// TestTunnelErrors checks that the reasons for which a gateway opens no tunnel reach the node.
func TestTunnelErrors(t *testing.T) {
	for _, s := range tunnelStatus {
		o := newFakeOpener()
		o.err = fmt.Errorf("%w: details", s.err)
		srv := httptest.NewServer(Handler(&fakeHolder{}, o, nil, clockwork.NewRealClock()))
		_, err := NewClient(&net.Dialer{Timeout: time.Second}).Tunnel(t.Context(), strings.TrimPrefix(srv.URL, "http://"), TunnelRequest{Node: "n", Endpoint: "10.0.0.1:80"})
		if !errors.Is(err, s.err) {
			t.Errorf("got %v, want %v", err, s.err)
		}
		srv.Close()
	}
	if _, err := parseTunnelRequest(map[string][]string{"endpoint": {"no address"}, "lifetimeMs": {"1"}}); err == nil {
		t.Error("a request for a tunnel to no address was accepted")
	}
}

// TestCutTunnelIsNoEnd guards against an answer without a length that counts as whole although its tunnel was cut.
func TestCutTunnelIsNoEnd(t *testing.T) {
	tests := []struct {
		name string
		end  func(o *fakeOpener, clock *clockwork.FakeClock, endpoint net.Conn)
		want error
	}{
		{"the endpoint closes", func(_ *fakeOpener, _ *clockwork.FakeClock, endpoint net.Conn) { endpoint.Close() }, nil},
		{"the endpoint resets", func(_ *fakeOpener, _ *clockwork.FakeClock, endpoint net.Conn) {
			_ = endpoint.(*net.TCPConn).SetLinger(0)
			endpoint.Close()
		}, io.ErrUnexpectedEOF},
		{"the gateway stops", func(o *fakeOpener, _ *clockwork.FakeClock, _ net.Conn) { close(o.stop) }, io.ErrUnexpectedEOF},
		{"the lifetime is over", func(_ *fakeOpener, clock *clockwork.FakeClock, _ net.Conn) {
			clock.Advance(time.Minute)
		}, io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o, clock := newFakeOpener(), clockwork.NewFakeClock()
			o.tcp = true
			node, endpoint := openTunnel(t, o, clock, TunnelRequest{Node: "n", Endpoint: "10.0.0.1:80", Lifetime: time.Minute})
			defer node.Close()
			const part = "the first part"
			if _, err := io.WriteString(endpoint, part); err != nil {
				t.Fatal(err)
			}
			got := make([]byte, len(part))
			if _, err := io.ReadFull(node, got); err != nil || string(got) != part {
				t.Fatalf("got %q, %v; want %q", got, err, part)
			}
			tt.end(o, clock, endpoint)
			if rest, err := io.ReadAll(node); len(rest) > 0 || !errors.Is(err, tt.want) {
				t.Errorf("then got %q, %v; want nothing, %v", rest, err, tt.want)
			}
		})
	}
}
