// Package hosted assembles a node that runs on the hosting platform.
//
// It joins the request path that package entry also uses (io/caller, internal/traffic, io/endpoint) with the control
// plane for a platform that stores durable state for its programs (internal/placer). Everything that depends on the
// platform is passed in as [Platform]. Command olivetiller calls [Start] for a node with --platform.
package hosted

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/keepalive"
	"olivetiller/core/lease"
	"olivetiller/core/placement"
	"olivetiller/core/quarantine"
	"olivetiller/core/queue"
	"olivetiller/core/quota"
	"olivetiller/core/reach"
	"olivetiller/core/retry"
	"olivetiller/core/route"
	"olivetiller/core/view"
	"olivetiller/internal/isolation"
	"olivetiller/internal/origins"
	"olivetiller/internal/paths"
	"olivetiller/internal/placer"
	"olivetiller/internal/traffic"
	"olivetiller/io/boottime"
	"olivetiller/io/caller"
	"olivetiller/io/endpoint"
	"olivetiller/io/peer"
	"olivetiller/io/silence"
)

// Settings configure a hosted node.
type Settings struct {
	Name, Hall string
	// Regions maps each data hall to its region.
	Regions map[string]string
	// CallerAddress serves callers, ReadyAddress the health checks of the load balancer, PeerAddress other nodes, and
	// MetricsAddress metrics and quarantine requests of operators; an empty MetricsAddress disables these.
	CallerAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// StopTimeout is the time from a stop signal until the platform kills the process.
	StopTimeout time.Duration
	// Retries bound the retries of all nodes together.
	Retries retry.Limits
	Loads   placement.Limits
	// Cores is the processor capacity of the machine, in cores; LinkMbps is its link capacity, in Mbit/s.
	Cores, LinkMbps float64
	// ReactionBound is the shortest time within which the platform requires that a changed configuration or a draining
	// endpoint takes effect; 0 if it states none.
	ReactionBound time.Duration
	// Fenced is true if engines reject orders with an outdated fence.
	Fenced bool
	// TurnBound is the time within which orders of two nodes must not alternate at an engine; 0 if engines reject orders
	// with an outdated fence.
	TurnBound time.Duration
	// Heartbeat is the interval at which endpoints write their entries, and Contact how long after a disruption of a node the
	// platform's bounds hold for it again; 0 if the platform states none.
	Heartbeat, Contact time.Duration
	// Tolerance is the excess over customers' limits that the platform tolerates.
	Tolerance quota.Tolerance
	// Cold is the excess over the rate limit of a cold endpoint that the platform tolerates.
	Cold quota.ColdTolerance
	// MemoryBytes is the memory of the machine; 0 if unknown.
	MemoryBytes int64
	// Descriptors is the limit on open files and connections; 0 if there is none.
	Descriptors int
	// FirstStart is true if the whole fleet is started for the first time, so that an empty store has lost nothing.
	FirstStart bool
	// ExtraAttempts limits the extra attempts beside late ones, as a share of the first attempts; 0 turns them off.
	ExtraAttempts float64
}

// Platform holds the clients and rules that depend on the platform.
type Platform struct {
	Store   placer.Store
	Engines placer.Engines
	// Protocol returns the wire format between callers and the node, given access to the configuration and the clock.
	Protocol func(config Config, clock clockwork.Clock) caller.Protocol
	Judge    endpoint.Judge
	Inquiry  StartInquiry
	Dialer   func(timeout time.Duration) *net.Dialer
}

// Config gives access to the configuration.
type Config interface {
	// ConfigInForce returns the routing table of the configuration in force, nil if none is known, and a time at which
	// it was the newest; zero if it was never confirmed.
	ConfigInForce() (t *route.Table, asOf time.Time)
}

