package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/answerlimit"
)

// A tunnel is a connection between a node and an endpoint by way of another node, the gateway, which forwards bytes both
// ways and knows nothing of the requests on it. The node asks for it by a request that switches protocols. Closing one
// side closes the other, so that an endpoint notices a caller that has left as it does on a direct connection, and a side
// that does not read holds the other one up.
//
// Bytes for the endpoint are sent as they are. Those for the node are sent in frames, each of which has its length in two
// bytes, big endian, before it. An empty frame is the endpoint's end of the connection; without one the tunnel was cut, so
// that an answer that ends with its connection does not count as whole.
const (
	pathTunnel     = "/peer/tunnel"
	tunnelProtocol = "olivetiller-tunnel"
	// maxTunnelTime bounds the lifetime of a tunnel whose node states no shorter one.
	maxTunnelTime = 2 * time.Minute
	// maxTunnelDelay is the longest time from the check of the endpoint's state, before the tunnel is opened, to the first
	// bytes that are forwarded to it. The gateway may have been suspended in between.
	maxTunnelDelay = 400 * time.Millisecond
	// tunnelBuffer is the buffer for each direction of a tunnel, in bytes.
	tunnelBuffer = 8 << 10
	// frameHeader is the size of a frame's length, in bytes.
	frameHeader = 2
)

// Reasons for which a gateway opens no tunnel.
var (
	// ErrTunnelRefused is returned if the endpoint refused the gateway's connection.
	ErrTunnelRefused = errors.New("the endpoint refuses connections")
	// ErrNoPath is returned if the gateway could not connect to the endpoint.
	ErrNoPath = errors.New("the node does not reach the endpoint; ask another one")
	// ErrTunnelNotAllowed is returned if the address is no endpoint that takes requests, as far as the gateway knows.
	ErrTunnelNotAllowed = errors.New("the address is no endpoint that takes requests")
	// ErrTooManyTunnels is returned if the gateway is stopping or has no capacity for another tunnel.
	ErrTooManyTunnels = errors.New("the node takes no further tunnels; ask another one")
)

// tunnelStatus maps the reasons to the statuses by which they are sent.
var tunnelStatus = []struct {
	err    error
	status int
}{
	{ErrTunnelRefused, http.StatusBadGateway},
	{ErrNoPath, http.StatusGatewayTimeout},
	{ErrTunnelNotAllowed, http.StatusForbidden},
	{ErrTooManyTunnels, http.StatusServiceUnavailable},
}

// TunnelRequest asks a node for a tunnel.
type TunnelRequest struct {
	// Node is the name of the node that asks.
	Node string
	// Endpoint is the endpoint's address, host and port.
	Endpoint string
	// Lifetime is how long the tunnel may stay open; 0 for maxTunnelTime.
	Lifetime time.Duration
}

func (q *TunnelRequest) values() url.Values {
	return url.Values{"node": {q.Node}, "endpoint": {q.Endpoint}, "lifetimeMs": {strconv.FormatInt(q.Lifetime.Milliseconds(), 10)}}
}

func parseTunnelRequest(v url.Values) (TunnelRequest, error) {
	ms, err := strconv.ParseInt(v.Get("lifetimeMs"), 10, 64)
	if err != nil {
		return TunnelRequest{}, fmt.Errorf("lifetimeMs: %w", err)
	}
	if _, _, err := net.SplitHostPort(v.Get("endpoint")); err != nil {
		return TunnelRequest{}, fmt.Errorf("endpoint: %w", err)
	}
	return TunnelRequest{Node: v.Get("node"), Endpoint: v.Get("endpoint"), Lifetime: time.Duration(ms) * time.Millisecond}, nil
}

// Opener opens the connections of a gateway to endpoints.
type Opener interface {
	// Open connects to the endpoint of a tunnel. Its errors wrap one of the reasons above. The caller must call done when
	// the tunnel is over, and end it when stop is closed.
	Open(ctx context.Context, q TunnelRequest) (conn net.Conn, stop <-chan struct{}, done func(), err error)
}

// handleTunnel serves requests for tunnels.
func handleTunnel(o Opener, clock clockwork.Clock) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, err := parseTunnelRequest(r.URL.Query())
		if err != nil || r.Header.Get("Upgrade") != tunnelProtocol {
			http.Error(w, fmt.Sprintf("a tunnel needs an endpoint, a lifetime and the upgrade to %s: %v", tunnelProtocol, err), http.StatusBadRequest)
			return
		}
		checked := clock.Now()
		out, stop, done, err := o.Open(r.Context(), q)
		if err != nil {
			http.Error(w, err.Error(), statusOfTunnelError(err))
			return
		}
		defer done()
		defer out.Close()
		in, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		defer in.Close()
		if _, err := io.WriteString(in, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+tunnelProtocol+"\r\n\r\n"); err != nil {
			return
		}
		forward(in, buffered.Reader, out, &q, checked, stop, clock)
	}
}

func statusOfTunnelError(err error) int {
	for _, s := range tunnelStatus {
		if errors.Is(err, s.err) {
			return s.status
		}
	}
	return http.StatusInternalServerError
}

// forward copies bytes both ways between the node's connection in, of which early holds what was read already, and the
// endpoint's connection out, until either side ends, the lifetime of the tunnel is over, or stop is closed. It closes both.
// checked is when the endpoint's state was checked.
func forward(in net.Conn, early *bufio.Reader, out net.Conn, q *TunnelRequest, checked time.Time, stop <-chan struct{}, clock clockwork.Clock) {
	lifetime := q.Lifetime
	if lifetime <= 0 || lifetime > maxTunnelTime {
		lifetime = maxTunnelTime
	}
	var once sync.Once
	ended := make(chan struct{})
	end := func() {
		once.Do(func() {
			close(ended)
			in.Close()
			out.Close()
		})
	}
	timer := clock.NewTimer(lifetime)
	defer timer.Stop()
	var wg sync.WaitGroup
	wg.Go(func() {
		defer end()
		copyToEndpoint(out, early, func() bool { return clock.Now().Sub(checked) <= maxTunnelDelay })
	})
	wg.Go(func() {
		defer end()
		copyToNode(in, out)
	})
	select {
	case <-ended:
	case <-timer.Chan():
	case <-stop:
	}
	end()
	wg.Wait()
}

// copyToEndpoint copies from src to dst until an error or the end of src. It calls first before it writes anything, and
// ends if first returns false. Unlike io.Copy it does not splice, so that a connection is closed as soon as the other one
// is.
func copyToEndpoint(dst io.Writer, src io.Reader, first func() bool) {
	buf := make([]byte, tunnelBuffer)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if first != nil && !first() {
				return
			}
			first = nil
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// copyToNode copies from src to dst in frames, until an error or the end of src.
func copyToNode(dst io.Writer, src io.Reader) {
	buf := make([]byte, frameHeader+tunnelBuffer)
	for {
		n, err := src.Read(buf[frameHeader:])
		if n > 0 || err == io.EOF {
			binary.BigEndian.PutUint16(buf, uint16(n))
			if _, err := dst.Write(buf[:frameHeader+n]); err != nil {
				return
			}
		}
		if err == io.EOF && n > 0 {
			continue
		}
		if err != nil {
			return
		}
	}
}

// Tunnel asks the node at an address for a tunnel to an endpoint. If the node answers without opening one, the error
// wraps one of the reasons above. ctx bounds the request and not the tunnel.
func (c *Client) Tunnel(ctx context.Context, address string, q TunnelRequest) (net.Conn, error) {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	early, err := requestTunnel(conn, address, q)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &tunnelConn{Conn: conn, early: early}, nil
}

// requestTunnel sends the request for a tunnel and reads the answer. It returns the reader of the connection.
func requestTunnel(conn net.Conn, address string, q TunnelRequest) (*bufio.Reader, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+pathTunnel+"?"+q.values().Encode(), nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", tunnelProtocol)
	if err := req.Write(conn); err != nil {
		return nil, err
	}
	bounded := &io.LimitedReader{R: conn, N: answerlimit.HeadBytes}
	early := bufio.NewReader(bounded)
	resp, err := http.ReadResponse(early, req)
	switch {
	case err != nil && bounded.N <= 0:
		return nil, &answerlimit.TooLongError{From: "node at " + address, Part: answerlimit.Head, Limit: answerlimit.HeadBytes}
	case err != nil:
		return nil, err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		bounded.N = math.MaxInt64
		return early, nil
	}
	defer resp.Body.Close()
	for _, s := range tunnelStatus {
		if s.status == resp.StatusCode {
			return nil, fmt.Errorf("node at %s: %w", address, s.err)
		}
	}
	// Nodes of the previous release know no tunnels.
	return nil, fmt.Errorf("node at %s: status %d: %w", address, resp.StatusCode, ErrTooManyTunnels)
}

// tunnelConn is the node's side of a tunnel.
type tunnelConn struct {
	net.Conn
	// early holds what was read together with the answer to the request for the tunnel.
	early *bufio.Reader
	// left is what has not been read of the current frame, in bytes. ended is set after the last frame.
	left  int
	ended bool
}

// Gateway implements endpoint.Tunnelled.
func (c *tunnelConn) Gateway() string { return c.RemoteAddr().String() }

// Read implements net.Conn. Its error is io.ErrUnexpectedEOF if the tunnel was cut.
func (c *tunnelConn) Read(b []byte) (int, error) {
	for c.left == 0 {
		if c.ended {
			return 0, io.EOF
		}
		var header [frameHeader]byte
		if _, err := io.ReadFull(c.early, header[:]); err != nil {
			return 0, unexpected(err)
		}
		c.left = int(binary.BigEndian.Uint16(header[:]))
		c.ended = c.left == 0
	}
	n, err := c.early.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, unexpected(err)
}

// unexpected returns io.ErrUnexpectedEOF for io.EOF, and other errors as they are.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
