// Package logout provides an io.Writer for log lines that never blocks the caller.
//
// Standard output may be slow or blocked, and a burst of log lines must not exhaust the memory. A [Writer] queues a
// bounded number of lines for a goroutine that writes them. Lines that do not fit are dropped and counted; once the
// output accepts lines again, the count is written as a log line of its own. Command olivetiller logs through it.
package logout

import (
	"fmt"
	"io"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
)

// maxLines bounds the queued lines. At about 300 bytes a line, they take about 0.6 MB.
const maxLines = 2048

// Writer is an io.Writer that never blocks. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	// ending is closed once no more lines are accepted.
	ending    chan struct{}
	closeOnce sync.Once
	done      sync.WaitGroup
}

// New returns a writer whose lines go to w until Close is called.
func New(w io.Writer) *Writer {
	o := &Writer{lines: make(chan []byte, maxLines), ending: make(chan struct{})}
	o.done.Go(func() { o.run(w) })
	return o
}

// Write queues a copy of a line. If the queue is full or the writer is closed, it drops the line. It never fails.
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

// Dropped returns the number of dropped lines that have not been reported in the output yet.
func (o *Writer) Dropped() int64 { return o.dropped.Load() }

// Close writes the queued lines and ends the writer. Later lines are dropped.
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
	// If standard output is gone, there is nowhere to report it.
	_, _ = w.Write(line)
}

// IgnoreBrokenPipe lets writes to a standard output or standard error whose reader has gone fail with an error. By default such a
// write ends the process with SIGPIPE.
func IgnoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }
