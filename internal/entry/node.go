package entry

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"olivetiller/core/ledger"
	"olivetiller/core/plan"
	"olivetiller/core/queue"
	"olivetiller/internal/control"
	"olivetiller/internal/fleetkeys"
	"olivetiller/internal/once"
	"olivetiller/internal/traffic"
	"olivetiller/io/caller"
	"olivetiller/io/endpoint"
	"olivetiller/io/engine"
	"olivetiller/io/instancelist"
	"olivetiller/io/logservice"
	"olivetiller/io/node"
	"olivetiller/io/operator"
	"olivetiller/io/silence"
)

// Options are the parts of a node that do not come from its settings.
type Options struct {
	Clock  clockwork.Clock
	Logger hclog.Logger
	// PeerTLS is the mutual TLS configuration between nodes; if nil, it is read from the files in the settings.
	PeerTLS *tls.Config
	// Policy decides which replicas are kept; if nil, the default policy is used.
	Policy plan.Policy
}

// Node is a running node.
type Node struct {
	Settings Settings
	Control  *control.Controller
	Traffic  *traffic.Dispatcher
	Caller   *caller.Server

	logger   hclog.Logger
	clock    clockwork.Clock
	peers    *node.Client
	peerSrv  *node.Server
	operator *http.Server
	metrics  *http.Server
	listen   map[string]net.Listener
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	// stopRequested is closed once a planned stop has been requested.
	stopRequested   chan struct{}
	stopRequestOnce sync.Once
	ended           chan struct{}
	stopOnce        sync.Once
}

// Start opens the node's addresses and runs it until Stop or Kill. It returns an error if a key file is unusable or an
// address cannot be opened.
func Start(s Settings, o Options) (*Node, error) {
	self := ledger.NodeRef{Node: s.Name, Incarnation: uint64(o.Clock.Now().UnixNano())}
	peerTLS, err := peerTLS(s, o)
	if err != nil {
		return nil, err
	}
	public, err := publicTLS(s)
	if err != nil {
		return nil, err
	}
	n := &Node{
		Settings: s, logger: o.Logger.With("node", s.Name), clock: o.Clock,
		listen: make(map[string]net.Listener), stopRequested: make(chan struct{}), ended: make(chan struct{}),
	}
	n.assemble(self, peerTLS, public, o)
	if err := n.open(self, peerTLS); err != nil {
		n.Kill()
		return nil, err
	}
	n.run()
	return n, nil
}

func peerTLS(s Settings, o Options) (*tls.Config, error) {
	if o.PeerTLS != nil {
		return o.PeerTLS, nil
	}
	pair, err := fleetkeys.Read(s.CertificateFile, s.KeyFile)
	if err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(s.AuthorityFile)
	if err != nil {
		return nil, eris.Wrap(fleetkeys.ErrKeys, err.Error())
	}
	return fleetkeys.MutualTLS(authority, pair)
}

func publicTLS(s Settings) (*tls.Config, error) {
	if s.PublicCertificateFile == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(s.PublicCertificateFile, s.PublicKeyFile)
	if err != nil {
		return nil, eris.Wrap(fleetkeys.ErrKeys, err.Error())
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}, nil
}

// assemble creates the parts of the node and connects them.
func (n *Node) assemble(self ledger.NodeRef, peerTLS, public *tls.Config, o Options) {
	s := n.Settings
	n.peers = node.NewClient(self, peerTLS)
	hooks := traffic.Hooks{
		QueueStarted: func() { n.Control.WakeDemand() },
		Draining:     func(id string) { go n.Control.EndpointLeaving(id) },
	}
	n.Traffic = traffic.New(o.Clock, s.Hall, queue.Limits{Items: s.QueueItems, Bytes: s.QueueBytes}, hooks)
	n.Traffic.SetNode(fmt.Sprint(self.Node, self.Incarnation))
	n.Control = control.New(control.Options{
		Self: self, Hall: s.Hall, Clock: o.Clock, Logger: n.logger.Named("control"),
		Log:       logservice.NewClient(s.LogAddress, control.ControlStream),
		Snapshots: logservice.NewClient(s.LogAddress, control.SnapshotStream),
		List:      instancelist.NewClient(s.InstanceListAddress),
		Engines:   engine.NewClient(), Peers: n.peers, Dispatcher: n.Traffic,
		AppendPause: s.AppendPause, SnapshotEvery: s.SnapshotEvery, Policy: o.Policy,
	})
	n.Caller = &caller.Server{
		Clock: o.Clock, Logger: n.logger.Named("caller"), Limits: s.Limits, Dispatcher: n.Traffic,
		Endpoints: endpoint.NewClient(), Once: once.New(o.Clock, n.logger.Named("once"), n.Control),
		Metrics: caller.NewMetrics(), View: n.Control.View, Stopping: n.Control.Stopping, TLS: public,
		Extra: caller.NewExtraAttempts(s.ExtraAttempts),
	}
}

// Keys of Node.listen, one for each TCP address of the node.
const (
	listenCaller   = "caller"
	listenOperator = "operator"
	listenMetrics  = "metrics"
)

// open opens all addresses.
func (n *Node) open(self ledger.NodeRef, peerTLS *tls.Config) error {
	var err error
	n.peerSrv, err = node.Listen(n.Settings.PeerAddress, peerTLS, self, n.Control.PeerHandler(n.Caller.Once), n.logger.Named("peer"))
	if err != nil {
		return err
	}
	for name, address := range map[string]string{
		listenCaller: n.Settings.CallerAddress, listenOperator: n.Settings.OperatorAddress, listenMetrics: n.Settings.MetricsAddress,
	} {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s; set node.%sAddress to a free address", address, name)
		}
		n.listen[name] = l
	}
	return nil
}

