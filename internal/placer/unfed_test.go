package placer

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/feedtree"
	"olivetiller/core/lease"
	"olivetiller/core/logstore"
	"olivetiller/core/queue"
	"olivetiller/core/route"
	"olivetiller/internal/traffic"
	"olivetiller/io/peer"
)

// unfedNodes returns the controllers of a fleet that have all received a snapshot with some endpoints, and nothing after
// it.
func unfedNodes(clock clockwork.Clock, nodes, endpoints int, bound time.Duration) []*Controller {
	out := make([]*Controller, nodes)
	var list []directory.Record
	for i := range endpoints {
		id := fmt.Sprint("e", i)
		list = append(list, directory.Record{ID: id, Version: 1, Relayed: true, Instance: instance(id)})
	}
	for i := range out {
		out[i] = New(Options{
			Self: lease.Record{Holder: fmt.Sprint("n", i), Incarnation: fmt.Sprint("n", i, "-1")}, Clock: clock, Logger: hclog.NewNullLogger(),
			Dispatcher: traffic.New(clock, "h", queue.Limits{Items: 9, Bytes: 999}, traffic.Hooks{}), Bound: bound,
		})
		s := &peer.Snapshot{Term: "h-1", Version: 1, Nodes: nodes, Full: true}
		s.Instances, s.DirectoryVersion = slices.Clone(list), 1
		snapshotReceived{s, 0, clock.Now()}.handle(out[i])
	}
	return out
}

// begunReads advances the clock step by step until each node begins to read, or for four bounds, and returns after how
// long the last one does, and the most that begin within one step.
func begunReads(clock *clockwork.FakeClock, fleet []*Controller, bound time.Duration, skips func(c *Controller) bool) (last time.Duration, most int) {
	const step = 10 * time.Millisecond
	begun := make([]bool, len(fleet))
	for age := time.Duration(0); age <= 4*bound; age += step {
		n := 0
		for i, c := range fleet {
			if !begun[i] && !skips(c) {
				begun[i], last = true, age
				n++
			}
		}
		most = max(most, n)
		clock.Advance(step)
	}
	return last, most
}

// TestUnfedNodeReadsConfigLate guards against nodes of a fleet with feeders that are no longer fed and wait longer than
// the bound before they read the configuration, and against reads of all nodes at the same moment.
func TestUnfedNodeReadsConfigLate(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, nodes := range []int{9, 71, 195, 300, 984} {
			t.Run(fmt.Sprint(nodes, " nodes, ", bound), func(t *testing.T) {
				clock := clockwork.NewFakeClock()
				fleet := unfedNodes(clock, nodes, 0, bound)
				last, most := begunReads(clock, fleet, bound, (*Controller).skipsConfigReads)
				// The read begins at the next tick, and may fail once.
				if worst := last + tickEvery + fleet[0].timing.silenceTimeout; worst >= bound {
					t.Errorf("the last node begins to read after %v, and has read after %v if its first read fails; want less than %v", last, worst, bound)
				}
				if nodes > feedtree.FanOut && most > nodes/2 {
					t.Errorf("%d of %d nodes begin together", most, nodes)
				}
			})
		}
	}
}

// TestUnfedNodeReadsListLate guards against nodes of a fleet with feeders that are no longer fed and wait longer than the
// bound before they read the list of endpoints, although it is short.
func TestUnfedNodeReadsListLate(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, size := range []struct{ nodes, endpoints int }{{9, 12}, {71, 91}, {195, 129}, {300, 200}} {
			t.Run(fmt.Sprint(size.nodes, " nodes, ", size.endpoints, " endpoints, ", bound), func(t *testing.T) {
				clock := clockwork.NewFakeClock()
				fleet := unfedNodes(clock, size.nodes, size.endpoints, bound)
				last, _ := begunReads(clock, fleet, bound, (*Controller).skipsStoreReads)
				if worst := last + tickEvery + fleet[0].timing.silenceTimeout; worst >= bound {
					t.Errorf("the last node begins to read after %v, and has read after %v if its first read fails; want less than %v", last, worst, bound)
				}
			})
		}
	}
}

