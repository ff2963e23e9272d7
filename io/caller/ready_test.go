package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/view"
)

// starting is a node that is ready once the channel is closed.
type starting struct {
	ready chan struct{}
	soon  bool
}

// AwaitReady implements Starting.
func (s starting) AwaitReady() (<-chan struct{}, bool) { return s.ready, s.soon }

// TestStartingNodeHoldsRequests guards against requests that are refused, and with that often lost to their callers,
// because all nodes have just started and none has read the state yet.
func TestStartingNodeHoldsRequests(t *testing.T) {
	type result struct {
		Served bool
		Waited time.Duration
	}
	tests := []struct {
		name    string
		soon    bool
		timeout string
		// readyAfter is when the node is ready; 0 for never.
		readyAfter time.Duration
		want       result
	}{
		{"ready soon", true, "4000", 700 * time.Millisecond, result{true, 700 * time.Millisecond}},
		{"not in time", true, "4000", 0, result{false, maxReadyWait}},
		{"a caller with little time", true, "1000", 0, result{false, 300 * time.Millisecond}},
		{"no time stated", true, "", 0, result{false, maxReadyWait}},
		{"not expected to be ready", false, "4000", 0, result{false, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			s := testServer(false)
			var inForce atomic.Pointer[view.View]
			inForce.Store(&view.View{})
			st := starting{make(chan struct{}), tt.soon}
			s.Clock, s.View, s.Starting = clock, inForce.Load, st
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			if tt.timeout != "" {
				r.Header.Set(HeaderTimeout, tt.timeout)
			}
			var got result
			h := s.ready(func(_ context.Context, x *Exchange) error {
				got.Served = x.View.Ready
				return nil
			})
			start := clock.Now()
			x := &Exchange{W: httptest.NewRecorder(), R: r, Start: start, View: s.View()}
			waiting, ended := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() {
				defer ended()
				done <- h(r.Context(), x)
			}()
			// Returns an error if the request is not held.
			if clock.BlockUntilContext(waiting, 1) == nil {
				if tt.readyAfter > 0 {
					clock.Advance(tt.readyAfter)
					inForce.Store(&view.View{Ready: true})
					close(st.ready)
				} else {
					clock.Advance(tt.want.Waited)
				}
			}
			err := <-done
			got.Waited = clock.Since(start)
			if diff := cmp.Diff(tt.want, got); diff != "" || (err == nil) != got.Served {
				t.Errorf("result (-want +got):\n%s%v", diff, err)
			}
		})
	}
}
