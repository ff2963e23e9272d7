package placer

import (
	"testing"
	"time"

	"olivetiller/core/quota"
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
