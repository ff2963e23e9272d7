package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/keepalive"
)

const (
	// sweepInterval is how often connections are looked for that have been without a request for too long.
	sweepInterval = 500 * time.Millisecond
	// drainPoll is how often a shutdown looks for connections that have become idle, and how long they must have been. The
	// next request may have come together with the end of the answer before.
	drainPoll = 10 * time.Millisecond
	// firstRequestTimeout is how long a connection may take during a shutdown from when it was accepted to its first request,
	// and from the first byte of a request to the end of its head.
	firstRequestTimeout = 3 * time.Second
)

// longAgo is a read deadline that has passed.
var longAgo = time.Unix(1, 0)

// connections holds the open connections of callers. It closes those that have no request as package keepalive decides, and
// has a shutdown answer each request that was read: [http.Server.Shutdown] would close the connection without an answer if
// the request was read after its begin. It is safe for concurrent use.
type connections struct {
	// clock, limit, timeouts and refused are set before the first connection. limit is the maximum number of open
	// connections; 0 for no limit. timeouts returns those of the configuration in force; nil for none. refused is called for
	// each connection that is closed unread because the others all have requests, with first set for the first one since
	// the set was full; nil to ignore it.
	clock    clockwork.Clock
	limit    int
	timeouts func() keepalive.Timeouts
	refused  func(n keepalive.Counts, first bool)

	mu   sync.Mutex
	open map[*trackedConn]struct{}
	// kept decides which of the open connections are closed.
	kept      *keepalive.Set[*trackedConn]
	listeners []net.Listener
	// serving counts the calls of serve in progress, which may add connections.
	serving int
	// refusing is set once further requests are refused, and draining once a shutdown has begun.
	refusing, draining bool
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
}

// trackingListener adds the connections that it accepts to a set. It closes those unread for which the set has no room.
type trackingListener struct {
	net.Listener
	set *connections
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if t := l.set.add(c); t != nil {
			return t, nil
		}
		_ = c.Close()
	}
}

// add adds a connection, and tells another one to close if there are too many. It returns nil if there is no room.
func (s *connections) add(c net.Conn) *trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	t := &trackedConn{Conn: c, set: s, since: now}
	wasFull := s.kept.Full()
	evicted, ok := s.kept.Add(t, now)
	if !ok {
		if s.refused != nil {
			s.refused(s.kept.Counts(), !wasFull)
		}
		return nil
	}
	if evicted != nil {
		evicted.expire()
	}
	s.open[t] = struct{}{}
	return t
}

// serve calls do with a listener whose connections are added to the set, and which is closed when a shutdown begins.
func (s *connections) serve(l net.Listener, do func(net.Listener) error) error {
	s.mu.Lock()
	if s.open == nil {
		s.open, s.kept = make(map[*trackedConn]struct{}), keepalive.New[*trackedConn](s.limit)
	}
	if s.draining {
		_ = l.Close()
	}
	s.listeners = append(s.listeners, l)
	s.serving++
	s.mu.Unlock()
	done := make(chan struct{})
	var sweeps sync.WaitGroup
	if s.timeouts != nil {
		sweeps.Go(func() { s.sweep(done) })
	}
	err := do(&trackingListener{Listener: l, set: s})
	close(done)
	sweeps.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving--
	if s.draining {
		return http.ErrServerClosed
	}
	return err
}

// sweep closes connections that have been without a request for too long until done is closed.
func (s *connections) sweep(done <-chan struct{}) {
	tick := s.clock.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.Chan():
			s.expireKept(s.clock.Now(), s.timeouts())
		case <-done:
			return
		}
	}
}

// expireKept tells the connections to close that have been without a request for longer than the timeouts.
func (s *connections) expireKept(now time.Time, t keepalive.Timeouts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.kept.Expire(now, t) {
		c.expire()
	}
}

// full reports whether the set has no room for further connections, since nearly all carry requests.
func (s *connections) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept != nil && s.kept.Full()
}

// counts returns the numbers of open connections.
func (s *connections) counts() (n keepalive.Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kept != nil {
		n = s.kept.Counts()
	}
	return n
}

// expire tells a connection to close. The server closes it when its read fails, unless a request has come by then.
func (c *trackedConn) expire() {
	c.expired = true
	_ = c.Conn.SetReadDeadline(longAgo)
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.set.mu.Lock()
		defer c.set.mu.Unlock()
		if !c.reading {
			now := c.set.clock.Now()
			c.reading, c.since = true, now
			if c.set.kept.Begin(c, now) || c.expired {
				// The request came as the connection was told to close.
				c.expired = false
				_ = c.Conn.SetReadDeadline(time.Time{})
			}
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The server sets a deadline as it begins to wait for a request, which must not undo
// that of a connection that was told to close.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.kept.Remove(c)
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
	now := s.clock.Now()
	c.state, c.since = state, now
	switch state {
	case http.StateActive:
		s.kept.Activate(c, now)
		if c.expired {
			// The request was read before the connection was told to close.
			c.expired = false
			_ = c.Conn.SetReadDeadline(time.Time{})
		}
	case http.StateIdle:
		c.reading = false
		s.kept.Rest(c, now)
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

// stopped reports whether further requests are refused.
func (s *connections) stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusing
}

// refuse has further requests refused.
func (s *connections) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
}

// drain closes the listeners and waits until all connections are closed, or ctx ends. It closes those without a request.
func (s *connections) drain(ctx context.Context) error {
	s.mu.Lock()
	s.refusing, s.draining = true, true
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

// expireIdle tells the connections without a request to close, and reports whether all are closed.
func (s *connections) expireIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.state == http.StateActive || now.Sub(c.since) < c.patience() {
			continue
		}
		c.expire()
	}
	return len(s.open) == 0 && s.serving == 0
}
