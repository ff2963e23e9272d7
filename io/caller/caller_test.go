package caller

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/catalog"
	"olivetiller/core/queue"
	"olivetiller/core/refusal"
	"olivetiller/core/view"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
	pb "olivetiller/proto/olivetiller/v1"
)

// tokenDigest is the SHA-256 of the token "t".
const tokenDigest = "e3b98a4da31a127d4bde6e43033f66ba274cab0eb7eb1c70ec41402bf6273dd8"

// testServer returns a server with one model without a replica, one banned model and one service.
func testServer(ready bool) *Server {
	v := []*pb.Version{{Name: "v1", WeightBytes: 1}}
	cfg := catalog.New(&pb.Config{
		WeightStores: []*pb.WeightStore{{Name: "s", LoadSlots: 1}},
		Models: []*pb.Model{
			{Name: "m", Versions: v, ServingVersion: "v1", MaxReplicas: 1, WeightStore: "s"},
			{Name: "shut", Versions: v, ServingVersion: "v1", MaxReplicas: 1, WeightStore: "s", Banned: true},
		},
		Services: []*pb.Service{{Name: "ticket", Concurrency: 1, OnceOnly: true}},
		Callers:  []*pb.Caller{{Name: "c", TokenSha256: tokenDigest, Concurrency: 2}},
	})
	clock := clockwork.NewRealClock()
	vw := &view.View{Ready: ready, Catalog: cfg}
	d := traffic.New(clock, "h", queue.Limits{Items: 10, Bytes: 1000}, traffic.Hooks{QueueStarted: func() {}, Draining: func(string) {}})
	return &Server{
		Clock: clock, Logger: hclog.NewNullLogger(), Dispatcher: d, Endpoints: endpoint.NewClient(), Metrics: NewMetrics(),
		Limits:   Limits{BodyBytes: 200, AnswerBytes: 1000, DefaultTimeout: time.Second, MaxTimeout: time.Minute, ReadTimeout: time.Second},
		View:     func() *view.View { return vw },
		Stopping: func() bool { return false },
	}
}

// TestRefusals sends invalid requests and requests that cannot be served, and checks the kind of the refusal, its
// statement that the request has not run, and that it names a remedy.
func TestRefusals(t *testing.T) {
	const chat = "/v1/chat/completions"
	tests := []struct {
		name         string
		notReady     bool
		method, path string
		header       map[string]string
		body         string
		want         refusal.Kind
	}{
		{name: "node not ready", notReady: true, path: chat, want: refusal.NotReady},
		{name: "no token", path: chat, header: map[string]string{"Authorization": ""}, want: refusal.Unauthorized},
		{name: "wrong token", path: chat, header: map[string]string{"Authorization": "Bearer x"}, want: refusal.Unauthorized},
		{name: "deadline is no number", path: chat, header: map[string]string{HeaderTimeout: "soon"}, want: refusal.HeaderInvalid},
		{name: "deadline past", path: chat, header: map[string]string{HeaderTimeout: "-5"}, want: refusal.DeadlinePast},
		{name: "malformed JSON", path: chat, body: `{"model":`, want: refusal.BadRequest},
		{name: "JSON of another shape", path: chat, body: `{"model":7}`, want: refusal.BadRequest},
		{name: "negative length", path: chat, body: `{"model":"m","max_tokens":-1}`, want: refusal.BadRequest},
		{name: "body too long", path: chat, body: `{"model":"` + strings.Repeat("m", 300) + `"}`, want: refusal.BodyTooLarge},
		{name: "unknown model", path: chat, body: `{"model":"none"}`, want: refusal.UnknownModel},
		{name: "banned model", path: chat, body: `{"model":"shut"}`, want: refusal.ModelBanned},
		{name: "no replica in time", path: chat, body: `{"model":"m"}`, header: map[string]string{HeaderTimeout: "30"}, want: refusal.WaitedTooLong},
		{name: "unknown service", path: "/services/none/x", want: refusal.UnknownService},
		{name: "once-only without a key", path: "/services/ticket/x", want: refusal.KeyMissing},
		{name: "once-only with another kind of key", path: "/services/ticket/x", header: map[string]string{HeaderRequestKey: "6ba7b810-9dad-11d1-80b4-00c04fd430c8"}, want: refusal.KeyInvalid},
		{name: "once-only with an old key", path: "/services/ticket/x", header: map[string]string{HeaderRequestKey: "01800000-0000-7000-8000-000000000000"}, want: refusal.KeyExpired},
		{name: "no such route", method: http.MethodDelete, path: chat, want: refusal.BadRequest},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if tc.method == "" {
				tc.method = http.MethodPost
			}
			r := httptest.NewRequestWithContext(context.Background(), tc.method, tc.path, strings.NewReader(tc.body))
			r.Header.Set("Authorization", "Bearer t")
			for k, v := range tc.header {
				r.Header.Set(k, v)
			}
			w := httptest.NewRecorder()
			testServer(!tc.notReady).Handler().ServeHTTP(w, r)
			var p Problem
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
				t.Fatalf("answer %d %q: %v", w.Code, w.Body, err)
			}
			got := []string{p.Title, w.Header().Get(HeaderNotRun)}
			if diff := cmp.Diff([]string{string(tc.want), "true"}, got); diff != "" {
				t.Errorf("kind and not run (-want +got):\n%s", diff)
			}
			if p.Remedy == "" || p.RequestID == "" || p.Status != w.Code {
				t.Errorf("incomplete problem: %+v", p)
			}
		})
	}
}

// TestEveryKindHasARemedy checks that each kind of refusal has an error status and a remedy.
func TestEveryKindHasARemedy(t *testing.T) {
	for _, k := range refusal.Kinds() {
		if e := refusal.New(k, "x"); e.Remedy() == "" || e.Status() < 400 {
			t.Errorf("%s: status %d, remedy %q", k, e.Status(), e.Remedy())
		}
	}
}

// TestCloseWhileStarting closes a server while it starts to serve. Without initOnce, Close read fields that Serve was
// setting, which the race detector reported.
func TestCloseWhileStarting(t *testing.T) {
	for range 20 {
		s := testServer(true)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		if err := <-served; err == nil {
			t.Error("Serve returned nil after Close")
		}
	}
}
