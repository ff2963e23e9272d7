package caller

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestLateTimerOpensNoStandby guards against a node that stood still, takes all its endpoints for silent and opens a second
// attempt for each request.
func TestLateTimerOpensNoStandby(t *testing.T) {
	clock := clockwork.NewFakeClock()
	// Without a dispatcher, a standby would panic.
	st := &stall{s: &Server{Clock: clock}, x: &Exchange{}}
	st.timer = clock.AfterFunc(time.Hour, func() {})
	st.due = clock.Now()
	clock.Advance(maxTimerDelay + time.Millisecond)
	st.openStandby(t.Context())
	if want := clock.Now().Add(minStallTimeout); !st.due.Equal(want) {
		t.Errorf("the timer ends at %v, want %v", st.due, want)
	}
}

// TestReplacedAttemptForwardsNothing guards against events that reach the caller twice, from an attempt and from the standby
// that has replaced it.
func TestReplacedAttemptForwardsNothing(t *testing.T) {
	st := &stall{replaced: true}
	if st.claim() {
		t.Error("an attempt that was replaced may forward events")
	}
}
