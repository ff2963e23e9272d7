package placer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/io/peer"
)

// TestPacesArePassedOn checks that a follower of a feeder has the holder's paces and loads, from a full snapshot and from
// deltas, and that those of an engine that is gone are not sent any more.
func TestPacesArePassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	var holder, feeder publication
	holder.init()
	feeder.init()
	holder.begin("h-1/1", 1, 2, nil, 0)
	holder.instancesRead(now)
	holder.configRead(now)
	paces, loads := make(map[string]float64), make(map[string]int)
	var life string
	var version uint64
	pass := func() *peer.Snapshot {
		s, _, ok := holder.snapshot(peer.WatchRequest{Node: "f", Life: life, Version: version}, now)
		if !ok {
			t.Fatal("the holder publishes nothing")
		}
		life, version = s.Term, s.Version
		for id, p := range s.Paces {
			paces[id] = p
		}
		for id, n := range s.Loads {
			loads[id] = n
		}
		if s.Full {
			feeder.mirrorAll(s, nil, paces, loads, nil, s.DirectoryVersion)
		} else {
			feeder.mirror(s)
		}
		return s
	}
	holder.publishPaces(map[string]float64{"e1": 0.5, "e2": 2}, map[string]int{"e1": 12})
	pass()
	holder.publishPaces(map[string]float64{"e3": 3}, map[string]int{"e1": 20})
	if diff := cmp.Diff(map[string]float64{"e3": 3}, pass().Paces); diff != "" {
		t.Errorf("paces of a delta (-want +got):\n%s", diff)
	}
	if s := pass(); s.Paces != nil || s.Loads != nil {
		t.Errorf("paces %v and loads %v are sent again though nothing has changed", s.Paces, s.Loads)
	}
	leaf, _, _ := feeder.snapshot(peer.WatchRequest{Node: "l"}, now)
	if diff := cmp.Diff(map[string]float64{"e1": 0.5, "e2": 2, "e3": 3}, leaf.Paces); diff != "" {
		t.Errorf("paces at the follower of a feeder (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]int{"e1": 20}, leaf.Loads); diff != "" {
		t.Errorf("loads at the follower of a feeder (-want +got):\n%s", diff)
	}
	holder.mu.Lock()
	holder.removedAt["e2"] = holder.version
	holder.mu.Unlock()
	holder.publishPaces(nil, map[string]int{"e3": 4})
	s, _, _ := holder.snapshot(peer.WatchRequest{Node: "new"}, now)
	if diff := cmp.Diff(map[string]float64{"e1": 0.5, "e3": 3}, s.Paces); diff != "" {
		t.Errorf("paces after the end of e2 (-want +got):\n%s", diff)
	}
}
