package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkHeld tells what the look-up of a request costs where 10,000 are remembered; there was none
// before. BenchmarkFingerprint tells the same of the hash, of which once-only requests made one
// before and others none.
func BenchmarkHeld(b *testing.B) {
	r := full()
	f := request(77)
	now := at(time.Minute)
	for b.Loop() {
		r.Held(f, now)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 800)
	for b.Loop() {
		FingerprintOf("caller", DigestOf("POST", "host", "/path/of/a/request", body))
	}
}

// full returns a registry that remembers as many requests as it may, a few convicted, each blamed for one
// end of twenty.
func full() *Registry {
	r := NewRegistry(start)
	r.SetEngines(500)
	for i := range mostRecords / 20 {
		ended(r, fmt.Sprint("e", i), time.Duration(i)*time.Second, 80*time.Millisecond, spread(20*i, 20)...)
	}
	return r
}

// memoryBound is what 10,000 requests may take.
const memoryBound = 5 << 19

// TestMemory checks what a full registry takes.
func TestMemory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := full()
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d requests take %d KB", len(r.records), used>>10)
	if used > memoryBound {
		t.Errorf("%d requests take %d bytes, want %d at most", len(r.records), used, memoryBound)
	}
	runtime.KeepAlive(r)
}
