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

// TestEarlyEntriesAreBounded sends a node more than maxEarlyEntries entries beyond
// a missing one. The kept entries must stay within the bound, the tail must read
// the missing entry again, and the entry must still be accepted and applied: a
// bound on the number of kept entries would reject it.
func TestEarlyEntriesAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(Options{
		Self: ledger.NodeRef{Node: "n", Incarnation: 1}, Clock: clock, Logger: hclog.NewNullLogger(), SnapshotEvery: 1 << 40,
		Dispatcher: traffic.New(clock, "h", queue.Limits{}, traffic.Hooks{}),
	})
	bootState{state: ledger.NewState()}.handle(c)
	for o := uint64(1); o < maxEarlyEntries+100; o++ {
		entries{list: []*pb.LogEntry{{Offset: o}}}.handle(c)
	}
	if got := c.state.NextOffset; got != 0 {
		t.Fatalf("applied up to offset %d without the first entry", got)
	}
	c.next.Store(maxEarlyEntries + 100)
	c.rereadGap()
	if got := c.Next(); got != 0 {
		t.Errorf("the tail reads next at %d, want 0: the missing entry is not read", got)
	}
	entries{list: []*pb.LogEntry{{Offset: 0}}}.handle(c)
	if got := c.state.NextOffset; got != maxEarlyEntries {
		t.Errorf("applied up to offset %d, want %d", got, maxEarlyEntries)
	}
}
