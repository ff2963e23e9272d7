package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/refusal"
	"olivetiller/internal/isolation"
	"olivetiller/internal/traffic"
)

// lateServer returns a server that has learned that answers take 100 ms, and whose share of extra attempts allows one.
func lateServer(clock clockwork.Clock, target Target) *Server {
	s := testServer(true)
	s.Clock = clock
	s.Isolation = isolation.New(isolation.Options{Clock: clock, Logger: s.Logger, Refuses: s.Endpoints.Refuses})
	s.Extra = NewExtraAttempts(0.5)
	for range 2 {
		s.Extra.addFirst(clock.Now())
	}
	for range 20 {
		s.Extra.observe(&Exchange{Target: target}, 100*time.Millisecond, clock.Now())
	}
	return s
}

// TestExtraOnlyForRepeatable checks for which requests an extra attempt is prepared.
func TestExtraOnlyForRepeatable(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *Server, x *Exchange, slot *traffic.Slot)
		want   bool
	}{
		{"may be repeated", func(*Server, *Exchange, *traffic.Slot) {}, true},
		{"a stream that has not begun", func(_ *Server, x *Exchange, _ *traffic.Slot) { x.Target.Stream = true }, true},
		{"without an objective", func(_ *Server, x *Exchange, _ *traffic.Slot) { x.Target.Objective = 0 }, true},
		{"once only", func(_ *Server, x *Exchange, _ *traffic.Slot) { x.Target.OnceOnly = true }, false},
		{"a stream that has begun", func(_ *Server, x *Exchange, _ *traffic.Slot) { x.Target.Stream, x.Began = true, true }, false},
		{"a stream that its caller takes up", func(_ *Server, x *Exchange, _ *traffic.Slot) { x.Target.Stream, x.Resumes.Of = true, "r" }, false},
		{"a trial run", func(_ *Server, x *Exchange, _ *traffic.Slot) { x.trial = true }, false},
		{"the attempt is a standby", func(_ *Server, x *Exchange, _ *traffic.Slot) { x.standby = new(standby) }, false},
		{"the last attempt", func(_ *Server, x *Exchange, _ *traffic.Slot) { x.ran = 1 }, false},
		{"one endpoint", func(_ *Server, _ *Exchange, slot *traffic.Slot) { slot.OtherEndpoints = 0 }, false},
		{"of an unknown kind", func(_ *Server, x *Exchange, _ *traffic.Slot) { x.Target.Route = "other" }, false},
		{"the stall timeout is shorter", func(_ *Server, x *Exchange, _ *traffic.Slot) { x.Target.Objective = time.Millisecond }, false},
		{"off", func(s *Server, _ *Exchange, _ *traffic.Slot) { s.Extra = NewExtraAttempts(0) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := &Exchange{Target: Target{Route: "r", Attempts: 2, Objective: time.Second}}
			s := lateServer(clockwork.NewFakeClock(), x.Target)
			slot := &traffic.Slot{OtherEndpoints: 1}
			tt.change(s, x, slot)
			_, st := s.watchStall(t.Context(), x, slot, traffic.SlotRequest{}, "")
			if got := st.timer != nil && st.late.armed; got != tt.want {
				t.Errorf("an extra attempt is prepared: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestExtraDenied checks the reasons against an extra attempt that need no endpoint, and that the stall timeout then applies.
func TestExtraDenied(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *Server, x *Exchange, clock *clockwork.FakeClock)
		want   string
	}{
		{"the share is used up", func(s *Server, _ *Exchange, clock *clockwork.FakeClock) { s.Extra.spend(clock.Now()) }, `{"share": 1}`},
		{"the key was withdrawn", func(_ *Server, x *Exchange, _ *clockwork.FakeClock) {
			x.KeyCheck = func() error { return refusal.New(refusal.Unauthorized, "withdrawn") }
		}, `{"key": 1}`},
		{"the deadline is near", func(_ *Server, x *Exchange, clock *clockwork.FakeClock) {
			x.Deadline = clock.Now().Add(50 * time.Millisecond)
		}, `{"deadline": 1}`},
		{"the node was late itself", func(_ *Server, _ *Exchange, clock *clockwork.FakeClock) { clock.Advance(time.Second) }, `{"delay": 1}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			x := &Exchange{R: httptest.NewRequest(http.MethodGet, "/", nil), Target: Target{Route: "r", Attempts: 2, Objective: 10 * time.Second}, Deadline: clock.Now().Add(time.Minute)}
			s := lateServer(clock, x.Target)
			// A dispatcher must not be reached.
			s.Dispatcher = nil
			st := &stall{s: s, x: x, slot: new(traffic.Slot)}
			st.setTimeouts(&x.Target)
			st.watchLate(clock.Now())
			wait := st.arm()
			st.due, st.timer = clock.Now().Add(wait), clock.AfterFunc(time.Hour, func() {})
			clock.Advance(wait)
			tt.change(s, x, clock)
			st.openStandby(t.Context())
			if diff := cmp.Diff(tt.want, s.Metrics.ExtraDenied.String()); diff != "" {
				t.Errorf("denials (-want +got):\n%s", diff)
			}
			if want := st.late.started.Add(st.first); !st.due.Equal(want) || st.late.armed {
				t.Errorf("the timer ends at %v, want %v", st.due, want)
			}
		})
	}
}

// TestLateAnswersCount guards against a quantile that falls with each extra attempt, because the attempts that it replaced do
// not count as answers.
func TestLateAnswersCount(t *testing.T) {
	clock := clockwork.NewFakeClock()
	x := &Exchange{Target: Target{Route: "r", Attempts: 2, Objective: time.Minute}}
	s := lateServer(clock, x.Target)
	for range 100 {
		_, st := s.watchStall(t.Context(), x, &traffic.Slot{}, traffic.SlotRequest{}, "")
		clock.Advance(st.late.after)
		st.replaced, st.late.lost = true, true
		st.end()
	}
	got, ok := s.Extra.typical(x, clock.Now())
	if !ok || got.Median < 200*time.Millisecond {
		t.Errorf("answers that take at least 200 ms have the median %v", got.Median)
	}
}
