package placer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"olivetiller/core/feedtree"
	"olivetiller/core/lease"
	"olivetiller/core/logstore"
	"olivetiller/core/position"
	"olivetiller/core/queue"
	"olivetiller/core/route"
	_ "olivetiller/internal/fixedseed"
	"olivetiller/internal/traffic"
	"olivetiller/io/peer"
)

// configFault is a fault that a configWorld plays in place of what a node or the store does.
type configFault uint8

const (
	noConfigFault configFault = iota
	// readCountsWhenHandled dates a read by when its page is handled.
	readCountsWhenHandled
	// shortPageCountsAsWhole lets a page that ends before the topic claim to reach its end.
	shortPageCountsAsWhole
	// snapshotCountsWhenHandled dates a snapshot by when it is handled.
	snapshotCountsWhenHandled
	// ageOfAnotherNode sends a snapshot with the age that the freshest node knows.
	ageOfAnotherNode
	// unreadableIsHidden leaves unreadable configurations out of pages.
	unreadableIsHidden
)

// storedConfig is a record of the operators' topic.
type storedConfig struct {
	version    int64
	unreadable bool
}

// configWorld plays nodes, the operators' topic of the store and an operator in virtual time. Reads and snapshots take
// any time, are lost, and are handled late; the lease changes hands, nodes become feeders and restart, history is
// dropped and the store is restored from backups.
type configWorld struct {
	clock *clockwork.FakeClock
	fault configFault
	// logf logs what happens, for the report of a failure.
	logf func(format string, args ...any)

	log     []storedConfig
	first   int
	era     uint64
	version int64
	ackedAt map[int64]time.Time

	nodes    []*Controller
	watches  []watchState
	next     []uint64
	reading  []call
	watching []call
	leaseEnd uint64
	lives    int
	events   []configEvent
}

// call is a node's call in flight. turn tells the answers to its calls apart; a process does not get those of an
// earlier one.
type call struct {
	turn     int
	inFlight bool
}

// begin begins a call and returns its turn.
func (c *call) begin() int {
	c.turn, c.inFlight = c.turn+1, true
	return c.turn
}

// configEvent is something that happens at a time.
type configEvent struct {
	at time.Time
	do func()
}

// unreachableStore fails all calls.
type unreachableStore struct{ Store }

func (unreachableStore) Append(context.Context, uint64, []byte) (uint64, error) {
	return 0, errors.New("unreachable")
}

func newConfigWorld(nodes int, fault configFault, logf func(string, ...any)) *configWorld {
	w := &configWorld{clock: clockwork.NewFakeClock(), fault: fault, logf: logf, ackedAt: make(map[int64]time.Time)}
	w.write(false)
	for i := range nodes {
		w.nodes, w.watches, w.next = append(w.nodes, nil), append(w.watches, watchState{}), append(w.next, 0)
		w.reading, w.watching = append(w.reading, call{}), append(w.watching, call{})
		w.restart(i)
	}
	return w
}

// restart replaces node i by a process that knows nothing.
func (w *configWorld) restart(i int) {
	w.lives++
	name := fmt.Sprint("n", i)
	w.nodes[i] = New(Options{
		Self: lease.Record{Holder: name, Incarnation: fmt.Sprint(name, "-", w.lives), Address: name + ":1"}, Clock: w.clock, Logger: hclog.NewNullLogger(), Store: unreachableStore{},
		Dispatcher: traffic.New(w.clock, "h", queue.Limits{Items: 9, Bytes: 999}, traffic.Hooks{}), Bound: 2 * time.Second,
	})
	w.nodes[i].listed = true
	w.watches[i], w.next[i] = watchState{}, 0
	w.reading[i], w.watching[i] = call{turn: w.reading[i].turn + 1}, call{turn: w.watching[i].turn + 1}
}

// logNode logs what node i does, with its version and as-of time before.
func (w *configWorld) logNode(i int, format string, args ...any) {
	c := w.nodes[i]
	w.logf("%8v n%d (version %d as of %v): %s", w.clock.Since(c.startedAt), i, c.config.Load().version(), c.config.Load().asOf.Sub(c.startedAt), fmt.Sprintf(format, args...))
}

// schedule has do run after d.
func (w *configWorld) schedule(d time.Duration, do func()) {
	w.events = append(w.events, configEvent{w.clock.Now().Add(d), do})
}

