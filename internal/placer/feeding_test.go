package placer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"olivetiller/core/directory"
	"olivetiller/core/feedtree"
	"olivetiller/core/lease"
	"olivetiller/core/logstore"
	"olivetiller/core/queue"
	"olivetiller/core/route"
	"olivetiller/internal/traffic"
	"olivetiller/io/peer"
)

// fleetRequests returns one watch request of each node of a fleet in five data halls; every twentieth node per hall is
// strong.
func fleetRequests(nodes int) []peer.WatchRequest {
	var out []peer.WatchRequest
	for i := range nodes {
		q := peer.WatchRequest{Node: fmt.Sprintf("n%04d", i), Address: fmt.Sprintf("n%04d:1", i), Hall: string(rune('a' + i%5)), Strength: 4}
		if i%20 == i%5 {
			q.Strength = 1600
		}
		out = append(out, q)
	}
	return out
}

// TestHolderServesFewDirectly guards against a simultaneous start of all nodes in which the lease holder sends the
// full state to each of them, which takes longer than they wait.
func TestHolderServesFewDirectly(t *testing.T) {
	for _, nodes := range []int{71, 300, 984, 2000} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c := newController(clock)
			c.held = true
			c.published.collectRequests(clock.Now(), 0, nil)
			count := func() map[admission]int {
				out := make(map[admission]int)
				for _, q := range fleetRequests(nodes) {
					out[c.published.admit(&q, clock.Now())]++
				}
				return out
			}
			if got := count()[waitForPlan]; got != nodes {
				t.Errorf("%d of %d watch requests wait before the term begins", got, nodes)
			}
			c.published.begin("a-1/1", 1, 1, nil, 0)
			clock.Advance(collectWindow)
			c.planTree(clock.Now())
			got := count()
			if served := got[serveDirectly]; nodes <= feedtree.FanOut && served != nodes || nodes > feedtree.FanOut && served > feedtree.FanOut {
				t.Errorf("%v, want at most %d nodes served directly", got, feedtree.FanOut)
			}
			if got[waitForPlan] > 0 {
				t.Errorf("%d watch requests still wait after the plan was made", got[waitForPlan])
			}
			if n := c.feeding.nodes.Load(); n != int64(nodes)+1 {
				t.Errorf("%d nodes known, want %d", n, nodes+1)
			}
			if s := c.published.redirectAnswer(); s.Nodes != nodes+1 {
				t.Errorf("redirected nodes are sent a count of %d, want %d: a smaller one has them read the store at once", s.Nodes, nodes+1)
			}
			served := 0
			for _, q := range fleetRequests(nodes) {
				q.Orphan = true
				if c.published.admit(&q, clock.Now()) == serveDirectly {
					served++
				}
			}
			if nodes > feedtree.FanOut && served > feedtree.FanOut {
				t.Errorf("%d nodes without a feeder are served directly, want at most %d", served, feedtree.FanOut)
			}
		})
	}
}

