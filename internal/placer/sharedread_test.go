package placer

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
)

// TestSharedRead checks that each caller gets the result of a read that began after it asked, and that callers share reads.
func TestSharedRead(t *testing.T) {
	var s sharedRead[int64]
	var reads, asked atomic.Int64
	var all sync.WaitGroup
	for range 200 {
		all.Go(func() {
			at := asked.Add(1)
			// A read returns how many callers had asked when it began.
			got := s.Read(context.Background(), func() int64 {
				reads.Add(1)
				return asked.Load()
			})
			if got < at {
				t.Errorf("caller %d got the result of a read that began when %d had asked", at, got)
			}
		})
	}
	all.Wait()
	if n := reads.Load(); n > 200 {
		t.Errorf("%d reads for 200 callers", n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	block := make(chan struct{})
	if got := s.Read(ctx, func() int64 { <-block; return 7 }); got != 0 {
		t.Errorf("a caller that left got %d", got)
	}
	close(block)
}
