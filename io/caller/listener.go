package caller

import (
	"expvar"
	"net"
	"sync"
)

// shedListener closes the new connections that the node has no time for, unread, so that callers try another node at once.
type shedListener struct {
	net.Listener
	// take reports whether a new connection is taken.
	take   func() bool
	closed *expvar.Int
}

// Accept implements net.Listener.
func (l *shedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.take() {
			return c, err
		}
		l.closed.Add(1)
		_ = c.Close()
	}
}

// limitedListener limits the open connections. Further ones wait in the kernel's accept queue, so that idle
// connections cannot exhaust the memory.
type limitedListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
	// full is called when a connection has to wait for another one to end.
	full func()
}

// limitListener limits l to n open connections; 0 for no limit. full is called when the limit is reached.
func limitListener(l net.Listener, n int, full func()) net.Listener {
	if n <= 0 {
		return l
	}
	return &limitedListener{Listener: l, slots: make(chan struct{}, n), done: make(chan struct{}), full: full}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	default:
		l.full()
		select {
		case l.slots <- struct{}{}:
		case <-l.done:
			return nil, net.ErrClosed
		}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitedConn releases its slot in the listener when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
