package caller

import (
	"context"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
	"olivetiller/core/origin"
	"olivetiller/core/refusal"
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
