package endpoint

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"olivetiller/core/answerlimit"
)

// Check decides right before a request is written whether it may still be sent, and returns the reason if not.
// Conditions that held when the request was built may have changed since, because connecting took long or the machine
// was suspended.
type Check func() error

// WithheldError is the error of a request of which nothing was written because its check failed.
type WithheldError struct{ Cause error }

// Error implements error.
func (e *WithheldError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns Cause, the error of the check.
func (e *WithheldError) Unwrap() error { return e.Cause }

// Withheld reports whether err, the cause of a context from WithCheck, means that nothing of the request was written.
func Withheld(err error) bool {
	var e *WithheldError
	return errors.As(err, &e)
}

// checkedConn is a connection that calls the check of the current request before each write, and bounds the head of its
// answer.
type checkedConn struct {
	net.Conn
	mu    sync.Mutex
	check Check
	// onCheckFailed is called with the error when the check fails.
	onCheckFailed func(error)
	// wrote is set once part of the request was written.
	wrote bool
	// openedAt is when the connection was opened. It is set before the first request and not changed later.
	openedAt time.Time
	// headLeft is how many bytes may still be read before the head of the current answer is complete; unlimited at other
	// times.
	headLeft atomic.Int64
}

// unlimited is the value of checkedConn.headLeft while no head is awaited.
const unlimited = math.MaxInt64

// setCheck sets the check of the current request; nil for none.
func (c *checkedConn) setCheck(check Check, onCheckFailed func(error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check, c.onCheckFailed = check, onCheckFailed
}

// Write implements net.Conn. If the check fails it returns the check's error, as a *WithheldError if nothing of the
// request was written yet.
func (c *checkedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.check != nil {
		if err := c.check(); err != nil {
			if !c.wrote {
				err = &WithheldError{err}
			}
			c.onCheckFailed(err)
			return 0, err
		}
	}
	n, err := c.Conn.Write(b)
	c.wrote = c.wrote || n > 0
	return n, err
}

// Read implements net.Conn. Its error is an *answerlimit.TooLongError if a head is awaited that is longer than its bound.
// The bound covers interim answers, and bytes that are no HTTP.
func (c *checkedConn) Read(b []byte) (int, error) {
	if c.headLeft.Load() <= 0 {
		return 0, &answerlimit.TooLongError{From: "endpoint " + c.RemoteAddr().String(), Part: answerlimit.Head, Limit: answerlimit.HeadBytes}
	}
	n, err := c.Conn.Read(b)
	c.headLeft.Add(-int64(n))
	return n, err
}

// awaitHead bounds what is read until headComplete is called.
func (c *checkedConn) awaitHead() { c.headLeft.Store(answerlimit.HeadBytes) }

// headComplete ends the bound on the head. Where an answer has no body, the next request may have the connection already;
// then only the bound of the transport holds for it.
func (c *checkedConn) headComplete() { c.headLeft.Store(unlimited) }

// beginRequest notes that nothing of the next request is written yet.
func (c *checkedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// begunWriting reports whether part of the current request may have been written.
func (c *checkedConn) begunWriting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialContext is the context in which a connection is opened for a request. It has no values of the request but the lifetime
// of tunnels. A dial may send requests of its own, as to a gateway, and their connections would call the hooks of the request.
type dialContext struct{ context.Context }

// Value implements context.Context.
func (c dialContext) Value(key any) any {
	if key == (tunnelLifetimeKey{}) {
		return c.Context.Value(key)
	}
	return nil
}

// CheckedDial returns a DialFunc whose connections run the checks of requests made under WithCheck.
func CheckedDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(dialContext{ctx}, network, address)
		if err != nil {
			return nil, err
		}
		c := &checkedConn{Conn: conn}
		c.headComplete()
		return c, nil
	}
}

// WithCheck returns a context for one HTTP request whose check runs before each write, on connections of CheckedDial.
// If the check fails, the context is canceled with the error as its cause, so that net/http does not try another
// connection.
func WithCheck(ctx context.Context, check Check) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	var conn *checkedConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*checkedConn); ok {
				conn = c
				c.beginRequest()
				c.setCheck(check, cancel)
			}
		},
		// The check ends here and not in WroteRequest, which is called before the last bytes are flushed.
		GotFirstResponseByte: func() {
			if conn != nil {
				conn.setCheck(nil, nil)
			}
		},
	})
	return ctx, func() { cancel(context.Canceled) }
}
