package control

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/ledger"
	"olivetiller/core/queue"
	"olivetiller/internal/traffic"
	pb "olivetiller/proto/olivetiller/v1"
)

// TestEntriesAheadDoNotCrowdOutTheNext gives a node ten thousand entries ahead
// of its turn, and then the one whose turn it is.
func TestEntriesAheadDoNotCrowdOutTheNext(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(Options{
		Self: ledger.NodeRef{Node: "n", Incarnation: 1}, Clock: clock, Logger: hclog.NewNullLogger(), SnapshotEvery: 1 << 40,
		Dispatcher: traffic.New(clock, "h", queue.Limits{}, traffic.Hooks{}),
	})
	bootState{state: ledger.NewState()}.handle(c)
	for o := uint64(1); o < maxEarly+100; o++ {
		entries{list: []*pb.LogEntry{{Offset: o}}}.handle(c)
	}
	if got := c.state.NextOffset; got != 0 {
		t.Fatalf("folded up to %d without the first entry", got)
	}
	c.next.Store(maxEarly + 100)
	c.healGap()
	if got := c.Next(); got != 0 {
		t.Errorf("the tail goes on at %d, want 0: nobody reads the missing entry", got)
	}
	entries{list: []*pb.LogEntry{{Offset: 0}}}.handle(c)
	if got := c.state.NextOffset; got != maxEarly {
		t.Errorf("folded up to %d, want %d", got, maxEarly)
	}
}