// TestReadAfterFailureWaits guards against a reader that learns of the store's return only from a read that waits for
// news: while such reads hang, the other readers rest although reads without a wait are answered.
func TestReadAfterFailureWaits(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newController(clock)
	ctx, cancel := context.WithCancel(t.Context())
	var waits []time.Duration
	go func() {
		// Ends the pause after the failed read.
		for ctx.Err() == nil {
			clock.Advance(tickEvery)
		}
	}()
	follow(ctx, c, reader[[]byte]{
		name: "lease", retriesInOutage: true, idle: func() bool { return false },
		read: func(_ context.Context, _ uint64, wait time.Duration) (logstore.Page[[]byte], error) {
			waits = append(waits, wait)
			switch len(waits) {
			case 2:
				return logstore.Page[[]byte]{}, context.DeadlineExceeded
			case 4:
				cancel()
			}
			return logstore.Page[[]byte]{}, nil
		},
		apply: func(p logstore.Page[[]byte], _ bool, _ time.Time) message { return leasePage{p} },
	})
	if diff := cmp.Diff([]time.Duration{0, c.timing.ownWait, 0, c.timing.ownWait}, waits); diff != "" {
		t.Errorf("waits of the reads, of which the second fails (-want +got):\n%s", diff)
	}
}

// TestRelayedAgeCountsFromHandling guards against relayed state that counts as fresh because a read of the store, or a
// snapshot, was handled long after it was made.
func TestRelayedAgeCountsFromHandling(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newController(clock)
	c.published.begin("a-1", 1, 1, nil, 0)
	asked := clock.Now()
	clock.Advance(time.Second)
	configPage{logstore.Page[logstore.Config]{}, false, asked}.handle(c)
	instancePage{page: logstore.Page[logstore.Instance]{}, asked: clock.Now()}.handle(c)
	s, _, _ := c.published.snapshot(peer.WatchRequest{}, clock.Now())
	got := []int64{s.AgeMs}
	instancePage{page: logstore.Page[logstore.Instance]{Next: 3, End: 9}, asked: clock.Now()}.handle(c)
	clock.Advance(2 * time.Second)
	configPage{logstore.Page[logstore.Config]{}, false, clock.Now()}.handle(c)
	instancePage{page: logstore.Page[logstore.Instance]{Next: 4, End: 9}, asked: clock.Now()}.handle(c)
	s, _, _ = c.published.snapshot(peer.WatchRequest{}, clock.Now())
	if diff := cmp.Diff([]int64{1000, 2000}, append(got, s.AgeMs)); diff != "" {
		t.Errorf("ages after a page of the configuration that was asked for 1 s ago, and 2 s after the list was last read to its end (-want +got):\n%s", diff)
	}
	f := newController(clock)
	snapshotReceived{&peer.Snapshot{Term: "b-1", Version: 1}, 0, clock.Now().Add(-3 * time.Second)}.handle(f)
	if f.relayFresh() {
		t.Error("a snapshot that is handled 3 s after it was made counts as fresh")
	}
}

