package signal

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestMerge checks which reports change what is known at a node that received a limit of 2 at 10 s.
func TestMerge(t *testing.T) {
	incarnation := Incarnation{"i-1", 5}
	tests := []struct {
		name   string
		report Report
		want   float64
	}{
		{"a newer limit", Report{Incarnation: incarnation, Limit: 3, At: at(11 * time.Second)}, 3},
		{"an older limit", Report{Incarnation: incarnation, Limit: 3, At: at(9 * time.Second)}, 2},
		{"its end, surely later", Report{Incarnation: incarnation, At: at(10*time.Second + maxRelayDelay + 1)}, 0},
		{"its end, at about the same time", Report{Incarnation: incarnation, At: at(10*time.Second + maxRelayDelay)}, 2},
		{"the life before", Report{Incarnation: Incarnation{"i-1", 4}, Limit: 3, At: at(11 * time.Second)}, 2},
		{"another endpoint", Report{Incarnation: Incarnation{"i-2", 5}, Limit: 3, At: at(11 * time.Second)}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewRegistry()
			b.Observe(incarnation, Signals{Limit: 2, Ran: true}, at(9*time.Second), at(10*time.Second))
			c := b.Merge(tt.report, at(12*time.Second))
			if got := b.Limit(incarnation); got != tt.want || c.Changed() != (tt.want != 2 || tt.report.Endpoint == "i-2") {
				t.Errorf("limit = %g, want %g; change %+v", got, tt.want, c)
			}
		})
	}
}

// TestSince checks that a node reports each change once, and only the latest state of each endpoint.
func TestSince(t *testing.T) {
	b := NewRegistry()
	one, two := Incarnation{Endpoint: "i-1"}, Incarnation{Endpoint: "i-2"}
	b.Observe(one, Signals{Limit: 2, Ran: true}, at(0), at(1))
	b.Observe(two, Signals{Limit: 3, Ran: true}, at(0), at(2))
	version := b.Version()
	b.Observe(two, Signals{Limit: 3, Ran: true}, at(3), at(4))
	if reports := b.Since(version); len(reports) != 0 {
		t.Errorf("nothing changed, but Since returns %v", reports)
	}
	b.Observe(one, Signals{Ran: true}, at(5), at(6))
	if diff := cmp.Diff([]Report{{Incarnation: one, At: at(6)}}, b.Since(version)); diff != "" {
		t.Errorf("reports since (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]Report{{Incarnation: one, At: at(6)}, {Incarnation: two, Limit: 3, At: at(4)}}, b.Since(0)); diff != "" {
		t.Errorf("all reports (-want +got):\n%s", diff)
	}
}

func TestCheck(t *testing.T) {
	bad := []Report{{}, {Incarnation: Incarnation{"i-1", 0}, Limit: -1, At: start}, {Incarnation: Incarnation{"i-1", 0}, Limit: math.NaN(), At: start}, {Incarnation: Incarnation{"i-1", 0}, Limit: math.Inf(1), At: start}}
	for _, w := range bad {
		if w.Check() == nil {
			t.Errorf("Check accepts %+v", w)
		}
	}
	if good := (Report{Incarnation: Incarnation{"i-1", 0}, Limit: 1, At: start}); good.Check() != nil {
		t.Errorf("Check rejects %+v: %v", good, good.Check())
	}
}

// TestDrainingUntilNextIncarnation guards against an incarnation that is taken for available again after it reported
// that it is draining, because of later answers or reports without that signal.
func TestDrainingUntilNextIncarnation(t *testing.T) {
	one, two := Incarnation{"i-1", 1}, Incarnation{"i-1", 2}
	steps := []struct {
		name string
		do   func(b *Registry)
		// draining holds for both incarnations whether they are draining afterwards.
		draining [2]bool
	}{
		{"an answer", func(b *Registry) { b.Observe(one, Signals{Ran: true}, at(0), at(1)) }, [2]bool{false, false}},
		{"its word", func(b *Registry) { b.Observe(one, Signals{Draining: true, Ran: true}, at(1), at(2)) }, [2]bool{true, false}},
		{"an answer without it", func(b *Registry) { b.Observe(one, Signals{Ran: true}, at(3), at(4)) }, [2]bool{true, false}},
		{"another node's word without it", func(b *Registry) { b.Merge(Report{Incarnation: one, Limit: 2, At: at(5)}, at(6)) }, [2]bool{true, false}},
		{"a long time", func(b *Registry) { b.expire(at(entryTTL)); b.expire(at(2 * entryTTL)) }, [2]bool{true, false}},
		{"the next life", func(b *Registry) { b.Observe(two, Signals{Limit: 1, Ran: true}, at(7), at(8)) }, [2]bool{false, false}},
		{"a late word of the life before", func(b *Registry) { b.Merge(Report{Incarnation: one, At: at(9), Draining: true}, at(10)) }, [2]bool{false, false}},
		{"another node's word", func(b *Registry) { b.Merge(Report{Incarnation: two, At: at(11), Draining: true}, at(12)) }, [2]bool{false, true}},
	}
	b := NewRegistry()
	for _, s := range steps {
		s.do(b)
		if diff := cmp.Diff(s.draining, [2]bool{b.Draining(one), b.Draining(two)}); diff != "" {
			t.Errorf("%s (-want +got):\n%s", s.name, diff)
		}
	}
}