// Limits of a hosted node.
const (
	// answerBytes bounds an answer that is buffered as a whole, on a machine whose memory allows it.
	answerBytes = 32 << 20
	// bodyBytes bounds a request body if the configuration sets no limit.
	bodyBytes = 8 << 20
	// headerBytes bounds a request head. The platform's callers stay below the limit in the configuration, which is lower.
	headerBytes = 64 << 10
	// readTimeout bounds the arrival of a request head if the configuration states no time, and again of the body.
	readTimeout = 10 * time.Second
	// idleTimeout closes idle connections of callers if the configuration states no time.
	idleTimeout = 2 * time.Minute
	// callerShare is the percentage of Descriptors for callers' connections. Each request in progress also needs a
	// connection to an endpoint.
	callerShare = 50
	// tunnelShare is the percentage of Descriptors for the tunnels of other nodes. defaultTunnels bounds the tunnels if
	// Descriptors is unlimited.
	tunnelShare    = 10
	defaultTunnels = 256
	// heldShare is the percentage of MemoryBytes for buffered request bodies and answers. The rest is for the node's
	// state, connection buffers and garbage.
	heldShare = 20
	// answerShare is the percentage of MemoryBytes for buffered answers, whose requests have run and cannot be refused as
	// those not run, and longAnswers how many of the longest ones fit into it. With one, an answer without end would run out of
	// room before it is found too long.
	answerShare = 10
	longAnswers = 2
	// queueItems and queueBytes bound the queue of one unit.
	queueItems = 2000
	queueBytes = 32 << 20
	// dialTimeout bounds the dial of a connection, which takes a few round trips.
	dialTimeout = 500 * time.Millisecond
	// balancerLag is how long the load balancer may still send requests after the node turned unready: it probes every
	// second and removes a node after two failures.
	balancerLag = 2500 * time.Millisecond
	// stopReserve, cutReserve and waitReserve are the times left of StopTimeout at the steps of a stop: at waitReserve,
	// requests that still wait for a slot are refused, so that callers retry at another node; at cutReserve, requests
	// in progress are aborted; at stopReserve, the node no longer waits for them to end.
	stopReserve = 300 * time.Millisecond
	cutReserve  = 600 * time.Millisecond
	waitReserve = 1500 * time.Millisecond
	drainPoll   = 10 * time.Millisecond
)

// Node is a running node.
type Node struct {
	s       Settings
	clock   clockwork.Clock
	logger  hclog.Logger
	control *placer.Controller
	traffic *traffic.Dispatcher
	// isolation keeps requests suspected of crashing engines away from engines.
	isolation *isolation.Guard
	// paths connects to endpoints, for this node and for nodes that do not reach them.
	paths *paths.Paths
	// origins knows where streams began.
	origins *origins.Tracker
	// shedder chooses the connections of callers that are closed unread because this node is overloaded.
	shedder *shedder
	caller  *caller.Server
	// idleClosers are the clients whose idle connections are closed after a suspend.
	idleClosers []idleCloser
	servers     []*http.Server
	wg          sync.WaitGroup
	cancel      context.CancelFunc
}

// Waker is a clock that reports when the machine resumes after a suspend.
type Waker interface {
	OnWake(f func(suspended time.Duration))
}

// idleCloser is a client with a pool of idle connections.
type idleCloser interface{ CloseIdleConnections() }

// onResume handles the resume of the machine. Ages of known state need no correction, because the clock includes the
// time of the suspend; but the peers of idle connections may have closed them.
func (n *Node) onResume(suspended time.Duration) {
	n.logger.Warn("machine resumed after a suspend", "sleptMs", suspended.Milliseconds())
	for _, i := range n.idleClosers {
		i.CloseIdleConnections()
	}
	n.control.RequestReport()
}

