package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/pace"
	"olivetiller/core/placement"
	"olivetiller/internal/traffic"
	"olivetiller/io/peer"
)

// listed returns the record of an endpoint at a version.
func listed(id string, version uint64) directory.Record {
	return directory.Record{ID: id, Version: version, Instance: instance(id)}
}

// TestUnevenIsPassedOn checks that a follower of a feeder has what the holder has published of endpoints, from a full snapshot
// and from deltas, and that nothing is sent of an endpoint that is gone.
func TestUnevenIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	records := []directory.Record{listed("e1", 1), listed("e2", 2), listed("e3", 3)}
	var holder, feeder publication
	holder.init()
	feeder.init()
	holder.begin("h-1/1", 1, 2, records, 3)
	holder.instancesRead(now)
	holder.configRead(now)
	var got uneven
	got.init()
	var life string
	var version uint64
	pass := func() *peer.Snapshot {
		s, _, ok := holder.snapshot(peer.WatchRequest{Node: "f", Life: life, Version: version}, now)
		if !ok {
			t.Fatal("the holder publishes nothing")
		}
		life, version = s.Term, s.Version
		got.merge(traffic.Uneven{Paces: s.Paces, Loads: s.Loads, Lanes: s.Lanes})
		if s.Full {
			feeder.mirrorAll(s, nil, got.Uneven, records, s.DirectoryVersion)
		} else {
			feeder.mirror(s)
		}
		return s
	}
	holder.publishUneven(traffic.Uneven{Paces: map[string]float64{"e1": 0.5, "e2": 2}, Loads: map[string]int{"e1": 12}, Lanes: map[string]bool{"unit/s/m": true}})
	pass()
	holder.publishUneven(traffic.Uneven{Paces: map[string]float64{"e3": 3}, Loads: map[string]int{"e1": 20}, Lanes: map[string]bool{"unit/s/m": false}})
	if diff := cmp.Diff(map[string]float64{"e3": 3}, pass().Paces); diff != "" {
		t.Errorf("paces of a delta (-want +got):\n%s", diff)
	}
	if s := pass(); s.Paces != nil || s.Loads != nil || s.Lanes != nil {
		t.Errorf("paces %v, loads %v and lanes %v are sent again though nothing has changed", s.Paces, s.Loads, s.Lanes)
	}
	at := func(p *publication) traffic.Uneven {
		s, _, _ := p.snapshot(peer.WatchRequest{Node: "l"}, now)
		return traffic.Uneven{Paces: s.Paces, Loads: s.Loads, Lanes: s.Lanes}
	}
	want := traffic.Uneven{Paces: map[string]float64{"e1": 0.5, "e2": 2, "e3": 3}, Loads: map[string]int{"e1": 20}, Lanes: map[string]bool{"unit/s/m": false}}
	if diff := cmp.Diff(want, at(&feeder)); diff != "" {
		t.Errorf("at the follower of a feeder (-want +got):\n%s", diff)
	}
	holder.publishInstances([]directory.Record{records[0], records[2]}, 4)
	holder.publishUneven(traffic.Uneven{Loads: map[string]int{"e3": 4}})
	if _, kept := at(&holder).Paces["e2"]; kept {
		t.Error("the pace of an endpoint that is gone is sent")
	}
}

// TestHolderEstimatesUneven checks the way of the samples of nodes to the paces in force, and that a new holder goes on with
// those that it received.
func TestHolderEstimatesUneven(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newController(clock)
	for i := range 4 {
		c.directory.Apply(listed(fmt.Sprint("e", i), uint64(i+1)), clock.Now())
	}
	report := func(fast time.Duration) {
		for i := range 4 {
			gap := 30 * time.Millisecond
			if i == 0 {
				gap = fast
			}
			for _, model := range []string{"m1", "m2"} {
				var samples []pace.Sample
				for range 8 {
					samples = append(samples, pace.Sample{Endpoint: fmt.Sprint("e", i), Model: placement.Unit{Service: "s", Model: model, Adapter: "a"}.Pool(), Gap: gap})
				}
				nodeReport{&peer.Report{Node: "b", Gaps: peer.EncodeGaps(samples)}}.handle(c)
			}
		}
		clock.Advance(time.Minute / 10)
		c.estimateUneven(clock.Now())
	}
	c.receiveUneven(&peer.Snapshot{Full: true, Paces: map[string]float64{"e1": 0.5, "e9": 3}}, clock.Now())
	if diff := cmp.Diff(map[string]float64{"e1": 0.5}, c.uneven.Paces); diff != "" {
		t.Errorf("paces that were received (-want +got):\n%s", diff)
	}
	report(15 * time.Millisecond)
	if _, known := c.uneven.Paces["e0"]; known {
		t.Error("a node that does not hold the lease estimates paces")
	}
	c.held = true
	c.beginTerm(1, clock.Now())
	for range 4 {
		report(15 * time.Millisecond)
	}
	if p := c.uneven.Paces["e0"]; p < 0.4 || p > 0.6 {
		t.Errorf("pace of an endpoint of half the gaps = %v, want about 0.5", p)
	}
	if p, received := c.uneven.Paces["e1"]; received && (p < 0.85 || p > 1.15) {
		t.Errorf("pace of e1 = %v after samples like those of the others, want about 1", p)
	}
	s, _, _ := c.published.snapshot(peer.WatchRequest{Node: "n"}, clock.Now())
	if s.Paces["e0"] != c.uneven.Paces["e0"] {
		t.Errorf("pace %v is published, want %v", s.Paces["e0"], c.uneven.Paces["e0"])
	}
	if p := c.o.Dispatcher.Totals().Paces["e0"]; p != c.uneven.Paces["e0"] {
		t.Errorf("pace %v is in force at this node, want %v", p, c.uneven.Paces["e0"])
	}
}

func TestChangedLanes(t *testing.T) {
	a, b, c := placement.Unit{Service: "s", Model: "a"}, placement.Unit{Service: "s", Model: "b"}, placement.Unit{Service: "s", Model: "c"}
	published := map[string]bool{a.Pool(): true, b.Pool(): true, "unit/s/off": false}
	want := map[string]bool{b.Pool(): false, c.Pool(): true}
	if diff := cmp.Diff(want, changedLanes(published, map[placement.Unit]bool{a: true, c: true})); diff != "" {
		t.Errorf("changed lanes (-want +got):\n%s", diff)
	}
}