// advance runs what happens within d, in order of time, and check after each event.
func (w *configWorld) advance(d time.Duration, check func()) {
	end := w.clock.Now().Add(d)
	for {
		i := -1
		for k, e := range w.events {
			if !e.at.After(end) && (i < 0 || e.at.Before(w.events[i].at)) {
				i = k
			}
		}
		if i < 0 {
			break
		}
		e := w.events[i]
		w.events = slices.Delete(w.events, i, i+1)
		w.clock.Advance(e.at.Sub(w.clock.Now()))
		e.do()
		check()
	}
	w.clock.Advance(end.Sub(w.clock.Now()))
	for _, c := range w.nodes {
		c.maintainLease(context.Background(), w.clock.Now())
	}
	check()
}

// write has the operator write the next version.
func (w *configWorld) write(unreadable bool) {
	w.version++
	w.log = append(w.log, storedConfig{w.version, unreadable})
	w.ackedAt[w.version] = w.clock.Now()
	w.logf("version %d is written, unreadable %t", w.version, unreadable)
}

// restore puts the store back to a backup that lacks the last n records. The operator writes the newest version again.
func (w *configWorld) restore(n int, again time.Duration) {
	newest := w.log[len(w.log)-1]
	w.logf("the store is restored without the last %d records", n)
	w.log = slices.Clone(w.log[:len(w.log)-n])
	w.first = min(w.first, len(w.log)-1)
	w.era++
	w.schedule(again, func() {
		w.logf("the operator writes version %d again if needed", newest.version)
		if w.log[len(w.log)-1].version < newest.version {
			w.log = append(w.log, newest)
		}
	})
}

// page returns the answer of the store to a read from a position, or of the newest record if full, with at most limit
// records; ok is false if the store cannot answer a read from there.
func (w *configWorld) page(from uint64, full bool, limit int) (page logstore.Page[logstore.Config], ok bool) {
	start, end := len(w.log)-1, len(w.log)
	if !full {
		start = int(position.Offset(from))
		if position.Era(from) != w.era || start < w.first {
			return page, false
		}
		end = min(end, start+limit)
	}
	for k := start; k < end; k++ {
		at := position.Begin(w.era) + uint64(k)
		if w.log[k].unreadable {
			page.Damaged = append(page.Damaged, logstore.Damaged{Offset: at, Err: &logstore.UnreadableConfig{Cause: errors.New("unreadable")}})
			continue
		}
		t, err := route.New(&route.Config{Version: w.log[k].version})
		if err != nil {
			panic(err)
		}
		page.Records = append(page.Records, logstore.Record[logstore.Config]{Offset: at, Value: logstore.Config{Table: t}})
	}
	page.Next, page.End = position.Begin(w.era)+uint64(end), position.Begin(w.era)+uint64(len(w.log))
	switch w.fault {
	case shortPageCountsAsWhole:
		page.End = page.Next
	case unreadableIsHidden:
		page.Damaged = nil
	}
	return page, true
}

// read has node i read the operators' topic, on from where its feed had read if it rested. The page is made after there,
// and handled after back more.
func (w *configWorld) read(i int, full, rested bool, limit int, there, back time.Duration) {
	if w.reading[i].inFlight {
		return
	}
	if from, ok := w.nodes[i].resumeConfigAt(); rested && ok && position.Era(from) == position.Era(w.next[i]) {
		w.next[i] = max(w.next[i], from)
	}
	turn, asked, from := w.reading[i].begin(), w.clock.Now(), w.next[i]
	full = full || from == 0
	w.schedule(there, func() {
		page, ok := w.page(from, full, limit)
		w.schedule(back, func() {
			if w.reading[i].turn != turn {
				return
			}
			w.reading[i].inFlight = false
			if !ok {
				w.next[i] = 0
				return
			}
			w.next[i] = page.Next
			if w.fault == readCountsWhenHandled {
				asked = w.clock.Now()
			}
			w.logNode(i, "handles a page of era %d up to %d of %d, %d records, %d damaged, asked %v ago", position.Era(page.Next), position.Offset(page.Next), position.Offset(page.End), len(page.Records), len(page.Damaged), w.clock.Now().Sub(asked))
			configPage{page, full, asked}.handle(w.nodes[i])
		})
	})
}