// TestNextFeederIsAsked checks which node is asked while feeders fail one after the other: the feeders of the own
// data hall, then the lease holder.
func TestNextFeederIsAsked(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newController(clock)
	c.o.Hall = "h"
	holder := lease.Record{Holder: "z", Incarnation: "z-1", Address: "z:1"}
	avoid := make(map[string]time.Time)
	ask := func() source { return c.sourceOf(holder, avoid, clock.Now()) }
	if diff := cmp.Diff(source{address: "z:1"}, ask(), cmp.AllowUnexported(source{})); diff != "" {
		t.Errorf("without feeders (-want +got):\n%s", diff)
	}
	c.applyFeedPlan([]feedtree.Node{{Name: "x", Address: "x:1", Hall: "h"}, {Name: "y", Address: "y:1", Hall: "h"}, {Name: "w", Address: "w:1", Hall: "i"}})
	first := ask()
	if !first.feeder || first.address == "w:1" {
		t.Errorf("asks %+v, want a feeder of its own data hall", first)
	}
	avoid[first.address] = clock.Now().Add(avoidFor)
	second := ask()
	if !second.feeder || second.address == first.address || second.address == "w:1" {
		t.Errorf("asks %+v after %+v, want the other feeder of its data hall", second, first)
	}
	avoid[second.address], avoid["w:1"] = clock.Now().Add(avoidFor), clock.Now().Add(avoidFor)
	if diff := cmp.Diff(source{address: "z:1", noFeeder: true}, ask(), cmp.AllowUnexported(source{})); diff != "" {
		t.Errorf("without any feeder (-want +got):\n%s", diff)
	}
	clock.Advance(avoidFor + time.Millisecond)
	if diff := cmp.Diff(first, ask(), cmp.AllowUnexported(source{})); diff != "" {
		t.Errorf("later (-want +got):\n%s", diff)
	}
	c.applyFeedPlan([]feedtree.Node{{Name: "a", Address: "a:1", Hall: "h"}})
	if diff := cmp.Diff(source{address: "z:1"}, ask(), cmp.AllowUnexported(source{})); diff != "" {
		t.Errorf("as a feeder itself (-want +got):\n%s", diff)
	}
}

// feedSite is a lease holder's publication with two feeders and a leaf node, which receives snapshots from either
// feeder or from the lease holder.
type feedSite struct {
	now     time.Time
	holder  publication
	feeders [2]*feedFollower
	leaf    *feedFollower
	records map[string]directory.Record
	offset  uint64
	// readAt is when the lease holder last read the store to its end.
	readAt time.Time
}

// feedFollower is a node that receives snapshots, with the publication that it relays.
type feedFollower struct {
	incarnation string
	version     uint64
	serving     map[string][]string
	list        *directory.Directory
	relay       publication
	// holderSeenAt and asOf are the times that the node assigns to the lease holder's state and to the store state in
	// it.
	holderSeenAt, asOf time.Time
}

func newFeedFollower() *feedFollower {
	f := &feedFollower{serving: make(map[string][]string), list: directory.New()}
	f.relay.init()
	return f
}

func newFeedSite() *feedSite {
	s := &feedSite{now: time.Unix(1000, 0), records: make(map[string]directory.Record), leaf: newFeedFollower()}
	s.feeders = [2]*feedFollower{newFeedFollower(), newFeedFollower()}
	s.holder.init()
	s.readAt = s.now
	s.holder.begin("h-1/1", 1, 3, nil, 0)
	s.holder.instancesRead(s.now)
	s.holder.configRead(s.now)
	return s
}

// fetch sends a watch request of f to a publication. The answer takes transit to arrive, or is lost.
func (s *feedSite) fetch(f *feedFollower, from *publication, transit time.Duration, lost bool) {
	snap, _, ok := from.snapshot(peer.WatchRequest{Node: "f", Life: f.incarnation, Version: f.version}, s.now)
	s.now = s.now.Add(transit)
	if !ok || lost {
		return
	}
	if snap.Full {
		f.serving = make(map[string][]string)
		f.list.ReplaceRelayed(snap.Instances, snap.DirectoryVersion, s.now, func(directory.Record, directory.Change) {})
	}
	for id, pools := range snap.Serving {
		f.serving[id] = pools
	}
	for _, id := range snap.Removed {
		delete(f.serving, id)
	}
	for _, r := range snap.Instances {
		f.list.Apply(r, s.now)
	}
	f.holderSeenAt = s.now.Add(-transit - time.Duration(snap.HolderAgeMs)*time.Millisecond)
	f.asOf = s.now.Add(-transit - time.Duration(snap.AgeMs)*time.Millisecond)
	if !f.relay.mirrors(snap.Term) || snap.Full {
		f.relay.mirrorAll(snap, f.serving, traffic.Uneven{}, f.list.Records(s.now), snap.DirectoryVersion)
	} else {
		f.relay.mirror(snap)
	}
	f.relay.mirrorCommon(snap, confirmedConfig{}, nil, f.asOf, f.holderSeenAt)
	f.incarnation, f.version = snap.Term, snap.Version
}

