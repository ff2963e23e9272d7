package forecast

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// logs holds lines of two nodes, with the prefix of the users' bench and without, and lines that
// must be skipped.
const logs = `noise before the logs
  1.0 a {"@message":"answered","@timestamp":"2026-01-01T00:00:01.000Z","route":"r","pool":"m","cold":true,"attempts":1,"waitedMs":400,"expectedMs":500,"tookMs":600}
  1.1 a {"@message":"refused","@timestamp":"2026-01-01T00:00:00.100Z","route":"r","pool":"m","kind":"cannotMakeDeadline","allowedMs":6000,"patienceMs":2000,"tookMs":5}
  1.2 b {"@message":"refused","@timestamp":"2026-01-01T00:00:00.100Z","route":"r","pool":"m","kind":"cannotMakeDeadline","allowedMs":6000,"patienceMs":300,"tookMs":5}
{"@message":"refused","@timestamp":"2026-01-01T00:00:09.000Z","route":"r","pool":"n","kind":"waitedTooLong","allowedMs":6000,"tookMs":5000}
{"@message":"refused","@timestamp":"2026-01-01T00:00:09.000Z","route":"","pool":"","kind":"unknownService","tookMs":0}
{"@message":"answered","@timestamp":"2026-01-01T00:00:09.000Z","route":"r","pool":"n","tookMs":10}
`

// TestRead checks which refusals count as needless and that lines of other requests are skipped.
func TestRead(t *testing.T) {
	got, err := Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	// The model was ready 0.7 s after both refusals: one caller would still have been waiting.
	want := &Report{Requests: 5, Cold: 1, Errors: []time.Duration{100 * time.Millisecond}, Hopeless: 2, Needless: 1, Fruitless: 1, Wasted: 5 * time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
	var out bytes.Buffer
	if err := got.Write(&out); err != nil || !strings.Contains(out.String(), "20.00 in 100, 5s in all") {
		t.Errorf("table (error %v):\n%s", err, out.String())
	}
}

// TestReadRefuses checks that the error for a malformed line names the line.
func TestReadRefuses(t *testing.T) {
	if _, err := Read(strings.NewReader("x\n{\"answered\" broken")); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("a malformed line gave error %v, want one that names the line", err)
	}
}

// TestQuantile checks the bounds of the quantiles, and that of no forecasts.
func TestQuantile(t *testing.T) {
	r := &Report{}
	if got := r.Quantile(0.5); got != 0 {
		t.Errorf("quantile of no forecasts: %v, want 0", got)
	}
	for i := range 10 {
		r.Errors = append(r.Errors, time.Duration(i))
	}
	for _, tt := range []struct {
		part float64
		want time.Duration
	}{{0, 0}, {0.5, 5}, {0.9, 9}, {1, 9}} {
		if got := r.Quantile(tt.part); got != tt.want {
			t.Errorf("quantile %v: %v, want %v", tt.part, got, tt.want)
		}
	}
}