// Start opens the node's addresses and runs it until Stop or Kill. It returns an error if an address other than the one
// for metrics cannot be opened.
func Start(s Settings, p Platform, clock clockwork.Clock, logger hclog.Logger) (*Node, error) {
	n := &Node{s: s, clock: clock, logger: logger.With("node", s.Name)}
	n.assemble(p)
	if w, ok := clock.(Waker); ok {
		w.OnWake(n.onResume)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	callers, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := n.serve(s.ReadyAddress, n.ready()); err != nil {
		n.Kill()
		return nil, err
	}
	if err := n.serve(s.PeerAddress, peer.Handler(n.control, n.paths, n.origins, n.clock)); err != nil {
		n.Kill()
		return nil, err
	}
	if s.MetricsAddress != "" {
		if err := n.serve(s.MetricsAddress, n.metrics()); err != nil {
			// A node without metrics still serves requests.
			n.logger.Error("metrics are unavailable: cannot listen", "address", s.MetricsAddress, "error", err.Error())
		}
	}
	n.wg.Go(func() { n.control.Run(ctx) })
	n.wg.Go(func() { n.paths.Run(ctx) })
	n.wg.Go(func() { n.origins.Run(ctx) })
	n.wg.Go(func() { n.shedder.run(ctx) })
	n.wg.Go(func() { n.logServerError("callers", n.caller.Serve(callers)) })
	n.logger.Info("started", "dataHall", s.Hall, "callerAddress", s.CallerAddress, "peerAddress", s.PeerAddress, "stopTimeoutMs", s.StopTimeout.Milliseconds())
	return n, nil
}

func (n *Node) assemble(p Platform) {
	s := n.s
	incarnation := lease.NewIncarnation(s.Name)
	hooks := traffic.Hooks{
		QueueStarted:   func() { n.control.RequestReport() },
		ScarcePoolBusy: func() { n.control.RequestReport() },
		Draining:       func(id string) { go n.control.EndpointDraining(id) },
		Charge: func(ctx context.Context, e view.Endpoint, limit float64) time.Duration {
			return n.control.ChargeEndpoint(ctx, e, limit)
		},
		GrantRetry: func(ctx context.Context, service string, need float64, urgent bool) time.Duration {
			return n.control.GrantRetry(ctx, service, need, urgent)
		},
		SignalsChanged: func() { n.control.SignalsChanged() },
		ModelMissing:   func(id, pool string) { go n.control.UnitMissing(id, pool) },
	}
	peers := peer.NewClient(p.Dialer(dialTimeout))
	var endpoints *endpoint.Client
	n.paths = paths.New(paths.Options{
		Self: s.Name, Clock: n.clock, Logger: n.logger.Named("paths"), Dial: p.Dialer(dialTimeout).DialContext, Peers: peers,
		Gateways:   func(address string) []reach.Gateway { return n.control.Gateways(address) },
		Allowed:    func(address string) bool { return n.control.TakesRequests(address) },
		Regained:   func(address string) { n.traffic.EndpointReachable(address) },
		Lost:       func() { endpoints.CloseIdleConnections() },
		MaxTunnels: maxTunnels(s.Descriptors),
	})
	endpoints = endpoint.NewClientWith(endpoint.Options{Judge: p.Judge, Paths: n.paths, Clock: n.clock})
	n.idleClosers = []idleCloser{endpoints, peers}
	for _, client := range []any{p.Store, p.Engines} {
		if i, ok := client.(idleCloser); ok {
			n.idleClosers = append(n.idleClosers, i)
		}
	}
	processes := &processes{n: n, inquiry: p.Inquiry, clients: endpoints}
	n.isolation = isolation.New(isolation.Options{
		Clock: n.clock, Logger: n.logger.Named("isolation"), Refuses: endpoints.Refuses, StartOf: processes.StartOf,
		Changed: func() { n.control.SuspectsChanged() },
		Fresh:   func() bool { return n.control.SuspectsFresh() },
		Claim:   func(ctx context.Context, e quarantine.Entry) error { return n.control.ClaimTrial(ctx, e) },
		Turns:   runLocks{n},
	})
	n.traffic = traffic.New(n.clock, s.Hall, queue.Limits{Items: queueItems, Bytes: queueBytes}, hooks)
	n.traffic.SetNode(incarnation)
	n.traffic.SetRegions(s.Regions)
	n.control = placer.New(placer.Options{
		Self:  lease.Record{Holder: s.Name, Incarnation: incarnation, Address: s.PeerAddress},
		Clock: n.clock, Logger: n.logger.Named("control"), Store: p.Store, Engines: p.Engines,
		Peers: peers, Paths: n.paths, Regions: s.Regions, Dispatcher: n.traffic, Isolation: n.isolation, Limits: s.Loads, Retries: s.Retries,
		TakeoverDelay: takeoverDelay(s.Name, s.Cores), Hall: s.Hall, Strength: s.Cores * s.LinkMbps, Bound: s.ReactionBound, FirstStart: s.FirstStart, Fenced: s.Fenced, TurnBound: s.TurnBound, Heartbeat: s.Heartbeat, Contact: s.Contact, Tolerance: s.Tolerance, ColdTolerance: s.Cold,
		Own: []string{s.CallerAddress, s.ReadyAddress, s.PeerAddress, s.MetricsAddress},
	})
	n.origins = origins.New(origins.Options{
		Clock: n.clock, Logger: n.logger.Named("origins"), Self: s.PeerAddress, Nodes: n.control.Nodes, Peers: peers, Concluder: n.control,
	})
	n.shedder = &shedder{clock: n.clock}
	n.caller = &caller.Server{
		Clock: n.clock, Logger: n.logger.Named("caller"), Dispatcher: n.traffic, TakeConnection: n.shedder.take,
		Limits: caller.Limits{
			BodyBytes: bodyBytes, AnswerBytes: maxAnswer(s.MemoryBytes), HeldAnswerBytes: s.MemoryBytes * answerShare / 100, HeaderBytes: headerBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
			Connections: s.Descriptors * callerShare / 100, HeldBytes: s.MemoryBytes * heldShare / 100,
		},
		Endpoints: endpoints, Origins: n.origins, Processes: processes, Isolation: n.isolation, Metrics: caller.NewMetrics(), View: n.control.View, Stopping: n.control.Stopping, Protocol: p.Protocol(n.control, n.clock), Limiter: n.control, Starting: n.control,
		Extra: caller.NewExtraAttempts(s.ExtraAttempts), Timeouts: n.callerTimeouts,
	}
}

// callerTimeouts returns the timeouts of callers' connections in the configuration in force.
func (n *Node) callerTimeouts() keepalive.Timeouts {
	t, _ := n.control.ConfigInForce()
	if t == nil {
		return keepalive.Timeouts{}
	}
	return keepalive.Timeouts{Idle: t.Config.Limits.IdleTimeout, Head: t.Config.Limits.HeaderTimeout}
}

// maxAnswer returns the length of the longest answer on a machine with the given memory.
func maxAnswer(memory int64) int64 {
	if memory <= 0 {
		return answerBytes
	}
	return min(answerBytes, memory*answerShare/100/longAnswers)
}

// maxTunnels returns how many tunnels of other nodes a node with the given limit on descriptors opens. Each uses one
// connection to the node and one to the endpoint.
func maxTunnels(descriptors int) int {
	if descriptors <= 0 {
		return defaultTunnels
	}
	return descriptors * tunnelShare / 100 / 2
}

// runLocks acquires run locks through the node's control plane, which is created after the isolation guard that uses
// them.
type runLocks struct{ n *Node }

// AcquireRun implements isolation.RunLocker.
func (t runLocks) AcquireRun(ctx context.Context, f quarantine.Fingerprint, run string) time.Duration {
	return t.n.control.AcquireRun(ctx, f, run)
}

// ReleaseRun implements isolation.RunLocker.
func (t runLocks) ReleaseRun(f quarantine.Fingerprint, run string, answered bool) {
	t.n.control.ReleaseRun(f, run, answered)
}

// weakDelay is the extra delay before the weakest machine takes over the lease, compared with a machine of at least one
// core. The lease holder works for all nodes, so strong machines are preferred.
const weakDelay = 400 * time.Millisecond

// spreadDelay spreads the takeover attempts of equal machines, since all attempts but the first cost an append that the
// store rejects.
const spreadDelay = 300 * time.Millisecond

// takeoverDelay returns how much longer this node waits than the fastest one before it takes over the lease.
func takeoverDelay(name string, cores float64) time.Duration {
	spread := time.Duration(xxhash.Sum64String(name) % uint64(spreadDelay))
	return time.Duration(max(0, 1-cores)*float64(weakDelay)) + spread
}

// serve starts an HTTP server at an address.
func (n *Node) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: readTimeout, IdleTimeout: silence.ServerTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: n.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Info}),
	}
	n.servers = append(n.servers, srv)
	n.wg.Go(func() { n.logServerError(address, srv.Serve(l)) })
	return nil
}

