package logout

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blocked is a writer that takes nothing until it is let go.
type blocked struct {
	free chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.free
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// TestNeverBlocks checks that lines beyond the bound are dropped and told.
func TestNeverBlocks(t *testing.T) {
	b := &blocked{free: make(chan struct{})}
	o := New(b)
	for range maxLines + 100 {
		if n, err := o.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write = %d, %v", n, err)
		}
	}
	if n := o.Dropped(); n < 99 || n > 100 {
		t.Errorf("%d lines dropped, want 99 or 100: one is being written", n)
	}
	close(b.free)
	o.Close()
	if got := b.buf.String(); !strings.Contains(got, "log lines dropped") || strings.Count(got, "line\n") < maxLines {
		t.Errorf("%d lines written, dropped told: %t", strings.Count(got, "line\n"), strings.Contains(got, "log lines dropped"))
	}
}

// TestWriteAfterClose checks that a goroutine that logs while the process ends does
// no harm. Found by the soak, seed 306: "panic: send on closed channel" at the end
// of a planned stop.
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
