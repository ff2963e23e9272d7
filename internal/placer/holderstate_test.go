package placer

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/placement"
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
