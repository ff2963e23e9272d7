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
	return New(clock, "h", queue.Limits{Items: 10, Bytes: 1000}, Hooks{QueueStarted: func() {}, Draining: func(string) {}})
}

// acquire calls Acquire on another goroutine and returns a channel with its error.
func acquire(d *Dispatcher, pool string, req SlotRequest) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := d.Acquire(context.Background(), pool, req)
		done <- err
	}()
	return done
}

// refusalSummary is the kind of a refusal and its retry hint.
type refusalSummary struct {
	Kind  refusal.Kind
	After time.Duration
}

func summaryOf(err error) refusalSummary {
	var e *refusal.Error
	if !errors.As(err, &e) {
		return refusalSummary{}
	}
	return refusalSummary{e.Kind, e.RetryHint()}
}

// TestStopWaiting guards against a request that waits for a cold model while the process shuts down, and is cut off
// at the end of the grace period. It must be refused at the start of the shutdown, as not run.
func TestStopWaiting(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	done := acquire(d, "unit/s/m", SlotRequest{Deadline: clock.Now().Add(time.Minute)})
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	d.StopWaiting()
	if diff := cmp.Diff(refusalSummary{refusal.Stopping, 100 * time.Millisecond}, summaryOf(<-done)); diff != "" {
		t.Errorf("waiting request (-want +got):\n%s", diff)
	}
	late := acquire(d, "unit/s/m", SlotRequest{Deadline: clock.Now().Add(time.Minute)})
	if diff := cmp.Diff(refusalSummary{refusal.Stopping, 100 * time.Millisecond}, summaryOf(<-late)); diff != "" {
		t.Errorf("request after the stop (-want +got):\n%s", diff)
	}
	if !refusal.As(refusal.New(refusal.Stopping, "")).NotRun() {
		t.Error("the refusal does not promise that the request has not run")
	}
}

// TestUnservableRequestIsRefused checks that a request whose model will be ready only after its caller gives up is
// refused as soon as that is predicted, at its arrival or later, and that other requests wait on.
func TestUnservableRequestIsRefused(t *testing.T) {
	const third = 25 * time.Second / 3
	tests := []struct {
		name    string
		readyIn time.Duration
		want    refusalSummary
	}{
		{"late, but served", 9 * time.Second, refusalSummary{}},
		{"after the caller has left", 11 * time.Second, refusalSummary{refusal.CannotMakeDeadline, third}},
		{"after the deadline", 30 * time.Second, refusalSummary{refusal.CannotMakeDeadline, third}},
		{"not known", 0, refusalSummary{}},
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
				done := acquire(d, "unit/s/m", SlotRequest{Deadline: clock.Now().Add(25 * time.Second), AbandonAt: clock.Now().Add(10 * time.Second)})
				if !known || tt.want == (refusalSummary{}) {
					if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
						t.Fatal(err)
					}
				}
				d.Update(forecast, nil)
				if tt.want == (refusalSummary{}) {
					// The request must wait on until an endpoint appears.
					d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"unit/s/m": {{Name: "e", Concurrency: 1}}}}, nil)
				}
				if diff := cmp.Diff(tt.want, summaryOf(<-done)); diff != "" {
					t.Errorf("refusal (-want +got):\n%s", diff)
				}
				if u := d.Usage(); tt.want != (refusalSummary{}) && (len(u) != 1 || u[0].Deferred != 1) {
					t.Errorf("Usage = %v, want one refusal with a retry hint", u)
				}
			})
		}
	}
}

// TestWaitEndsWhenCallerGivesUp guards against requests that wait until their deadline although their callers give up
// earlier: 13 of 258 requests once waited until their callers had left after 10 s, of 25 s allowed.
func TestWaitEndsWhenCallerGivesUp(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	done := acquire(d, "unit/s/m", SlotRequest{Deadline: clock.Now().Add(25 * time.Second), AbandonAt: clock.Now().Add(10 * time.Second)})
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(10 * time.Second)
	if got := summaryOf(<-done).Kind; got != refusal.WaitedTooLong {
		t.Errorf("kind %q, want %q", got, refusal.WaitedTooLong)
	}
}

