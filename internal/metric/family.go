package metric

import (
	"expvar"
	"sync"
)

// Family is a set of histograms by key, which must be few. Each is created with its first value. It is safe for
// concurrent use, and implements expvar.Var.
type Family struct {
	expvar.Map
	mu sync.Mutex
}

// NewFamily returns an empty family.
func NewFamily() *Family {
	f := &Family{}
	f.Init()
	return f
}

// Record adds a duration in milliseconds to the histogram of a key.
func (f *Family) Record(key string, ms int64) {
	f.histogram(key).Record(ms)
}

func (f *Family) histogram(key string) *Histogram {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.Get(key).(*Histogram)
	if !ok {
		h = NewHistogram()
		f.Set(key, h)
	}
	return h
}
