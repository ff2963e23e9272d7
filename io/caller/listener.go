package caller

import (
	"expvar"
	"net"
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
