package placer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/logstore"
	"olivetiller/io/peer"
)

// TestRemovalReadAfterFailedReads guards against a lease holder that relays an endpoint which has left: after a moment in which
// its calls failed it took the removal for an entry that had lapsed in an outage, kept the endpoint for 2.5 s, and published it
// as read just now, so that the nodes that it feeds did not read for themselves.
func TestRemovalReadAfterFailedReads(t *testing.T) {
	type state struct {
		Live, Published []string
		// AgeMs is the age of the list that followers are told, in ms.
		AgeMs int64
	}
	left, stays := []string{"e-2"}, []string{"e-1", "e-2"}
	tests := []struct {
		name string
		// cut is for how long the calls of the holder fail; its latest read before it was sent 100 ms earlier.
		cut time.Duration
		// want is the state at the first read after it, and 3.1 s later.
		want, later state
	}{
		{"no failure", 0, state{left, left, 0}, state{left, left, 0}},
		{"a moment", 500 * time.Millisecond, state{left, left, 0}, state{left, left, 0}},
		{"an outage", 4 * time.Second, state{stays, stays, 4200}, state{left, left, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c, _ := newHolder(t, clock, 0)
			read := func(next uint64, ids ...string) {
				p := logstore.Page[logstore.Instance]{Next: next, End: next}
				for i, id := range ids {
					p.Records = append(p.Records, logstore.Record[logstore.Instance]{Offset: uint64(i), Value: logstore.Instance{ID: id, Instance: instance(id)}})
				}
				instancePage{p, true, clock.Now()}.handle(c)
				configPage{asked: clock.Now()}.handle(c)
			}
			look := func() state {
				s, _, _ := c.published.snapshot(peer.WatchRequest{}, clock.Now())
				got := state{Live: live(c), AgeMs: s.AgeMs}
				for _, r := range s.Instances {
					got.Published = append(got.Published, r.ID)
				}
				return got
			}
			sorted := cmp.Transformer("set", func(ids []string) map[string]bool {
				set := make(map[string]bool)
				for _, id := range ids {
					set[id] = true
				}
				return set
			})
			read(2, "e-1", "e-2")
			c.beginTerm(1, clock.Now())
			clock.Advance(100 * time.Millisecond)
			for range 2 {
				if tt.cut > 0 {
					storeReadFailed{endpointsTopic, clock.Now().Add(tt.cut / 2)}.handle(c)
				}
				clock.Advance(tt.cut / 2)
			}
			clock.Advance(100 * time.Millisecond)
			read(4, "e-2")
			if diff := cmp.Diff(tt.want, look(), sorted); diff != "" {
				t.Errorf("at the first read (-want +got):\n%s", diff)
			}
			clock.Advance(3100 * time.Millisecond)
			read(4, "e-2")
			if diff := cmp.Diff(tt.later, look(), sorted); diff != "" {
				t.Errorf("later (-want +got):\n%s", diff)
			}
		})
	}
}
