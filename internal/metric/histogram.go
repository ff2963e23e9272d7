// Package metric provides the histogram that all metrics of the product use: an expvar.Var over an HDR histogram, which
// has bounded memory and a known precision.
package metric

import (
	"encoding/json"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of a histogram, in milliseconds, and its precision in significant decimal digits. Longer times count as maxMs.
const (
	maxMs             = 3600 * 1000
	significantDigits = 2
)

// Histogram counts durations in milliseconds. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, maxMs, significantDigits)}
}

// Record adds a duration in milliseconds, clamped to the histogram's range.
func (h *Histogram) Record(ms int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for a value out of range, and the value is clamped.
	_ = h.h.RecordValue(min(max(ms, 0), maxMs))
}

// Summary is the JSON form of a histogram: the number of values, and percentiles and the maximum in milliseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Ms"`
	P95   int64 `json:"p95Ms"`
	P99   int64 `json:"p99Ms"`
	Max   int64 `json:"maxMs"`
}

// Summary returns the percentiles of all recorded values.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Count: h.h.TotalCount(), P50: h.h.ValueAtQuantile(50), P95: h.h.ValueAtQuantile(95),
		P99: h.h.ValueAtQuantile(99), Max: h.h.Max(),
	}
}

// CountUpTo returns the number of values of at most bound milliseconds, and the number of all values.
func (h *Histogram) CountUpTo(bound int64) (good, total int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.h.Distribution() {
		if b.To <= bound {
			good += b.Count
		}
	}
	return good, h.h.TotalCount()
}

// String returns the summary as JSON. It implements expvar.Var.
func (h *Histogram) String() string {
	data, err := json.Marshal(h.Summary())
	if err != nil {
		return "{}"
	}
	return string(data)
}