// change adds, changes or removes a random endpoint at the lease holder.
func (s *feedSite) change(t *rapid.T) {
	id := rapid.SampledFrom([]string{"e1", "e2", "e3", "e4"}).Draw(t, "endpoint")
	s.offset++
	if _, there := s.records[id]; there && rapid.Bool().Draw(t, "gone") {
		delete(s.records, id)
	} else {
		s.records[id] = directory.Record{ID: id, Version: s.offset, Since: s.offset, Relayed: true, Instance: &directory.Instance{ID: id, Slots: int(s.offset)}}
	}
	list := slices.SortedFunc(maps.Values(s.records), func(a, b directory.Record) int { return int(a.Version) - int(b.Version) })
	s.readAt = s.now
	s.holder.publishInstances(list, s.offset)
	s.holder.instancesRead(s.now)
	s.holder.configRead(s.now)
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	next := s.holder.version + 1
	if _, there := s.records[id]; there {
		s.holder.setServing(nil, id, servingEntry{pools: []string{fmt.Sprint("unit/s/m", s.offset%3)}, version: next}, map[string]bool{})
	} else if _, shows := s.holder.serving[id]; shows {
		delete(s.holder.serving, id)
		s.holder.removedAt[id] = next
	}
	s.holder.version = next
}

// known is the state of a node that the test compares.
type known struct {
	Serving map[string][]string
	Slots   map[string]int
}

func (f *feedFollower) known(now time.Time) known {
	k := known{maps.Clone(f.serving), make(map[string]int)}
	for _, e := range f.list.Live(now) {
		k.Slots[e.ID] = e.Slots
	}
	return k
}

// readStore has f read the whole list from the store itself, after a failed read if failed is true.
func (s *feedSite) readStore(f *feedFollower, failed bool) {
	if failed {
		f.list.HoldRemovals(s.now.Add(2500 * time.Millisecond))
	}
	f.list.Replace(slices.Collect(maps.Values(s.records)), s.offset, s.now, func(directory.Record, directory.Change) {})
}

// TestLeafMatchesHolder checks that a leaf node ends with the state that the lease holder publishes, and that no node
// ever considers its state newer than it is, over random changes, lost answers, new terms, snapshots from either
// feeder or the lease holder, and reads of the nodes' own.
func TestLeafMatchesHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFeedSite()
		transit := rapid.Map(rapid.IntRange(0, 300), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
		terms := 1
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			f := s.feeders[rapid.IntRange(0, 1).Draw(t, "feeder")]
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				s.change(t)
			case 2:
				s.fetch(f, &s.holder, transit.Draw(t, "way"), rapid.Bool().Draw(t, "lost"))
			case 3:
				s.fetch(s.leaf, &f.relay, transit.Draw(t, "way"), rapid.Bool().Draw(t, "lost"))
			case 4:
				s.fetch(s.leaf, &s.holder, transit.Draw(t, "way"), false)
			case 5:
				terms++
				list := slices.Collect(maps.Values(s.records))
				s.holder.begin(fmt.Sprint("h-1/", terms), uint64(terms), 3, list, s.offset)
				s.holder.instancesRead(s.now)
				s.holder.configRead(s.now)
				s.readAt = s.now
			case 6:
				s.readStore(f, rapid.Bool().Draw(t, "failed"))
			case 7:
				s.readStore(s.leaf, rapid.Bool().Draw(t, "failed"))
			}
			for _, n := range []*feedFollower{s.feeders[0], s.feeders[1], s.leaf} {
				if n.asOf.After(s.readAt) {
					t.Fatalf("a node considers the store state %v newer than it is", n.asOf.Sub(s.readAt))
				}
				if n.holderSeenAt.After(s.now) {
					t.Fatalf("a node considers the lease holder's state %v newer than it is", n.holderSeenAt.Sub(s.now))
				}
			}
		}
		s.fetch(s.feeders[0], &s.holder, 0, false)
		// The first answer may come from a cached full snapshot.
		s.now = s.now.Add(2 * fullSnapshotTTL)
		s.fetch(s.feeders[0], &s.holder, 0, false)
		s.fetch(s.leaf, &s.feeders[0].relay, 0, false)
		s.now = s.now.Add(2 * fullSnapshotTTL)
		s.fetch(s.leaf, &s.feeders[0].relay, 0, false)
		want := known{make(map[string][]string), make(map[string]int)}
		for id, sh := range s.holder.serving {
			want.Serving[id] = sh.pools
		}
		for id, r := range s.records {
			want.Slots[id] = r.Instance.Slots
		}
		if diff := cmp.Diff(want, s.leaf.known(s.now)); diff != "" {
			t.Errorf("known at the end (-want +got):\n%s", diff)
		}
	})
}

