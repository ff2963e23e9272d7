package placer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/logstore"
	"olivetiller/core/position"
	"olivetiller/core/route"
	"olivetiller/core/view"
	"olivetiller/io/peer"
)

const (
	coldStart = 3 * time.Second
	coldRate  = 8.0
)

// newHallController returns a controller that knows one endpoint of a service without engines in each of two data
// halls.
func newHallController(t *testing.T, clock clockwork.Clock) *Controller {
	t.Helper()
	c := newController(clock)
	table, err := route.New(&route.Config{Version: 1, Services: []route.Service{{Name: "s", ColdStart: coldStart, ColdRate: coldRate}}})
	if err != nil {
		t.Fatal(err)
	}
	c.config.Store(&confirmedConfig{table: table})
	for i, id := range []string{"e-1", "e-2"} {
		c.directory.Apply(directory.Record{ID: id, Version: 1, Instance: &directory.Instance{ID: id, Service: "s", Address: id, Hall: []string{"a", "b"}[i]}}, clock.Now())
	}
	return c
}

// served returns the endpoints of the service's pool; the value is whether the endpoint is cold.
func served(c *Controller, now time.Time) map[string]bool {
	c.touchAll()
	c.publish(now)
	out := make(map[string]bool)
	for _, ep := range c.View().Pool(view.ServicePool("s")) {
		out[ep.Name] = ep.Cold(now)
	}
	return out
}

func operatorPage(era, next uint64, evacuations ...logstore.Evacuation) logstore.Page[logstore.Config] {
	begin := position.Begin(era)
	page := logstore.Page[logstore.Config]{Next: begin + next, End: begin + next}
	for i := range evacuations {
		page.Records = append(page.Records, logstore.Record[logstore.Config]{Offset: begin + next - uint64(len(evacuations)-i), Value: logstore.Config{Evacuation: &evacuations[i]}})
	}
	return page
}

