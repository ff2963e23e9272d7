package retry

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestExtraBudgetHolds checks the two bounds of ExtraBudget on the sum over several nodes.
func TestExtraBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		nodes := make([]*ExtraBudget, rapid.IntRange(1, 5).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = NewExtraBudget(share)
		}
		type event struct {
			at    time.Time
			extra bool
		}
		var events []event
		now, firsts, extras := start, 0, 0
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			b := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if b.Spend(now) {
					extras++
					events = append(events, event{now, true})
				}
			case 1:
				if b.Spend(now) {
					b.Return(now)
				}
			default:
				b.AddFirst(now)
				firsts++
				events = append(events, event{now, false})
			}
			if float64(extras) > share*float64(firsts)+1e-6 {
				t.Fatalf("%d extra attempts after %d first ones at a share of %v", extras, firsts, share)
			}
		}
		for i, last := range events {
			if !last.extra {
				continue
			}
			firsts, extras := 0, 0
			for _, e := range events[:i+1] {
				age := last.at.Sub(e.at)
				if e.extra && age < extraWindow {
					extras++
				}
				if !e.extra && age < 2*extraWindow+extraWindow/countSpans {
					firsts++
				}
			}
			if allowed := share*float64(firsts) + float64(len(nodes)); float64(extras) > allowed+1e-6 {
				t.Fatalf("%d extra attempts in a window, %v allowed", extras, allowed)
			}
		}
	})
}

// TestExtraBudgetOfFewRequests checks that a node whose requests of one window do not pay for an extra attempt has one in
// time, and that what is earned beyond one expires.
func TestExtraBudgetOfFewRequests(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		// pause is the time between two first attempts, and after that from the last one until the extra attempts.
		firsts       int
		pause, after time.Duration
		want         int
	}{
		{"too few", 0.03, 33, time.Second, 0, 0},
		{"enough within the window", 0.03, 34, time.Second, 0, 1},
		{"enough in many windows", 0.03, 34, 2 * extraWindow, 0, 1},
		{"three", 0.03, 101, time.Millisecond, 0, 3},
		{"three, of which one is kept", 0.03, 101, time.Millisecond, 2 * extraWindow, 1},
		{"off", 0, 1000, time.Millisecond, 0, 0},
		{"one each", 1, 5, time.Millisecond, 0, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, now := NewExtraBudget(tt.share), start
			for range tt.firsts {
				now = now.Add(tt.pause)
				b.AddFirst(now)
			}
			now = now.Add(tt.after)
			got := 0
			for b.Spend(now) {
				got++
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("extra attempts (-want +got):\n%s", diff)
			}
		})
	}
}

func TestExtraAfter(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		typical Typical
		overlap time.Duration
		want    time.Duration
		wantOK  bool
	}{
		{"a heavy tail", Typical{Median: 60 * ms, UpperQuartile: 80 * ms, Late: 300 * ms}, 0, 300 * ms, true},
		{"hardly a tail", Typical{Median: 100 * ms, UpperQuartile: 110 * ms, Late: 120 * ms}, 0, 200 * ms, true},
		{"short", Typical{Median: 2 * ms, UpperQuartile: 3 * ms, Late: 9 * ms}, 0, minExtraWait, true},
		{"begins within the overlap", Typical{Median: 60 * ms, UpperQuartile: 250 * ms, Late: 900 * ms}, 250 * ms, 900 * ms, true},
		{"often begins after the overlap", Typical{Median: 60 * ms, UpperQuartile: 251 * ms, Late: 900 * ms}, 250 * ms, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := tt.typical.ExtraAfter(tt.overlap)
			if got != tt.want || ok != tt.wantOK {
				t.Errorf("ExtraAfter(%v) = %v, %v, want %v, %v", tt.overlap, got, ok, tt.want, tt.wantOK)
			}
		})
	}
}

// TestSlowTail replays requests whose answers usually take about 60 ms, while one in 50 takes eight times as long at the
// endpoint that it was sent to, and compares ways to decide when a second attempt opens. The target is that of the operators:
// the 99th percentile a third lower at 3 % extra attempts or less.
func TestSlowTail(t *testing.T) {
	const share, requests, objective = 0.03, 30000, 300 * time.Millisecond
	kind := Kind{Name: "r"}
	// learned returns a policy that waits for a quantile of the learned times.
	learned := func(q float64) func(a *AnswerTimes, now time.Time) (time.Duration, bool) {
		return func(a *AnswerTimes, now time.Time) (time.Duration, bool) {
			typical, ok := a.Typical(kind, q, now)
			if !ok {
				return 0, false
			}
			return typical.ExtraAfter(0)
		}
	}
	fixed := func(d time.Duration) func(*AnswerTimes, time.Time) (time.Duration, bool) {
		return func(*AnswerTimes, time.Time) (time.Duration, bool) { return d, true }
	}
	tests := []struct {
		name  string
		wait  func(a *AnswerTimes, now time.Time) (time.Duration, bool)
		share float64
		// reaches is true if the way has to reach the target.
		reaches bool
	}{
		{"no second attempt", fixed(time.Hour), share, false},
		{"fixed multiple of the objective, no limit", fixed(objective * 65 / 100), 1, false},
		{"tied, at once", fixed(0), share, false},
		{"median", learned(0.5), share, false},
		{"quantile 0.95", learned(0.95), share, true},
		{"quantile by the share", learned(LateQuantile(share)), share, true},
	}
	var without time.Duration
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			serve := func() time.Duration {
				d := 60 * math.Exp(0.5*rng.NormFloat64())
				if rng.Float64() < 0.02 {
					d *= 8
				}
				return time.Duration(d * float64(time.Millisecond))
			}
			budget, times, now := NewExtraBudget(tt.share), NewAnswerTimes(), start
			took, extras := make([]time.Duration, 0, requests), 0
			for range requests {
				now = now.Add(20 * time.Millisecond)
				budget.AddFirst(now)
				first, second := serve(), serve()
				answered, observed := first, first
				if wait, ok := tt.wait(times, now); ok && wait < first && budget.Spend(now) {
					extras++
					answered = min(first, wait+second)
					observed = answered
				}
				times.Observe(kind, observed, now)
				took = append(took, answered)
			}
			slices.Sort(took)
			percentile := func(p float64) time.Duration { return took[int(p*float64(len(took)-1))].Round(time.Millisecond) }
			p99 := percentile(0.99)
			t.Logf("50th %v, 99th %v, 99.9th %v, %.2f %% extra", percentile(0.5), p99, percentile(0.999), 100*float64(extras)/requests)
			if without == 0 {
				without = p99
			}
			if float64(extras) > tt.share*requests {
				t.Errorf("%d extra attempts are more than the share of %v", extras, tt.share)
			}
			if tt.reaches && p99 > without*2/3 {
				t.Errorf("99th percentile %v, want two thirds of %v or less", p99, without)
			}
		})
	}
}
