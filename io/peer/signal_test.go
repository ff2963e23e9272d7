package peer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/signal"
)

// TestSignalsKeepAges checks that times are transferred as ages, whatever the difference of the two nodes' clocks.
func TestSignalsKeepAges(t *testing.T) {
	here, there := time.Unix(1000, 0), time.Unix(5000, 0)
	reports := []signal.Report{
		{Incarnation: signal.Incarnation{Endpoint: "i-1", Start: 7}, Limit: 1.5, At: here.Add(-time.Second), Draining: true, BackoffUntil: here.Add(2 * time.Second)},
		{Incarnation: signal.Incarnation{Endpoint: "i-2"}, At: here.Add(-time.Minute)},
	}
	want := []signal.Report{
		{Incarnation: signal.Incarnation{Endpoint: "i-1", Start: 7}, Limit: 1.5, At: there.Add(-time.Second), Draining: true, BackoffUntil: there.Add(2 * time.Second)},
		{Incarnation: signal.Incarnation{Endpoint: "i-2"}, At: there.Add(-time.Minute), BackoffUntil: there},
	}
	raw, err := json.Marshal(EncodeSignals(reports, here))
	if err != nil {
		t.Fatal(err)
	}
	var received []Signal
	if err := json.Unmarshal(raw, &received); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, DecodeSignals(received, there)); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
}

// FuzzSignals checks that no message of endpoint signals causes a panic, and that every accepted report is valid and
// has plausible times.
func FuzzSignals(f *testing.F) {
	f.Add([]byte(`[{"endpoint":"i-1","born":7,"limit":1.5,"ageMs":20,"leaving":true,"restMs":300}]`))
	f.Add([]byte(`[{"endpoint":"","limit":-1,"ageMs":-9223372036854775808,"restMs":9223372036854775807}]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var received []Signal
		if json.Unmarshal(raw, &received) != nil {
			return
		}
		now := time.Unix(1000, 0)
		b := signal.NewRegistry()
		for _, r := range DecodeSignals(received, now) {
			if r.Check() != nil || r.At.After(now) || r.BackoffUntil.Before(now) {
				t.Errorf("invalid report accepted: %+v", r)
			}
			b.Merge(r, now)
		}
	})
}
