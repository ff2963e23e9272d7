package placer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/lease"
	"olivetiller/core/logstore"
	"olivetiller/core/position"
	"olivetiller/core/route"
)

// pageInEra returns the page of a read in an era, with one configuration record of a version; 0 for a page without
// records.
func pageInEra(t *testing.T, era uint64, version int64) logstore.Page[logstore.Config] {
	t.Helper()
	end := position.Begin(era) + 5
	page := logstore.Page[logstore.Config]{Next: end, End: end}
	if version > 0 {
		table, err := route.New(&route.Config{Version: version})
		if err != nil {
			t.Fatal(err)
		}
		page.Records = []logstore.Record[logstore.Config]{{Offset: end - 1, Value: logstore.Config{Table: table}}}
	}
	return page
}

// TestConfigAfterRestore checks which configuration is in force after the store was restored from an older backup.
// Until the operator has written the newest version again, an older one from the backup must not be put in force, and
// nothing may be confirmed as the newest, neither before the operator has had the time nor while the store's version
// is older than the one in force.
func TestConfigAfterRestore(t *testing.T) {
	type read struct {
		after   time.Duration
		era     uint64
		version int64
	}
	tests := []struct {
		name  string
		reads []read
		// inForce is the final version, and confirmed is whether the last read showed that it is the newest.
		inForce   int64
		confirmed bool
	}{
		{"never put back", []read{{0, 0, 9}}, 9, true},
		{"put back, not yet written again", []read{{0, 0, 9}, {time.Second, 1, 7}}, 9, false},
		{"the store's stays older", []read{{0, 0, 9}, {time.Second, 1, 7}, {rewriteGrace, 1, 0}}, 9, false},
		{"written again at once", []read{{0, 0, 9}, {time.Second, 1, 9}}, 9, false},
		{"written again, time over", []read{{0, 0, 9}, {time.Second, 1, 9}, {rewriteGrace, 1, 0}}, 9, true},
		{"a newer one", []read{{0, 0, 9}, {time.Second, 1, 7}, {rewriteGrace, 1, 11}}, 11, true},
		{"a node that knows none", []read{{0, 3, 7}}, 0, false},
		{"a node that knows none, time over", []read{{0, 3, 7}, {rewriteGrace, 3, 9}}, 9, true},
		{"twice in a row", []read{{0, 0, 9}, {time.Second, 1, 9}, {rewriteGrace, 2, 9}}, 9, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c := newController(clock)
			for _, r := range tt.reads {
				clock.Advance(r.after)
				configPage{pageInEra(t, r.era, r.version), false, clock.Now()}.handle(c)
			}
			version := int64(0)
			if table := c.Table(); table != nil {
				version = table.Config.Version
			}
			if version != tt.inForce || c.config.Load().asOf.Equal(clock.Now()) != tt.confirmed {
				t.Errorf("version %d, newest as of %v before now; want %d, confirmed %t", version, clock.Now().Sub(c.config.Load().asOf), tt.inForce, tt.confirmed)
			}
		})
	}
}

// TestListAfterRestore checks that a list from an older backup does not undo newer state: a drained engine stays
// drained, and an engine that the backup lacks stays until its writer has had the time to write again.
func TestListAfterRestore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newController(clock)
	page := func(era uint64, ids ...string) logstore.Page[logstore.Instance] {
		p := logstore.Page[logstore.Instance]{Next: position.Begin(era) + 9, End: position.Begin(era) + 9}
		for i, id := range ids {
			p.Records = append(p.Records, logstore.Record[logstore.Instance]{Offset: position.Begin(era) + uint64(i), Value: directory.Record{ID: id, Instance: instance(id)}})
		}
		return p
	}
	instancePage{page(0, "a", "b"), true, clock.Now()}.handle(c)
	c.directory.Drain("a")
	clock.Advance(time.Second)
	instancePage{page(1, "a"), true, clock.Now()}.handle(c)
	if diff := cmp.Diff([]string{"a", "b"}, live(c)); diff != "" {
		t.Errorf("just after the restore (-want +got):\n%s", diff)
	}
	if e := c.directory.Live(clock.Now())[0]; !e.Draining {
		t.Error("the backup undid a drain")
	}
	clock.Advance(rewriteGrace)
	instancePage{page(1, "a"), true, clock.Now()}.handle(c)
	clock.Advance(time.Minute)
	if diff := cmp.Diff([]string{"a"}, live(c)); diff != "" {
		t.Errorf("after the grace period (-want +got):\n%s", diff)
	}
}

// TestReaderEra checks when a reader detects a restored store, and when it performs another full read.
func TestReaderEra(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	var e readerEra
	got := []bool{
		e.enter(position.Begin(0)+3, now), e.rereadDue(now.Add(time.Hour)), e.enter(position.Begin(1), now), e.enter(position.Begin(1)+1, now),
		e.rereadDue(now), e.rereadDue(now.Add(rewriteGrace)), e.rereadDue(now.Add(rewriteGrace)),
	}
	if diff := cmp.Diff([]bool{false, false, true, false, false, true, false}, got); diff != "" {
		t.Errorf("steps (-want +got):\n%s", diff)
	}
}

// TestFenceRisesWithinTerm guards against a lease holder that renews its lease in a restored store and then sends no
// orders, because its fencing number is no longer the one under which its term was published.
func TestFenceRisesWithinTerm(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newController(clock)
	c.listed = true
	hold := func(at uint64) uint64 {
		c.lease.Acknowledged(c.lease.Begin(clock.Now(), nil), at, clock.Now())
		c.maintainLease(t.Context(), clock.Now())
		_, fence := c.lease.Holder()
		if err := c.mayOrder(fence); err != nil {
			t.Errorf("an order under fencing number %d is refused: %v", fence, err)
		}
		return fence
	}
	before := hold(4)
	clock.Advance(lease.RenewEvery)
	c.lease.CaughtUp(position.Begin(1), clock.Now())
	if after := hold(position.Begin(1)); after <= before {
		t.Errorf("fencing number %d follows %d in the restored store, want it to rise", after, before)
	}
}
