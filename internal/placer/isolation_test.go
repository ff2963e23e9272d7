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

// directPeers implements the exchange between nodes by direct calls of their controllers.
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

// verdictStore records the verdicts written to it.
type verdictStore struct {
	Store
	verdicts []logstore.Verdict
}

// KeepVerdict implements Store.
func (k *verdictStore) KeepVerdict(_ context.Context, v logstore.Verdict) error {
	k.verdicts = append(k.verdicts, v)
	return nil
}

// newPeerControllers returns controllers that are not running and reach each other by name.
func newPeerControllers(clock clockwork.Clock, names ...string) directPeers {
	d := directPeers{nodes: make(map[string]*Controller)}
	for _, name := range names {
		d.nodes[name] = New(Options{
			Self: lease.Record{Holder: name, Incarnation: name + "-1", Address: name}, Clock: clock, Logger: hclog.NewNullLogger(), Peers: d, Store: &verdictStore{},
			Dispatcher: traffic.New(clock, "h", queue.Limits{Items: 9, Bytes: 999}, traffic.Hooks{}),
			Isolation:  isolation.New(isolation.Options{Clock: clock, Logger: hclog.NewNullLogger(), Refuses: func(context.Context, string) bool { return true }}),
		})
	}
	return d
}

// endpointOf returns an engine's endpoint in its first incarnation.
func endpointOf(engine string) view.Endpoint { return view.Endpoint{Name: engine, Start: 1} }

// addSuspicions informs a node that engines crashed while they ran a request.
func addSuspicions(c *Controller, f quarantine.Fingerprint, engines ...string) {
	now := c.o.Clock.Now()
	e := quarantine.Entry{Request: f, At: now}
	for i, engine := range engines {
		e.Suspicions = append(e.Suspicions, quarantine.Suspicion{Crash: quarantine.CrashID{Engine: engine}, Begun: true, Elapsed: time.Millisecond, At: now.Add(time.Duration(i) * time.Second)})
	}
	c.suspects.guard.Merge([]quarantine.Entry{e}, "test")
}

// TestExchangeWithoutHolder checks that nodes without a lease holder merge what each has seen, that a restarted node
// is sent everything again, and that nothing is sent twice otherwise.
func TestExchangeWithoutHolder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newPeerControllers(clock, "a", "b")
	a, b := d.nodes["a"], d.nodes["b"]
	f := quarantine.Fingerprint{1}
	addSuspicions(a, f, "e1")
	addSuspicions(b, f, "e2")
	m := a.exchangeWith(t.Context(), "b", exchangeMark{})
	ends := func(c *Controller) int { return c.suspects.guard.List()[0].Crashes }
	if diff := cmp.Diff([]int{2, 2}, []int{ends(a), ends(b)}); diff != "" {
		t.Errorf("crashes known to a and b (-want +got):\n%s", diff)
	}
	m = a.exchangeWith(t.Context(), "b", m)
	if entries, _ := a.suspects.guard.Since(m.sent, quarantine.AllRecords); len(entries) != 0 {
		t.Errorf("%d entries would be sent again", len(entries))
	}
	d.nodes["b"] = newPeerControllers(clock, "b").nodes["b"]
	d.nodes["b"].o.Self.Incarnation = "b-2"
	m = a.exchangeWith(t.Context(), "b", m)
	a.exchangeWith(t.Context(), "b", m)
	if diff := cmp.Diff(2, ends(d.nodes["b"])); diff != "" {
		t.Errorf("crashes known to b after its restart (-want +got):\n%s", diff)
	}
}

// TestRunAfterHolderIsLost guards against a request that is sent to a fourth engine by a node that has lost the lease
// holder, and knows two of the three crashes that other nodes have seen.
func TestRunAfterHolderIsLost(t *testing.T) {
	for _, tt := range []struct {
		name  string
		peers []string
		want  quarantine.State
	}{
		{"another node knows the third crash", []string{"a", "b"}, quarantine.Quarantined},
		{"no other node answers", []string{"a", "c"}, quarantine.Isolated},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newPeerControllers(clockwork.NewFakeClock(), "a", "b")
			a, f := d.nodes["a"], quarantine.Fingerprint{1}
			a.peers.setPeers(tt.peers)
			addSuspicions(a, f, "e1", "e2")
			addSuspicions(d.nodes["b"], f, "e1", "e2", "e3")
			if after := a.AcquireRun(t.Context(), f, "1"); after != 0 || a.suspects.guard.State(f) != tt.want {
				t.Errorf("run lock after %v, state %v; want at once, %v", after, a.suspects.guard.State(f), tt.want)
			}
		})
	}
}

// TestSuspectsReachAllNodes checks that a node's suspicions reach the lease holder with its report, and that a
// verdict reaches every other node with the lease holder's snapshots.
func TestSuspectsReachAllNodes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newPeerControllers(clock, "h", "n", "o")
	h, n, o := d.nodes["h"], d.nodes["n"], d.nodes["o"]
	f := quarantine.Fingerprint{1}
	for _, engine := range []string{"e1", "e2", "e3"} {
		// Crashes that this node has observed itself.
		clock.Advance(time.Second)
		n.suspects.guard.EngineSeen(quarantine.Incarnation{Engine: engine, Start: 1}, false)
		run := n.suspects.guard.Send(f, endpointOf(engine))
		run.Began()
		run.ConnectionBroke(t.Context())
	}
	r := &peer.Report{Node: "n"}
	n.reportSuspects(r, "h-1", clock.Now())
	h.published.begin("h-1", 1, 1, nil, 0)
	if err := h.Reported(r); err != nil {
		t.Fatal(err)
	}
	s := &peer.Snapshot{Term: "h-1", Full: true}
	if !h.addSuspects(s, peer.WatchRequest{}, clock.Now()) {
		t.Error("nothing to send")
	}
	o.mergeHolderSuspects(s, clock.Now())
	if got := o.suspects.guard.State(f); got != quarantine.Quarantined {
		t.Errorf("state at another node = %v, want quarantined", got)
	}
	if h.addSuspects(&peer.Snapshot{Term: "h-1"}, peer.WatchRequest{SuspectsTo: s.SuspectsTo}, clock.Now()) {
		t.Error("what was sent is sent again")
	}
}

// TestConvictionNeedsAllSuspicions checks that a node with a lease holder leaves convictions by probability to the
// holder, which receives all suspicions, and that a node without one decides itself. A node that knew of two of the
// eight suspects of a crash convicted harmless requests, since it overrated the probability of each.
func TestConvictionNeedsAllSuspicions(t *testing.T) {
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
			c := newPeerControllers(clock, "n").nodes["n"]
			c.suspects.guard.SetEngines(9)
			c.held, c.holderState.fresh = tt.holds, tt.hearsOf
			c.evaluateSuspects()
			f := quarantine.Fingerprint{1}
			addSuspicions(c, f, "e1", "e2")
			clock.Advance(time.Minute)
			c.evaluateSuspects()
			if diff := cmp.Diff(tt.want.String(), c.suspects.guard.State(f).String()); diff != "" {
				t.Errorf("after two crashes (-want +got):\n%s", diff)
			}
			if tt.hearsOf {
				c.holderState.fresh = false
				c.evaluateSuspects()
				if got := c.suspects.guard.State(f); got != quarantine.Quarantined {
					t.Errorf("%v once the holder is lost, want quarantined", got)
				}
			}
		})
	}
}
