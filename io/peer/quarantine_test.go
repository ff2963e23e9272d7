package peer

import (
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/quarantine"
)

// TestSuspects checks that what is told of a request arrives as it was, at a clock that shows another
// time.
func TestSuspects(t *testing.T) {
	mine := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	theirs := mine.Add(17 * time.Hour)
	entries := func(now time.Time) []quarantine.Entry {
		return []quarantine.Entry{{
			Request: quarantine.FingerprintOf("c", quarantine.DigestOf("POST", "h", "/", nil)), Epoch: 2, At: now.Add(-9 * time.Second),
			Blames: []quarantine.Blame{
				{End: quarantine.EndID{Engine: "a", Start: 5}, Ran: 80 * time.Millisecond, Begun: true, At: now.Add(-8 * time.Second)},
				{End: quarantine.EndID{Engine: "b", N: 1}, At: now.Add(-7 * time.Second)},
			},
			Verdict: &quarantine.Verdict{At: now.Add(-6 * time.Second), Trials: 1},
		}, {Request: quarantine.Fingerprint{1}, At: now}}
	}
	if diff := cmp.Diff(entries(theirs), Entries(Suspects(entries(mine), mine), theirs)); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
	h := &fakeHolder{}
	srv := httptest.NewServer(Handler(h))
	defer srv.Close()
	want := &Exchange{Node: "n", Life: "n-1", Since: 3, Of: "m-1", Version: 9, Suspects: Suspects(entries(mine), mine)}
	got, err := NewClient(&net.Dialer{Timeout: time.Second}).Exchange(t.Context(), strings.TrimPrefix(srv.URL, "http://"), want)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]*Exchange{want, want}, []*Exchange{&h.exchange, got}); diff != "" {
		t.Errorf("exchange there and back (-want +got):\n%s", diff)
	}
}

// TestOddSuspects checks that ages and spans that cannot be count as none.
func TestOddSuspects(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	odd := []Suspect{{
		AgeMs:   -5,
		Blames:  []Blame{{RanMs: -1, AgeMs: 1 << 62}},
		Verdict: &Verdict{AgeMs: -1 << 62, Trials: -3},
	}}
	want := []quarantine.Entry{{
		At: now, Blames: []quarantine.Blame{{At: now.Add(-longestSpan)}}, Verdict: &quarantine.Verdict{At: now},
	}}
	if diff := cmp.Diff(want, Entries(odd, now)); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
}
