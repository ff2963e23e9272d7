package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// Check is asked right before the bytes of a request leave, and returns why they must not: what was
// decided when the request was made may have come too late since, by a slow connection or because the
// machine slept.
type Check func() error

// WithheldError says that nothing of a request was written, because its check forbade it.
type WithheldError struct{ Cause error }

// Error implements error.
func (e *WithheldError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *WithheldError) Unwrap() error { return e.Cause }

// Withheld reports whether the cause of a context of WithCheck means that nothing of its request was
// written.
func Withheld(err error) bool {
	var e *WithheldError
	return errors.As(err, &e)
}

// checkedConn is a connection that asks the check of the request in progress before each write.
type checkedConn struct {
	net.Conn
	mu    sync.Mutex
	check Check
	// forbidden is called once the check has forbidden a request.
	forbidden func(error)
	// wrote is set once something of the request was written.
	wrote bool
}

// begin sets the check of the next request; nil ends it.
func (c *checkedConn) begin(check Check, forbidden func(error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check, c.forbidden, c.wrote = check, forbidden, false
}

// Write implements net.Conn.
func (c *checkedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.check != nil {
		if err := c.check(); err != nil {
			if !c.wrote {
				err = &WithheldError{err}
			}
			c.forbidden(err)
			return 0, err
		}
	}
	c.wrote = true
	return c.Conn.Write(b)
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CheckedDial returns a function that opens connections on which requests under WithCheck are
// checked.
func CheckedDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
}

// WithCheck has a request checked right before its bytes leave, on connections of CheckedDial. Where the check
// forbids it the context ends, so that no other connection is tried.
func WithCheck(ctx context.Context, check Check) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	var conn *checkedConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*checkedConn); ok {
				conn = c
				c.begin(check, cancel)
			}
		},
		// WroteRequest comes before the last bytes are flushed.
		GotFirstResponseByte: func() {
			if conn != nil {
				conn.begin(nil, nil)
			}
		},
	})
	return ctx, func() { cancel(context.Canceled) }
}
