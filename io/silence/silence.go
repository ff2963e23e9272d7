// Package silence aborts the transfer of a long answer when it stalls, however long the transfer takes as a whole. It also
// has the timeouts of connections on which nothing is transferred.
//
//	progress, stop := silence.Watch(cancel, time.Second, time.Second)
//	defer stop()
//	raw, err := io.ReadAll(silence.Reader{R: resp.Body, Progress: progress})
package silence

import (
	"io"
	"time"
)

// Timeouts of connections that carry no request. Without them, each peer that vanishes without closing its connections
// leaves some behind for good.
const (
	// ServerTimeout is that of servers for other nodes and for operators.
	ServerTimeout = 2 * time.Minute
	// PoolTimeout is that of clients' pools. It is shorter, so that no request crosses the close of its server.
	PoolTimeout = time.Minute
)

// Watch returns a function to call on progress, and a function that ends the watch. It calls f once, in its own
// goroutine, if there is no progress within first of the start or within then of the last progress.
func Watch(f func(), first, then time.Duration) (progress func(), stop func() bool) {
	t := time.AfterFunc(first, f)
	return func() { t.Reset(then) }, t.Stop
}

// Reader wraps R and calls Progress after each read that returned data.
type Reader struct {
	R        io.Reader
	Progress func()
}

// Read reads from R.
func (r Reader) Read(b []byte) (int, error) {
	n, err := r.R.Read(b)
	if n > 0 {
		r.Progress()
	}
	return n, err
}
