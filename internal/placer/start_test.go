package placer

import (
	"fmt"
	"testing"
	"time"

	"olivetiller/core/lease"
)

// TestNodesStartInTurn guards against nodes that start together and all read everything at once.
func TestNodesStartInTurn(t *testing.T) {
	for _, nodes := range []int{1, 6, 71, 300} {
		rec := lease.Record{Holder: "n0", Life: "n0-1", Members: nodes}
		soon := 0
		for i := range nodes {
			name := fmt.Sprintf("n%d", i)
			d := startDelay(rec, true, lease.Record{Holder: name, Life: name + "-2"})
			if i == 0 && d != 0 {
				t.Errorf("the machine that held the lease waits for %v", d)
			}
			if d > time.Duration(nodes)*startPerNode || d > startAtMost {
				t.Errorf("%s of %d nodes waits for %v", name, nodes, d)
			}
			if d < 100*time.Millisecond {
				soon++
			}
		}
		if most := 30; soon > most {
			t.Errorf("%d of %d nodes read in the first 100 ms, want %d at the most", soon, nodes, most)
		}
	}
	if d := startDelay(lease.Record{}, false, lease.Record{Holder: "n1"}); d != 0 {
		t.Errorf("where nobody ever held the lease a node waits for %v", d)
	}
}
