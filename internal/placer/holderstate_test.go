package placer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/placement"
	"olivetiller/io/peer"
)

// TestRankOfRegions checks that the most urgent rank that waits in any region of a pool applies to its unit.
func TestRankOfRegions(t *testing.T) {
	tests := []struct {
		name string
		uses []placement.Usage
		want int
	}{
		{"one", []placement.Usage{{Waiting: 1, Rank: 2}}, 2},
		{"the most urgent", []placement.Usage{{Waiting: 1, Rank: 2}, {Waiting: 1, Rank: 1}, {Waiting: 1, Rank: 3}}, 1},
		{"of those that wait", []placement.Usage{{Arrivals: 1}, {Waiting: 1, Rank: 2}, {Arrivals: 1}}, 2},
	}
	for _, tt := range tests {
		var sum []placement.Usage
		for _, u := range tt.uses {
			sum = addUse(sum, u)
		}
		if diff := cmp.Diff([]int{tt.want}, []int{sum[0].Rank}); diff != "" || len(sum) != 1 {
			t.Errorf("%s: rank (-want +got):\n%s", tt.name, diff)
		}
	}
}

// TestHolderStateAge guards against a state of the lease holder that counts as fresh for longer than holderTTL after the holder had
// sent it, because its time on the way and in the inbox did not count.
func TestHolderStateAge(t *testing.T) {
	tests := []struct {
		name string
		// transit is the time on the way, and inbox the time from the arrival until the snapshot is handled.
		transit, inbox time.Duration
		fresh          bool
	}{
		{"at once", 0, 0, true},
		{"long on the way", 1200 * time.Millisecond, 0, false},
		{"handled late", 0, 1200 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c := newController(clock)
			madeAt := clock.Now()
			clock.Advance(tt.transit + tt.inbox)
			snapshotReceived{&peer.Snapshot{Term: "h-1", Version: 1, Full: true, HolderAgeMs: 1000}, tt.transit, madeAt}.handle(c)
			if got := c.holderState.fresh; got != tt.fresh {
				t.Errorf("fresh = %t, want %t", got, tt.fresh)
			}
		})
	}
}
