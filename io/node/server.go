package node

import (
	"context"
	"crypto/tls"
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"olivetiller/core/ledger"
	pb "olivetiller/proto/olivetiller/v1"
)

// Handler answers a peer's request. The node name in from has been checked against the peer's certificate.
type Handler func(ctx context.Context, from ledger.NodeRef, req *pb.PeerRequest) *pb.PeerResponse

// Server accepts connections of peers and passes their requests to a Handler.
type Server struct {
	self     ledger.NodeRef
	listener *quic.Listener
	handler  Handler
	logger   hclog.Logger
}

// Listen opens the UDP address for peers. The server answers in the name of self.
func Listen(address string, cfg *tls.Config, self ledger.NodeRef, h Handler, logger hclog.Logger) (*Server, error) {
	l, err := quic.ListenAddr(address, cfg, quicConfig())
	if err != nil {
		return nil, eris.Wrapf(err, "listen for peers on %s; set node.peerAddress to a free address", address)
	}
	return &Server{self: self, listener: l, handler: h, logger: logger}, nil
}

// Address returns the host and port on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until ctx is canceled or the server is closed.
func (s *Server) Serve(ctx context.Context) {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		go s.serveConn(ctx, conn)
	}
}

// Close closes the listener.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		_ = conn.CloseWithError(1, "no certificate")
		return
	}
	defer func() { _ = conn.CloseWithError(0, "closing") }()
	name := certs[0].Subject.CommonName
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go s.serveStream(stream.Context(), name, stream)
	}
}

func (s *Server) serveStream(ctx context.Context, name string, stream *quic.Stream) {
	defer stream.Close()
	data, err := io.ReadAll(io.LimitReader(stream, maxMessageBytes))
	if err != nil {
		return
	}
	req, err := decode(data, name)
	if err != nil {
		s.logger.Warn("peer request refused", "peer", name, "error", err.Error())
		stream.CancelWrite(1)
		return
	}
	resp := s.handler(ctx, ledger.NodeRef{Node: req.GetNode(), Incarnation: req.GetIncarnation()}, req)
	resp.Node = s.self.Node
	resp.Incarnation = s.self.Incarnation
	answer, err := proto.Marshal(resp)
	if err != nil {
		stream.CancelWrite(2)
		return
	}
	_, _ = stream.Write(answer)
}

// ErrWrongName is returned for a request that names another node than the certificate of its sender.
var ErrWrongName = eris.New("the request names another node than the sender's certificate; check the fleet's certificates")

// decode decodes a peer's request and checks that it names the node of the certificate.
func decode(data []byte, name string) (*pb.PeerRequest, error) {
	var req pb.PeerRequest
	if err := proto.Unmarshal(data, &req); err != nil {
		return nil, eris.Wrap(err, "decode peer request")
	}
	if req.GetNode() != name {
		return nil, eris.Wrapf(ErrWrongName, "certificate of %q, request of %q", name, req.GetNode())
	}
	return &req, nil
}
