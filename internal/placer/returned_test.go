package placer

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/io/peer"
)

// TestReturnedEndpointIsRelayed guards against an endpoint that a node fed by a holder lacks for good: the node read itself
// that the entry had gone, while the holder, which had lost the store, did not believe it until the entry was back.
func TestReturnedEndpointIsRelayed(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(version uint64) directory.Record {
		return directory.Record{ID: "i-0", Version: version, Instance: &directory.Instance{ID: "i-0", Start: 1, Service: "s"}}
	}
	gone := directory.Record{ID: "i-0", Version: 2}
	holder, follower := directory.New(), directory.New()
	var b board
	b.init()
	holder.Apply(entry(1), now)
	b.begin("h-1", 1, 2, holder.Records(now), 1)
	q := peer.Question{Node: "n"}
	hear := func() {
		s, _, _ := b.snapshot(q, now)
		for _, r := range s.Instances {
			r.Relayed = true
			follower.Apply(r, now)
		}
		q.Life, q.Version = s.Life, s.Version
	}
	hear()
	holder.StoreAway(now)
	holder.Apply(gone, now)
	b.showInstances(holder.Records(now), 2)
	follower.Apply(gone, now)
	hear()
	holder.Apply(entry(3), now)
	b.showInstances(holder.Records(now), 3)
	hear()
	if n := len(follower.Live(now)); n != 1 {
		t.Errorf("the node knows %d endpoints, want the one that is back", n)
	}
}

// TestVanishedBetweenTerms guards against endpoints that vanished while a process did not hold the lease, and are not told
// as gone once it does again.
func TestVanishedBetweenTerms(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := suspectNodes(clock, "h", "n")
	h, n := d.nodes["h"], d.nodes["n"]
	q := peer.Question{Node: "n"}
	hear := func() {
		s, _, ok := h.holder.snapshot(q, clock.Now())
		if !ok {
			t.Fatal("it does not hold the lease")
		}
		n.feed(s, clock.Now(), heardFrom{s: s, made: clock.Now()})
		q.Life, q.Version = s.Life, s.Version
	}
	h.directory.Apply(directory.Record{ID: "i-0", Version: 1, Instance: &directory.Instance{ID: "i-0", Start: 1, Service: "s"}}, clock.Now())
	h.listedTo = 1
	h.beginTerm(1, clock.Now())
	hear()
	h.holder.end()
	h.directory.Apply(directory.Record{ID: "i-0", Version: 2}, clock.Now())
	h.listedTo = 2
	h.beginTerm(1, clock.Now())
	hear()
	if live := n.directory.Live(clock.Now()); len(live) != 0 {
		t.Errorf("the node still knows %d endpoints", len(live))
	}
}