// run starts the controllers and the servers.
func (n *Node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.spawn(func() { n.Control.Run(ctx) })
	n.spawn(func() { n.peerSrv.Serve(ctx) })
	n.spawn(func() { _ = n.Caller.Serve(n.listen[listenCaller]) })
	svc := &operator.Service{Clock: n.clock, Control: n.Control, Stop: n.RequestStop}
	n.operator = n.serveHTTP(listenOperator, svc.Handler(n.Settings.Operators))
	if n.listen[listenMetrics] != nil {
		n.metrics = n.serveHTTP(listenMetrics, n.metricsHandler())
	}
	n.logger.Info("ready to listen", "callerAddress", n.CallerAddress(), "operatorAddress", n.OperatorAddress(),
		"peerAddress", n.PeerAddress(), "dataHall", n.Settings.Hall)
}

func (n *Node) spawn(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

func (n *Node) serveHTTP(name string, h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: n.Settings.Limits.ReadTimeout, IdleTimeout: silence.ServerTimeout, Protocols: &protocols,
		ErrorLog: n.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Info}),
	}
	l := n.listen[name]
	if n.Caller.TLS != nil && name == listenOperator {
		l = tls.NewListener(l, n.Caller.TLS)
	}
	n.spawn(func() { _ = srv.Serve(l) })
	return srv
}

// metricsHandler serves all metrics as one JSON tree at /debug/vars, and Runtime at /debug/runtime.
func (n *Node) metricsHandler() http.Handler {
	tree := new(expvar.Map).Init()
	tree.Set("control", n.Control.Metrics.Tree())
	tree.Set("caller", n.Caller.Metrics.Tree())
	tree.Set("connections", expvar.Func(func() any { return n.Caller.Connections() }))
	tree.Set("traffic", expvar.Func(func() any { return n.Traffic.Totals() }))
	tree.Set("peer", expvar.Func(func() any { return n.PeerTraffic() }))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"olivetiller":` + tree.String() + "}\n"))
	})
	mux.HandleFunc("GET /debug/runtime", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(readRuntime())
	})
	return mux
}

// PeerTraffic counts the requests of this node to its peers and their answers, on connections that this node opened.
// The wire bytes include the overhead of QUIC.
type PeerTraffic struct {
	Messages     int64 `json:"messages"`
	Sent         int64 `json:"sentBytes"`
	Received     int64 `json:"receivedBytes"`
	WireSent     int64 `json:"wireSentBytes"`
	WireReceived int64 `json:"wireReceivedBytes"`
	Dials        int64 `json:"dials"`
}

// PeerTraffic returns the totals since the start of the node.
func (n *Node) PeerTraffic() PeerTraffic {
	t := n.peers.Traffic
	sent, received := n.peers.Wire()
	return PeerTraffic{
		Messages: t.Messages.Load(), Sent: t.Sent.Load(), Received: t.Received.Load(),
		WireSent: sent, WireReceived: received, Dials: t.Dials.Load(),
	}
}

// CallerAddress returns the host and port that serve callers.
func (n *Node) CallerAddress() string { return n.listen[listenCaller].Addr().String() }

// OperatorAddress returns the host and port that serve operators.
func (n *Node) OperatorAddress() string { return n.listen[listenOperator].Addr().String() }

// PeerAddress returns the host and port that serve other nodes.
func (n *Node) PeerAddress() string { return n.peerSrv.Address() }

// StopRequested returns a channel that is closed once a planned stop has been requested.
func (n *Node) StopRequested() <-chan struct{} { return n.stopRequested }

// RequestStop requests a planned stop. The process that runs the node must then call Stop.
func (n *Node) RequestStop() { n.stopRequestOnce.Do(func() { close(n.stopRequested) }) }

// Stop performs the planned stop. It announces the stop to the peers and the platform, accepts requests while the
// balancer may still send them, waits until every request has finished and the log holds all records of this node, and
// then ends the node. It returns an error if requests were still in progress when ctx ended.
func (n *Node) Stop(ctx context.Context) error {
	n.RequestStop()
	n.Control.Stop(ctx)
	select {
	case <-n.clock.After(n.Settings.BalancerLag):
	case <-ctx.Done():
	}
	err := n.Caller.Shutdown(ctx)
	if err != nil {
		n.logger.Error("planned stop timed out with requests in progress", "inProgress", n.Caller.Active(), "remedy", "raise times.stopTimeout")
	}
	if qerr := n.Control.Quiesce(ctx); qerr != nil {
		n.logger.Warn("planned stop ended before all records were appended; other nodes decide instead", "error", qerr.Error())
	}
	n.Kill()
	n.logger.Info("stopped")
	return err
}

// Kill stops the node immediately, like a crash, and aborts its requests.
func (n *Node) Kill() {
	n.stopOnce.Do(func() {
		if n.cancel != nil {
			n.cancel()
		}
		_ = n.Caller.Close()
		if n.operator != nil {
			_ = n.operator.Close()
		}
		if n.metrics != nil {
			_ = n.metrics.Close()
		}
		for _, l := range n.listen {
			_ = l.Close()
		}
		if n.peerSrv != nil {
			n.peerSrv.Close()
		}
		n.peers.Close()
		close(n.ended)
	})
	n.wg.Wait()
}
