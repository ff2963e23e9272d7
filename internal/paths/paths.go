// Package paths connects a node to endpoints: directly, or through a tunnel by way of another node while the direct path
// is lost. It also connects other nodes to the endpoints that this node reaches.
//
// Package reach (core) decides; this package dials, checks lost paths in the background, and asks gateways for tunnels. It
// implements [endpoint.Paths] for the client that sends requests, and [peer.Opener] for the server of the other nodes.
package paths

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/reach"
	"olivetiller/io/boottime"
	"olivetiller/io/endpoint"
	"olivetiller/io/peer"
)

// Times and limits of connections.
const (
	// tunnelTimeout bounds the search for a gateway.
	tunnelTimeout = 400 * time.Millisecond
	// nextGatewayDelay is how long a gateway may take to answer until the next one is asked as well. A gateway that
	// reaches the endpoint answers within some milliseconds.
	nextGatewayDelay = 25 * time.Millisecond
	// maxGateways is how many gateways are asked for one tunnel.
	maxGateways = 10
	// checkTimeout bounds the direct connection by which a lost path is checked.
	checkTimeout = 300 * time.Millisecond
	// maxChecks bounds the checks in progress.
	maxChecks = 16
	// minLostInterval is the time between two calls of Options.Lost. Connections that become idle after the first call
	// have carried an answer since.
	minLostInterval = 250 * time.Millisecond
	// maxLateness is how much too late a timer may fire. A node whose timers are later is short of processor time, and
	// taken to be slow for slowTTL.
	maxLateness = 20 * time.Millisecond
	slowTTL     = 500 * time.Millisecond
)

// Tunneller asks other nodes for tunnels.
type Tunneller interface {
	Tunnel(ctx context.Context, gateway string, q peer.TunnelRequest) (net.Conn, error)
}

// Options configure Paths. Functions must not block.
type Options struct {
	// Self is the name of this node.
	Self   string
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Dial connects directly, with a timeout of its own.
	Dial  endpoint.DialFunc
	Peers Tunneller
	// Gateways returns the nodes that may connect this one to the endpoint at an address, without this node.
	Gateways func(address string) []reach.Gateway
	// Allowed reports whether an address is that of an endpoint that takes requests, for tunnels of other nodes.
	Allowed func(address string) bool
	// Regained is called when an endpoint can be reached again, over either path, that no path reached before.
	Regained func(address string)
	// Lost is called when the direct path to an endpoint is found to be lost. Connections that are idle may be lost too.
	Lost func()
	// MaxTunnels bounds the tunnels of other nodes that are open at once.
	MaxTunnels int
}

// Paths connects to endpoints. It is safe for concurrent use.
type Paths struct {
	o       Options
	Metrics Metrics

	mu       sync.Mutex
	registry *reach.Registry
	gateways *reach.Gateways
	// searches holds the searches in progress, by address.
	searches map[string]*search
	// lostCalledAt is when Options.Lost was last called.
	lostCalledAt time.Time
	// slowUntil is when this node no longer counts as slow. A slow node cannot tell lost paths from its own delays, and
	// the search for other paths would make it slower.
	slowUntil time.Time
	// tunnels counts the open tunnels of other nodes. stopping is set once no more are opened, and stopped is closed when
	// the open ones are ended.
	tunnels  int
	stopping bool
	stopped  chan struct{}
	stopOnce sync.Once
	// wake has capacity 1 and holds a token when a check may have become due.
	wake chan struct{}
	// checks holds a token for each check in progress.
	checks chan struct{}
}

// New returns Paths that know no lost path.
func New(o Options) *Paths {
	return &Paths{
		o: o, registry: reach.NewRegistry(), gateways: reach.NewGateways(o.Self), searches: make(map[string]*search),
		stopped: make(chan struct{}), wake: make(chan struct{}, 1), checks: make(chan struct{}, maxChecks),
	}
}

// Tunnelled implements [endpoint.Paths].
func (p *Paths) Tunnelled(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path, _ := p.registry.Route(address, p.o.Clock.Now())
	return path == reach.Tunnel
}

// Direct implements [endpoint.Paths].
func (p *Paths) Direct(ctx context.Context, network, address string) (net.Conn, error) {
	if len(p.o.Gateways(address)) == 0 {
		return p.o.Dial(ctx, network, address)
	}
	p.mu.Lock()
	_, patience := p.registry.Route(address, p.o.Clock.Now())
	p.mu.Unlock()
	return p.dialDirect(ctx, network, address, patience)
}

// dialResult is the result of connecting.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialDirect connects directly. If that takes longer than patience it asks other nodes whether they reach the endpoint,
// and gives the connection up once they have answered. A node that is slow itself gets their answers later than the
// connection, and does not take the path for lost. The result is recorded.
func (p *Paths) dialDirect(ctx context.Context, network, address string, patience time.Duration) (net.Conn, error) {
	dctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := p.o.Clock.Now()
	direct := make(chan dialResult, 1)
	go func() {
		conn, err := p.o.Dial(dctx, network, address)
		direct <- dialResult{conn, err}
	}()
	timer := p.o.Clock.NewTimer(patience)
	defer timer.Stop()
	select {
	case d := <-direct:
		return p.dialled(ctx, address, d)
	case <-timer.Chan():
	}
	if p.fired(begun, patience) {
		return p.dialled(ctx, address, <-direct)
	}
	s := p.startSearch(address)
	select {
	case d := <-direct:
		return p.dialled(ctx, address, d)
	case <-s.done:
	}
	if !s.conclusive() {
		return p.dialled(ctx, address, <-direct)
	}
	cancel()
	d := <-direct
	conn, err := p.dialled(ctx, address, d)
	if err != nil && ctx.Err() == nil && s.gateway != "" {
		p.reachedByTunnel(address, s.gateway)
	}
	return conn, err
}

