package traffic

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/queue"
	"olivetiller/core/refusal"
	"olivetiller/core/retry"
	"olivetiller/core/view"
)

func newDispatcher(clock clockwork.Clock) *Dispatcher {
	return New(clock, "h", queue.Limits{Items: 10, Bytes: 1000}, Hooks{Waiting: func() {}, Leaving: func(string) {}})
}

// acquire asks for a place on a goroutine of its own.
func acquire(d *Dispatcher, pool string, a Ask) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := d.Acquire(context.Background(), pool, a)
		done <- err
	}()
	return done
}

// kindOf is the kind of a refusal and when to come back.
type kindOf struct {
	Kind  refusal.Kind
	After time.Duration
}

func kind(err error) kindOf {
	var e *refusal.Error
	if !errors.As(err, &e) {
		return kindOf{}
	}
	return kindOf{e.Kind, e.Hint()}
}

// TestStopWaiting checks that a request that waits for a cold model when the
// process is about to end is told that it has not run, instead of being cut off.
// Found by the own day roll_term: LOST at 14.708 s, a label-batch request that
// waited through the whole grace of a SIGTERM.
func TestStopWaiting(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	done := acquire(d, "unit/s/m", Ask{Deadline: clock.Now().Add(time.Minute)})
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	d.StopWaiting()
	if diff := cmp.Diff(kindOf{refusal.Stopping, 100 * time.Millisecond}, kind(<-done)); diff != "" {
		t.Errorf("waiting request (-want +got):\n%s", diff)
	}
	late := acquire(d, "unit/s/m", Ask{Deadline: clock.Now().Add(time.Minute)})
	if diff := cmp.Diff(kindOf{refusal.Stopping, 100 * time.Millisecond}, kind(<-late)); diff != "" {
		t.Errorf("request after the stop (-want +got):\n%s", diff)
	}
	if !refusal.As(refusal.New(refusal.Stopping, "")).NotRun() {
		t.Error("the refusal does not promise that the request has not run")
	}
}

// TestHopeless checks which requests are refused before their time is up: those whose
// model is expected when their callers will have left, at once if that is known, else as
// soon as the forecast tells.
func TestHopeless(t *testing.T) {
	const third = 25 * time.Second / 3
	tests := []struct {
		name    string
		readyIn time.Duration
		want    kindOf
	}{
		{"late, but served", 9 * time.Second, kindOf{}},
		{"after the caller has left", 11 * time.Second, kindOf{refusal.CannotMakeDeadline, third}},
		{"after the deadline", 30 * time.Second, kindOf{refusal.CannotMakeDeadline, third}},
		{"not known", 0, kindOf{}},
	}
	for _, tt := range tests {
		for _, known := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, known at arrival %t", tt.name, known), func(t *testing.T) {
				clock := clockwork.NewFakeClock()
				d := newDispatcher(clock)
				forecast := &view.View{ReadyAt: make(map[string]time.Time)}
				if tt.readyIn > 0 {
					forecast.ReadyAt["unit/s/m"] = clock.Now().Add(tt.readyIn)
				}
				if known {
					d.Update(forecast, nil)
				}
				done := acquire(d, "unit/s/m", Ask{Deadline: clock.Now().Add(25 * time.Second), Leaves: clock.Now().Add(10 * time.Second)})
				if !known || tt.want == (kindOf{}) {
					if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
						t.Fatal(err)
					}
				}
				d.Update(forecast, nil)
				if tt.want == (kindOf{}) {
					// It waits on, until an endpoint appears.
					d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"unit/s/m": {{Name: "e", Concurrency: 1}}}}, nil)
				}
				if diff := cmp.Diff(tt.want, kind(<-done)); diff != "" {
					t.Errorf("refusal (-want +got):\n%s", diff)
				}
				if u := d.Usage(); tt.want != (kindOf{}) && (len(u) != 1 || u[0].SentAway != 1) {
					t.Errorf("Usage = %v, want one caller told to come back", u)
				}
			})
		}
	}
}