// watch has node i ask node j for a snapshot. The request takes there, is kept open for held, and its answer is handled
// after back more.
func (w *configWorld) watch(i, j int, there, held, back time.Duration, lost bool) {
	if i == j || w.watching[i].inFlight {
		return
	}
	turn, asked := w.watching[i].begin(), w.clock.Now()
	q := w.watches[i].nextRequest(w.nodes[i], source{address: w.nodes[j].o.Self.Address})
	w.schedule(there+held, func() {
		from, now := w.nodes[j], w.clock.Now()
		p := &from.published
		if !from.leading.Load() {
			p = &from.relay
			if !p.fresh(now) {
				p = &from.published
			}
		}
		s, _, ok := p.snapshot(q, now)
		if ok && w.fault == ageOfAnotherNode && s.ConfigAgeMs != nil {
			for _, c := range w.nodes {
				if age, known := c.config.Load().age(now); known && age.Milliseconds() < *s.ConfigAgeMs {
					ms := age.Milliseconds() + 1
					s.ConfigAgeMs = &ms
				}
			}
		}
		w.schedule(back, func() {
			if w.watching[i].turn != turn {
				return
			}
			w.watching[i].inFlight = false
			if !ok || lost || s.Fence < w.watches[i].fence {
				return
			}
			ws := &w.watches[i]
			ws.incarnation, ws.version, ws.fence = s.Term, s.Version, s.Fence
			madeAt := asked.Add(held)
			if w.fault == snapshotCountsWhenHandled {
				madeAt = w.clock.Now()
			}
			sent, age := int64(0), int64(-1)
			if s.Config != nil {
				sent = s.Config.Version
			}
			if s.ConfigAgeMs != nil {
				age = *s.ConfigAgeMs
			}
			w.logNode(i, "handles a snapshot of n%d, term %s, made %v ago, with version %d (0 if none), age %d ms (-1 if none)", j, s.Term, w.clock.Now().Sub(madeAt), sent, age)
			snapshotReceived{s, there + back, madeAt}.handle(w.nodes[i])
		})
	})
}

// gain has node i take the lease, or renew it.
func (w *configWorld) gain(i int) {
	c, now := w.nodes[i], w.clock.Now()
	c.lease.Acknowledged(c.lease.Begin(now, nil), w.leaseEnd, now)
	w.leaseEnd++
	c.maintainLease(context.Background(), now)
	w.logNode(i, "holds the lease")
}

// olderTakenForNewest returns what is wrong if a node takes its configuration for the newest as of a time at which a
// newer one had been acknowledged; empty if none does.
func (w *configWorld) olderTakenForNewest() string {
	for _, c := range w.nodes {
		asOf, version := c.config.Load().asOf, int64(0)
		if t := c.Table(); t != nil {
			version = t.Config.Version
		}
		if asOf.IsZero() {
			continue
		}
		for v := version + 1; v <= w.version; v++ {
			if acked, ok := w.ackedAt[v]; ok && acked.Before(asOf) {
				return fmt.Sprintf("%s takes version %d for the newest as of %v after version %d was acknowledged", c.o.Self.Holder, version, asOf.Sub(acked), v)
			}
		}
	}
	return ""
}

// playConfigWorld plays one random schedule and returns the first node's error, or an empty string.
func playConfigWorld(t *rapid.T, fault configFault) string {
	w := newConfigWorld(3, fault, t.Logf)
	wrong := ""
	check := func() {
		if wrong == "" {
			wrong = w.olderTakenForNewest()
		}
	}
	ms := func(most int, name string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	node := func(name string) int { return rapid.IntRange(0, len(w.nodes)-1).Draw(t, name) }
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		for i := range w.nodes {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				w.read(i, rapid.IntRange(0, 3).Draw(t, "full") == 0, rapid.Bool().Draw(t, "rested"), rapid.IntRange(1, 3).Draw(t, "limit"), ms(300, "there"), ms(500, "back"))
			case 2, 3:
				w.watch(i, node("from"), ms(200, "there"), ms(500, "held"), ms(rapid.SampledFrom([]int{200, 3000}).Draw(t, "late"), "back"), rapid.IntRange(0, 4).Draw(t, "lost") == 0)
			}
		}
		switch i := node("node"); rapid.IntRange(0, 12).Draw(t, "event") {
		case 0, 1, 2:
			w.write(false)
		case 3:
			w.write(true)
		case 4, 5, 6:
			w.gain(i)
		case 7, 8:
			feeders := []feedtree.Node{{Name: w.nodes[i].o.Self.Holder, Address: w.nodes[i].o.Self.Address}}
			for _, c := range w.nodes {
				c.applyFeedPlan(feeders)
			}
		case 9:
			w.first = len(w.log) - 1
		case 10:
			w.restore(rapid.IntRange(0, min(3, len(w.log)-1)).Draw(t, "lost"), ms(int(rewriteGrace.Milliseconds())-1, "again"))
		case 11:
			w.restart(i)
		}
		w.advance(ms(600, "pause"), check)
	}
	return wrong
}

