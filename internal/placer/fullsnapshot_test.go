package placer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
	"olivetiller/io/peer"
)

// TestFullSnapshotsAreShared checks that nodes which ask for the full state in a short time share the same encoded
// parts, and receive later changes with their next watch request.
func TestFullSnapshotsAreShared(t *testing.T) {
	var p publication
	p.init()
	now := time.Unix(1000, 0)
	record := func(id string, version uint64) directory.Record {
		return directory.Record{ID: id, Version: version, Instance: instance(id)}
	}
	p.begin("a-1", 5, 1, []directory.Record{record("e", 3)}, 9)
	p.instancesRead(now)
	p.configRead(now)
	first, _, _ := p.snapshot(peer.WatchRequest{Node: "n"}, now)
	p.publishInstances([]directory.Record{record("e", 3), record("f", 10)}, 11)
	now = now.Add(fullSnapshotTTL)
	p.instancesRead(now)
	p.configRead(now)
	second, _, _ := p.snapshot(peer.WatchRequest{Node: "m"}, now)
	if first.Shared != second.Shared {
		t.Error("two nodes received separately encoded parts")
	}
	type fields struct {
		Instances []directory.Record
		ListedTo  uint64
		AgeMs     int64
	}
	fieldsOf := func(s *peer.Snapshot) fields { return fields{s.Instances, s.DirectoryVersion, s.AgeMs} }
	next, _, _ := p.snapshot(peer.WatchRequest{Node: "m", Life: "a-1", Version: second.Version}, now)
	later, _, _ := p.snapshot(peer.WatchRequest{Node: "o"}, now.Add(time.Millisecond))
	got := []fields{fieldsOf(second), fieldsOf(next), {ListedTo: later.DirectoryVersion}}
	want := []fields{{[]directory.Record{record("e", 3)}, 9, fullSnapshotTTL.Milliseconds()}, {[]directory.Record{record("f", 10)}, 11, 0}, {ListedTo: 11}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("cached full snapshot, delta, new full snapshot (-want +got):\n%s", diff)
	}
}
