package placer

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/lease"
	"olivetiller/core/queue"
	"olivetiller/core/quota"
	"olivetiller/core/retry"
	"olivetiller/internal/traffic"
	"olivetiller/io/peer"
)

// TestRetryDelayIsRoundedUp guards against a caller that retries a fraction of a millisecond before its limit permits
// the request and is refused again, because the delay was rounded down to milliseconds.
func TestRetryDelayIsRoundedUp(t *testing.T) {
	for _, tt := range []struct {
		after time.Duration
		want  int64
	}{{0, 0}, {time.Nanosecond, 1}, {time.Millisecond, 1}, {1200 * time.Microsecond, 2}} {
		if got := roundUp(tt.after); got != tt.want {
			t.Errorf("roundUp(%v) = %d ms, want %d", tt.after, got, tt.want)
		}
	}
}

// TestLeaseLetsGranterForget guards against a granter without a valid lease that takes the shares of nodes which it no
// longer hears from, while another granter may spend them.
func TestLeaseLetsGranterForget(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(time.Minute)
	for _, tt := range []struct {
		name  string
		lease time.Time
		want  int
	}{
		{"lease held", now.Add(time.Second), 1},
		{"lease expired", now, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := &quotas{}
			q.init("a-1", quota.Tolerance{})
			q.begin(3, start)
			q.extend(tt.lease)
			if got := q.members(now); got != tt.want {
				t.Errorf("limits are divided over %d nodes, want %d", got, tt.want)
			}
		})
	}
}

// TestHolderGrantsRetries guards against a deployment of many nodes none of which may ever retry, because the reserve
// divided by their number is less than one retry.
func TestHolderGrantsRetries(t *testing.T) {
	const nodes = 300
	clock := clockwork.NewFakeClock()
	c := New(Options{
		Self: lease.Record{Holder: "a", Incarnation: "a-1"}, Clock: clock, Logger: hclog.NewNullLogger(),
		Dispatcher: traffic.New(clock, "h", queue.Limits{Items: 9, Bytes: 999}, traffic.Hooks{}),
		Peers:      peer.NewClient(&net.Dialer{}), Retries: retry.Limits{Share: 0.2, Reserve: 52, Window: 10 * time.Second},
	})
	c.quotas.begin(nodes, clock.Now())
	c.leading.Store(true)
	clock.Advance(10 * time.Second)
	for i := range nodes {
		c.quotas.noteReport(fmt.Sprint(i), false, clock.Now())
	}
	got := make([]int, 2)
	for c.GrantRetry(t.Context(), "s", 1, false) == 0 {
		got[0]++
	}
	// Another node, and a request that cannot be sent again.
	for {
		a, err := c.HandleGrant(&peer.GrantRequest{Node: "1", Retry: "s", Need: 1, Urgent: true})
		if err != nil {
			t.Fatal(err)
		}
		if a.Granted == 0 {
			break
		}
		got[1]++
	}
	// Of the reserve of 52, 26 are pooled, half of them at once; a quarter of that is for urgent ones.
	if diff := cmp.Diff([]int{9, 3}, got); diff != "" {
		t.Errorf("retries granted to one node, and then urgent ones to another (-want +got):\n%s", diff)
	}
}
