package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// rounded returns paces with two digits.
func rounded(paces map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(paces))
	for k, p := range paces {
		out[k] = math.Round(p*100) / 100
	}
	return out
}

func TestUndisturbedGap(t *testing.T) {
	tests := []struct {
		name string
		ms   []int
		want time.Duration
		ok   bool
	}{
		{"too few", []int{30, 30, 30, 30, 30}, 0, false},
		{"undisturbed", []int{30, 31, 32, 33, 34, 35, 36, 37}, 32 * time.Millisecond, true},
		{"prompts read in between", []int{300, 30, 31, 290, 32, 300, 33, 310}, 32 * time.Millisecond, true},
		{"events read together", []int{0, 0, 0, 60, 30, 30, 30, 30, 30}, 30 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g Gaps
			for _, ms := range tt.ms {
				g.Add(time.Duration(ms) * time.Millisecond)
			}
			got, ok := g.Undisturbed()
			if got != tt.want || ok != tt.ok {
				t.Errorf("Undisturbed() = %v, %v, want %v, %v", got, ok, tt.want, tt.ok)
			}
		})
	}
}

// TestPacesOfUnevenEndpoints replays streams at endpoints of which every fourth takes less than half the time, with models of
// different sizes, of which each endpoint holds two: the endpoint's effect is told apart from the model's.
func TestPacesOfUnevenEndpoints(t *testing.T) {
	const endpoints, models = 40, 20
	rng := rand.New(rand.NewPCG(1, 2))
	e := NewEstimator()
	truth := func(i int) float64 {
		if i%4 == 0 {
			return 0.5
		}
		return 1
	}
	for n := range 4000 {
		i := rng.IntN(endpoints)
		m := (i*7 + rng.IntN(2)*3) % models
		model := 1 / float64(1+m%3)
		gap := 30 * truth(i) * model * (1 + 0.2*rng.Float64())
		e.Add(Sample{Endpoint: fmt.Sprint(i), Model: fmt.Sprint(m), Gap: time.Duration(gap * float64(time.Millisecond))}, at(n))
	}
	paces := e.Paces(at(4000))
	if len(paces) != endpoints {
		t.Errorf("%d paces, want %d", len(paces), endpoints)
	}
	for endpoint, p := range paces {
		var i int
		fmt.Sscan(endpoint, &i)
		if ratio := p / truth(i); ratio < 0.8 || ratio > 1.25 {
			t.Errorf("pace of endpoint %d = %.2f, want about %.2f", i, p, truth(i))
		}
	}
}

func TestPacesOverTime(t *testing.T) {
	e := NewEstimator()
	play := func(from, to int, gaps map[string]int) {
		for ms := from; ms < to; ms += 100 {
			for endpoint, gap := range gaps {
				for _, model := range []string{"m0", "m1"} {
					e.Add(Sample{Endpoint: endpoint, Model: model, Gap: time.Duration(gap) * time.Millisecond}, at(ms))
				}
			}
		}
	}
	even := map[string]int{"a": 30, "b": 30, "c": 30}
	play(0, 3000, even)
	if diff := cmp.Diff(map[string]float64{"a": 1, "b": 1, "c": 1}, rounded(e.Paces(at(3000)))); diff != "" {
		t.Errorf("even endpoints (-want +got):\n%s", diff)
	}
	play(3000, 6000, map[string]int{"a": 120, "b": 30, "c": 30})
	if got := e.Paces(at(6000))["a"]; got < 3 || got > 4 {
		t.Errorf("pace of an endpoint that has turned slow = %.2f, want 3 to 4", got)
	}
	for ms := 6000; ms < 120_000; ms += 1000 {
		e.Paces(at(ms))
	}
	if got := e.Paces(at(126_000))["a"]; got > 1.1 {
		t.Errorf("pace of an endpoint without streams for two minutes = %.2f, want about 1", got)
	}
	e.Keep(func(endpoint string) bool { return endpoint != "a" })
	if _, known := e.Paces(at(126_000))["a"]; known {
		t.Error("the pace of an endpoint that is gone is kept")
	}
}

// TestSeed checks that a new estimator goes on with the paces of the one before, until its own samples tell more.
func TestSeed(t *testing.T) {
	e := NewEstimator()
	e.Seed(map[string]float64{"a": 0.5, "b": -1, "c": math.Inf(1)}, at(0))
	if diff := cmp.Diff(map[string]float64{"a": 0.5}, rounded(e.Paces(at(0)))); diff != "" {
		t.Errorf("paces (-want +got):\n%s", diff)
	}
	for _, endpoint := range []string{"a", "b", "d"} {
		e.Add(Sample{Endpoint: endpoint, Model: "m", Gap: 30 * time.Millisecond}, at(100))
	}
	if got := e.Paces(at(100))["a"]; got > 0.85 {
		t.Errorf("pace = %.2f after one sample like those of the others, want it between 0.5 and 1", got)
	}
	for ms := range 30 {
		for _, endpoint := range []string{"a", "b", "d"} {
			e.Add(Sample{Endpoint: endpoint, Model: "m", Gap: 30 * time.Millisecond}, at(200+ms))
		}
	}
	if got := e.Paces(at(300))["a"]; got < 0.85 {
		t.Errorf("pace = %.2f after many samples like those of the others, want about 1", got)
	}
}

// TestPacesByService checks that endpoints are compared with those of their own service.
func TestPacesByService(t *testing.T) {
	e := NewEstimator()
	gaps := map[string][]int{"quick": {10, 10, 10, 20}, "slow": {100, 100, 100, 50}}
	for service, g := range gaps {
		for i, gap := range g {
			for range 10 {
				for _, model := range []string{"m0", "m1"} {
					e.Add(Sample{Endpoint: fmt.Sprint(service, i), Service: service, Model: model, Gap: time.Duration(gap) * time.Millisecond}, at(0))
				}
			}
		}
	}
	got := e.Paces(at(0))
	if got["quick0"] < 0.9 || got["quick0"] > 1.1 || got["quick3"] < 1.7 || got["slow0"] < 0.9 || got["slow0"] > 1.1 || got["slow3"] > 0.6 {
		t.Errorf("paces %v, want 1 for quick0 and slow0, about 2 for quick3 and 0.5 for slow3", got)
	}
}

// BenchmarkPaces measures an estimate for fleets of several sizes, with three models an endpoint.
func BenchmarkPaces(b *testing.B) {
	for _, endpoints := range []int{140, 1000, 10_000} {
		b.Run(fmt.Sprint(endpoints, " endpoints"), func(b *testing.B) {
			e := NewEstimator()
			for i := range endpoints {
				for m := range 3 {
					e.Add(Sample{Endpoint: fmt.Sprint(i), Model: fmt.Sprint((i*7 + m*3) % (endpoints / 2)), Gap: time.Duration(30+i%7) * time.Millisecond}, at(0))
				}
			}
			for b.Loop() {
				e.Paces(at(0))
			}
		})
	}
}

func TestChanged(t *testing.T) {
	published := map[string]float64{"a": 0.5, "b": 1, "gone": 2}
	next := map[string]float64{"a": 0.54, "b": 1.3, "c": 1.05, "d": 0.456}
	if diff := cmp.Diff(map[string]float64{"b": 1.3, "d": 0.46}, Changed(published, next)); diff != "" {
		t.Errorf("changed paces (-want +got):\n%s", diff)
	}
}