// dialled records the result of connecting directly in ctx.
func (p *Paths) dialled(ctx context.Context, address string, d dialResult) (net.Conn, error) {
	switch {
	case d.err == nil:
		p.reachedDirectly(address)
	case ctx.Err() == nil && (!p.slow() || errors.Is(d.err, syscall.ECONNREFUSED)):
		p.directFailed(address)
	}
	return d.conn, d.err
}

// fired records that a timer that was set to d at begun has fired. It reports whether this node is slow.
func (p *Paths) fired(begun time.Time, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock.Now()
	if now.Sub(begun) > d+maxLateness {
		p.slowUntil = now.Add(slowTTL)
	}
	return now.Before(p.slowUntil)
}

// slow reports whether this node is slow.
func (p *Paths) slow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.o.Clock.Now().Before(p.slowUntil)
}

// directFailed records that the endpoint was not reached directly.
func (p *Paths) directFailed(address string) {
	p.mu.Lock()
	p.registry.DirectFailed(address, p.o.Clock.Now())
	p.mu.Unlock()
	p.wakeChecks()
}

// reachedDirectly records that an endpoint was reached directly.
func (p *Paths) reachedDirectly(address string) {
	p.mu.Lock()
	was := p.registry.Path(address)
	regained := p.registry.DirectReached(address, p.o.Clock.Now())
	p.mu.Unlock()
	if !regained {
		return
	}
	if was == reach.Tunnel {
		p.Metrics.Regained.Add(1)
		p.o.Logger.Info("direct path to an endpoint regained", "address", address)
	}
	p.o.Regained(address)
}

// Answered implements [endpoint.Paths].
func (p *Paths) Answered(address string) { p.reachedDirectly(address) }

// Silent implements [endpoint.Paths]. It checks the direct path unless the endpoint was reached a moment ago.
func (p *Paths) Silent(address string) {
	if p.slow() || len(p.o.Gateways(address)) == 0 {
		return
	}
	p.mu.Lock()
	due := p.registry.CheckSilence(address, p.o.Clock.Now())
	p.mu.Unlock()
	if due {
		p.startCheck(address)
	}
}

// Check checks the direct path to an endpoint at once, because something that is not a request failed to reach it.
func (p *Paths) Check(address string) {
	if len(p.o.Gateways(address)) == 0 {
		return
	}
	p.mu.Lock()
	path, _ := p.registry.Route(address, p.o.Clock.Now())
	p.mu.Unlock()
	if path == reach.Direct {
		p.startCheck(address)
	}
}

// Unreached returns how many endpoints this node reaches only through tunnels, and how many of those that it uses can be
// reached at all.
func (p *Paths) Unreached() (unreached, reachable int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.registry.Unreached()
}

// Refuses implements [endpoint.Paths]. An address that refuses only this node's connections is cut off from this node.
func (p *Paths) Refuses(ctx context.Context, address string) bool {
	if !endpoint.Refused(ctx, p.o.Dial, address) {
		return false
	}
	if len(p.o.Gateways(address)) == 0 {
		return true
	}
	p.directFailed(address)
	conn, err := p.Tunnel(ctx, "tcp", address)
	if err != nil {
		// It is not known only if ctx ended before the gateways answered.
		return ctx.Err() == nil
	}
	_ = conn.Close()
	return false
}

// Run checks lost paths until ctx ends.
func (p *Paths) Run(ctx context.Context) {
	for {
		p.mu.Lock()
		now := p.o.Clock.Now()
		due := p.registry.Due(now)
		at, ok := p.registry.NextCheck()
		p.mu.Unlock()
		for _, address := range due {
			p.startCheck(address)
		}
		var timer <-chan time.Time
		if ok {
			timer = p.o.Clock.After(at.Sub(now))
		}
		select {
		case <-timer:
		case <-p.wake:
		case <-ctx.Done():
			return
		}
	}
}

// wakeChecks has Run look for due checks.
func (p *Paths) wakeChecks() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// startCheck checks a path in its own goroutine, unless too many checks are in progress.
func (p *Paths) startCheck(address string) {
	select {
	case p.checks <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-p.checks }()
		p.check(address)
	}()
}

// check finds out whether an endpoint can be reached directly, or otherwise through a tunnel if that is not known.
func (p *Paths) check(address string) {
	p.mu.Lock()
	tunnelled := p.registry.Path(address) == reach.Tunnel
	p.mu.Unlock()
	ctx := context.Background()
	if tunnelled {
		dctx, cancel := boottime.WithTimeout(ctx, p.o.Clock, checkTimeout)
		defer cancel()
		if conn, err := p.o.Dial(dctx, "tcp", address); err == nil {
			p.reachedDirectly(address)
			_ = conn.Close()
		}
		return
	}
	conn, err := p.dialDirect(ctx, "tcp", address, checkTimeout)
	if err != nil {
		conn, err = p.Tunnel(ctx, "tcp", address)
	}
	if err == nil {
		_ = conn.Close()
	}
}

// Stop refuses further tunnels of other nodes. It returns the number of those that are open.
func (p *Paths) Stop() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
	return p.tunnels
}

// Kill ends the tunnels of other nodes.
func (p *Paths) Kill() {
	p.Stop()
	p.stopOnce.Do(func() { close(p.stopped) })
}

// Reasons for which no tunnel is asked for.
var (
	errNoGateway = errors.New("no other node is known that could connect to the endpoint")
	errSlow      = errors.New("this node is short of processor time")
)