// TestNodesWithoutFeedSpreadReads guards against nodes that lose their lease holder together and all read the store
// at the same time.
func TestNodesWithoutFeedSpreadReads(t *testing.T) {
	clock := clockwork.NewFakeClock()
	nodes := make([]*Controller, 984)
	for i := range nodes {
		nodes[i] = New(Options{Self: lease.Record{Holder: fmt.Sprint("n", i), Incarnation: fmt.Sprint("n", i, "-1")}, Clock: clock, Logger: newController(clock).o.Logger, Dispatcher: newController(clock).o.Dispatcher, Bound: 5 * time.Second})
		nodes[i].feeding.nodes.Store(984)
		nodes[i].relayed.Store(&relayMark{at: clock.Now()})
	}
	count := func(reads func(c *Controller) bool) int {
		n := 0
		for _, c := range nodes {
			if reads(c) {
				n++
			}
		}
		return n
	}
	clock.Advance(nodes[0].timing.relayTTL)
	before := 0
	for range 10 {
		clock.Advance(time.Second)
		now := count((*Controller).shouldReadStore)
		// A tenth more than planned, and a margin: the hash fractions are not perfectly even.
		if now-before > 44+20 {
			t.Errorf("%d nodes begin to read in one second, want some 40", now-before)
		}
		before = now
	}
	if n := count((*Controller).shouldReadLease); n != len(nodes) {
		t.Errorf("%d of %d nodes read the lease after 10 s", n, len(nodes))
	}
}

// TestFeederRelaysConfig checks that a feeder relays the configuration and the evacuations that it has in force.
func TestFeederRelaysConfig(t *testing.T) {
	s := newFeedSite()
	f := s.feeders[0]
	table, err := route.New(&route.Config{Version: 9})
	if err != nil {
		t.Fatal(err)
	}
	s.holder.setConfig(confirmedConfig{table: table})
	s.fetch(f, &s.holder, 0, false)
	f.relay.mirrorCommon(&peer.Snapshot{Term: f.incarnation, Version: f.version}, confirmedConfig{table: table}, &peer.Evacuations{Halls: []string{"a"}, AsOf: 3}, s.now, s.now)
	snap, _, _ := f.relay.snapshot(peer.WatchRequest{Node: "n", Config: 8}, s.now)
	if snap.Config == nil || snap.Config.Version != 9 || snap.Evacuations == nil || !slices.Equal(snap.Evacuations.Halls, []string{"a"}) {
		t.Errorf("configuration %v, evacuations %v", snap.Config, snap.Evacuations)
	}
}

