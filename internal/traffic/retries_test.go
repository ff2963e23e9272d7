package traffic

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/refusal"
	"olivetiller/core/retry"
	"olivetiller/core/view"
)

// TestPoolPaysForRetry guards against requests that fail for good because their node's own part of the retry budget is
// less than one retry, as in a process that has just started or in a deployment of many nodes.
func TestPoolPaysForRetry(t *testing.T) {
	type result struct {
		Kind   refusal.Kind
		Waited time.Duration
		Asked  []string
	}
	tests := []struct {
		name  string
		left  float64
		began bool
		// grants are the answers of the lease holder.
		grants []time.Duration
		want   result
	}{
		{"the node's own budget suffices", 1, false, nil, result{}},
		{"granted", 0, false, []time.Duration{0}, result{Asked: []string{"s 1.00 false"}}},
		{"a part is left", 0.7, true, []time.Duration{0}, result{Asked: []string{"s 0.30 true"}}},
		{"granted in a moment", 0, false, []time.Duration{80 * time.Millisecond, 0}, result{"", 80 * time.Millisecond, []string{"s 1.00 false", "s 1.00 false"}}},
		{"not soon", 0, false, []time.Duration{time.Second}, result{refusal.NoEndpoint, 0, []string{"s 1.00 false"}}},
		{"not soon, the answer has begun", 0, true, []time.Duration{time.Second, 0}, result{"", time.Second, []string{"s 1.00 true", "s 1.00 true"}}},
		{"too late, the answer has begun", 0, true, []time.Duration{time.Minute}, result{refusal.NoEndpoint, 0, []string{"s 1.00 true"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
			d := newDispatcher(clock)
			var got result
			d.hooks.GrantRetry = func(_ context.Context, budget string, need float64, urgent bool) time.Duration {
				after := tt.grants[len(got.Asked)]
				got.Asked = append(got.Asked, fmt.Sprintf("%s %.2f %t", budget, need, urgent))
				return after
			}
			d.LimitRetries(retry.Limits{Reserve: tt.left, Window: time.Hour})
			d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"a": {{Name: "e", Concurrency: 9}}}}, nil)
			start := clock.Now()
			waiting, ended := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() {
				defer ended()
				_, err := d.Acquire(context.Background(), "a", SlotRequest{Deadline: start.Add(30 * time.Second), Retry: true, Began: tt.began, Budget: "s"})
				done <- err
			}()
			// Returns an error if the retry does not wait.
			if clock.BlockUntilContext(waiting, 1) == nil {
				clock.Advance(tt.want.Waited)
			}
			got.Kind = summaryOf(<-done).Kind
			got.Waited = clock.Since(start)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
			if left := d.budgets["s"].Left(clock.Now()); got.Kind == "" && left != 0 || got.Kind != "" && left != tt.left {
				t.Errorf("%v retries are left in the node's budget", left)
			}
		})
	}
}

// TestSwitchAsksPool checks that a stalled request is moved with a retry from the pool, and that a slot which was taken
// while the lease holder was asked is not used twice.
func TestSwitchAsksPool(t *testing.T) {
	for _, taken := range []bool{false, true} {
		t.Run(fmt.Sprintf("taken meanwhile %t", taken), func(t *testing.T) {
			d := newDispatcher(clockwork.NewFakeClock())
			d.LimitRetries(retry.Limits{Window: time.Hour})
			d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"p": {{Name: "e", Concurrency: 1}, {Name: "f", Concurrency: 1}}}}, nil)
			req := SlotRequest{Deadline: d.clock.Now().Add(time.Second)}
			first, err := d.Acquire(t.Context(), "p", req)
			if err != nil {
				t.Fatal(err)
			}
			d.hooks.GrantRetry = func(ctx context.Context, _ string, _ float64, urgent bool) time.Duration {
				if taken {
					if _, err := d.Acquire(ctx, "p", req); err != nil {
						t.Error(err)
					}
				}
				if urgent {
					t.Error("a request that is still in progress counts as urgent")
				}
				return 0
			}
			_, ok := d.Switch(t.Context(), first, req)
			if diff := cmp.Diff(!taken, ok); diff != "" {
				t.Errorf("switched (-want +got):\n%s", diff)
			}
		})
	}
}