// TestLeaves checks that a waiting request is refused when its caller would leave:
// found by scpw-router trouble-1, where 13 ballot proofs of 258 waited until their
// callers had left after 10 s, of 25 s allowed.
func TestLeaves(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	done := acquire(d, "unit/s/m", Ask{Deadline: clock.Now().Add(25 * time.Second), Leaves: clock.Now().Add(10 * time.Second)})
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(10 * time.Second)
	if got := kind(<-done).Kind; got != refusal.WaitedTooLong {
		t.Errorf("kind %q, want %q", got, refusal.WaitedTooLong)
	}
}

// TestSharedBudget checks that pools of one service draw on one retry budget.
func TestSharedBudget(t *testing.T) {
	d := newDispatcher(clockwork.NewFakeClock())
	d.LimitRetries(retry.Limits{Reserve: 2})
	d.Update(&view.View{Endpoints: map[string][]view.Endpoint{
		"a": {{Name: "e", Concurrency: 9}}, "b": {{Name: "f", Concurrency: 9}},
	}}, nil)
	var got []refusal.Kind
	for _, pool := range []string{"a", "b", "a"} {
		_, err := d.Acquire(context.Background(), pool, Ask{Deadline: d.clock.Now().Add(time.Second), Retry: true, Budget: "s"})
		got = append(got, kind(err).Kind)
	}
	if diff := cmp.Diff([]refusal.Kind{"", "", refusal.NoEndpoint}, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// TestBudgetFollowsNodes checks that budgets in use shrink when more nodes turn out
// to share the platform's bound. Found by reading: a budget made while the node
// assumed eight kept an eighth of the bound on a site of 69.
func TestBudgetFollowsNodes(t *testing.T) {
	d := newDispatcher(clockwork.NewFakeClock())
	d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"a": {{Name: "e", Concurrency: 9}}}}, nil)
	retryOnce := func() refusal.Kind {
		_, err := d.Acquire(context.Background(), "a", Ask{Deadline: d.clock.Now().Add(time.Second), Retry: true, Budget: "s"})
		return kind(err).Kind
	}
	d.LimitRetries(retry.Limits{Reserve: 6, Window: time.Minute})
	got := []refusal.Kind{retryOnce()}
	// The one that was made counts.
	d.LimitRetries(retry.Limits{Reserve: 2, Window: time.Minute})
	got = append(got, retryOnce(), retryOnce())
	if diff := cmp.Diff([]refusal.Kind{"", "", refusal.NoEndpoint}, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// TestRetryThatWaitedCounts checks that a retry counts from when it is sent, and not at all if it
// never is.
func TestRetryThatWaitedCounts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	d.LimitRetries(retry.Limits{Reserve: 1, Window: 10 * time.Second})
	again := Ask{Deadline: clock.Now().Add(time.Hour), Retry: true, Budget: "s"}
	waits := func(a Ask) <-chan error {
		done := acquire(d, "a", a)
		for d.Totals().Waiting == 0 && len(done) == 0 {
			runtime.Gosched()
		}
		return done
	}
	soon := again
	soon.Deadline = clock.Now().Add(time.Second)
	done := waits(soon)
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(time.Second)
	got := []refusal.Kind{kind(<-done).Kind}
	done = waits(again)
	clock.Advance(8 * time.Second)
	d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"a": {{Name: "e", Concurrency: 9}}}}, nil)
	got = append(got, kind(<-done).Kind)
	clock.Advance(9 * time.Second)
	got = append(got, kind(<-acquire(d, "a", again)).Kind)
	clock.Advance(2 * time.Second)
	got = append(got, kind(<-acquire(d, "a", again)).Kind)
	if diff := cmp.Diff([]refusal.Kind{refusal.WaitedTooLong, "", refusal.NoEndpoint, ""}, got); diff != "" {
		t.Errorf("refusals: never sent, sent after 8 s, 9 s after that, 11 s after it (-want +got):\n%s", diff)
	}
}

