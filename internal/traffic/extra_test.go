package traffic

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/quarantine"
	"olivetiller/core/queue"
	"olivetiller/core/retry"
	"olivetiller/core/view"
)

// TestSwitchExtra checks what an extra attempt makes way for. The retry budget must not be charged unless it opens.
func TestSwitchExtra(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(d *Dispatcher, second *endpointState)
		state   quarantine.State
		want    retry.Denial
	}{
		{"there is spare room", func(*Dispatcher, *endpointState) {}, quarantine.Clear, ""},
		{"it was found harmless", func(*Dispatcher, *endpointState) {}, quarantine.Released, ""},
		{"suspected", func(*Dispatcher, *endpointState) {}, quarantine.Suspected, retry.DeniedBySuspicion},
		{"quarantined", func(*Dispatcher, *endpointState) {}, quarantine.Quarantined, retry.DeniedBySuspicion},
		{"the endpoint is cold", func(d *Dispatcher, ep *endpointState) { ep.coldUntil = d.clock.Now().Add(time.Second) }, quarantine.Clear, retry.DeniedByRoom},
		{"the endpoint is brittle", func(_ *Dispatcher, ep *endpointState) { ep.brittle = true }, quarantine.Clear, retry.DeniedByRoom},
		{"the endpoint's rate is limited", func(_ *Dispatcher, ep *endpointState) { ep.limit = 100 }, quarantine.Clear, retry.DeniedByRoom},
		{"few of its slots are free", func(_ *Dispatcher, ep *endpointState) { ep.running = 6 }, quarantine.Clear, retry.DeniedByRoom},
		{"other nodes use its slots", func(d *Dispatcher, ep *endpointState) { ep.reported, ep.reportedAt = 7, d.clock.Now() }, quarantine.Clear, retry.DeniedByRoom},
		{"other nodes used its slots long ago", func(d *Dispatcher, ep *endpointState) {
			ep.reported, ep.reportedAt = 7, d.clock.Now().Add(-time.Minute)
		}, quarantine.Clear, ""},
		{"a request waits in the pool", func(d *Dispatcher, _ *endpointState) {
			d.pool(poolKey{name: "p"}).queue.Push(&queue.Item{Deadline: d.clock.Now(), Cost: 1})
		}, quarantine.Clear, retry.DeniedByRoom},
		{"a request of another pool waits for the endpoint", func(d *Dispatcher, ep *endpointState) {
			p := d.pool(poolKey{name: "q"})
			p.queue.Push(&queue.Item{Deadline: d.clock.Now(), Cost: 1})
			ep.pools[p] = true
		}, quarantine.Clear, retry.DeniedByRoom},
		{"only the reserve of the retry budget is left", func(d *Dispatcher, _ *endpointState) { d.LimitRetries(retry.Limits{Reserve: 1}) }, quarantine.Clear, retry.DeniedByRetryBudget},
		{"other nodes keep its slots busy", func(_ *Dispatcher, ep *endpointState) { ep.load = 7 }, quarantine.Clear, retry.DeniedByRoom},
		{"the retry budget is used up", func(d *Dispatcher, _ *endpointState) { d.LimitRetries(retry.Limits{}) }, quarantine.Clear, retry.DeniedByRetryBudget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDispatcher(clockwork.NewFakeClock())
			d.hooks.GrantRetry = func(context.Context, string, float64, bool) time.Duration {
				t.Error("the lease holder was asked for a retry")
				return 0
			}
			d.LimitRetries(retry.Limits{Share: 1, Window: time.Minute})
			d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"p": {{Name: "e", Concurrency: 8}, {Name: "f", Concurrency: 8}}}}, nil)
			req := SlotRequest{Deadline: d.clock.Now().Add(time.Second), Avoid: []string{"f"}}
			first, err := d.Acquire(t.Context(), "p", req)
			if err != nil {
				t.Fatal(err)
			}
			tt.prepare(d, d.endpointStates["f"])
			req.Avoid, req.State = nil, tt.state
			second, denied := d.SwitchExtra(first, req)
			if denied != tt.want || (second == nil) != (denied != "") {
				t.Errorf("SwitchExtra() = %v, %q, want denial %q", second, denied, tt.want)
			}
			if left := d.budgets["p"].Left(d.clock.Now()); denied != "" && denied != retry.DeniedByRetryBudget && left != 1 {
				t.Errorf("%v retries are left, want 1", left)
			}
		})
	}
	t.Run("there is no other endpoint", func(t *testing.T) {
		d := newDispatcher(clockwork.NewFakeClock())
		d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"p": {{Name: "e", Concurrency: 8}}}}, nil)
		req := SlotRequest{Deadline: d.clock.Now().Add(time.Second)}
		first, err := d.Acquire(t.Context(), "p", req)
		if err != nil {
			t.Fatal(err)
		}
		_, denied := d.SwitchExtra(first, req)
		if diff := cmp.Diff(retry.DeniedByRoom, denied); diff != "" {
			t.Errorf("denial (-want +got):\n%s", diff)
		}
	})
}