// logServerError logs the error with which a server ended, unless it was closed on purpose.
func (n *Node) logServerError(what string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.logger.Error("server failed", "server", what, "error", err.Error())
	}
}

// ready answers the load balancer's health check: 200 if the node is ready for requests and takes connections, otherwise 503.
func (n *Node) ready() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.control.Ready() || n.caller.Full() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// metrics serves all metrics as one JSON tree, and the operators' requests about quarantine.
func (n *Node) metrics() http.Handler {
	tree := new(expvar.Map).Init()
	tree.Set("caller", n.caller.Metrics.Tree())
	tree.Set("connections", expvar.Func(func() any { return n.caller.Connections() }))
	tree.Set("traffic", expvar.Func(func() any { return n.traffic.Totals() }))
	tree.Set("control", n.control.Metrics())
	tree.Set("isolation", n.isolation.Tree())
	tree.Set("paths", n.paths.Tree())
	tree.Set("origins", n.origins.Tree())
	mux := http.NewServeMux()
	n.handleQuarantine(mux)
	n.handleExplain(mux)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the reader has disconnected.
		_, _ = w.Write([]byte(`{"olivetiller":` + tree.String() + "}\n"))
	})
	return mux
}

// HoldsLease reports whether this node holds the lease and therefore sends the orders to engines.
func (n *Node) HoldsLease() bool { return n.control.HoldsLease() }

