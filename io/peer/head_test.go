package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"olivetiller/core/origin"
	"olivetiller/standin/cuthead"
)

// peerCalls are all calls of other nodes.
var peerCalls = []struct {
	name string
	call func(ctx context.Context, c *Client, address string) error
}{
	{"report", func(ctx context.Context, c *Client, address string) error { return c.Report(ctx, address, new(Report)) }},
	{"watch", func(ctx context.Context, c *Client, address string) error {
		_, err := c.Watch(ctx, address, WatchRequest{Wait: time.Minute})
		return err
	}},
	{"lease", func(ctx context.Context, c *Client, address string) error {
		_, err := c.Lease(ctx, address)
		return err
	}},
	{"exchange", func(ctx context.Context, c *Client, address string) error {
		_, err := c.Exchange(ctx, address, new(Exchange))
		return err
	}},
	{"grant", func(ctx context.Context, c *Client, address string) error {
		_, err := c.RequestGrant(ctx, address, new(GrantRequest))
		return err
	}},
	{"run lock", func(ctx context.Context, c *Client, address string) error {
		_, err := c.RequestRunLock(ctx, address, new(RunLockRequest))
		return err
	}},
	{"copies of origins", func(ctx context.Context, c *Client, address string) error {
		return c.KeepOrigins(ctx, address, make([]Origin, 1))
	}},
	{"origin", func(ctx context.Context, c *Client, address string) error {
		_, err := c.FindOrigin(ctx, address, origin.Key{})
		return err
	}},
	{"tunnel", func(ctx context.Context, c *Client, address string) error {
		conn, err := c.Tunnel(ctx, address, TunnelRequest{Node: "n", Endpoint: "10.0.0.1:80", Lifetime: time.Minute})
		if err == nil {
			conn.Close()
		}
		return err
	}},
}

// TestHeadsCutInCalls guards against calls of other nodes that count as answered because the answer stops inside its head.
func TestHeadsCutInCalls(t *testing.T) {
	for _, tt := range peerCalls {
		for _, end := range cuthead.Ends {
			t.Run(fmt.Sprint(tt.name, ", ", end), func(t *testing.T) {
				t.Parallel()
				answers := cuthead.EmptyAnswers("Content-Type: application/json\r\n")
				answers["upgrade"] = []byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + tunnelProtocol + "\r\n\r\n")
				for name, answer := range answers {
					for after := range answer {
						s, err := cuthead.NewServer(nil, answer, after, end)
						if err != nil {
							t.Fatal(err)
						}
						ctx, cancel := s.Context(t.Context())
						c := NewClient(new(net.Dialer))
						if tt.call(ctx, c, s.Address()) == nil {
							t.Errorf("%s, %d of %d bytes: taken for a whole answer", name, after, len(answer))
						}
						cancel()
						_ = s.Close()
					}
				}
			})
		}
	}
}

// TestInvalidStatusInCalls guards against calls of other nodes that count as answered although the status of the answer is none.
func TestInvalidStatusInCalls(t *testing.T) {
	for _, tt := range peerCalls {
		for _, status := range []string{"000", "099", "101", "302"} {
			if tt.name == "tunnel" && status == "101" {
				// It opens the tunnel.
				continue
			}
			t.Run(tt.name+", "+status, func(t *testing.T) {
				answer := "HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 2\r\n\r\n{}"
				s, err := cuthead.NewServer(nil, []byte(answer), len(answer), cuthead.Close)
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				if tt.call(t.Context(), NewClient(new(net.Dialer)), s.Address()) == nil {
					t.Error("taken for an answer")
				}
			})
		}
	}
}