// TestSharedBudget checks that pools with the same budget name share one retry budget.
func TestSharedBudget(t *testing.T) {
	d := newDispatcher(clockwork.NewFakeClock())
	d.LimitRetries(retry.Limits{Reserve: 2})
	d.Update(&view.View{Endpoints: map[string][]view.Endpoint{
		"a": {{Name: "e", Concurrency: 9}}, "b": {{Name: "f", Concurrency: 9}},
	}}, nil)
	var got []refusal.Kind
	for _, pool := range []string{"a", "b", "a"} {
		_, err := d.Acquire(context.Background(), pool, SlotRequest{Deadline: d.clock.Now().Add(time.Second), Retry: true, Budget: "s"})
		got = append(got, summaryOf(err).Kind)
	}
	if diff := cmp.Diff([]refusal.Kind{"", "", refusal.NoEndpoint}, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// TestBudgetFollowsNodes checks that existing budgets shrink when more nodes turn out to share the platform-wide
// limit. A budget created while the node assumed 8 nodes otherwise keeps an eighth of the limit at a site of 69.
func TestBudgetFollowsNodes(t *testing.T) {
	d := newDispatcher(clockwork.NewFakeClock())
	d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"a": {{Name: "e", Concurrency: 9}}}}, nil)
	retryOnce := func() refusal.Kind {
		_, err := d.Acquire(context.Background(), "a", SlotRequest{Deadline: d.clock.Now().Add(time.Second), Retry: true, Budget: "s"})
		return summaryOf(err).Kind
	}
	d.LimitRetries(retry.Limits{Reserve: 6, Window: time.Minute})
	got := []refusal.Kind{retryOnce()}
	// The retry already made counts towards the new limit.
	d.LimitRetries(retry.Limits{Reserve: 2, Window: time.Minute})
	got = append(got, retryOnce(), retryOnce())
	if diff := cmp.Diff([]refusal.Kind{"", "", refusal.NoEndpoint}, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// TestRetryThatWaitedCounts checks that a retry counts from the time at which it gets a slot, and not at all if it
// gets none.
func TestRetryThatWaitedCounts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	d.LimitRetries(retry.Limits{Reserve: 1, Window: 10 * time.Second})
	again := SlotRequest{Deadline: clock.Now().Add(time.Hour), Retry: true, Budget: "s"}
	waits := func(req SlotRequest) <-chan error {
		done := acquire(d, "a", req)
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
	got := []refusal.Kind{summaryOf(<-done).Kind}
	done = waits(again)
	clock.Advance(8 * time.Second)
	d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"a": {{Name: "e", Concurrency: 9}}}}, nil)
	got = append(got, summaryOf(<-done).Kind)
	clock.Advance(9 * time.Second)
	got = append(got, summaryOf(<-acquire(d, "a", again)).Kind)
	clock.Advance(2 * time.Second)
	got = append(got, summaryOf(<-acquire(d, "a", again)).Kind)
	if diff := cmp.Diff([]refusal.Kind{refusal.WaitedTooLong, "", refusal.NoEndpoint, ""}, got); diff != "" {
		t.Errorf("refusals of a retry that gets no slot, one that gets a slot after 8 s, and those 9 s and 11 s after that (-want +got):\n%s", diff)
	}
}

