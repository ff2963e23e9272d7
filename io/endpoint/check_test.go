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

// TestWithheld checks that a request whose check says no right before its bytes leave is not
// written, on a new connection and on a kept one, and that nothing else is tried for it. A machine that slept
// between the decision and the bytes would send what it may not any more.
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
					t.Errorf("once only %t: %v does not say that it was withheld, and why", once, e)
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

// TestCheckIsAskedLast checks that the check is asked after the connection came about, however long
// that took.
func TestCheckIsAskedLast(t *testing.T) {
	var dialed atomic.Bool
	dial := CheckedDial(func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, b) }()
		dialed.Store(true)
		return a, nil
	})
	ctx, cancel := WithCheck(t.Context(), func() error {
		if !dialed.Load() {
			t.Error("asked before the connection came about")
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
