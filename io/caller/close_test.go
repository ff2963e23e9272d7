package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"olivetiller/core/refusal"
	"olivetiller/core/retry"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// TestCloseCause checks the cause of a close, also where several hold.
func TestCloseCause(t *testing.T) {
	failed := refusal.New(refusal.EndpointFailed, "x")
	broke := &endpoint.Error{Outcome: retry.Ran, ConnectionBroken: true, Cause: io.ErrUnexpectedEOF}
	tests := []struct {
		name string
		e    ending
		want CloseCause
	}{
		{"panic", ending{err: &panicError{"x"}, canceled: errStopped}, closePanicked},
		{"shutdown", ending{err: failed, canceled: errStopped, attemptErr: broke}, closeStopped},
		{"unread data", ending{err: failed, canceled: context.Canceled, writeErr: fmt.Errorf("write: %w", os.ErrDeadlineExceeded)}, closeUnread},
		{"reset by the caller", ending{writeErr: errors.New("connection reset by peer")}, closeCallerGone},
		{"caller gone", ending{err: failed, canceled: context.Canceled, attemptErr: broke, late: true}, closeCallerGone},
		{"deadline", ending{err: failed, attemptErr: broke, late: true}, closeDeadline},
		{"timed out", ending{err: refusal.New(refusal.TimedOut, "x"), attemptErr: broke}, closeDeadline},
		{"retry budget", ending{err: failed, attemptErr: broke, slotErr: &traffic.RetryBudgetError{Refusal: refusal.New(refusal.NoEndpoint, "x")}}, closeRetryBudget},
		{"no slot", ending{err: failed, attemptErr: broke, slotErr: refusal.New(refusal.WaitedTooLong, "x")}, closeNoSlot},
		{"no endpoint", ending{err: failed, attemptErr: broke, slotErr: refusal.New(refusal.NoEndpoint, "x")}, closeNoSlot},
		{"no slot while stopping", ending{err: failed, attemptErr: broke, slotErr: refusal.New(refusal.Stopping, "x")}, closeStopped},
		{"build gone", ending{err: failed, attemptErr: broke, slotErr: refusal.New(refusal.BuildGone, "x")}, closeBuildGone},
		{"key withdrawn", ending{err: failed, attemptErr: broke, slotErr: refusal.New(refusal.Unauthorized, "x")}, closeKeyInvalid},
		{"key not known", ending{err: failed, attemptErr: broke, slotErr: refusal.New(refusal.KeysUnknown, "x")}, closeKeyInvalid},
		{"quarantined", ending{err: failed, attemptErr: broke, slotErr: refusal.New(refusal.Quarantined, "x")}, closeQuarantined},
		{"internal error", ending{err: failed, attemptErr: broke, slotErr: errors.New("x")}, closeOther},
		{"endpoint broke off", ending{err: failed, attemptErr: broke}, closeEndpointBroke},
		{"endpoint refused", ending{err: failed, attemptErr: &endpoint.Error{Outcome: retry.NotSent, Refused: true, Cause: errTruncated}}, closeEndpointRefused},
		{"endpoint answered with a failure", ending{err: failed, attemptErr: &endpoint.Error{Outcome: retry.Ran, Answered: true, Cause: errTruncated}}, closeEndpointFailed},
		{"stalled", ending{err: failed, attemptErr: &endpoint.Error{Outcome: retry.Ran, Cause: errStalled}}, closeStalled},
		{"not confirmed", ending{err: failed, attemptErr: &endpoint.Error{Outcome: retry.Ran, Cause: &unconfirmedError{errTruncated}}}, closeUnconfirmed},
		{"no connection", ending{err: failed, attemptErr: &endpoint.Error{Outcome: retry.NotSent, ConnectFailed: true, Cause: errTruncated}}, closeOther},
		{"nothing known", ending{err: failed}, closeOther},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, closeCause(&tt.e)); diff != "" {
				t.Errorf("cause (-want +got):\n%s", diff)
			}
		})
	}
}

// failingWriter is a response writer whose writes fail.
type failingWriter struct {
	*httptest.ResponseRecorder
	err error
}

func (w failingWriter) Write([]byte) (int, error) { return 0, w.err }

