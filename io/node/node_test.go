package node

import (
	"context"
	"crypto/tls"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"olivetiller/core/ledger"
	"olivetiller/internal/fleetkeys"
	pb "olivetiller/proto/olivetiller/v1"
)

// memberTLS returns a mutual TLS configuration with a certificate of the authority for a node name.
func memberTLS(t *testing.T, authority fleetkeys.Pair, name string) *tls.Config {
	t.Helper()
	pair, err := fleetkeys.NewNode(authority, name, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := fleetkeys.MutualTLS(authority.Certificate, pair)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// TestOnlyMembersAreAnswered checks that a server answers a member of its fleet, and neither a process with a
// certificate of another fleet nor a member that sends a request in another node's name.
func TestOnlyMembersAreAnswered(t *testing.T) {
	ours, err := fleetkeys.NewAuthority("ours", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	theirs, err := fleetkeys.NewAuthority("theirs", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	handled := make(chan string, 10)
	srv, err := Listen("127.0.0.1:0", memberTLS(t, ours, "a"), ledger.NodeRef{Node: "a", Incarnation: 7},
		func(_ context.Context, from ledger.NodeRef, _ *pb.PeerRequest) *pb.PeerResponse {
			handled <- from.Node
			return &pb.PeerResponse{Body: &pb.PeerResponse_Ack{Ack: &pb.Ack{NextOffset: 5}}}
		}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	go srv.Serve(ctx)
	defer srv.Close()
	tests := []struct {
		name      string
		authority fleetkeys.Pair
		// certificate is the node name in the certificate, and requestName the one in the request.
		certificate, requestName string
		ok                       bool
	}{
		{"a member", ours, "b", "b", true},
		{"a stranger", theirs, "b", "b", false},
		{"a member in another's name", ours, "b", "c", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			cfg := memberTLS(t, tc.authority, tc.certificate)
			// The client accepts any server, so that the refusal can only come from the server.
			cfg.InsecureSkipVerify = true
			c := NewClient(ledger.NodeRef{Node: tc.requestName, Incarnation: 1}, cfg)
			defer c.Close()
			resp, err := c.Call(ctx, "a", srv.Address(), &pb.PeerRequest{Body: &pb.PeerRequest_Ping{Ping: &pb.Ping{}}})
			if !tc.ok {
				if !errors.Is(err, ErrUnreachable) {
					t.Errorf("answer %v, error %v; want no answer and ErrUnreachable", resp, err)
				}
				if len(handled) > 0 {
					t.Error("the request was handled")
				}
				return
			}
			if err != nil || resp.GetAck().GetNextOffset() != 5 || resp.GetIncarnation() != 7 {
				t.Errorf("answer %v, error %v", resp, err)
			}
			if from := <-handled; from != tc.certificate {
				t.Errorf("handler received the node name %q", from)
			}
		})
	}
}

// FuzzDecode checks that decode never accepts a request that names another node than the certificate.
func FuzzDecode(f *testing.F) {
	good, err := proto.Marshal(&pb.PeerRequest{Node: "b", Body: &pb.PeerRequest_Ping{Ping: &pb.Ping{}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("garbage"))
	f.Fuzz(func(t *testing.T, data []byte) {
		req, err := decode(data, "b")
		if err == nil && req.GetNode() != "b" {
			t.Errorf("a request in the name of %q was accepted for b", req.GetNode())
		}
	})
}
