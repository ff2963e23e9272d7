package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/retry"
)

// TestWithheld checks that a request whose check fails is not written, on a new as on a reused connection, and is not
// tried on another one. Without the check, a machine that was suspended between the decision and the write would send
// requests that are no longer allowed.
func TestWithheld(t *testing.T) {
	var arrivals atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrivals.Add(1)
	}))
	defer srv.Close()
	errLate := errors.New("too late")
	for _, once := range []bool{false, true} {
		c := NewClient()
		send := func(check Check) *Error {
			resp, err := c.Do(t.Context(), &Request{
				Address: strings.TrimPrefix(srv.URL, "http://"), Method: http.MethodPost, Path: "/", Body: []byte("b"), OnceOnly: once, Header: http.Header{}, Check: check,
			})
			var e *Error
			if err != nil && !errors.As(err, &e) {
				t.Fatal(err)
			}
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			return e
		}
		no := func() error { return errLate }
		yes := func() error { return nil }
		var got []string
		for _, check := range []Check{no, yes, no, nil, no, yes} {
			before := arrivals.Load()
			e := send(check)
			what := "answered"
			if e != nil {
				what = e.Outcome.String()
				if !e.Withheld || !errors.Is(e, errLate) {
					t.Errorf("once only %t: %v is not marked as withheld or lacks the check's error", once, e)
				}
			}
			if arrivals.Load() > before {
				what += ", arrived"
			}
			got = append(got, what)
		}
		none, sent := retry.NotSent.String(), "answered, arrived"
		if diff := cmp.Diff([]string{none, sent, none, sent, none, sent}, got); diff != "" {
			t.Errorf("once only %t (-want +got):\n%s", once, diff)
		}
	}
}

// TestCheckRunsAfterDial checks that the check runs only after the connection was made, however long that takes.
func TestCheckRunsAfterDial(t *testing.T) {
	var dialed atomic.Bool
	dial := CheckedDial(func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, b) }()
		dialed.Store(true)
		return a, nil
	})
	ctx, cancel := WithCheck(t.Context(), func() error {
		if !dialed.Load() {
			t.Error("the check ran before the connection was made")
		}
		return errors.New("no")
	})
	defer cancel()
	tr := &http.Transport{DialContext: dial, ResponseHeaderTimeout: time.Minute}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://h/", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tr.RoundTrip(req); !Withheld(err) && !Withheld(context.Cause(ctx)) {
		t.Errorf("not withheld: %v", err)
	}
}
