package retry

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestTypical checks which answers count for a kind of request, by their number, their age and the sizes of their prompts.
func TestTypical(t *testing.T) {
	const ms = time.Millisecond
	type observation struct {
		size, n int
		took    time.Duration
	}
	tests := []struct {
		name         string
		observations []observation
		size         int
		after        time.Duration
		// want is the median, rounded to the precision of the buckets; 0 if it is not known.
		want time.Duration
	}{
		{"too few", []observation{{1, 19, 10 * ms}}, 1, 0, 0},
		{"enough", []observation{{1, 20, 10 * ms}}, 1, 0, 10 * ms},
		{"as many when they were new", []observation{{1, 39, 10 * ms}}, 1, answerHalfLife, 0},
		{"enough after a while", []observation{{1, 40, 10 * ms}}, 1, answerHalfLife, 10 * ms},
		{"long ago", []observation{{1, 1 << 15, 10 * ms}}, 1, 100 * answerHalfLife, 0},
		{"larger prompts count too", []observation{{1, 5, 10 * ms}, {3, 15, 40 * ms}}, 1, 0, 40 * ms},
		{"larger prompts are not needed", []observation{{1, 20, 10 * ms}, {3, 99, 40 * ms}}, 1, 0, 10 * ms},
		{"smaller prompts do not count", []observation{{1, 99, 10 * ms}, {3, 19, 40 * ms}}, 3, 0, 0},
		{"unknown sizes do not mix with others", []observation{{0, 5, 10 * ms}, {1, 99, 10 * ms}}, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewAnswerTimes()
			for _, o := range tt.observations {
				for range o.n {
					a.Observe(Kind{"r", o.size}, o.took, start)
				}
			}
			got, ok := a.Typical(Kind{"r", tt.size}, 0.95, start.Add(tt.after))
			if ok != (tt.want > 0) {
				t.Fatalf("Typical() = %+v, %v", got, ok)
			}
			if ok && math.Abs(math.Log2(float64(got.Median)/float64(tt.want))) > 1.0/bucketsPerDoubling {
				t.Errorf("median %v, want about %v", got.Median, tt.want)
			}
		})
	}
}

// TestTypicalIsPrecise compares learned quantiles with those of the samples.
func TestTypicalIsPrecise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAnswerTimes()
		times := rapid.SliceOfN(rapid.Int64Range(int64(2*time.Millisecond), int64(time.Minute)), minSamples, 200).Draw(t, "times")
		for _, d := range times {
			a.Observe(Kind{}, time.Duration(d), start)
		}
		got, ok := a.Typical(Kind{}, 0.95, start)
		if !ok {
			t.Fatal("the times are not known")
		}
		slices.Sort(times)
		for _, q := range []struct {
			rank float64
			got  time.Duration
		}{{0.5, got.Median}, {0.75, got.UpperQuartile}, {0.95, got.Late}} {
			exact := float64(times[max(0, int(math.Ceil(q.rank*float64(len(times))-1e-9))-1)])
			if r := float64(q.got) / exact; r < 1-1e-9 || r > math.Exp2(1.0/bucketsPerDoubling)+1e-9 {
				t.Errorf("quantile %v is %v, exactly %v", q.rank, q.got, time.Duration(exact))
			}
		}
	})
}

// TestAnswerTimesAreBounded checks that many routes do not take more memory, and that those in use are kept.
func TestAnswerTimesAreBounded(t *testing.T) {
	a, now := NewAnswerTimes(), start
	for i := range 10 * maxKinds {
		now = now.Add(time.Second)
		a.Observe(Kind{Name: "used"}, time.Second, now)
		a.Observe(Kind{Name: fmt.Sprint(i)}, time.Second, now)
	}
	_, used := a.Typical(Kind{Name: "used"}, 0.95, now)
	if diff := cmp.Diff([]any{maxKinds, true}, []any{len(a.names), used}); diff != "" {
		t.Errorf("names, and whether the one in use is known (-want +got):\n%s", diff)
	}
}

func TestSizeClass(t *testing.T) {
	var got []int
	for _, tokens := range []int{-1, 0, 1, 255, 256, 1023, 1024, 4095, 4096, 16384, 65536, 1 << 30} {
		got = append(got, SizeClass(tokens))
	}
	if diff := cmp.Diff([]int{0, 0, 1, 1, 2, 2, 3, 3, 4, 5, 6, 6}, got); diff != "" {
		t.Errorf("size classes (-want +got):\n%s", diff)
	}
}
