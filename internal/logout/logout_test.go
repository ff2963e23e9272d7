package logout

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter is a writer that blocks until free is closed.
type blockedWriter struct {
	free chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.free
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// TestDropsLinesWhenBlocked checks that lines beyond the limit are dropped and their number is reported.
func TestDropsLinesWhenBlocked(t *testing.T) {
	b := &blockedWriter{free: make(chan struct{})}
	o := New(b)
	for range maxLines + 100 {
		if n, err := o.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write = %d, %v", n, err)
		}
	}
	if n := o.Dropped(); n < 99 || n > 100 {
		t.Errorf("%d lines dropped, want 99 or 100, because one may be in the blocked write", n)
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