// TestOlderConfigTakenForNewest guards against a node that takes its configuration for the newest as of a time at which
// it lacked an acknowledged version, and so refuses requests on that version's routes for good.
func TestOlderConfigTakenForNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if wrong := playConfigWorld(t, noConfigFault); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// TestOlderConfigFaultsFound checks that the schedules find each of the faults that a configWorld can play.
func TestOlderConfigFaultsFound(t *testing.T) {
	tests := []struct {
		name  string
		fault configFault
	}{
		{"a read counts from when it is handled", readCountsWhenHandled},
		{"a page short of the end counts as whole", shortPageCountsAsWhole},
		{"a snapshot counts from when it is handled", snapshotCountsWhenHandled},
		{"a snapshot has the age of another node's configuration", ageOfAnotherNode},
		{"an unreadable configuration is left out", unreadableIsHidden},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const schedules = 3000
			play := rapid.Custom(func(t *rapid.T) string { return playConfigWorld(t, tt.fault) })
			for seed := range schedules {
				if play.Example(seed) != "" {
					return
				}
			}
			t.Errorf("not found in %d schedules", schedules)
		})
	}
}

// TestFeederConfirmsOlderConfig guards against a feeder whose own reads of the store confirm a newer configuration than
// the one that it relays.
func TestFeederConfirmsOlderConfig(t *testing.T) {
	w := newConfigWorld(3, noConfigFault, t.Logf)
	feeder, follower := w.nodes[1], w.nodes[2]
	w.gain(0)
	for _, c := range w.nodes {
		c.applyFeedPlan([]feedtree.Node{{Name: feeder.o.Self.Holder, Address: feeder.o.Self.Address}})
	}
	w.read(0, true, false, 1, 0, 0)
	w.advance(0, func() {})
	w.watch(1, 0, 0, 0, 0, false)
	w.advance(0, func() {})
	w.watch(2, 1, 0, 0, 0, false)
	w.advance(100*time.Millisecond, func() {})
	w.write(false)
	w.advance(100*time.Millisecond, func() {})
	w.read(1, true, false, 1, 0, 0)
	w.advance(0, func() {})
	w.watch(2, 1, 0, 0, 0, false)
	w.advance(0, func() {})
	if wrong := w.olderTakenForNewest(); wrong != "" || follower.config.Load().version() != 2 {
		t.Errorf("the follower has version %d, want 2 from its feeder: %s", follower.config.Load().version(), wrong)
	}
}

// TestUnreadableConfigIsNewest guards against a node that confirms an older configuration as the newest after it has
// passed over a newer one that it cannot decode.
func TestUnreadableConfigIsNewest(t *testing.T) {
	w := newConfigWorld(1, noConfigFault, t.Logf)
	var got []bool
	for _, unreadable := range []bool{false, true, false} {
		w.advance(time.Second, func() {})
		if w.version > 1 || unreadable {
			w.write(unreadable)
		}
		for range 2 {
			w.advance(time.Second, func() {})
			w.read(0, false, false, 9, 0, 0)
			w.advance(0, func() {})
		}
		got = append(got, w.nodes[0].config.Load().asOf.Equal(w.clock.Now()))
	}
	if diff := cmp.Diff([]bool{true, false, true}, got); diff != "" {
		t.Errorf("confirmed after a configuration, an unreadable one and another one (-want +got):\n%s", diff)
	}
}

// TestLatePageOfEarlierEra guards against a page of before a restore that is handled after it and counts as read in the
// new era, so that a node confirms what the restored store may lack.
func TestLatePageOfEarlierEra(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newController(clock)
	asked := clock.Now()
	configPage{pageInEra(t, 0, 9), false, asked}.handle(c)
	storeRestored{"lease", 5, position.Begin(1)}.handle(c)
	configPage{pageInEra(t, 0, 9), false, asked}.handle(c)
	clock.Advance(rewriteGrace)
	configPage{pageInEra(t, 1, 0), false, clock.Now()}.handle(c)
	if c.config.Load().asOf.After(asked) {
		t.Error("the configuration is confirmed, although no version was read since the restore")
	}
}

// TestVersionSkippedAfterRestore guards against a node that passes over a version soon after a restore, receives an older
// one from the lease holder, and confirms that one by its next read.
func TestVersionSkippedAfterRestore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newController(clock)
	configPage{pageInEra(t, 1, 9), true, clock.Now()}.handle(c)
	s := &peer.Snapshot{Term: "b-1"}
	s.Config = &route.Config{Version: 7}
	snapshotReceived{s, 0, clock.Now()}.handle(c)
	clock.Advance(rewriteGrace)
	configPage{pageInEra(t, 1, 0), false, clock.Now()}.handle(c)
	if asOf := c.config.Load().asOf; !asOf.IsZero() {
		t.Error("version 7 is confirmed as the newest, although version 9 was read")
	}
}
