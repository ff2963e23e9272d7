package choose

import (
	"math/rand/v2"
	"testing"
)

const (
	short = 800
	long  = 9000
)

// shares returns the share of keys whose home is each replica.
func shares(replicas []Replica, prompt int) []float64 {
	const keys = 20_000
	l := NewLanes(replicas)
	out := make([]float64, len(replicas))
	rng := rand.New(rand.NewPCG(1, 2))
	for range keys {
		out[l.Home(prompt, func(int) uint64 { return rng.Uint64() })] += 1.0 / keys
	}
	return out
}

// TestLanes checks where short and long prompts go among replicas of uneven speed and load.
func TestLanes(t *testing.T) {
	const fast, slow = 0.45, 1
	rep := func(pace float64, load int, order uint64) Replica {
		return Replica{Pace: pace, Load: load, Order: order}
	}
	tests := []struct {
		name        string
		replicas    []Replica
		short, long []float64
	}{
		{"one", []Replica{rep(slow, 9, 1)}, []float64{1}, []float64{1}},
		{"a fast one", []Replica{rep(slow, 0, 1), rep(fast, 0, 2), rep(slow, 0, 3)}, []float64{0, 1, 0}, []float64{0.32, 0.36, 0.32}},
		{"two fast ones", []Replica{rep(fast, 0, 1), rep(fast, 0, 2), rep(slow, 0, 3)}, []float64{0.5, 0.5, 0}, []float64{0.34, 0.34, 0.31}},
		{"only fast ones", []Replica{rep(fast, 0, 1), rep(fast, 0, 2)}, []float64{0.5, 0.5}, []float64{0.5, 0.5}},
		{"no fast one", []Replica{rep(slow, 0, 2), rep(slow, 0, 1), rep(slow, 0, 3)}, []float64{0, 1, 0}, []float64{0.5, 0, 0.5}},
		{"two without a fast one", []Replica{rep(slow, 0, 1), rep(slow, 0, 2)}, []float64{1, 0}, []float64{0, 1}},
		{"unknown paces", []Replica{rep(0, 0, 1), rep(0, 0, 2)}, []float64{1, 0}, []float64{0, 1}},
		{"a loaded reader", []Replica{rep(slow, 0, 1), rep(slow, 16, 2), rep(slow, 0, 3)}, []float64{1, 0, 0}, []float64{0, 0.33, 0.66}},
		{"a crowded stream lane", []Replica{rep(slow, 400, 1), rep(slow, 0, 2)}, []float64{0.5, 0.5}, []float64{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for i, want := range tt.short {
				if got := shares(tt.replicas, short)[i]; got < want-0.04 || got > want+0.04 {
					t.Errorf("replica %d gets %.2f of the short prompts, want %.2f", i, got, want)
				}
			}
			for i, want := range tt.long {
				if got := shares(tt.replicas, long)[i]; got < want-0.04 || got > want+0.04 {
					t.Errorf("replica %d gets %.2f of the long prompts, want %.2f", i, got, want)
				}
			}
		})
	}
}

// TestHomesStay checks that a change of loads moves only the keys that the loaded replica gives up.
func TestHomesStay(t *testing.T) {
	even := NewLanes([]Replica{{Order: 1}, {Order: 2}, {Order: 3}, {Order: 4}})
	loaded := NewLanes([]Replica{{Order: 1}, {Order: 2, Load: 16}, {Order: 3}, {Order: 4}})
	rng := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		hashes := []uint64{rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64()}
		of := func(i int) uint64 { return hashes[i] }
		if before, after := even.Home(long, of), loaded.Home(long, of); before != after && before != 1 {
			t.Fatalf("a key moved from replica %d to %d when replica 1 got load", before, after)
		}
	}
}

// TestStreamsBesideLongPrompts replays streams of two seconds and long prompts that two slow replicas and one fast one share,
// four of each in a second. A stream is disturbed if a prompt is read beside it at a slow replica. Two in three are where
// requests go to any replica, since each slow one then reads a prompt and a half in that time.
func TestStreamsBesideLongPrompts(t *testing.T) {
	replicas := []Replica{{Pace: 0.45, Order: 1}, {Pace: 1, Order: 2}, {Pace: 1, Order: 3}}
	lanes := NewLanes(replicas)
	disturbed := func(pick func(prompt int, rng *rand.Rand) int) float64 {
		rng := rand.New(rand.NewPCG(5, 6))
		const ticks = 10_000
		ends := make([][]int, len(replicas))
		n, hit := 0, 0
		for tick := range ticks {
			// A tick is 250 ms: one stream and one long prompt.
			i := pick(long, rng)
			for k := range ends {
				kept := ends[k][:0]
				for _, end := range ends[k] {
					switch {
					case end <= tick:
					case k == i && replicas[k].Pace == 1:
						hit++
					default:
						kept = append(kept, end)
					}
				}
				ends[k] = kept
			}
			i = pick(short, rng)
			ends[i] = append(ends[i], tick+8)
			n++
		}
		return float64(hit) / float64(n)
	}
	anywhere := disturbed(func(_ int, rng *rand.Rand) int { return rng.IntN(len(replicas)) })
	apart := disturbed(func(prompt int, rng *rand.Rand) int {
		return lanes.Home(prompt, func(int) uint64 { return rng.Uint64() })
	})
	if anywhere < 0.5 || apart > 0.05 {
		t.Errorf("%.2f of the streams are disturbed with lanes, want at most 0.05; %.2f without, want more than 0.5", apart, anywhere)
	}
}
