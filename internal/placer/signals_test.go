package placer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/signal"
	"olivetiller/io/peer"
)

// TestSignalsReachAllNodes checks that endpoints' signals received by one node reach the lease holder with its
// report, other nodes with the holder's snapshots, and nodes without a lease holder through their exchange. A backoff
// stops requests only of the node that received it, but lowers the capacity known to every node.
func TestSignalsReachAllNodes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newPeerControllers(clock, "h", "n", "o", "p")
	h, n, o, p := d.nodes["h"], d.nodes["n"], d.nodes["o"], d.nodes["p"]
	incarnation := signal.Incarnation{Endpoint: "e1", Start: 1}
	n.o.Dispatcher.ObserveSignals(endpointOf("e1"), signal.Signals{Limit: 1.5, Draining: true, Backoff: 1e9}, clock.Now())
	r := &peer.Report{Node: "n"}
	n.reportSignals(r, "h-1", clock.Now())
	h.published.begin("h-1", 1, 1, nil, 0)
	if err := h.Reported(r); err != nil {
		t.Fatal(err)
	}
	s := &peer.Snapshot{Term: "h-1", Full: true}
	if !h.addSignals(s, peer.WatchRequest{}, clock.Now()) {
		t.Error("nothing to send")
	}
	o.mergeSignals(s.Signals, "holder", clock.Now())
	p.exchangeWith(t.Context(), "n", exchangeMark{})
	want := []signal.Incarnation{incarnation}
	for name, c := range d.nodes {
		if diff := cmp.Diff(want, c.o.Dispatcher.DrainingEndpoints()); diff != "" {
			t.Errorf("draining endpoints known to %s (-want +got):\n%s", name, diff)
		}
		if got := c.o.Dispatcher.Capacities().Of(incarnation); got <= 0 || got >= 1 {
			t.Errorf("capacity known to %s = %v, want that of an endpoint in backoff", name, got)
		}
	}
	if h.addSignals(&peer.Snapshot{Term: "h-1"}, peer.WatchRequest{SignalsTo: s.SignalsTo}, clock.Now()) {
		t.Error("what was sent is sent again")
	}
}

// TestEntryAfterDrainingSignal checks that an endpoint that signalled draining before its entry was added is drained
// once the entry is there, and that its next incarnation is not.
func TestEntryAfterDrainingSignal(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newPeerControllers(clock, "n").nodes["n"]
	c.o.Dispatcher.ObserveSignals(endpointOf("e1"), signal.Signals{Draining: true, Ran: true}, clock.Now())
	draining := func(start directory.Start, version uint64) bool {
		c.directory.Apply(directory.Record{ID: "e1", Version: version, Instance: &directory.Instance{ID: "e1", Start: start, Service: "s"}}, clock.Now())
		c.applyDraining(clock.Now())
		return c.directory.Live(clock.Now())[0].Draining
	}
	if !draining(1, 1) || !draining(1, 2) {
		t.Error("the draining incarnation is not drained")
	}
	if draining(2, 3) {
		t.Error("the next incarnation is drained")
	}
}