// Stop performs the planned stop: it turns the node unready for the balancer, releases the lease, accepts requests
// while the balancer may still send them, and finishes all accepted requests as far as StopTimeout allows. It returns
// an error if it had to abort requests.
func (n *Node) Stop() error {
	start := n.clock.Now()
	ctx, cancel := boottime.WithTimeout(context.Background(), n.clock, n.s.StopTimeout-cutReserve)
	defer cancel()
	n.logger.Info("stopping", "active", n.caller.Active())
	n.paths.Stop()
	n.control.BeginStop(ctx)
	n.origins.HandOver()
	timer := n.clock.AfterFunc(n.s.StopTimeout-waitReserve, n.traffic.StopWaiting)
	defer timer.Stop()
	taken, listened := n.s.takeFor()
	n.sleep(ctx, taken)
	n.caller.RefuseRequests()
	n.sleep(ctx, listened-taken)
	err := n.caller.Shutdown(ctx)
	if err != nil {
		n.caller.CancelRequests()
	}
	n.drain(start.Add(n.s.StopTimeout - stopReserve))
	n.logger.Info("stopped", "cutOff", n.caller.Active(), "tookMs", n.clock.Now().Sub(start).Milliseconds())
	n.Kill()
	return err
}

// takeFor returns for how long a planned stop takes further requests, and for how long it listens, so that those that come later
// are refused with a reason. It does both while the load balancer may still send requests, but takes them for at most half of the
// time until requests in progress are aborted, so that the last ones have as much for themselves.
func (s *Settings) takeFor() (taken, listened time.Duration) {
	untilCut := max(0, s.StopTimeout-cutReserve)
	taken = min(balancerLag, untilCut/2)
	return taken, max(taken, min(balancerLag, untilCut-cutReserve))
}

// sleep waits for a time, or until ctx ends.
func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-n.clock.After(d):
	case <-ctx.Done():
	}
}

// drain waits until no request is in progress, nor a tunnel of another node open, or the deadline has passed.
func (n *Node) drain(until time.Time) {
	for n.caller.Active()+n.paths.Stop() > 0 && n.clock.Now().Before(until) {
		n.clock.Sleep(drainPoll)
	}
}

// Kill stops the node immediately and aborts its requests.
func (n *Node) Kill() {
	n.cancel()
	n.paths.Kill()
	// The process ends, so a failed close has no consequence.
	_ = n.caller.Close()
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.wg.Wait()
}
