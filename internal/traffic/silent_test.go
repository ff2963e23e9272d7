package traffic

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/view"
)

// TestSilentSecondCountsOnce guards against an endpoint that was silent for a second and gets no requests for many more,
// because each request that it held then counted as a failure of its own.
func TestSilentSecondCountsOnce(t *testing.T) {
	failTogether(t, Result{Err: errors.New("silent"), Silent: true, Running: -1}, 100*time.Millisecond)
}

// TestResetStreamsCountOnce guards against an endpoint that gets no requests for many seconds after the connections to it
// were reset once, because each request that ran on one of them then counted as a failure of its own.
func TestResetStreamsCountOnce(t *testing.T) {
	failTogether(t, Result{Err: errors.New("reset"), Running: -1}, time.Millisecond)
}

// failTogether has eight requests that run at an endpoint together fail with a result, each some time after the one before,
// and checks that the endpoint gets a request half a second after the last one.
func failTogether(t *testing.T, failure Result, gap time.Duration) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	d.Update(&view.View{Endpoints: map[string][]view.Endpoint{"p": {{Name: "e", Concurrency: 8}}}}, nil)
	request := SlotRequest{Deadline: clock.Now().Add(time.Hour)}
	var slots []*Slot
	for range 8 {
		s, err := d.Acquire(t.Context(), "p", request)
		if err != nil {
			t.Fatal(err)
		}
		slots = append(slots, s)
	}
	for _, s := range slots {
		clock.Advance(gap)
		s.Release(failure)
	}
	clock.Advance(500 * time.Millisecond)
	select {
	case err := <-acquire(d, "p", request):
		if err != nil {
			t.Error(err)
		}
	case <-time.After(2 * time.Second):
		t.Error("half a second after the last of eight requests that it held, the endpoint gets no request")
	}
}
