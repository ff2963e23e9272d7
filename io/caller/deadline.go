package caller

import (
	"net/http"
	"time"
)

// writeTimeout is how long a caller may leave written data, or the next writePiece bytes of it, unread. Callers themselves
// give up a stream after a gap of 2 s or more, and endpoints close connections whose answers are not read for some seconds.
const writeTimeout = 4 * time.Second

// setReadTimeout limits the time until the rest of the request must have arrived; 0 removes the limit.
func setReadTimeout(w http.ResponseWriter, d time.Duration) {
	// Response writers in tests support no deadlines, so the error is ignored.
	_ = http.NewResponseController(w).SetReadDeadline(deadlineAfter(d))
}

// setWriteTimeout limits the time until the caller must have read what is written next; 0 removes the limit.
func setWriteTimeout(c *http.ResponseController, d time.Duration) {
	_ = c.SetWriteDeadline(deadlineAfter(d))
}

// deadlineAfter returns the deadline d from now by the system clock, as net.Conn takes it; zero if d is not positive.
func deadlineAfter(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}
