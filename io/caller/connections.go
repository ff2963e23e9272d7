package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// drainPoll is how often a shutdown looks for connections that have become idle, and how long they must have been. The
	// next request may have come together with the end of the answer before.
	drainPoll = 10 * time.Millisecond
	// firstRequestTimeout is how long a connection may take during a shutdown from when it was accepted to its first request,
	// and from the first byte of a request to the end of its head.
	firstRequestTimeout = 3 * time.Second
)

// longAgo is a read deadline that has passed.
var longAgo = time.Unix(1, 0)

// connections holds the open connections of callers, so that a shutdown answers each request that was read.
// [http.Server.Shutdown] would close the connection without an answer if the request was read after its begin. It is safe
// for concurrent use.
type connections struct {
	// clock is set before the first connection.
	clock clockwork.Clock

	mu        sync.Mutex
	open      map[*trackedConn]struct{}
	listeners []net.Listener
	// serving counts the calls of serve in progress, which may add connections.
	serving int
	// draining is set once a shutdown has begun.
	draining bool
}

// trackedConn is a connection of a caller. The mutex of its set guards its fields.
type trackedConn struct {
	net.Conn
	set   *connections
	state http.ConnState
	// since is when the connection entered its state, or began to read.
	since time.Time
	// reading is true from the first byte of a request until its answer has been written. Bytes that are no request, such as
	// those of a TLS handshake, count too.
	reading bool
	// expired is set when the connection was told to close because it had no request.
	expired bool
	// readTimeout limits the time until the head of a request must have arrived.
	readTimeout time.Duration
}

// trackingListener adds the connections that it accepts to a set.
type trackingListener struct {
	net.Listener
	set         *connections
	readTimeout time.Duration
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, set: l.set, since: l.set.clock.Now(), readTimeout: l.readTimeout}
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.set.open[t] = struct{}{}
	return t, nil
}

// serve calls do with a listener whose connections are added to the set, and which is closed when a shutdown begins.
func (s *connections) serve(l net.Listener, readTimeout time.Duration, do func(net.Listener) error) error {
	s.mu.Lock()
	if s.open == nil {
		s.open = make(map[*trackedConn]struct{})
	}
	if s.draining {
		_ = l.Close()
	}
	s.listeners = append(s.listeners, l)
	s.serving++
	s.mu.Unlock()
	err := do(&trackingListener{Listener: l, set: s, readTimeout: readTimeout})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving--
	if s.draining {
		return http.ErrServerClosed
	}
	return err
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.set.mu.Lock()
		defer c.set.mu.Unlock()
		if !c.reading {
			c.reading, c.since = true, c.set.clock.Now()
		}
		if c.expired {
			// The request came as the connection was told to close.
			c.expired = false
			_ = c.Conn.SetReadDeadline(deadlineAfter(c.readTimeout))
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}

// stateChanged is the [http.Server.ConnState] hook of a server that serves the connections.
func (s *connections) stateChanged(conn net.Conn, state http.ConnState) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.state, c.since = state, s.clock.Now()
	if state == http.StateIdle {
		c.reading = false
	}
}

// active returns the number of connections with a request whose head was read and whose answer is not written yet.
func (s *connections) active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.open {
		if c.state == http.StateActive {
			n++
		}
	}
	return n
}

// connectionCounts are the numbers of open connections by state: idle ones after an answer, those that have sent nothing yet,
// those whose request head is incomplete, and those with a request. longest is how long the one that is idle longest has been.
type connectionCounts struct {
	open, idle, fresh, partial, active int
	longest                            time.Duration
}

// count returns the numbers of open connections.
func (s *connections) count() connectionCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, now := connectionCounts{open: len(s.open)}, s.clock.Now()
	for c := range s.open {
		switch {
		case c.state == http.StateActive:
			n.active++
		case c.reading:
			n.partial++
		case c.state == http.StateIdle:
			n.idle++
			n.longest = max(n.longest, now.Sub(c.since))
		default:
			n.fresh++
		}
	}
	return n
}

// stopped reports whether a shutdown has begun.
func (s *connections) stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// drain closes the listeners and waits until all connections are closed, or ctx ends. It closes those without a request.
func (s *connections) drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	poll := s.clock.NewTicker(drainPoll)
	defer poll.Stop()
	for !s.expireIdle(s.clock.Now()) {
		select {
		case <-poll.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// patience returns how long a connection without a request may stay open during a shutdown.
func (c *trackedConn) patience() time.Duration {
	if c.reading || c.state == http.StateNew {
		return firstRequestTimeout
	}
	return drainPoll
}

// expireIdle tells the connections without a request to close, and reports whether all are closed. The server closes them
// when its read fails, unless a request has come by then.
func (s *connections) expireIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.state == http.StateActive || now.Sub(c.since) < c.patience() {
			continue
		}
		c.expired = true
		_ = c.Conn.SetReadDeadline(longAgo)
	}
	return len(s.open) == 0 && s.serving == 0
}
