package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
	"olivetiller/core/route"
	"olivetiller/io/peer"
)

// TestWholeSnapshotsShared checks that nodes which ask for everything at once get the same parts, and
// what has changed since with their next question.
func TestWholeSnapshotsShared(t *testing.T) {
	var b board
	b.init()
	now := time.Unix(1000, 0)
	record := func(id string, version uint64) directory.Record {
		return directory.Record{ID: id, Version: version, Instance: instance(id)}
	}
	b.begin("a-1", 5, 1, []directory.Record{record("e", 3)}, 9)
	b.instancesRead(now)
	b.configRead(now)
	first, _, _ := b.snapshot(peer.Question{Node: "n"}, now)
	b.showInstances([]directory.Record{record("e", 3), record("f", 10)}, 11)
	now = now.Add(wholeLife)
	b.instancesRead(now)
	b.configRead(now)
	second, _, _ := b.snapshot(peer.Question{Node: "m"}, now)
	if first.Shared[0] != second.Shared[0] {
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
	want := []told{{[]directory.Record{record("e", 3)}, 9, wholeLife.Milliseconds()}, {[]directory.Record{record("f", 10)}, 11, 0}, {ListedTo: 11}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("everything as of before, the change, everything anew (-want +got):\n%s", diff)
	}
}

// TestNewsShared checks that nodes with the same version get the same part of a long change of the list and
// of a configuration, and that no part outlives the next change.
func TestNewsShared(t *testing.T) {
	var b board
	b.init()
	now := time.Unix(1000, 0)
	b.begin("a-1", 5, 1, nil, 0)
	before := b.version
	var records []directory.Record
	for i := range sharedFrom {
		id := fmt.Sprint("e", i)
		records = append(records, directory.Record{ID: id, Version: uint64(i + 1), Instance: instance(id)})
	}
	ask := func(node string, version uint64) *peer.Snapshot {
		s, _, _ := b.snapshot(peer.Question{Node: node, Life: "a-1", Version: version}, now)
		return s
	}
	b.showInstances(records[:1], 1)
	few := ask("n", before)
	b.showInstances(records, sharedFrom)
	b.showConfig(&route.Config{Version: 3})
	first, second := ask("n", before), ask("m", before)
	type told struct{ Shared, Instances int }
	got := []told{{len(few.Shared), len(few.Instances)}, {len(first.Shared), len(first.Instances)}}
	if diff := cmp.Diff([]told{{0, 1}, {2, sharedFrom}}, got); diff != "" {
		t.Errorf("shared parts and entries (-want +got):\n%s", diff)
	}
	for i := range first.Shared {
		if first.Shared[i] != second.Shared[i] {
			t.Errorf("part %d was encoded apart for two nodes", i)
		}
	}
	b.showInstances(records[1:], sharedFrom+1)
	if got := len(ask("n", before).Instances); got != sharedFrom {
		t.Errorf("%d entries after one went, want the others and the one that is gone", got)
	}
}
