package placer

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/lease"
	"olivetiller/core/logstore"
	"olivetiller/core/quarantine"
	"olivetiller/core/queue"
	"olivetiller/core/view"
	"olivetiller/internal/isolation"
	"olivetiller/internal/traffic"
	"olivetiller/io/peer"
)

// directPeers calls other nodes' controllers.
type directPeers struct {
	Peers
	nodes map[string]*Controller
}

// Exchange implements Peers.
func (d directPeers) Exchange(_ context.Context, address string, e *peer.Exchange) (*peer.Exchange, error) {
	n := d.nodes[address]
	if n == nil {
		return nil, peer.ErrNoHolder
	}
	return n.Exchange(e), nil
}

// keepingStore counts what it is to keep.
type keepingStore struct {
	Store
	kept []logstore.Verdict
}

// KeepVerdict implements Store.
func (k *keepingStore) KeepVerdict(_ context.Context, v logstore.Verdict) error {
	k.kept = append(k.kept, v)
	return nil
}

// suspectNodes returns controllers that run nothing and know each other by their names.
func suspectNodes(clock clockwork.Clock, names ...string) directPeers {
	d := directPeers{nodes: make(map[string]*Controller)}
	for _, name := range names {
		d.nodes[name] = New(Options{
			Self: lease.Record{Holder: name, Life: name + "-1", Address: name}, Clock: clock, Logger: hclog.NewNullLogger(), Peers: d, Store: &keepingStore{},
			Dispatcher: traffic.New(clock, "h", queue.Limits{Items: 9, Bytes: 999}, traffic.Hooks{}),
			Isolation:  isolation.New(isolation.Options{Clock: clock, Logger: hclog.NewNullLogger(), Refuses: func(context.Context, string) bool { return true }}),
		})
	}
	return d
}

// endpointOf is an engine as traffic knows it.
func endpointOf(engine string) view.Endpoint { return view.Endpoint{Name: engine, Start: 1} }

// blame has a node know that engines ended under a request.
func blame(c *Controller, f quarantine.Fingerprint, engines ...string) {
	now := c.o.Clock.Now()
	e := quarantine.Entry{Request: f, At: now}
	for i, engine := range engines {
		e.Blames = append(e.Blames, quarantine.Blame{End: quarantine.EndID{Engine: engine}, Begun: true, Ran: time.Millisecond, At: now.Add(time.Duration(i) * time.Second)})
	}
	c.suspects.guard.Merge([]quarantine.Entry{e}, "test")
}

// TestExchangeWithoutHolder checks that nodes without a holder unite what each saw, that a node which began
// anew is told all again, and that nothing is told twice.
func TestExchangeWithoutHolder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := suspectNodes(clock, "a", "b")
	a, b := d.nodes["a"], d.nodes["b"]
	f := quarantine.Fingerprint{1}
	blame(a, f, "e1")
	blame(b, f, "e2")
	m := a.exchangeWith(t.Context(), "b", exchanged{})
	ends := func(c *Controller) int { return c.suspects.guard.List()[0].Ends }
	if diff := cmp.Diff([]int{2, 2}, []int{ends(a), ends(b)}); diff != "" {
		t.Errorf("ends known to a and b (-want +got):\n%s", diff)
	}
	m = a.exchangeWith(t.Context(), "b", m)
	if entries, _ := a.suspects.guard.Since(m.mine, quarantine.All); len(entries) != 0 {
		t.Errorf("%d entries would be told again", len(entries))
	}
	d.nodes["b"] = suspectNodes(clock, "b").nodes["b"]
	d.nodes["b"].o.Self.Life = "b-2"
	m = a.exchangeWith(t.Context(), "b", m)
	a.exchangeWith(t.Context(), "b", m)
	if diff := cmp.Diff(2, ends(d.nodes["b"])); diff != "" {
		t.Errorf("ends known to b, begun anew (-want +got):\n%s", diff)
	}
}

// TestHolderTellsAll checks that a node's blames reach the holder with its report, and a verdict every other node
// with the holder's word.
func TestHolderTellsAll(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := suspectNodes(clock, "h", "n", "o")
	h, n, o := d.nodes["h"], d.nodes["n"], d.nodes["o"]
	f := quarantine.Fingerprint{1}
	for _, engine := range []string{"e1", "e2", "e3"} {
		// Ends of which this node knows by itself.
		clock.Advance(time.Second)
		n.suspects.guard.Seen(quarantine.Life{Engine: engine, Start: 1}, false)
		run := n.suspects.guard.Send(f, endpointOf(engine))
		run.Began()
		run.Broke(t.Context())
	}
	r := &peer.Report{Node: "n"}
	n.reportSuspects(r, "h-1", clock.Now())
	h.holder.begin("h-1", 1, 1, nil, 0)
	if err := h.Reported(r); err != nil {
		t.Fatal(err)
	}
	s := &peer.Snapshot{Life: "h-1", Whole: true}
	if !h.addSuspects(s, peer.Question{}, clock.Now()) {
		t.Error("nothing to tell")
	}
	o.hearSuspects(s, clock.Now())
	if got := o.suspects.guard.State(f); got != quarantine.Quarantined {
		t.Errorf("another node thinks of it as %v", got)
	}
	if h.addSuspects(&peer.Snapshot{Life: "h-1"}, peer.Question{SuspectsTo: s.SuspectsTo}, clock.Now()) {
		t.Error("what was told is told again")
	}
}

// TestWhoJudges checks that a node which hears of a holder leaves the judgement by belief to it, to which all blames
// come, and judges by itself while it hears of none. A node that knew two of the eight suspects of an end convicted
// proper requests: alone, each seemed to be the one.
func TestWhoJudges(t *testing.T) {
	tests := []struct {
		name           string
		holds, hearsOf bool
		want           quarantine.State
	}{
		{"the holder", true, false, quarantine.Quarantined},
		{"a node with a holder", false, true, quarantine.Isolated},
		{"a node without one", false, false, quarantine.Quarantined},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c := suspectNodes(clock, "n").nodes["n"]
			c.suspects.guard.SetEngines(9)
			c.held, c.remote.fresh = tt.holds, tt.hearsOf
			c.judgeSuspects()
			f := quarantine.Fingerprint{1}
			blame(c, f, "e1", "e2")
			clock.Advance(time.Minute)
			c.judgeSuspects()
			if diff := cmp.Diff(tt.want.String(), c.suspects.guard.State(f).String()); diff != "" {
				t.Errorf("after two ends (-want +got):\n%s", diff)
			}
			if tt.hearsOf {
				c.remote.fresh = false
				c.judgeSuspects()
				if got := c.suspects.guard.State(f); got != quarantine.Quarantined {
					t.Errorf("%v once the holder is lost, want quarantined", got)
				}
			}
		})
	}
}
