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

// ErrUnreachable is returned if no answer of the peer arrived. The request may have taken effect.
var ErrUnreachable = eris.New("the peer did not answer; the request may have taken effect")

// maxMessageBytes bounds a request or answer between nodes, in bytes.
const maxMessageBytes = 64 << 20

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: 2 * time.Second,
		MaxIdleTimeout:       10 * time.Second,
		MaxIncomingStreams:   4096,
	}
}

// Traffic counts the requests that a node sends to its peers, and their answers.
type Traffic struct {
	// Messages counts answered requests. Sent and Received are the bytes of these requests and their answers, without
	// the overhead of QUIC.
	Sent, Received, Messages atomic.Int64
	// WireSent and WireReceived are the bytes of closed connections, including the overhead of QUIC.
	WireSent, WireReceived atomic.Int64
	// Dials counts the connections that were established.
	Dials atomic.Int64
}

// addClosed adds the bytes of a closed connection to the totals.
func (t *Traffic) addClosed(conn *quic.Conn) {
	st := conn.ConnectionStats()
	t.WireSent.Add(int64(st.BytesSent))
	t.WireReceived.Add(int64(st.BytesReceived))
}

// Wire returns the bytes of all connections that this node opened, both open and closed, including the overhead of
// QUIC.
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

// Client sends requests to peers. It keeps one connection to each of them and is safe for concurrent use.
type Client struct {
	self    ledger.NodeRef
	tls     *tls.Config
	Traffic *Traffic

	mu    sync.Mutex
	conns map[string]*quic.Conn
}

// NewClient returns a client that sends requests in the name of self. The certificate in cfg must carry that name.
func NewClient(self ledger.NodeRef, cfg *tls.Config) *Client {
	return &Client{self: self, tls: cfg, Traffic: &Traffic{}, conns: make(map[string]*quic.Conn)}
}

// Call sends a request to the named peer at an address and returns its answer. It returns ErrUnreachable if the peer
// cannot be reached, refuses the request or does not answer.
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
	answer, err := io.ReadAll(io.LimitReader(stream, maxMessageBytes))
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

// conn returns the connection to a peer. It dials if there is none, if it was closed, or if it is to another address.
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
		c.Traffic.addClosed(old)
		_ = old.CloseWithError(0, "replaced")
	}
	return conn, nil
}

func (c *Client) drop(name string, conn *quic.Conn) {
	c.mu.Lock()
	if c.conns[name] == conn {
		delete(c.conns, name)
		c.Traffic.addClosed(conn)
	}
	c.mu.Unlock()
	_ = conn.CloseWithError(0, "failed")
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, conn := range c.conns {
		_ = conn.CloseWithError(0, "closing")
		delete(c.conns, name)
	}
}
