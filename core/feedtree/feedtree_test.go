package feedtree

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "olivetiller/internal/fixedseed"
)

// fleet returns nodes spread evenly over data halls, about one in twenty of them strong.
func fleet(nodes, halls int) []Node {
	var out []Node
	for i := range nodes {
		n := Node{Name: fmt.Sprintf("n%04d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Hall: string(rune('a' + i%halls)), Strength: 4}
		if i%20 < halls && i%20 == i%halls {
			n.Strength = 1600
		}
		out = append(out, n)
	}
	return out
}

// TestFollowersPerFeeder checks that followers are spread over the feeders of their own hall, so that none has over
// a quarter more than FanOut, and that weak nodes do not become feeders. Fleets have 1 node to twice the largest known
// number.
func TestFollowersPerFeeder(t *testing.T) {
	for _, size := range []int{1, 7, 71, 128, 129, 300, 984, 2000} {
		nodes := fleet(size, 5)
		feeders := Plan(nodes, nil)
		children := make(map[string]int)
		for _, n := range nodes {
			if choices := Candidates(feeders, n.Name, n.Hall); len(choices) > 0 {
				children[choices[0].Name]++
				if choices[0].Hall != n.Hall {
					t.Errorf("%d nodes: %s of hall %s follows a feeder of hall %s", size, n.Name, n.Hall, choices[0].Hall)
				}
			} else {
				children["holder"]++
			}
		}
		for name, k := range children {
			if k > FanOut+FanOut/4 {
				t.Errorf("%d nodes: %s has %d followers, want at most about %d", size, name, k, FanOut)
			}
		}
		for _, f := range feeders {
			if f.Strength < 1600 {
				t.Errorf("%d nodes: %s is a feeder although it is weak", size, f.Name)
			}
		}
	}
}

// TestFeedersStay checks that the loss of a feeder does not make other feeders lose their role.
func TestFeedersStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleet(rapid.IntRange(FanOut+1, 600).Draw(t, "nodes"), rapid.IntRange(1, 6).Draw(t, "halls"))
		before := Plan(nodes, nil)
		gone := rapid.IntRange(0, len(before)-1).Draw(t, "gone")
		var left []Node
		for _, n := range nodes {
			if n.Name != before[gone].Name {
				left = append(left, n)
			}
		}
		after := Plan(left, before)
		if len(left) <= FanOut {
			return
		}
		for i, f := range before {
			if i != gone && !IsFeeder(after, f.Name) && len(after) >= len(before) {
				t.Errorf("feeder %s lost its role after %s was lost", f.Name, before[gone].Name)
			}
		}
		if IsFeeder(after, before[gone].Name) {
			t.Error("a lost node is still a feeder")
		}
	})
}

// TestWeakFeederReplaced checks that a much stronger node replaces a weak feeder.
func TestWeakFeederReplaced(t *testing.T) {
	nodes := fleet(200, 1)
	weak := Node{Name: "weak", Address: "w", Hall: "a", Strength: 4}
	if after := Plan(append(nodes, weak), []Node{weak}); IsFeeder(after, "weak") {
		t.Errorf("feeders = %v, want the strong ones", after)
	}
}

// TestReadDelay checks that nodes of a large fleet that all lose their feeders make at most readsPerSecond complete
// reads a second of the store, and that small fleets do not wait.
func TestReadDelay(t *testing.T) {
	if diff := cmp.Diff([]time.Duration{0, 0}, []time.Duration{ReadDelay(1, 12, 0.9), ReadDelay(FanOut, 91, 0.9)}); diff != "" {
		t.Errorf("delay in small fleets (-want +got):\n%s", diff)
	}
	for _, nodes := range []int{300, 984, 2000} {
		reads := make(map[time.Duration]int)
		for i := range nodes {
			reads[ReadDelay(nodes, 0, float64(i)/float64(nodes)).Truncate(time.Second)]++
		}
		for at, n := range reads {
			if n > readsPerSecond+1 {
				t.Errorf("%d nodes: %d reads in the second from %v, want %d at most", nodes, n, at, readsPerSecond)
			}
		}
	}
}

// TestReadDelayOfShortLists checks that nodes of a large fleet that all lose their feeders read at most entriesPerSecond
// entries a second of the store in any tenth of a second, and begin within quickReads where the list is short.
func TestReadDelayOfShortLists(t *testing.T) {
	tests := []struct {
		nodes, entries int
		quick          bool
	}{
		{195, 129, true}, {300, 200, true}, {300, 3000, false}, {984, 129, false}, {984, 9998, false}, {2000, 20000, false},
	}
	for _, tt := range tests {
		const window = 100 * time.Millisecond
		reads, last := make(map[time.Duration]int), time.Duration(0)
		for i := range tt.nodes {
			d := ReadDelay(tt.nodes, tt.entries, float64(i)/float64(tt.nodes))
			reads[d.Truncate(window)]++
			last = max(last, d)
		}
		limit := max(readsPerSecond, entriesPerSecond/tt.entries)/10 + 1
		for at, n := range reads {
			if n > limit {
				t.Errorf("%d nodes, %d entries: %d reads within %v from %v, want %d at most", tt.nodes, tt.entries, n, window, at, limit)
			}
		}
		if quick := last <= quickReads; quick != tt.quick {
			t.Errorf("%d nodes, %d entries: the last read begins after %v, want quick %t", tt.nodes, tt.entries, last, tt.quick)
		}
	}
}
