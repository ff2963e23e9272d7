package node

import (
	"context"
	"crypto/tls"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"olivetiller/core/ledger"
	pb "olivetiller/proto/olivetiller/v1"
)

// ErrUnreachable is returned when a peer gave no answer.
var ErrUnreachable = eris.New("the peer did not answer; what it was asked may have taken effect")

// maxMessage bounds a message between nodes.
const maxMessage = 64 << 20

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: 2 * time.Second,
		MaxIdleTimeout:       10 * time.Second,
		MaxIncomingStreams:   4096,
	}
}

// Traffic counts what a node and its peers say to each other.
type Traffic struct {
	// Messages counts requests sent; Sent and Received their bytes and those of
	// the answers, without QUIC's own.
	Sent, Received, Messages atomic.Int64
	// WireSent and WireReceived are the bytes of closed connections with all
	// that QUIC adds.
	WireSent, WireReceived atomic.Int64
	// Dials counts connections begun.
	Dials atomic.Int64
}

// closed adds a connection's bytes to the totals.
func (t *Traffic) closed(conn *quic.Conn) {
	st := conn.ConnectionStats()
	t.WireSent.Add(int64(st.BytesSent))
	t.WireReceived.Add(int64(st.BytesReceived))
}

// Wire returns the bytes of all connections that this node began, with all that
// QUIC adds.
func (c *Client) Wire() (sent, received int64) {
	sent, received = c.Traffic.WireSent.Load(), c.Traffic.WireReceived.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		st := conn.ConnectionStats()
		sent += int64(st.BytesSent)
		received += int64(st.BytesReceived)
	}
	return sent, received
}

// Client sends requests to peers. It is safe for concurrent use.
type Client struct {
	self    ledger.NodeRef
	tls     *tls.Config
	Traffic *Traffic

	mu    sync.Mutex
	conns map[string]*quic.Conn
}

// NewClient returns a client that speaks as self.
func NewClient(self ledger.NodeRef, cfg *tls.Config) *Client {
	return &Client{self: self, tls: cfg, Traffic: &Traffic{}, conns: make(map[string]*quic.Conn)}
}

// Call sends a request to the named peer at an address and returns the answer.
func (c *Client) Call(ctx context.Context, name, address string, req *pb.PeerRequest) (*pb.PeerResponse, error) {
	req.Node = c.self.Node
	req.Incarnation = c.self.Incarnation
	data, err := proto.Marshal(req)
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	conn, err := c.conn(ctx, name, address)
	if err != nil {
		return nil, err
	}
	resp, err := c.exchange(ctx, conn, data)
	if err != nil {
		if ctx.Err() == nil {
			c.drop(name, conn)
		}
		return nil, err
	}
	return resp, nil
}

func (c *Client) exchange(ctx context.Context, conn *quic.Conn, data []byte) (*pb.PeerResponse, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if _, err := stream.Write(data); err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	if err := stream.Close(); err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	answer, err := io.ReadAll(io.LimitReader(stream, maxMessage))
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	c.Traffic.Messages.Add(1)
	c.Traffic.Sent.Add(int64(len(data)))
	c.Traffic.Received.Add(int64(len(answer)))
	var resp pb.PeerResponse
	if err := proto.Unmarshal(answer, &resp); err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	return &resp, nil
}

// conn returns the connection to a peer, dialing if there is none.
func (c *Client) conn(ctx context.Context, name, address string) (*quic.Conn, error) {
	c.mu.Lock()
	conn := c.conns[name]
	c.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil && conn.RemoteAddr().String() == address {
		return conn, nil
	}
	cfg := c.tls.Clone()
	cfg.ServerName = name
	conn, err := quic.DialAddr(ctx, address, cfg, quicConfig())
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	c.mu.Lock()
	old := c.conns[name]
	c.conns[name] = conn
	c.mu.Unlock()
	c.Traffic.Dials.Add(1)
	if old != nil {
		c.Traffic.closed(old)
		_ = old.CloseWithError(0, "replaced")
	}
	return conn, nil
}

func (c *Client) drop(name string, conn *quic.Conn) {
	c.mu.Lock()
	if c.conns[name] == conn {
		delete(c.conns, name)
		c.Traffic.closed(conn)
	}
	c.mu.Unlock()
	_ = conn.CloseWithError(0, "failed")
}

// Close ends every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, conn := range c.conns {
		_ = conn.CloseWithError(0, "closing")
		delete(c.conns, name)
	}
}
