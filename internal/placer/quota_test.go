package placer

import (
	"testing"
	"time"
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
