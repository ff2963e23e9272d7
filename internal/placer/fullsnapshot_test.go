package placer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
	"olivetiller/io/peer"
)

// TestFullSnapshotsAreShared checks that nodes which ask for the full state in a short time share the same encoded
// parts, and receive later changes with their next question.
func TestFullSnapshotsAreShared(t *testing.T) {
	var b publication
	b.init()
	now := time.Unix(1000, 0)
	record := func(id string, version uint64) directory.Record {
		return directory.Record{ID: id, Version: version, Instance: instance(id)}
	}
	b.begin("a-1", 5, 1, []directory.Record{record("e", 3)}, 9)
	b.instancesRead(now)
	b.configRead(now)
	first, _, _ := b.snapshot(peer.Question{Node: "n"}, now)
	b.publishInstances([]directory.Record{record("e", 3), record("f", 10)}, 11)
	now = now.Add(fullSnapshotTTL)
	b.instancesRead(now)
	b.configRead(now)
	second, _, _ := b.snapshot(peer.Question{Node: "m"}, now)
	if first.Shared != second.Shared {
		t.Error("two nodes got parts that were encoded apart")
	}
	type told struct {
		Instances []directory.Record
		ListedTo  uint64
		AgeMs     int64
	}
	tell := func(s *peer.Snapshot) told { return told{s.Instances, s.ListedTo, s.AgeMs} }
	next, _, _ := b.snapshot(peer.Question{Node: "m", Life: "a-1", Version: second.Version}, now)
	later, _, _ := b.snapshot(peer.Question{Node: "o"}, now.Add(time.Millisecond))
	got := []told{tell(second), tell(next), {ListedTo: later.ListedTo}}
	want := []told{{[]directory.Record{record("e", 3)}, 9, fullSnapshotTTL.Milliseconds()}, {[]directory.Record{record("f", 10)}, 11, 0}, {ListedTo: 11}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("everything as of before, the change, everything anew (-want +got):\n%s", diff)
	}
}
