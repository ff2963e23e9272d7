package peer

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/feedtree"
)

// TestAnswerTooLarge guards against an answer that exhausts a node's memory: the client must stop reading at
// maxSnapshotBytes if the process at the address sends without end.
func TestAnswerTooLarge(t *testing.T) {
	part := bytes.Repeat([]byte(" "), 1<<20)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range maxSnapshotBytes>>20 + 1 {
			// A failed write means that the reader has given up.
			_, _ = w.Write(part)
		}
	}))
	defer srv.Close()
	c := NewClient(&net.Dialer{Timeout: time.Second})
	_, err := answered(t, func() (*Snapshot, error) {
		return c.Watch(t.Context(), strings.TrimPrefix(srv.URL, "http://"), WatchRequest{Node: "n", Wait: time.Second})
	})
	if !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want %v", err, ErrTooLarge)
	}
}

// TestWatchRequestRoundTrip checks that the fields that the feed tree needs survive the round trip, and that a request
// of an earlier release, which lacks them, is still parsed.
func TestWatchRequestRoundTrip(t *testing.T) {
	want := WatchRequest{Node: "n", Life: "a-1", Version: 2, Wait: time.Second, Address: "10.0.0.1:7", Hall: "h", Strength: 0.25, Feeder: true, Orphan: true}
	got, err := parseWatchRequest(want.values())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("watch request (-want +got):\n%s", diff)
	}
	v := want.values()
	for _, name := range []string{"address", "hall", "strength", "feeder", "orphan"} {
		v.Del(name)
	}
	got, err = parseWatchRequest(v)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(WatchRequest{Node: "n", Life: "a-1", Version: 2, Wait: time.Second}, got); diff != "" {
		t.Errorf("watch request of an earlier release (-want +got):\n%s", diff)
	}
}

// TestEmptyFeedersAreEncoded checks that an empty list of feeders is distinct on the wire from an unchanged one.
func TestEmptyFeedersAreEncoded(t *testing.T) {
	for _, want := range []*Snapshot{{Term: "a"}, {Term: "a", Feeders: []feedtree.Node{}}, {Term: "a", Feeders: []feedtree.Node{{Name: "n"}}}} {
		raw, _, err := snapshotBody(want, false)
		if err != nil {
			t.Fatal(err)
		}
		var got Snapshot
		if err := decodeAll(raw, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, &got); diff != "" {
			t.Errorf("snapshot (-want +got):\n%s", diff)
		}
	}
}