// TestSmallFleetReadsAtOnceAfterRestart guards against a small fleet whose nodes were all restarted and wait for a
// lease holder that no longer exists, while each could read the store. Nodes of a large fleet read in turn.
func TestSmallFleetReadsAtOnceAfterRestart(t *testing.T) {
	for _, tt := range []struct {
		members int
		want    bool
	}{{9, true}, {feedtree.FanOut, true}, {984, false}} {
		clock := clockwork.NewFakeClock()
		c := newController(clock)
		raw, err := json.Marshal(lease.Record{Holder: "z", Incarnation: "z-1", Address: "z:1", Members: tt.members})
		if err != nil {
			t.Fatal(err)
		}
		leasePage{logstore.Page[[]byte]{Records: []logstore.Record[[]byte]{{Offset: 0, Value: raw}}, Next: 1, End: 1}}.handle(c)
		if got := c.shouldReadStore(); got != tt.want {
			t.Errorf("%d nodes known by the lease: reads at once %t, want %t", tt.members, got, tt.want)
		}
	}
}

// TestFeederRelaysDeletedEndpoint guards against a feeder that relays an endpoint which the lease holder knows to be
// gone, because a read of its own has failed and it keeps deleted entries for a while. Its followers then sent the
// endpoint requests after it had left, even those that had received its deletion.
func TestFeederRelaysDeletedEndpoint(t *testing.T) {
	clock := clockwork.NewFakeClock()
	record := func(id string, version uint64) directory.Record {
		return directory.Record{ID: id, Version: version, Instance: instance(id), Relayed: true}
	}
	var holder publication
	holder.init()
	holder.begin("h-1/1", 1, 200, []directory.Record{record("leaves", 3), record("stays", 4)}, 5)
	// fetch has a node receive what a publication has for it.
	fetch := func(c *Controller, from *publication) {
		clock.Advance(2 * fullSnapshotTTL)
		holder.instancesRead(clock.Now())
		holder.configRead(clock.Now())
		s, _, _ := from.snapshot(peer.WatchRequest{Life: c.holderState.incarnation, Version: c.holderState.version}, clock.Now())
		s.Instances = slices.Clone(s.Instances)
		snapshotReceived{s, 0, clock.Now()}.handle(c)
	}
	leaf, late := newController(clock), newController(clock)
	feeder := New(Options{
		Self: lease.Record{Holder: "x", Incarnation: "x-1"}, Clock: clock, Logger: leaf.o.Logger,
		Dispatcher: traffic.New(clock, "h", queue.Limits{Items: 9, Bytes: 999}, traffic.Hooks{}),
	})
	fetch(leaf, &holder)
	fetch(feeder, &holder)
	holder.publishInstances([]directory.Record{record("stays", 4)}, 7)
	fetch(leaf, &holder)
	// An outage in which entries may have lapsed, so that the feeder holds removals back.
	clock.Advance(5 * time.Second)
	for range 2 {
		storeReadFailed{topic: endpointsTopic, asked: clock.Now()}.handle(feeder)
	}
	page := logstore.Page[logstore.Instance]{Records: []logstore.Record[logstore.Instance]{{Offset: 3, Value: logstore.Instance{ID: "stays", Instance: instance("stays")}}}, Next: 9, End: 9}
	instancePage{page, true, clock.Now()}.handle(feeder)
	if diff := cmp.Diff([]string{"leaves", "stays"}, live(feeder)); diff != "" {
		t.Errorf("endpoints in use after the outage (-want +got):\n%s", diff)
	}
	holder.setFeeders([]feedtree.Node{{Name: "x", Address: "x:1"}}, 200)
	fetch(feeder, &holder)
	fetch(leaf, &feeder.relay)
	fetch(late, &feeder.relay)
	want := map[string][]string{"feeder": {"stays"}, "leaf": {"stays"}, "node that has just started": {"stays"}}
	got := map[string][]string{"feeder": live(feeder), "leaf": live(leaf), "node that has just started": live(late)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("endpoints in use (-want +got):\n%s", diff)
	}
}