// TestSwitch checks when a request is taken by another endpoint, and that the retry
// budget pays only then.
func TestSwitch(t *testing.T) {
	tests := []struct {
		name      string
		endpoints []view.Endpoint
		reserve   float64
		want      string
	}{
		{"another one has room", []view.Endpoint{{Name: "e", Concurrency: 9}, {Name: "f", Concurrency: 9}}, 1, "f"},
		{"there is no other", []view.Endpoint{{Name: "e", Concurrency: 9}}, 1, ""},
		{"the other is full", []view.Endpoint{{Name: "e", Concurrency: 9}, {Name: "f"}}, 1, ""},
		{"the budget is used up", []view.Endpoint{{Name: "e", Concurrency: 9}, {Name: "f", Concurrency: 9}}, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDispatcher(clockwork.NewFakeClock())
			d.LimitRetries(retry.Limits{Reserve: tt.reserve})
			d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"p": tt.endpoints}}, nil)
			ask := Ask{Deadline: d.clock.Now().Add(time.Second)}
			if len(tt.endpoints) > 1 {
				// The first request goes elsewhere than the one to be switched.
				ask.Avoid = []string{"f"}
			}
			first, err := d.Acquire(context.Background(), "p", ask)
			if err != nil {
				t.Fatal(err)
			}
			if len(tt.endpoints) > 1 && tt.endpoints[1].Concurrency == 0 {
				d.gates["f"].running = 1
			}
			ask.Avoid = nil
			got := ""
			if next, ok := d.Switch(first, ask); ok {
				got = next.Endpoint.Name
			}
			if got != tt.want {
				t.Errorf("switched to %q, want %q", got, tt.want)
			}
			if left, want := d.budgets["p"].Left(d.clock.Now()), tt.reserve; got == "" && left != want {
				t.Errorf("%v retries are left, want %v", left, want)
			}
		})
	}
}

// TestForecastKept checks that a request keeps the first forecast of its wait, be it
// known at its arrival or later.
func TestForecastKept(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprintf("known at arrival %t", known), func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			d := newDispatcher(clock)
			at := func(in time.Duration) *view.View {
				return &view.View{ReadyAt: map[string]time.Time{"unit/s/m": clock.Now().Add(in)}}
			}
			first := at(time.Second)
			if known {
				d.Update(first, nil)
			}
			got := make(chan time.Time, 1)
			go func() {
				s, err := d.Acquire(context.Background(), "unit/s/m", Ask{Deadline: clock.Now().Add(time.Minute)})
				if err != nil {
					t.Error(err)
					got <- time.Time{}
					return
				}
				got <- s.Expected
			}()
			if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			d.Update(first, nil)
			d.Update(at(3*time.Second), nil)
			d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"unit/s/m": {{Name: "e", Concurrency: 1}}}}, nil)
			if diff := cmp.Diff(first.ReadyAt["unit/s/m"], <-got); diff != "" {
				t.Errorf("forecast (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRareWorkTold checks that the control side hears at once when the work for a pool
// with few endpoints begins and ends, and not of each request for one with many: else a
// model makes way by reports of a second ago while a request runs.
func TestRareWorkTold(t *testing.T) {
	tests := []struct {
		name      string
		endpoints int
		want      int
	}{
		{"one endpoint", 1, 2},
		{"two endpoints", 2, 2},
		{"many endpoints", 3, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			told := 0
			d := New(clock, "h", queue.Limits{Items: 10, Bytes: 1000}, Hooks{Waiting: func() {}, Rare: func() { told++ }, Leaving: func(string) {}})
			v := &view.View{Endpoints: map[string][]view.Endpoint{}}
			for i := range tt.endpoints {
				v.Endpoints["unit/s/m"] = append(v.Endpoints["unit/s/m"], view.Endpoint{Name: fmt.Sprintf("e%d", i), Incarnation: 1, Concurrency: 8})
			}
			d.Update(v, nil)
			ask := Ask{Deadline: clock.Now().Add(time.Minute)}
			var slots []*Slot
			for range 3 {
				s, err := d.Acquire(t.Context(), "unit/s/m", ask)
				if err != nil {
					t.Fatal(err)
				}
				slots = append(slots, s)
			}
			for _, s := range slots {
				s.Release(Result{Running: -1})
			}
			if told != tt.want {
				t.Errorf("told %d times, want %d", told, tt.want)
			}
		})
	}
}
