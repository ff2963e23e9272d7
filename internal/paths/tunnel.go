package paths

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"olivetiller/core/reach"
	"olivetiller/io/boottime"
	"olivetiller/io/endpoint"
	"olivetiller/io/peer"
)

// gatewayAnswer is the result of asking gateways for a tunnel.
type gatewayAnswer struct {
	// gateway is the one that opened the tunnel.
	gateway string
	conn    net.Conn
	err     error
	// answered reports whether all gateways have answered that they open none.
	answered bool
}

// Tunnel implements [endpoint.Paths]. It fails at once if a search for another node that reaches the endpoint has just
// failed, and on a slow node that does not know the direct path to be lost.
func (p *Paths) Tunnel(ctx context.Context, _, address string) (net.Conn, error) {
	p.mu.Lock()
	now := p.o.Clock.Now()
	unreached := p.registry.Unreachable(address, now)
	slow := now.Before(p.slowUntil) && p.registry.DirectUsable(address)
	p.mu.Unlock()
	if unreached {
		return nil, fmt.Errorf("no tunnel to %s: %w", address, peer.ErrNoPath)
	}
	if slow {
		return nil, errSlow
	}
	a := p.ask(ctx, address)
	switch {
	case a.err == nil:
		p.reachedByTunnel(address, a.gateway)
	case ctx.Err() == nil:
		p.tunnelFailed(address, a.answered)
	}
	return a.conn, a.err
}

// search asks other nodes whether they reach an endpoint.
type search struct {
	// done is closed at the end of the search. The fields below are set by then.
	done chan struct{}
	// gateway is the node that reaches the endpoint; "" if none was found. answered reports whether all that were asked
	// have answered.
	gateway  string
	answered bool
}

// conclusive reports whether the search has found out if another node reaches the endpoint.
func (s *search) conclusive() bool { return s.gateway != "" || s.answered }

// startSearch returns the search for a node that reaches an endpoint that is in progress or has just failed, or starts
// one.
func (p *Paths) startSearch(address string) *search {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.searches[address]
	if s != nil {
		return s
	}
	s = &search{done: make(chan struct{})}
	if p.registry.Unreachable(address, p.o.Clock.Now()) {
		s.answered = true
		close(s.done)
		return s
	}
	p.searches[address] = s
	go func() {
		a := p.ask(context.Background(), address)
		s.answered = a.answered
		if a.err == nil {
			s.gateway = a.gateway
			_ = a.conn.Close()
		} else {
			p.tunnelFailed(address, a.answered)
		}
		p.mu.Lock()
		delete(p.searches, address)
		p.mu.Unlock()
		close(s.done)
	}()
	return s
}

// ask asks one gateway after the other for a tunnel, the next one without waiting for an answer that takes longer than
// nextGatewayDelay. It returns the first tunnel, or the last error.
func (p *Paths) ask(ctx context.Context, address string) gatewayAnswer {
	known := p.o.Gateways(address)
	if len(known) == 0 {
		return gatewayAnswer{err: errNoGateway, answered: true}
	}
	p.mu.Lock()
	order := p.gateways.Order(address, known, p.o.Clock.Now())
	p.mu.Unlock()
	order = order[:min(len(order), maxGateways)]
	tctx, cancel := boottime.WithTimeout(ctx, p.o.Clock, tunnelTimeout)
	defer cancel()
	q := peer.TunnelRequest{Node: p.o.Self, Endpoint: address, Lifetime: endpoint.TunnelLifetime(ctx)}
	answers := make(chan gatewayAnswer, len(order))
	asked, failed := 0, 0
	ask := func() {
		if asked == len(order) || tctx.Err() != nil {
			return
		}
		gateway := order[asked]
		asked++
		go func() {
			conn, err := p.o.Peers.Tunnel(tctx, gateway, q)
			answers <- gatewayAnswer{gateway: gateway, conn: conn, err: err}
		}()
	}
	ask()
	last := gatewayAnswer{answered: true}
	for failed < asked {
		begun, next := p.o.Clock.Now(), p.o.Clock.NewTimer(nextGatewayDelay)
		select {
		case a := <-answers:
			next.Stop()
			if a.err == nil {
				// The tunnels that come later are not needed.
				go closeTunnels(answers, asked-failed-1)
				return a
			}
			failed++
			last.err = fmt.Errorf("no tunnel to %s: %w", address, a.err)
			last.answered = p.noteGatewayFailure(ctx, address, a) && last.answered
			ask()
		case <-next.Chan():
			if !p.fired(begun, nextGatewayDelay) {
				ask()
			}
		}
	}
	last.answered = last.answered && asked == len(order)
	return last
}

