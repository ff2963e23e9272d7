package peer

import (
	"context"
	"net"
	"testing"

	"olivetiller/core/answerlimit"
	"olivetiller/standin/endless"
)

// TestEndlessTunnelAnswer guards against a node that answers the request for a tunnel without end.
func TestEndlessTunnelAnswer(t *testing.T) {
	for _, shape := range endless.Heads {
		t.Run(shape.Name, func(t *testing.T) {
			taken := make(chan int64, 1)
			pipes := endless.Pipes{Serve: func(_ string, conn net.Conn) {
				// The pipe takes what the node writes only if it is read.
				go func() {
					for buf := make([]byte, 1<<10); ; {
						if _, err := conn.Read(buf); err != nil {
							return
						}
					}
				}()
				taken <- shape.Play(conn, "")
			}}
			c := &Client{dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				return pipes.Direct(ctx, network, address)
			}}
			_, err := c.Tunnel(t.Context(), "node", TunnelRequest{})
			if err == nil {
				t.Error("a tunnel was opened")
			}
			if n := <-taken; n > answerlimit.HeadBytes {
				t.Errorf("%d bytes were read, want %d at most", n, answerlimit.HeadBytes)
			}
		})
	}
}