// TestSwitch checks when a request gets a slot at another endpoint, and that only then the retry budget is charged.
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
			ask := SlotRequest{Deadline: d.clock.Now().Add(time.Second)}
			if len(tt.endpoints) > 1 {
				// Steer the first attempt away from the endpoint to switch to.
				ask.Avoid = []string{"f"}
			}
			first, err := d.Acquire(context.Background(), "p", ask)
			if err != nil {
				t.Fatal(err)
			}
			if len(tt.endpoints) > 1 && tt.endpoints[1].Concurrency == 0 {
				d.endpointStates["f"].running = 1
			}
			ask.Avoid = nil
			got := ""
			if next, ok := d.Switch(t.Context(), first, ask); ok {
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

// TestForecastKept checks that a request keeps the first prediction of its wait, whether that was known at its
// arrival or came later.
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
				s, err := d.Acquire(context.Background(), "unit/s/m", SlotRequest{Deadline: clock.Now().Add(time.Minute)})
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

// TestScarceWorkIsReported checks that Hooks.ScarcePoolBusy is called when the work of a pool with few endpoints begins
// and ends, but not for one with many. Without it, a model with a running request may be unloaded on the strength of a
// report that is a second old.
func TestScarceWorkIsReported(t *testing.T) {
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
			calls := 0
			d := New(clock, "h", queue.Limits{Items: 10, Bytes: 1000}, Hooks{QueueStarted: func() {}, ScarcePoolBusy: func() { calls++ }, Draining: func(string) {}})
			v := &view.View{Endpoints: map[string][]view.Endpoint{}}
			for i := range tt.endpoints {
				v.Endpoints["unit/s/m"] = append(v.Endpoints["unit/s/m"], view.Endpoint{Name: fmt.Sprintf("e%d", i), Incarnation: 1, Concurrency: 8})
			}
			d.Update(v, nil)
			ask := SlotRequest{Deadline: clock.Now().Add(time.Minute)}
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
			if calls != tt.want {
				t.Errorf("Hooks.ScarcePoolBusy was called %d times, want %d", calls, tt.want)
			}
		})
	}
}

// TestBegunStreamWaitsForBudget guards against a stream that breaks off and is cut short at its caller because the retry
// budget is used up at that moment, although it allows a retry before the caller gives up.
func TestBegunStreamWaitsForBudget(t *testing.T) {
	type result struct {
		Kind   refusal.Kind
		Waited time.Duration
	}
	tests := []struct {
		name     string
		began    bool
		patience time.Duration
		want     result
	}{
		{"the budget allows it in time", true, 3 * time.Second, result{"", 2100 * time.Millisecond}},
		{"not before the caller gives up", true, time.Second, result{refusal.NoEndpoint, 0}},
		{"nothing was sent to the caller", false, 3 * time.Second, result{refusal.NoEndpoint, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
			d := newDispatcher(clock)
			d.LimitRetries(retry.Limits{Reserve: 1, Window: 2 * time.Second})
			d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"a": {{Name: "e", Concurrency: 9}}}}, nil)
			retryOnce := func() (*Slot, error) {
				return d.Acquire(t.Context(), "a", SlotRequest{Deadline: clock.Now().Add(time.Minute), AbandonAt: clock.Now().Add(tt.patience), Retry: true, Began: tt.began, Budget: "s"})
			}
			if _, err := retryOnce(); err != nil {
				t.Fatal(err)
			}
			start, done := clock.Now(), make(chan error, 1)
			waiting, ended := context.WithCancel(t.Context())
			go func() {
				defer ended()
				_, err := retryOnce()
				done <- err
			}()
			// Returns an error if the retry does not wait.
			if clock.BlockUntilContext(waiting, 1) == nil {
				clock.Advance(2100 * time.Millisecond)
			}
			err := <-done
			if diff := cmp.Diff(tt.want, result{summaryOf(err).Kind, clock.Since(start)}); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNodesStartAtDifferentEndpoints guards against nodes that start together and all send their first requests to the
// same few of many equal endpoints, beyond the number of connections that these accept.
func TestNodesStartAtDifferentEndpoints(t *testing.T) {
	const nodes, endpoints, requests = 300, 300, 3
	eps := make([]view.Endpoint, endpoints)
	for i := range eps {
		eps[i] = view.Endpoint{Name: fmt.Sprint("e", i), Concurrency: 6}
	}
	sent := make(map[string]int)
	for i := range nodes {
		clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
		d := newDispatcher(clock)
		d.SetNode(fmt.Sprint("n", i))
		d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"a": eps}}, nil)
		for range requests {
			s, err := d.Acquire(t.Context(), "a", SlotRequest{Deadline: clock.Now().Add(time.Minute)})
			if err != nil {
				t.Fatal(err)
			}
			sent[s.Endpoint.Name]++
			s.Release(Result{Running: -1})
		}
	}
	most := 0
	for _, n := range sent {
		most = max(most, n)
	}
	// Independent choices reach 95 of 100 endpoints.
	if len(sent) < endpoints*9/10 || most > 16 {
		t.Errorf("%d requests reached %d of %d endpoints, one of them %d times", nodes*requests, len(sent), endpoints, most)
	}
}
