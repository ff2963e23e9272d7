package logout

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter is a writer that blocks until free is closed. It sends to entered when a write begins.
type blockedWriter struct {
	entered, free chan struct{}
	mu            sync.Mutex
	buf           bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	select {
	case b.entered <- struct{}{}:
	default:
	}
	<-b.free
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// TestDropsLinesWhenBlocked checks that lines beyond the limit are dropped and their number is reported.
func TestDropsLinesWhenBlocked(t *testing.T) {
	b := &blockedWriter{entered: make(chan struct{}, 1), free: make(chan struct{})}
	o := New(b)
	for i := range maxLines + 100 {
		if n, err := o.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write = %d, %v", n, err)
		}
		if i == 0 {
			// Lines that are dropped before the blocked write begins are reported in it, and no longer counted.
			<-b.entered
		}
	}
	if n := o.Dropped(); n != 99 {
		t.Errorf("%d lines dropped, want 99", n)
	}
	close(b.free)
	o.Close()
	if got := b.buf.String(); !strings.Contains(got, "log lines dropped") || strings.Count(got, "line\n") < maxLines {
		t.Errorf("%d lines written, drop reported: %t", strings.Count(got, "line\n"), strings.Contains(got, "log lines dropped"))
	}
}

// TestWriteAfterClose guards against a panic ("send on closed channel") when goroutines still log at the end of a
// planned stop.
func TestWriteAfterClose(t *testing.T) {
	var b bytes.Buffer
	o := New(&b)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				_, _ = o.Write([]byte("line\n"))
			}
		})
	}
	o.Close()
	wg.Wait()
	o.Close()
}
