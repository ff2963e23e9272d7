package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Paths chooses the paths to endpoints and connects over them. It is safe for concurrent use.
type Paths interface {
	// Tunnelled reports whether requests to the address should go through a tunnel.
	Tunnelled(address string) bool
	// Direct connects to the address directly, and Tunnel by way of another node. Tunnel fails at once if no other node
	// is known.
	Direct(ctx context.Context, network, address string) (net.Conn, error)
	Tunnel(ctx context.Context, network, address string) (net.Conn, error)
	// Answered records that the endpoint at the address has sent an answer over a direct connection.
	Answered(address string)
	// Silent records that the endpoint at the address has sent nothing over a direct connection for silenceTimeout.
	Silent(address string)
	// Refuses reports whether the address refuses the connections of this node and those of other nodes.
	Refuses(ctx context.Context, address string) bool
}

// silenceTimeout is how long a request may get no answer on a direct connection before the path is checked.
const silenceTimeout = 200 * time.Millisecond

// tunnelLifetimeKey is the context key of a tunnel's lifetime.
type tunnelLifetimeKey struct{}

// tunnelLifetimeMargin is added to the time until a request's deadline, for the way back of its answer.
const tunnelLifetimeMargin = time.Second

// withTunnelLifetime returns a context in which tunnels are opened for a request with the given timeout; 0 for none.
func withTunnelLifetime(ctx context.Context, timeout time.Duration) context.Context {
	if timeout <= 0 {
		return ctx
	}
	return context.WithValue(ctx, tunnelLifetimeKey{}, timeout+tunnelLifetimeMargin)
}

// TunnelLifetime returns how long a tunnel that is opened in ctx needs to stay open; 0 if that is not known.
func TunnelLifetime(ctx context.Context) time.Duration {
	d, _ := ctx.Value(tunnelLifetimeKey{}).(time.Duration)
	return d
}

// Tunnelled is a connection by way of another node.
type Tunnelled interface {
	// Gateway returns the address of that node.
	Gateway() string
}

// gatewayOf returns the address of the node by way of which a connection goes; "" for a direct one.
func gatewayOf(conn net.Conn) string {
	if c, ok := conn.(*checkedConn); ok {
		conn = c.Conn
	}
	if t, ok := conn.(Tunnelled); ok {
		return t.Gateway()
	}
	return ""
}

// roundTrip sends a request over the path to its endpoint, and over the other path if no connection comes about.
func (c *Client) roundTrip(req *http.Request, r *Request, s *sending) (*http.Response, error) {
	tunnel := c.paths.Tunnelled(r.Address)
	resp, err := c.roundTripBy(tunnel, req, r)
	if err == nil || s.taken || req.Context().Err() != nil {
		s.headComplete()
		return resp, err
	}
	other, otherErr := c.roundTripBy(!tunnel, req, r)
	s.headComplete()
	if otherErr != nil && !s.taken {
		return nil, err
	}
	return other, otherErr
}

// roundTripBy sends a request through a tunnel or directly.
func (c *Client) roundTripBy(tunnel bool, req *http.Request, r *Request) (*http.Response, error) {
	transport := c.pooled
	switch {
	case tunnel:
		return c.tunnelled.RoundTrip(req)
	case r.OnceOnly:
		transport = c.onceOnly
	}
	if c.clock != nil {
		silent := c.clock.AfterFunc(silenceTimeout, func() { c.paths.Silent(r.Address) })
		defer silent.Stop()
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		c.paths.Answered(r.Address)
	}
	return resp, err
}

// directOnly connects to all endpoints directly.
type directOnly struct{ dialer *net.Dialer }

// errNoTunnel is the error of a tunnel where all endpoints are reached directly.
var errNoTunnel = errors.New("no other node connects to the endpoint")

func (d directOnly) Tunnelled(string) bool { return false }

func (d directOnly) Direct(ctx context.Context, network, address string) (net.Conn, error) {
	return d.dialer.DialContext(ctx, network, address)
}

func (d directOnly) Tunnel(context.Context, string, string) (net.Conn, error) {
	return nil, errNoTunnel
}

func (d directOnly) Answered(string) {}

func (d directOnly) Silent(string) {}

func (d directOnly) Refuses(ctx context.Context, address string) bool {
	return Refused(ctx, d.dialer.DialContext, address)
}

// Refused reports whether an address refuses a connection. It closes a connection that is accepted.
func Refused(ctx context.Context, dial DialFunc, address string) bool {
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
