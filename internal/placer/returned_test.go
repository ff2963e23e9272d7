package placer

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/io/peer"
)

// TestReturnedEndpointIsRelayed guards against an endpoint that a follower never learns of again. The follower had
// read itself that the entry was removed; the lease holder, which had lost the store, held the removal back until the
// entry was written again, and so saw no change to relay.
func TestReturnedEndpointIsRelayed(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(version uint64) directory.Record {
		return directory.Record{ID: "i-0", Version: version, Instance: &directory.Instance{ID: "i-0", Start: 1, Service: "s"}}
	}
	gone := directory.Record{ID: "i-0", Version: 2}
	holder, follower := directory.New(), directory.New()
	var p publication
	p.init()
	holder.Apply(entry(1), now)
	p.begin("h-1", 1, 2, holder.Records(now), 1)
	q := peer.WatchRequest{Node: "n"}
	fetch := func() {
		s, _, _ := p.snapshot(q, now)
		for _, r := range s.Instances {
			r.Relayed = true
			follower.Apply(r, now)
		}
		q.Life, q.Version = s.Term, s.Version
	}
	fetch()
	holder.HoldRemovals(now.Add(2500 * time.Millisecond))
	holder.Apply(gone, now)
	p.publishInstances(holder.Records(now), 2)
	follower.Apply(gone, now)
	fetch()
	holder.Apply(entry(3), now)
	p.publishInstances(holder.Records(now), 3)
	fetch()
	if n := len(follower.Live(now)); n != 1 {
		t.Errorf("the node knows %d endpoints, want the one whose entry was written again", n)
	}
}

// TestRemovedBetweenTerms guards against endpoints that were removed while a process did not hold the lease, and that
// followers keep because no snapshot of its next term reports the removal.
func TestRemovedBetweenTerms(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newPeerControllers(clock, "h", "n")
	h, n := d.nodes["h"], d.nodes["n"]
	q := peer.WatchRequest{Node: "n"}
	fetch := func() {
		s, _, ok := h.published.snapshot(q, clock.Now())
		if !ok {
			t.Fatal("the node does not hold the lease")
		}
		n.applyRelayed(s, clock.Now(), snapshotReceived{s: s, madeAt: clock.Now()})
		q.Life, q.Version = s.Term, s.Version
	}
	h.directory.Apply(directory.Record{ID: "i-0", Version: 1, Instance: &directory.Instance{ID: "i-0", Start: 1, Service: "s"}}, clock.Now())
	h.listedTo = 1
	h.beginTerm(1, clock.Now())
	fetch()
	h.published.end()
	h.directory.Apply(directory.Record{ID: "i-0", Version: 2}, clock.Now())
	h.listedTo = 2
	h.beginTerm(1, clock.Now())
	fetch()
	if live := n.directory.Live(clock.Now()); len(live) != 0 {
		t.Errorf("the node still knows %d endpoints, want none", len(live))
	}
}