// TestEvacuatedHallGetsNothing guards against requests to the endpoints of an evacuated data hall, whether the node
// learned of the evacuation from the store or from the lease holder, and against too many requests to endpoints that
// became cold during the evacuation.
func TestEvacuatedHallGetsNothing(t *testing.T) {
	on, off := logstore.Evacuation{Hall: "a", On: true}, logstore.Evacuation{Hall: "a"}
	full, single := true, false
	type step struct {
		after   time.Duration
		page    logstore.Page[logstore.Config]
		full    bool
		relayed *peer.Evacuations
	}
	both, one := map[string]bool{"e-1": false, "e-2": false}, map[string]bool{"e-2": false}
	tests := []struct {
		name  string
		steps []step
		want  map[string]bool
	}{
		{"none", []step{{page: operatorPage(0, 5), full: full}}, both},
		{"by a record", []step{{page: operatorPage(0, 5, on), full: single}}, one},
		{"by a list", []step{{page: operatorPage(0, 5, on), full: full}}, one},
		{"by the holder", []step{{relayed: &peer.Evacuations{Halls: []string{"a"}, AsOf: 5}}}, one},
		{"by an older word of the holder", []step{{page: operatorPage(0, 5, on), full: single}, {relayed: &peer.Evacuations{AsOf: 4}}}, one},
		{"all halls", []step{{page: operatorPage(0, 5, on, logstore.Evacuation{Hall: "b", On: true}), full: single}}, map[string]bool{}},
		{"a hall that nobody knows", []step{{page: operatorPage(0, 5, logstore.Evacuation{Hall: "z", On: true}), full: single}}, both},
		{"twice", []step{{page: operatorPage(0, 5, on), full: single}, {page: operatorPage(0, 6, on), full: single}}, one},
		{"taken back: cold at first", []step{{page: operatorPage(0, 5, on), full: single}, {page: operatorPage(0, 6, off), full: single}}, map[string]bool{"e-1": true, "e-2": false}},
		{"taken back by a list", []step{{page: operatorPage(0, 5, on), full: single}, {page: operatorPage(0, 6), full: full}}, map[string]bool{"e-1": true, "e-2": false}},
		{"taken back, warm again", []step{{page: operatorPage(0, 5, on), full: single}, {page: operatorPage(0, 6, off), full: single}, {after: coldStart, page: operatorPage(0, 6)}}, both},
		{"not in a copy of the store", []step{{page: operatorPage(0, 5, on), full: single}, {page: operatorPage(1, 3), full: full}}, one},
		{"not written again after the store came back", []step{{page: operatorPage(0, 5, on), full: single}, {page: operatorPage(1, 3), full: full}, {after: rewriteGrace, page: operatorPage(1, 3), full: full}}, map[string]bool{"e-1": true, "e-2": false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c := newHallController(t, clock)
			c.enterEra(0, clock.Now())
			for _, s := range tt.steps {
				clock.Advance(s.after)
				if s.relayed != nil {
					c.applyHolderEvacuations(s.relayed)
					continue
				}
				configPage{s.page, s.full, clock.Now()}.handle(c)
			}
			if diff := cmp.Diff(tt.want, served(c, clock.Now())); diff != "" {
				t.Errorf("endpoints in use, true for cold ones (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEvacuationReachesAllNodes checks that a node receives the evacuations with a full snapshot, and changes of them
// at once.
func TestEvacuationReachesAllNodes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h, n := newHallController(t, clock), newHallController(t, clock)
	h.held = true
	h.published.begin("h-1", 1, 2, nil, 0)
	ask := func(q peer.WatchRequest) (urgent bool) {
		s, urgent, _ := h.published.snapshot(q, clock.Now())
		n.applyHolderEvacuations(s.Evacuations)
		return urgent
	}
	configPage{operatorPage(0, 5, logstore.Evacuation{Hall: "a", On: true}), false, clock.Now()}.handle(h)
	ask(peer.WatchRequest{Node: "n"})
	var got [][]string
	got = append(got, n.halls.evacuated.Halls())
	q := peer.WatchRequest{Node: "n", Life: "h-1", Version: h.published.version, Config: h.config.Load().version()}
	if ask(q) {
		t.Error("a snapshot without any change is urgent")
	}
	configPage{operatorPage(0, 6, logstore.Evacuation{Hall: "b", On: true}), false, clock.Now()}.handle(h)
	if !ask(q) {
		t.Error("an evacuation is not urgent")
	}
	got = append(got, n.halls.evacuated.Halls())
	if diff := cmp.Diff([][]string{{"a"}, {"a", "b"}}, got); diff != "" {
		t.Errorf("evacuated halls at a node (-want +got):\n%s", diff)
	}
}

// TestColdEndpointByItsEntry checks when an endpoint counts as cold by its entry, at a node that reads the entry and
// at one to which it is relayed.
func TestColdEndpointByItsEntry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h, n := newHallController(t, clock), newHallController(t, clock)
	entry := func(version uint64, cold time.Duration) {
		in := &directory.Instance{ID: "e-1", Service: "s", Address: "e-1", Hall: "a", Cold: cold}
		if h.directory.Apply(directory.Record{ID: "e-1", Version: version, Instance: in}, clock.Now()) == directory.Unchanged {
			t.Errorf("entry %d changes nothing", version)
		}
		for _, r := range h.directory.Records(clock.Now()) {
			n.directory.Apply(r, clock.Now())
		}
	}
	type seen struct{ Holder, Node map[string]bool }
	look := func() seen { return seen{served(h, clock.Now()), served(n, clock.Now())} }
	warm, cold := map[string]bool{"e-1": false, "e-2": false}, map[string]bool{"e-1": true, "e-2": false}
	got := []seen{look()}
	entry(2, coldStart)
	got = append(got, look())
	clock.Advance(coldStart - time.Millisecond)
	got = append(got, look())
	clock.Advance(time.Millisecond)
	if !h.halls.becameWarm(clock.Now()) {
		t.Error("no new view is due when the endpoint is warm")
	}
	got = append(got, look())
	entry(3, coldStart)
	got = append(got, look())
	entry(4, 0)
	got = append(got, look())
	if diff := cmp.Diff([]seen{{warm, warm}, {cold, cold}, {cold, cold}, {warm, warm}, {cold, cold}, {warm, warm}}, got); diff != "" {
		t.Errorf("endpoints, true for cold ones (-want +got):\n%s", diff)
	}
}

// TestExpiredEndpointLeavesView guards against an endpoint that stays in use forever because its removal was read
// while the store was considered unavailable and took effect only later, without any further message.
func TestExpiredEndpointLeavesView(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newHallController(t, clock)
	c.publish(clock.Now())
	c.directory.HoldRemovals(clock.Now().Add(2500 * time.Millisecond))
	c.directory.Apply(directory.Record{ID: "e-1", Version: 2}, clock.Now())
	c.touch("e-1")
	c.publish(clock.Now())
	var got []int
	for range 40 {
		got = append(got, len(c.View().Pool(view.ServicePool("s"))))
		clock.Advance(tickEvery)
		if c.tick(); c.viewStale {
			c.publish(clock.Now())
		}
	}
	if first, last := got[0], got[len(got)-1]; first != 2 || last != 1 {
		t.Errorf("%v endpoints in use, want 2 while the store may lack an entry, then 1", got)
	}
}