// TestUnfedNodesReadInFull guards against nodes that are no longer fed and each read the newest records of the
// operators' topic in full, although they know up to where their feed had read.
func TestUnfedNodesReadInFull(t *testing.T) {
	const relayedTo = 7
	c := newController(clockwork.NewFakeClock())
	s := &peer.Snapshot{Term: "b-1"}
	s.Config, s.ConfigVersion, s.ConfigReadTo = &route.Config{Version: 3}, 3, relayedTo
	snapshotReceived{s, 0, c.o.Clock.Now()}.handle(c)
	ctx, cancel := context.WithCancel(t.Context())
	type call struct {
		Full bool
		From uint64
		Wait time.Duration
	}
	var got []call
	done := func(c call) (logstore.Page[logstore.Config], error) {
		if got = append(got, c); len(got) == 2 {
			cancel()
		}
		return logstore.Page[logstore.Config]{Next: relayedTo + 1, End: relayedTo + 1}, nil
	}
	idle := []bool{true, false, false}
	clock := c.o.Clock.(*clockwork.FakeClock)
	go func() {
		for ctx.Err() == nil {
			clock.Advance(tickEvery)
		}
	}()
	follow(ctx, c, reader[logstore.Config]{
		name: "configuration", resumeAt: c.resumeConfigAt,
		idle: func() bool { first := idle[0]; idle = idle[1:]; return first },
		read: func(_ context.Context, from uint64, wait time.Duration) (logstore.Page[logstore.Config], error) {
			return done(call{From: from, Wait: wait})
		},
		readFull: func(context.Context, time.Duration) (logstore.Page[logstore.Config], error) {
			return done(call{Full: true})
		},
		apply: func(p logstore.Page[logstore.Config], full bool, asked time.Time) message {
			return configPage{p, full, asked}
		},
	})
	want := []call{{From: relayedTo}, {From: relayedTo + 1, Wait: c.timing.ownWait}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reads of a node that was fed (-want +got):\n%s", diff)
	}
}

// TestRestedReaderIsImpatient guards against a reader that failed, was idle while its node was fed, and then waits for
// its first answer as long as after its last failure.
func TestRestedReaderIsImpatient(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newController(clock)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for ctx.Err() == nil {
			clock.Advance(tickEvery)
		}
	}()
	var got []time.Duration
	rounds := 0
	follow(ctx, c, reader[logstore.Config]{
		name: "configuration",
		idle: func() bool { rounds++; return rounds == 3 },
		readFull: func(_ context.Context, silence time.Duration) (logstore.Page[logstore.Config], error) {
			if got = append(got, silence); len(got) == 3 {
				cancel()
			}
			return logstore.Page[logstore.Config]{}, context.DeadlineExceeded
		},
	})
	first := c.timing.silenceTimeout
	if diff := cmp.Diff([]time.Duration{first, 2 * first, first}, got); diff != "" {
		t.Errorf("patience of two reads that fail, and of one after a rest (-want +got):\n%s", diff)
	}
}

// TestDroppedHistoryIsSkipped guards against a reader that learns that its history was dropped, is idle before it can read
// in full, and then reads on behind the dropped records.
func TestDroppedHistoryIsSkipped(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newController(clock)
	c.recordReadTo(4)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for ctx.Err() == nil {
			clock.Advance(tickEvery)
		}
	}()
	var got []string
	rounds := 0
	follow(ctx, c, reader[logstore.Config]{
		name: "configuration", resumeAt: c.resumeConfigAt,
		// The reader is idle at first, and after its first read.
		idle: func() bool { rounds++; return rounds != 2 && rounds < 4 },
		read: func(_ context.Context, from uint64, _ time.Duration) (logstore.Page[logstore.Config], error) {
			got = append(got, fmt.Sprint("from ", from))
			if len(got) > 1 {
				cancel()
			}
			return logstore.Page[logstore.Config]{}, &logstore.Error{Kind: logstore.Dropped, First: 9, Cause: context.DeadlineExceeded}
		},
		readFull: func(context.Context, time.Duration) (logstore.Page[logstore.Config], error) {
			got = append(got, "in full")
			cancel()
			return logstore.Page[logstore.Config]{Next: 9, End: 9}, nil
		},
		apply: func(p logstore.Page[logstore.Config], full bool, asked time.Time) message {
			return configPage{p, full, asked}
		},
	})
	if diff := cmp.Diff([]string{"from 4", "in full"}, got); diff != "" {
		t.Errorf("reads (-want +got):\n%s", diff)
	}
}
