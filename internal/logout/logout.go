// Package logout writes log lines without ever holding up who logs.
//
// The problem: standard output may be slow or blocked, and a burst of requests
// must not fill the memory with lines. The model: a [Writer] keeps a bounded
// number of lines for one goroutine that writes them; what finds no room is
// dropped, counted, and told in a line of its own once there is room again.
package logout

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxLines bounds the lines that wait: at some 300 bytes a line, about 0.6 MB.
const maxLines = 2048

// Writer is an io.Writer that never blocks.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// New returns a writer to w. Close ends it.
func New(w io.Writer) *Writer {
	o := &Writer{lines: make(chan []byte, maxLines)}
	o.done.Go(func() { o.run(w) })
	return o
}

// Write implements io.Writer. It keeps a copy of one line, or drops it.
func (o *Writer) Write(p []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), p...):
	default:
		o.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped and not told yet.
func (o *Writer) Dropped() int64 { return o.dropped.Load() }

// Close writes what waits and ends the writer. Nothing may be written after.
func (o *Writer) Close() {
	close(o.lines)
	o.done.Wait()
}

func (o *Writer) run(w io.Writer) {
	for line := range o.lines {
		if n := o.dropped.Swap(0); n > 0 {
			line = fmt.Appendf(line, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
		}
		// Nobody is left to tell that standard output is gone.
		_, _ = w.Write(line)
	}
}
