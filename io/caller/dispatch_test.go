package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/queue"
	"olivetiller/core/view"
	"olivetiller/internal/isolation"
	"olivetiller/internal/traffic"
)

// TestBegunWriteIsCompleted guards against requests that are aborted while a long body is written, because the endpoint does
// not read for a moment: the time that a request states has arrived with its first bytes.
func TestBegunWriteIsCompleted(t *testing.T) {
	const left = 10 * time.Second
	tests := []struct {
		name string
		// pauses are the times before each write, and want the results of the checks of each.
		pauses []time.Duration
		want   []error
	}{
		{"at once", []time.Duration{0, 0}, []error{nil, nil}},
		{"the endpoint does not read for a second", []time.Duration{0, time.Second, time.Second}, []error{nil, nil, nil}},
		{"suspended before the first bytes", []time.Duration{time.Second}, []error{errStaleTimeout}},
		{"suspended until the deadline", []time.Duration{0, left + 1}, []error{nil, errDeadlinePassed}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testServer(true)
			clock := clockwork.NewFakeClock()
			s.Clock = clock
			s.Dispatcher = traffic.New(clock, "h", queue.Limits{Items: 10, Bytes: 1000}, traffic.Hooks{})
			s.Dispatcher.Update(&view.View{Endpoints: map[string][]view.Endpoint{"p": {{Name: "e1", Concurrency: 9}}}}, nil)
			s.Isolation = isolation.New(isolation.Options{Clock: clock, Logger: s.Logger, Refuses: s.Endpoints.Refuses})
			x := &Exchange{W: httptest.NewRecorder(), R: httptest.NewRequest(http.MethodPost, "/", nil), Deadline: clock.Now().Add(left), Target: Target{Pool: "p"}}
			slot, err := s.Dispatcher.Acquire(t.Context(), "p", traffic.SlotRequest{Deadline: x.Deadline, Cost: 1})
			if err != nil {
				t.Fatal(err)
			}
			r := s.endpointRequest(x, slot, "", false)
			var got []error
			for _, d := range tt.pauses {
				clock.Advance(d)
				got = append(got, r.Check())
			}
			if diff := cmp.Diff(tt.want, got, cmpopts.EquateErrors()); diff != "" {
				t.Errorf("results of the checks (-want +got):\n%s", diff)
			}
		})
	}
}
