package caller

import (
	"errors"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
)

// callerWriter is the response writer of a request. It records what was written to the caller. It is used by one goroutine
// at a time.
type callerWriter struct {
	http.ResponseWriter
	clock clockwork.Clock
	// stopping is Server.Stopping, and headWritten is set once the head of the answer was written.
	stopping    func() bool
	headWritten bool
	// until is when the request's deadline passes; zero if it has none. After it, no further piece gets a timeout of its own.
	until time.Time
	// bytes counts the bytes of the body that were written.
	bytes int64
	// last is when a part of the body was last written; zero if none was.
	last time.Time
	// err is the first error of a write.
	err error
}

// writerOf returns the callerWriter of a request; an empty one if w is another writer, as in tests.
func writerOf(w http.ResponseWriter) *callerWriter {
	if c, ok := w.(*callerWriter); ok {
		return c
	}
	return &callerWriter{ResponseWriter: w}
}

// Unwrap returns the underlying writer for [http.ResponseController].
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements [http.ResponseWriter]. While the node stops, the answer closes the connection: its caller would
// otherwise send the next request on it as the node closes it.
func (w *callerWriter) WriteHeader(status int) {
	if w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.headWritten = true
	w.ResponseWriter.WriteHeader(status)
}

// writePiece is how many bytes a caller must read within writeTimeout, if it reads less than the whole of a longer write.
const writePiece = 64 << 10

// Write implements [http.ResponseWriter]. A caller that reads a long answer slowly gets writeTimeout for each piece of it
// until its deadline.
func (w *callerWriter) Write(b []byte) (int, error) {
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
	n, err := w.write(b[:min(len(b), writePiece)])
	for err == nil && n < len(b) {
		if w.until.IsZero() || w.clock.Now().Before(w.until) {
			setWriteTimeout(http.NewResponseController(w.ResponseWriter), writeTimeout)
		}
		var m int
		m, err = w.write(b[n:min(len(b), n+writePiece)])
		n += m
	}
	w.note(err)
	return n, err
}

// write writes b and records what was written of it.
func (w *callerWriter) write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	if n > 0 {
		w.bytes += int64(n)
		w.last = w.clock.Now()
	}
	return n, err
}

// FlushError is called by [http.ResponseController].
func (w *callerWriter) FlushError() error {
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.note(err)
	return err
}

// note records an error of a write.
func (w *callerWriter) note(err error) {
	if w.err == nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		w.err = err
	}
}
