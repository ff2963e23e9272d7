package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
	"olivetiller/core/origin"
	"olivetiller/core/refusal"
	"olivetiller/core/view"
)

// fakeOrigins knows the stream that request "known" began, and concludes build v1 for the others.
type fakeOrigins struct{}

func (fakeOrigins) Began(origin.Record) func() { return func() {} }

func (fakeOrigins) Find(_ context.Context, k origin.Key, _ string, _ int64) (origin.Origin, error) {
	if k == origin.KeyOf("", "h", "known") {
		return origin.Origin{Service: "s", Build: directory.BuildOf("v2")}, nil
	}
	return origin.Origin{}, refusal.New(refusal.StreamUnknown, "")
}

func (fakeOrigins) Conclude(_ context.Context, service string, _ int64) (origin.Origin, error) {
	return origin.Origin{Service: service, Build: directory.BuildOf("v1")}, nil
}

// TestResolveOrigin checks where a stream goes on that a caller takes up.
func TestResolveOrigin(t *testing.T) {
	stream := Target{Host: "h", Service: "s", Resumable: true}
	change := func(f func(*Target)) Target {
		t := stream
		f(&t)
		return t
	}
	type result struct {
		Build string
		Kind  refusal.Kind
	}
	tests := []struct {
		name    string
		resumes Resumption
		target  Target
		want    result
	}{
		{"a new stream", Resumption{}, stream, result{}},
		{"not resumable", Resumption{"known", "3"}, change(func(t *Target) { t.Resumable = false }), result{}},
		{"known", Resumption{"known", "3"}, stream, result{Build: "v2"}},
		{"known, without a position", Resumption{"known", ""}, stream, result{Build: "v2"}},
		{"not known", Resumption{"x", "3"}, stream, result{Kind: refusal.StreamUnknown}},
		{"at another service of its route", Resumption{"known", "3"}, change(func(t *Target) { t.Service = "t" }), result{Build: "v2"}},
		{"at a service to which its route does not lead", Resumption{"known", "3"}, change(func(t *Target) { t.Service = "other" }), result{Kind: refusal.BuildGone}},
		{"without an id", Resumption{"", "3"}, stream, result{Build: "v1"}},
		{"without an id, on a route to several services", Resumption{"", "3"}, change(func(t *Target) { t.Split = true }), result{Kind: refusal.StreamUnknown}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := &Exchange{R: &http.Request{}, ID: "id", Resumes: tt.resumes, Target: tt.target}
			x.Retarget = func(string) bool { return x.Target.Service != "other" }
			var got result
			if err := (&Server{Origins: fakeOrigins{}}).resolveOrigin(t.Context(), x); err != nil {
				got.Kind = refusal.As(err).Kind
			}
			if x.origin != nil {
				got.Build = x.origin.Build.String()
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("origin (-want +got):\n%s", diff)
			}
		})
	}
}

// silentProcesses confirms nothing until answers calls of Confirm have failed with err, each after delay.
type silentProcesses struct {
	err    error
	delay  time.Duration
	fails  int
	called int
}

func (p *silentProcesses) Confirm(ctx context.Context, _ string, _ view.Endpoint, _ time.Time) error {
	p.called++
	if p.called > p.fails {
		return nil
	}
	select {
	case <-time.After(p.delay):
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestBegunStreamAwaitsConfirmation guards against begun streams that are cut because the endpoint at which they go on is
// silent for a moment when it is asked whether it is still the process that was chosen.
func TestBegunStreamAwaitsConfirmation(t *testing.T) {
	silent := fmt.Errorf("no answer: %w", context.DeadlineExceeded)
	tests := []struct {
		name      string
		began     bool
		processes silentProcesses
		// left is when the caller leaves.
		left time.Duration
		// confirmed is whether the events may be forwarded, and called how often the endpoint is asked.
		confirmed bool
		called    int
	}{
		{"confirmed at once", true, silentProcesses{}, time.Minute, true, 1},
		{"silent for a second", true, silentProcesses{err: silent, delay: 500 * time.Millisecond, fails: 2}, time.Minute, true, 3},
		{"silent for long", true, silentProcesses{err: silent, delay: 500 * time.Millisecond, fails: 99}, time.Minute, false, 4},
		{"silent, the caller leaves", true, silentProcesses{err: silent, delay: 500 * time.Millisecond, fails: 2}, 700 * time.Millisecond, false, 2},
		{"silent, nothing begun", false, silentProcesses{err: silent, delay: 500 * time.Millisecond, fails: 2}, time.Minute, false, 1},
		{"another process", true, silentProcesses{err: errors.New("started again"), fails: 1}, time.Minute, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := testServer(true)
				s.Processes = &tt.processes
				ctx, cancel := context.WithTimeout(t.Context(), tt.left)
				defer cancel()
				x := &Exchange{Target: Target{Resumable: true}}
				err := s.confirmProcess(ctx, x, tt.began, view.Endpoint{}, time.Time{})
				if diff := cmp.Diff([]any{tt.confirmed, tt.called}, []any{err == nil, tt.processes.called}); diff != "" {
					t.Errorf("confirmed and how often asked (-want +got):\n%s%v", diff, err)
				}
			})
		})
	}
}
