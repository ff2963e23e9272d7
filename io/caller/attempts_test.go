package caller

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/customer"
	"olivetiller/core/retry"
	"olivetiller/core/view"
	"olivetiller/internal/isolation"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// TestUnsentRetryCostsNoBudget guards against streams that are cut short because the retry budget was spent on attempts
// that reached no endpoint.
func TestUnsentRetryCostsNoBudget(t *testing.T) {
	broke := &endpoint.Error{Outcome: retry.Ran, ConnectionBroken: true, Sends: 1, Cause: errors.New("EOF")}
	refusedAfterSend := &endpoint.Error{Outcome: retry.NotSent, Refused: true, Sends: 1, Cause: errors.New("status 503")}
	noConnection := &endpoint.Error{Outcome: retry.NotSent, ConnectFailed: true, Cause: errors.New("connection refused")}
	tests := []struct {
		name string
		// fails are the results of the attempts that fail; the next one succeeds.
		fails []error
		want  bool
	}{
		{"one retry", []error{broke}, true},
		{"a retry without a connection", []error{broke, noConnection, noConnection}, true},
		{"no connection at first", []error{noConnection, broke}, true},
		{"a retry that an endpoint refused", []error{broke, refusedAfterSend}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testServer(true)
			s.Isolation = isolation.New(isolation.Options{Clock: s.Clock, Logger: s.Logger, Refuses: s.Endpoints.Refuses})
			s.Dispatcher.LimitRetries(retry.Limits{Reserve: 1, Window: time.Minute})
			s.Dispatcher.Update(&view.View{Endpoints: map[string][]view.Endpoint{"p": {
				{Name: "e1", Concurrency: 9}, {Name: "e2", Concurrency: 9}, {Name: "e3", Concurrency: 9}, {Name: "e4", Concurrency: 9},
			}}}, nil)
			now := s.Clock.Now()
			x := &Exchange{
				W: httptest.NewRecorder(), R: httptest.NewRequest(http.MethodPost, "/", nil), Start: now, Deadline: now.Add(time.Minute),
				Target: Target{Pool: "p", Budget: "p", Attempts: 3}, Began: true,
			}
			attempts := 0
			err := s.attempts(t.Context(), x, func(context.Context, *traffic.Slot, traffic.SlotRequest, *isolation.Run) (traffic.Result, error) {
				attempts++
				if attempts > len(tt.fails) {
					return traffic.Result{Running: -1}, nil
				}
				err := tt.fails[attempts-1]
				return failedResult(err), err
			})
			if diff := cmp.Diff(tt.want, err == nil); diff != "" {
				t.Errorf("served (-want +got):\n%s%v after %d attempts", diff, err, attempts)
			}
		})
	}
}

// TestRankedSlotRequest checks that a request has a rank, and its customer as the flow, only where requests have several
// ranks.
func TestRankedSlotRequest(t *testing.T) {
	type result struct {
		Caller string
		Ranked bool
		Rank   int
		Ahead  bool
	}
	tests := []struct {
		name     string
		ranked   bool
		customer *customer.Customer
		want     result
	}{
		{"no ranks", false, &customer.Customer{Name: "c"}, result{}},
		{"ranks", true, &customer.Customer{Name: "c"}, result{"c", true, 2, true}},
		{"ranks without customers", true, nil, result{"", true, 2, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req := newSlotRequest(&Exchange{Customer: tt.customer, Target: Target{Priority: 2, Ranked: tt.ranked}})
			if diff := cmp.Diff(tt.want, result{req.Caller, req.Ranked, req.Rank, req.Ahead != nil}); diff != "" {
				t.Errorf("slot request (-want +got):\n%s", diff)
			}
		})
	}
}
