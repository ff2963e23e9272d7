package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "olivetiller/internal/fixedseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBudget checks the remaining budget at several times after first attempts and retries.
func TestBudget(t *testing.T) {
	limits := Limits{Share: 0.1, Reserve: 2, Window: 10 * time.Second}
	tests := []struct {
		name          string
		firsts, spent int
		// after is the time between the attempts and the check.
		after time.Duration
		want  float64
	}{
		{"unused", 0, 0, 0, 2},
		{"the whole span's share at once", 50, 0, 0, 7},
		{"spent", 50, 6, 0, 1},
		{"still in the window", 50, 6, 9 * time.Second, 1},
		{"out of the window", 50, 6, 11 * time.Second, 2},
		{"long after", 50, 6, time.Hour, 2},
	}
	for _, test := range tests {
		b := NewBudget(limits)
		for range test.firsts {
			b.AddFirst(start)
		}
		for range test.spent {
			if !b.Spend(start) {
				t.Errorf("%s: a retry was not allowed", test.name)
			}
		}
		if got := b.Left(start.Add(test.after)); got != test.want {
			t.Errorf("%s: %v left, want %v", test.name, got, test.want)
		}
	}
}

// TestBudgetHolds checks that no window contains more retries than the limits allow for the first attempts of
// that window and the one before it.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Share: 0.2, Reserve: 3, Window: time.Second}
		b := NewBudget(limits)
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		now := start
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.AddFirst(now)
				events = append(events, event{now, false})
			} else if b.Spend(now) {
				events = append(events, event{now, true})
			}
		}
		for i, last := range events {
			firsts, retries := 0, 0
			for _, e := range events[:i+1] {
				age := last.at.Sub(e.at)
				if e.retry && age < limits.Window {
					retries++
				}
				if !e.retry && age < 2*limits.Window+limits.Window/countSpans {
					firsts++
				}
			}
			if allowed := limits.Share*float64(firsts) + limits.Reserve; float64(retries) > allowed {
				t.Fatalf("%d retries in a window, %v allowed", retries, allowed)
			}
		}
	})
}

// TestAvailableAt checks that the budget allows a retry at the time that it states and not before.
func TestAvailableAt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		b := NewBudget(Limits{Share: 0.2, Reserve: float64(rapid.IntRange(0, 3).Draw(t, "reserve")), Window: 10 * time.Second})
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.AddFirst(now)
			} else {
				b.Spend(now)
			}
		}
		at, ok := b.AvailableAt(now)
		if !ok {
			at = now.Add(time.Minute)
		}
		for t0 := now; t0.Before(at); t0 = t0.Add(50 * time.Millisecond) {
			if b.Left(t0) >= minBudget {
				t.Fatalf("a retry is allowed after %v, AvailableAt = %v, %t", t0.Sub(now), at.Sub(now), ok)
			}
		}
		if ok && b.Left(at) < minBudget {
			t.Fatalf("%v retries are left at %v, the time stated", b.Left(at), at.Sub(now))
		}
	})
}
