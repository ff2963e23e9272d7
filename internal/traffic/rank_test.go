package traffic

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/queue"
	"olivetiller/core/refusal"
	"olivetiller/core/view"
)

// rankedRequest returns a request of a rank with an objective of a second.
func rankedRequest(clock clockwork.Clock, caller string, rank int) SlotRequest {
	return SlotRequest{Caller: caller, Ranked: true, Rank: rank, Deadline: clock.Now().Add(10 * time.Second), Objective: time.Second}
}

// await waits until n requests are queued.
func await(t *testing.T, clock *clockwork.FakeClock, n int) {
	t.Helper()
	if err := clock.BlockUntilContext(t.Context(), n); err != nil {
		t.Fatal(err)
	}
}

// queueAll queues requests of the ranks one after the other, in pools "a" and "b" by turns if shared is set, and returns
// a function that waits for the next to get a slot and returns its rank.
func queueAll(t *testing.T, d *Dispatcher, clock *clockwork.FakeClock, shared bool, ranks ...int) (next func() int) {
	type granted struct {
		rank int
		slot *Slot
	}
	slots := make(chan granted, len(ranks))
	for i, rank := range ranks {
		pool := "a"
		if shared && i%2 == 1 {
			pool = "b"
		}
		req := rankedRequest(clock, "", rank)
		go func() {
			if s, err := d.Acquire(context.Background(), pool, req); err == nil {
				slots <- granted{rank, s}
			}
		}()
		await(t, clock, i+1)
		clock.Advance(time.Millisecond)
	}
	return func() int {
		g := <-slots
		g.slot.Release(Result{Running: -1})
		return g.rank
	}
}

// TestRankDecidesWhoIsFirst checks the order in which one endpoint serves queued requests of one pool and of two pools
// that share it.
func TestRankDecidesWhoIsFirst(t *testing.T) {
	tests := []struct {
		name   string
		shared bool
		waited time.Duration
		ranks  []int
		want   []int
	}{
		{"one pool", false, 0, []int{2, 1, 0, 0, 0, 0}, []int{0, 0, 0, 0, 1, 2}},
		{"two pools", true, 0, []int{2, 1, 0, 0, 0, 0}, []int{0, 0, 0, 0, 1, 2}},
		{"one pool, overdue", false, 600 * time.Millisecond, []int{2, 0, 0, 0, 0, 1}, []int{2, 0, 0, 0, 0, 1}},
		{"two pools, overdue", true, 600 * time.Millisecond, []int{2, 0, 2, 0, 2, 0}, []int{2, 0, 0, 0, 2, 2}},
		{"two pools, overdue beside urgent in one", true, 600 * time.Millisecond, []int{0, 1, 0, 1, 0, 1, 1, 1, 0}, []int{0, 1, 0, 0, 1, 0, 1, 1, 1}},
		{"equal ranks", true, 600 * time.Millisecond, []int{1, 1, 1, 1}, []int{1, 1, 1, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			d := newDispatcher(clock)
			next := queueAll(t, d, clock, tt.shared, tt.ranks...)
			clock.Advance(tt.waited)
			e := view.Endpoint{Name: "e", Concurrency: 1}
			pools := map[string][]view.Endpoint{"a": {e}}
			if tt.shared {
				pools["b"] = pools["a"]
			}
			// Holds the endpoint until both pools know it.
			d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"other": {e}}}, nil)
			holder, err := d.Acquire(t.Context(), "other", SlotRequest{Deadline: clock.Now().Add(time.Minute)})
			if err != nil {
				t.Fatal(err)
			}
			pools["other"] = pools["a"]
			d.Update(&view.View{Endpoints: pools}, nil)
			holder.Release(Result{Running: -1})
			var got []int
			for range tt.ranks {
				got = append(got, next())
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("ranks in the order of service (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFullQueueMakesWay checks that a more urgent request takes the place of the youngest of the least urgent ones in a
// full queue, whose caller is told that it has not run and when to come back, and that no other request does.
func TestFullQueueMakesWay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := New(clock, "h", queue.Limits{Items: 2, Bytes: 1000}, Hooks{QueueStarted: func() {}})
	older := acquire(d, "a", rankedRequest(clock, "", 1))
	await(t, clock, 1)
	younger := acquire(d, "a", rankedRequest(clock, "", 1))
	await(t, clock, 2)
	if got := summaryOf(<-acquire(d, "a", rankedRequest(clock, "", 1))); got.Kind != refusal.QueueFull {
		t.Errorf("a request of the same rank: %v, want %q", got, refusal.QueueFull)
	}
	urgent := acquire(d, "a", rankedRequest(clock, "", 0))
	err := <-younger
	// A place is free after a second, the assumed time to serve a request, and retryMargin.
	if diff := cmp.Diff(refusalSummary{refusal.QueueFull, defaultServe + retryMargin}, summaryOf(err)); diff != "" || !refusal.As(err).NotRun() {
		t.Errorf("the youngest request (-want +got):\n%s", diff)
	}
	await(t, clock, 2)
	d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"a": {{Name: "e", Concurrency: 2}}}}, nil)
	for name, done := range map[string]<-chan error{"older": older, "urgent": urgent} {
		if err := <-done; err != nil {
			t.Errorf("%s request: %v", name, err)
		}
	}
	if got := d.Totals().Displaced; got != 1 {
		t.Errorf("%d requests displaced, want 1", got)
	}
}

// TestAdmissionCountsWhoGoesFirst checks that a request is not refused for a backlog of less urgent requests, or of a
// customer that has sent many, which it passes.
func TestAdmissionCountsWhoGoesFirst(t *testing.T) {
	tests := []struct {
		name string
		req  func(clockwork.Clock) SlotRequest
		want refusal.Kind
	}{
		{"the same customer", func(c clockwork.Clock) SlotRequest { return rankedRequest(c, "hot", 1) }, refusal.CannotMakeDeadline},
		{"less urgent", func(c clockwork.Clock) SlotRequest { return rankedRequest(c, "x", 2) }, refusal.CannotMakeDeadline},
		{"another customer", func(c clockwork.Clock) SlotRequest { return rankedRequest(c, "x", 1) }, ""},
		{"more urgent", func(c clockwork.Clock) SlotRequest { return rankedRequest(c, "hot", 0) }, ""},
		{"without ranks", func(c clockwork.Clock) SlotRequest {
			req := rankedRequest(c, "x", 0)
			req.Ranked = false
			return req
		}, refusal.CannotMakeDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			d := newDispatcher(clock)
			d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"a": {{Name: "e", Concurrency: 1}}}}, nil)
			// Answers that take 3 s each: five of them are more than the 10 s that requests have.
			for i := range 4 {
				s, err := d.Acquire(t.Context(), "a", rankedRequest(clock, fmt.Sprint(i), 1))
				if err != nil {
					t.Fatal(err)
				}
				if i < 3 {
					clock.Advance(3 * time.Second)
					s.Release(Result{Running: -1})
				}
			}
			for i := range 5 {
				acquire(d, "a", SlotRequest{Caller: "hot", Ranked: true, Rank: 1, Deadline: clock.Now().Add(time.Minute), Objective: time.Second})
				await(t, clock, i+1)
			}
			done := acquire(d, "a", tt.req(clock))
			if tt.want == "" {
				await(t, clock, 6)
				return
			}
			if got := summaryOf(<-done).Kind; got != tt.want {
				t.Errorf("refusal %q, want %q", got, tt.want)
			}
		})
	}
}