// TestCloseIsLogged checks which ends of a request count as a close, and what its log line has.
func TestCloseIsLogged(t *testing.T) {
	broke := &endpoint.Error{Outcome: retry.Ran, ConnectionBroken: true, Cause: io.ErrUnexpectedEOF}
	failed := refusal.New(refusal.EndpointFailed, "x")
	const event = "data: 1\n\n"
	begin := func(x *Exchange) {
		x.Began, x.Progress.Events, x.Progress.Sent, x.Progress.Endpoint = true, 2, 1, "e1"
		x.W.WriteHeader(http.StatusOK)
		_, _ = x.W.Write([]byte(event))
	}
	tests := []struct {
		name string
		// write is the error of each write to the caller, and gone is true if the caller has left.
		write error
		gone  bool
		inner func(x *Exchange) error
		want  []CloseCause
	}{
		{"answered", nil, false, func(x *Exchange) error { begin(x); return nil }, nil},
		{"answered, the caller did not read", os.ErrDeadlineExceeded, false, func(x *Exchange) error { begin(x); return nil }, []CloseCause{closeUnread}},
		{"refused", nil, false, func(*Exchange) error { return failed }, nil},
		{"refused after the caller left", nil, true, func(*Exchange) error { return failed }, []CloseCause{closeCallerGone}},
		{"left before the whole request was sent", nil, true, func(x *Exchange) error { x.incomplete = true; return failed }, nil},
		{"cut", nil, false, func(x *Exchange) error {
			begin(x)
			x.attemptErr, x.tried = broke, []string{"e1"}
			return failed
		}, []CloseCause{closeEndpointBroke}},
		{"cut by the caller", nil, true, func(x *Exchange) error { begin(x); return failed }, []CloseCause{closeCallerGone}},
		{"panic before the answer", nil, false, func(*Exchange) error { panic("x") }, nil},
		{"panic after the answer has begun", nil, false, func(x *Exchange) error { begin(x); panic("x") }, []CloseCause{closePanicked}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testServer(true)
			var log bytes.Buffer
			s.Logger = hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true})
			var w http.ResponseWriter = httptest.NewRecorder()
			if tt.write != nil {
				w = failingWriter{httptest.NewRecorder(), tt.write}
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			x := &Exchange{
				W: &callerWriter{ResponseWriter: w, clock: s.Clock, stopping: s.Stopping}, R: httptest.NewRequest(http.MethodPost, "/", nil), ID: "id", Start: s.Clock.Now().Add(-time.Second),
				Target: Target{Route: "r", Version: 7},
			}
			err := Chain(func(_ context.Context, x *Exchange) error {
				if tt.gone {
					cancel()
				}
				return tt.inner(x)
			}, s.refuse, s.recoverPanic)(ctx, x)
			if err != nil {
				t.Fatal(err)
			}
			type line struct {
				Message string     `json:"@message"`
				ID      string     `json:"requestId"`
				Route   string     `json:"route"`
				Version int64      `json:"version"`
				Cause   CloseCause `json:"cause"`
				Events  int        `json:"events"`
				Bytes   int64      `json:"bytes"`
			}
			var got []CloseCause
			for d := json.NewDecoder(&log); ; {
				var l line
				if err := d.Decode(&l); errors.Is(err, io.EOF) {
					break
				} else if err != nil {
					t.Fatal(err)
				}
				if l.Message != "closed without a complete answer" {
					continue
				}
				got = append(got, l.Cause)
				want := line{Message: l.Message, ID: "id", Route: "r", Version: 7, Cause: l.Cause, Events: x.Progress.Events}
				if x.Began && tt.write == nil {
					want.Bytes = int64(len(event))
				}
				if diff := cmp.Diff(want, l); diff != "" {
					t.Errorf("line (-want +got):\n%s", diff)
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("logged causes (-want +got):\n%s", diff)
			}
			for _, c := range tt.want {
				if v := s.Metrics.Closed.Get(string(c)); v == nil || v.String() != "1" {
					t.Errorf("counter of %s: %v, want 1", c, v)
				}
			}
		})
	}
}

// panickingStarting is a Starting that panics.
type panickingStarting struct{}

func (panickingStarting) AwaitReady() (ready <-chan struct{}, soon bool) { panic("x") }

// TestPanicIsRefused guards against a panic that closes the connection of a request whose answer has not begun.
func TestPanicIsRefused(t *testing.T) {
	s := testServer(false)
	s.Starting = panickingStarting{}
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	resp, err := http.Post(srv.URL+"/v1/completions", "application/json", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var p Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{http.StatusInternalServerError, string(refusal.Internal), false}, []any{resp.StatusCode, p.Title, p.NotRun}); diff != "" {
		t.Errorf("status, kind and not run (-want +got):\n%s", diff)
	}
}

// TestStopClosesConnections guards against callers that keep their connection to a node that stops, because the answers to
// requests that were in progress do not say that the connection closes, and send a request on it as it is closed.
func TestStopClosesConnections(t *testing.T) {
	tests := []struct {
		name  string
		write func(x *Exchange)
	}{
		{"answer", func(x *Exchange) {
			_ = writeAnswer(x, defaultProtocol{}, &answer{status: http.StatusOK, body: []byte("x")})
		}},
		{"refusal", func(x *Exchange) { defaultProtocol{}.Refuse(x, refusal.New(refusal.NoEndpoint, "x")) }},
		{"body without a status", func(x *Exchange) { _, _ = x.W.Write([]byte("x")) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testServer(true)
			stopping := false
			s.Stopping = func() bool { return stopping }
			w := httptest.NewRecorder()
			s.serve(func(_ context.Context, x *Exchange) error {
				stopping = true
				tt.write(x)
				return nil
			})(w, httptest.NewRequest(http.MethodPost, "/", nil))
			if diff := cmp.Diff("close", w.Result().Header.Get("Connection")); diff != "" {
				t.Errorf("Connection (-want +got):\n%s", diff)
			}
		})
	}
}
