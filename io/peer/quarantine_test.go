package peer

import (
	"bytes"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/quarantine"
)

// TestSuspectsRoundTrip checks that quarantine entries survive the round trip between two nodes whose clocks differ.
func TestSuspectsRoundTrip(t *testing.T) {
	sender := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	receiver := sender.Add(17 * time.Hour)
	entries := func(now time.Time) []quarantine.Entry {
		return []quarantine.Entry{{
			Request: quarantine.FingerprintOf("c", quarantine.DigestOf("POST", "h", "/", nil)), Epoch: 2, At: now.Add(-9 * time.Second),
			Suspicions: []quarantine.Suspicion{
				{Crash: quarantine.CrashID{Engine: "a", Start: 5}, Elapsed: 80 * time.Millisecond, Begun: true, At: now.Add(-8 * time.Second), Delay: 25 * time.Millisecond},
				{Crash: quarantine.CrashID{Engine: "b", N: 1}, At: now.Add(-7 * time.Second)},
			},
			Disproofs: []quarantine.Disproof{{Crash: quarantine.CrashID{Engine: "c", Start: 7}, At: now.Add(-5 * time.Second)}},
			Verdict:   &quarantine.Verdict{At: now.Add(-6 * time.Second), Trials: 1},
		}, {Request: quarantine.Fingerprint{1}, At: now}}
	}
	if diff := cmp.Diff(entries(receiver), DecodeSuspects(EncodeSuspects(entries(sender), sender), receiver)); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
	h := &fakeHolder{}
	srv := httptest.NewServer(testHandler(h))
	defer srv.Close()
	want := &Exchange{Node: "n", Incarnation: "n-1", Since: 3, ReceiverIncarnation: "m-1", Version: 9, Suspects: EncodeSuspects(entries(sender), sender)}
	c := NewClient(&net.Dialer{Timeout: time.Second})
	got, err := answered(t, func() (*Exchange, error) {
		return c.Exchange(t.Context(), strings.TrimPrefix(srv.URL, "http://"), want)
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]*Exchange{want, want}, []*Exchange{&h.exchange, got}); diff != "" {
		t.Errorf("exchange and its answer (-want +got):\n%s", diff)
	}
}

// TestSuspectsAreClamped checks that negative and overlong ages and durations are clamped.
func TestSuspectsAreClamped(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	invalid := []Suspect{{
		AgeMs:      -5,
		Suspicions: []Suspicion{{RanMs: -1, AgeMs: 1 << 62, DelayMs: -1}},
		Disproofs:  []Disproof{{AgeMs: -3}},
		Verdict:    &Verdict{AgeMs: -1 << 62, Trials: -3},
	}}
	want := []quarantine.Entry{{
		At: now, Suspicions: []quarantine.Suspicion{{At: now.Add(-maxAge)}}, Disproofs: []quarantine.Disproof{{At: now}}, Verdict: &quarantine.Verdict{At: now},
	}}
	if diff := cmp.Diff(want, DecodeSuspects(invalid, now)); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
}

// FuzzExchange searches for messages of other nodes that crash the handler or the registry, or that the registry counts
// as changed when it merges its own entries.
func FuzzExchange(f *testing.F) {
	f.Add([]byte(`{"node":"n","life":"n-1","version":3,"suspects":[{"request":"00112233445566778899aabbccddeeff","epoch":1,"ageMs":5,"blames":[{"engine":"e","start":4,"ranMs":80,"begun":true,"ageMs":9}],"verdict":{"ageMs":1,"trials":2}}]}`))
	f.Add([]byte(`{"suspects":[{"request":"zz"}]}`))
	f.Add([]byte(`{"suspects":[{"blames":[{"engine":"e","n":-1,"ranMs":-5}]},{"epoch":4294967295}]}`))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, raw []byte) {
		w := httptest.NewRecorder()
		h := &fakeHolder{}
		testHandler(h).ServeHTTP(w, httptest.NewRequest("POST", pathExchange, bytes.NewReader(raw)))
		if w.Code != 200 && w.Code != 400 {
			t.Fatalf("status %d, want 200 or 400", w.Code)
		}
		r := quarantine.NewRegistry(now)
		r.Merge(DecodeSuspects(h.exchange.Suspects, now), now)
		r.Evaluate(now.Add(time.Minute))
		entries, _ := r.Since(0, quarantine.AllRecords)
		version := r.Version()
		r.Merge(entries, now.Add(time.Minute))
		if r.Version() != version {
			t.Fatal("merging a registry's own entries changed its version")
		}
	})
}