// tunnelFailed records that no tunnel to the endpoint came about, and whether all gateways have answered.
func (p *Paths) tunnelFailed(address string, answered bool) {
	p.mu.Lock()
	p.registry.TunnelFailed(address, answered, p.o.Clock.Now())
	p.mu.Unlock()
	p.wakeChecks()
}

// closeTunnels closes the tunnels among the next n answers.
func closeTunnels(answers <-chan gatewayAnswer, n int) {
	for range n {
		if a := <-answers; a.conn != nil {
			_ = a.conn.Close()
		}
	}
}

// noteGatewayFailure records why a gateway opened no tunnel. It reports whether the gateway has answered.
func (p *Paths) noteGatewayFailure(ctx context.Context, address string, a gatewayAnswer) (answered bool) {
	if ctx.Err() != nil {
		// The caller left, which says nothing about the gateway.
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock.Now()
	for _, reason := range []error{peer.ErrTunnelRefused, peer.ErrNoPath, peer.ErrTunnelNotAllowed, peer.ErrTooManyTunnels} {
		if errors.Is(a.err, reason) {
			p.gateways.Pathless(a.gateway, address, now)
			return true
		}
	}
	p.gateways.Dead(a.gateway, now)
	return false
}

// reachedByTunnel records that a gateway connected this node to an endpoint.
func (p *Paths) reachedByTunnel(address, gateway string) {
	p.mu.Lock()
	now := p.o.Clock.Now()
	p.gateways.Reached(gateway, address, now)
	lost := p.registry.TunnelReached(address, now)
	callLost := lost && now.Sub(p.lostCalledAt) >= minLostInterval
	if callLost {
		p.lostCalledAt = now
	}
	p.mu.Unlock()
	p.Metrics.Used.Add(1)
	if !lost {
		return
	}
	p.wakeChecks()
	p.Metrics.Lost.Add(1)
	p.o.Logger.Info("direct path to an endpoint lost, requests go by way of other nodes", "address", address, "by", gateway)
	if callLost {
		p.o.Lost()
	}
	p.o.Regained(address)
}

// Open implements [peer.Opener]: it connects another node to an endpoint that this node reaches directly.
func (p *Paths) Open(ctx context.Context, q peer.TunnelRequest) (conn net.Conn, stop <-chan struct{}, done func(), err error) {
	if !p.o.Allowed(q.Endpoint) {
		return nil, nil, nil, peer.ErrTunnelNotAllowed
	}
	p.mu.Lock()
	path, patience := p.registry.Route(q.Endpoint, p.o.Clock.Now())
	admitted := path == reach.Direct && !p.stopping && p.tunnels < p.o.MaxTunnels
	if admitted {
		p.tunnels++
	}
	p.mu.Unlock()
	switch {
	case path == reach.Tunnel:
		return nil, nil, nil, peer.ErrNoPath
	case !admitted:
		return nil, nil, nil, peer.ErrTooManyTunnels
	}
	release := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.tunnels--
	}
	dctx, cancel := boottime.WithTimeout(ctx, p.o.Clock, patience)
	defer cancel()
	conn, err = p.o.Dial(dctx, "tcp", q.Endpoint)
	switch {
	case err == nil:
		p.reachedDirectly(q.Endpoint)
		p.Metrics.Opened.Add(1)
		p.o.Logger.Info("tunnel opened", "for", q.Node, "address", q.Endpoint)
		return conn, p.stopped, release, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		err = fmt.Errorf("%w: %v", peer.ErrTunnelRefused, err)
	default:
		err = fmt.Errorf("%w: %v", peer.ErrNoPath, err)
	}
	release()
	return nil, nil, nil, err
}
