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

// Writer is an io.Writer that never blocks. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	// ending is closed when no more lines are taken.
	ending    chan struct{}
	closeOnce sync.Once
	done      sync.WaitGroup
}

// New returns a writer to w. Close ends it.
func New(w io.Writer) *Writer {
	o := &Writer{lines: make(chan []byte, maxLines), ending: make(chan struct{})}
	o.done.Go(func() { o.run(w) })
	return o
}

// Write implements io.Writer. It keeps a copy of one line, or drops it: for want of
// room, or because the writer was closed.
func (o *Writer) Write(p []byte) (int, error) {
	select {
	case <-o.ending:
		o.dropped.Add(1)
		return len(p), nil
	default:
	}
	select {
	case o.lines <- append([]byte(nil), p...):
	default:
		o.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped and not told yet.
func (o *Writer) Dropped() int64 { return o.dropped.Load() }

// Close writes what waits and ends the writer. Goroutines that still log may go
// on: their lines are dropped.
func (o *Writer) Close() {
	o.closeOnce.Do(func() { close(o.ending) })
	o.done.Wait()
}

func (o *Writer) run(w io.Writer) {
	for {
		select {
		case line := <-o.lines:
			o.write(w, line)
		case <-o.ending:
			for {
				select {
				case line := <-o.lines:
					o.write(w, line)
				default:
					return
				}
			}
		}
	}
}

func (o *Writer) write(w io.Writer, line []byte) {
	if n := o.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
	}
	// Nobody is left to tell that standard output is gone.
	_, _ = w.Write(line)
}
