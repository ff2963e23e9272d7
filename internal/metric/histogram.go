// Package metric holds the histogram that the metrics of the product share. It
// is an expvar.Var over an HDR histogram: bounded memory, known precision.
package metric

import (
	"encoding/json"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a histogram: an hour in milliseconds, to two significant figures.
const (
	maxMs   = 3600 * 1000
	figures = 2
)

// Histogram is a histogram of milliseconds that is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, maxMs, figures)}
}

// Record notes a number of milliseconds.
func (h *Histogram) Record(ms int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is within the bounds, so recording cannot fail.
	_ = h.h.RecordValue(min(max(ms, 0), maxMs))
}

// Summary is what a histogram shows.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Ms"`
	P95   int64 `json:"p95Ms"`
	P99   int64 `json:"p99Ms"`
	Max   int64 `json:"maxMs"`
}

// Summary returns the percentiles.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Count: h.h.TotalCount(), P50: h.h.ValueAtQuantile(50), P95: h.h.ValueAtQuantile(95),
		P99: h.h.ValueAtQuantile(99), Max: h.h.Max(),
	}
}

// Good returns how many values are at most bound milliseconds, and how many
// there are in all.
func (h *Histogram) Good(bound int64) (good, total int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.h.Distribution() {
		if b.To <= bound {
			good += b.Count
		}
	}
	return good, h.h.TotalCount()
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	data, err := json.Marshal(h.Summary())
	if err != nil {
		return "{}"
	}
	return string(data)
}
