// Package fleet runs all nodes of a deployment in one process, against the test
// doubles of the platform, engines and services in package site. The demo, the
// benchmarks and tests use it. The nodes communicate over the loopback interface,
// as separate processes do.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"olivetiller/core/plan"
	"olivetiller/internal/entry"
	"olivetiller/internal/fleetkeys"
	"olivetiller/io/operator"
	pb "olivetiller/proto/olivetiller/v1"
	"olivetiller/proto/olivetiller/v1/olivetillerv1connect"
	"olivetiller/standin/site"
)

// OperatorToken is the token of the fleet's only operator, whose role is admin.
const OperatorToken = "fleet-operator"

// Fleet holds the running nodes of a deployment and its test doubles. The settings
// apply to nodes started later.
type Fleet struct {
	Site   *site.Site
	Logger hclog.Logger
	// BalancerLag is the setting times.balancerLag of each node.
	BalancerLag time.Duration
	// AppendPause and SnapshotEvery are the settings log.appendPause and
	// log.snapshotEvery of each node.
	AppendPause   time.Duration
	SnapshotEvery uint64
	// Policy returns the policy of a new node; nil means the default policy.
	Policy func() plan.Policy

	authority fleetkeys.Pair
	mu        sync.Mutex
	nodes     map[string]*entry.Node
}

// New returns a fleet without nodes and with a new certificate authority.
func New(s *site.Site, logger hclog.Logger) (*Fleet, error) {
	authority, err := fleetkeys.NewAuthority(s.Shape.Name, time.Now())
	if err != nil {
		return nil, err
	}
	return &Fleet{
		Site: s, Logger: logger, authority: authority, nodes: make(map[string]*entry.Node),
		AppendPause: 5 * time.Millisecond, SnapshotEvery: 500, BalancerLag: 200 * time.Millisecond,
	}, nil
}

// StartNode starts a node and adds it to the instance list. Nodes are assigned to
// the data halls of the site in rotation.
func (f *Fleet) StartNode(name string) (*entry.Node, error) {
	pair, err := fleetkeys.NewNode(f.authority, name, time.Now())
	if err != nil {
		return nil, err
	}
	tlsConfig, err := fleetkeys.MutualTLS(f.authority.Certificate, pair)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	hall := f.Site.Shape.Halls[len(f.nodes)%len(f.Site.Shape.Halls)]
	f.mu.Unlock()
	s, err := f.settings(name, hall)
	if err != nil {
		return nil, err
	}
	n, err := entry.Start(s, entry.Options{Clock: clockwork.NewRealClock(), Logger: f.Logger, PeerTLS: tlsConfig, Policy: f.policy()})
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	f.Site.AddNode(name, n.PeerAddress(), hall)
	return n, nil
}

func (f *Fleet) policy() plan.Policy {
	if f.Policy == nil {
		return nil
	}
	return f.Policy()
}

// settings returns the settings of a node: the defaults, free loopback ports and
// the fleet's operator.
func (f *Fleet) settings(name, hall string) (entry.Settings, error) {
	var s entry.Settings
	ini := fmt.Sprintf(`
[node]
name = %s
dataHall = %s
callerAddress = 127.0.0.1:0
operatorAddress = 127.0.0.1:0
peerAddress = 127.0.0.1:0
metricsAddress = 127.0.0.1:0
[platform]
logAddress = %s
instanceListAddress = %s
[fleet]
authorityFile = none
certificateFile = none
keyFile = none
[times]
balancerLag = %s
[log]
appendPause = %s
snapshotEvery = %d
`, name, hall, f.Site.LogAddress, f.Site.ListAddress, f.BalancerLag, f.AppendPause, f.SnapshotEvery)
	if err := s.Table().Parse("fleet", []byte(ini)); err != nil {
		return s, err
	}
	sum := sha256.Sum256([]byte(OperatorToken))
	s.Operators = []operator.Operator{{Name: "admin", Role: operator.Admin, TokenSHA256: hex.EncodeToString(sum[:])}}
	return s, nil
}

// Node returns a node by name, or nil.
func (f *Fleet) Node(name string) *entry.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// Nodes returns the running nodes, in no particular order.
func (f *Fleet) Nodes() []*entry.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*entry.Node, 0, len(f.nodes))
	for _, n := range f.nodes {
		out = append(out, n)
	}
	return out
}

// Kill ends a node without a planned stop, as a crash does, and removes it from the
// instance list, which shows that with its usual lag.
func (f *Fleet) Kill(name string) {
	n := f.remove(name)
	if n != nil {
		n.Kill()
		f.Site.List.Remove(name)
	}
}

// Stop performs the planned stop of a node, waits for it and removes the node from
// the instance list.
func (f *Fleet) Stop(ctx context.Context, name string) error {
	n := f.Node(name)
	if n == nil {
		return eris.Errorf("there is no node %s", name)
	}
	err := n.Stop(ctx)
	f.remove(name)
	f.Site.List.Remove(name)
	return err
}

func (f *Fleet) remove(name string) *entry.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[name]
	delete(f.nodes, name)
	return n
}

// Close kills every node and closes the site.
func (f *Fleet) Close() {
	for _, n := range f.Nodes() {
		n.Kill()
	}
	f.Site.Close()
}

// Operator returns a client of a node's operator API.
func Operator(n *entry.Node) olivetillerv1connect.OperatorServiceClient {
	return olivetillerv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+n.OperatorAddress())
}

// Authorize returns a request with OperatorToken in its Authorization header.
func Authorize[T any](msg *T) *connect.Request[T] {
	req := connect.NewRequest(msg)
	req.Header().Set("Authorization", "Bearer "+OperatorToken)
	return req
}

// Publish publishes a configuration through a node, based on the revision in force
// at that node, and returns the new revision.
func Publish(ctx context.Context, n *entry.Node, cfg *pb.Config) (uint64, error) {
	resp, err := Operator(n).Publish(ctx, Authorize(&pb.PublishRequest{
		Config: cfg, BaseRevision: n.Control.View().Revision, ChangeId: uuid.NewString(),
	}))
	if err != nil {
		return 0, err
	}
	return resp.Msg.GetRevision(), nil
}

// AwaitReady waits until every node has caught up with the log.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	return f.await(ctx, func(n *entry.Node) bool { return n.Control.View().Ready })
}

// AwaitRevision waits until a revision is in force at every node.
func (f *Fleet) AwaitRevision(ctx context.Context, revision uint64) error {
	return f.await(ctx, func(n *entry.Node) bool { return n.Control.View().Revision >= revision })
}

// AwaitEngines waits until every node knows all engines of the site as registered
// and counts all nodes as alive.
func (f *Fleet) AwaitEngines(ctx context.Context) error {
	want := len(f.Site.Engines)
	nodes := len(f.Nodes())
	return f.await(ctx, func(n *entry.Node) bool {
		st := n.Control.Status(ctx)
		return len(st.GetEndpoints()) >= want && len(st.GetLiveNodes()) >= nodes
	})
}

func (f *Fleet) await(ctx context.Context, ok func(*entry.Node) bool) error {
	for _, n := range f.Nodes() {
		for !ok(n) {
			select {
			case <-ctx.Done():
				return eris.Wrapf(ctx.Err(), "node %s", n.Settings.Name)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	return nil
}
