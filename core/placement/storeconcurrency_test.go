package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
)

// sharedStore is a weight store that runs a number of loads at full speed and slows all down in
// proportion beyond that.
type sharedStore struct {
	atOnce int
	loads  map[string]float64
}

// advance lets time pass and returns the engines whose loads have ended.
func (s *sharedStore) advance(d time.Duration, full time.Duration) (done []string) {
	speed := min(1, float64(s.atOnce)/float64(max(1, len(s.loads))))
	for e := range s.loads {
		if s.loads[e] += speed * d.Seconds() / full.Seconds(); s.loads[e] >= 1 {
			done = append(done, e)
		}
	}
	for _, e := range done {
		delete(s.loads, e)
	}
	return done
}

// TestStoreConcurrencyEstimate runs requests for more models without a copy than the store can
// load, on stores of four speeds. The estimate must reach the store's concurrency within some
// loads, and the first model must be ready in the time that this allows. With a fixed
// concurrency of four and a store that runs one load at full speed, the first model was ready
// only after 53 s.
func TestStoreConcurrencyEstimate(t *testing.T) {
	tests := []struct {
		atOnce   int
		within   time.Duration
		firstBy  time.Duration
		estimate [2]int
	}{
		{1, 20 * time.Second, 19 * time.Second, [2]int{1, 1}},
		{2, 30 * time.Second, 10 * time.Second, [2]int{2, 3}},
		{4, 30 * time.Second, 7 * time.Second, [2]int{4, 5}},
		// The rate limit allows at most 18 loads in progress, too few to tell 16 from 32.
		{16, 60 * time.Second, 7 * time.Second, [2]int{8, 32}},
	}
	const engines, models, tick = 24, 200, 50 * time.Millisecond
	for _, test := range tests {
		t.Run(fmt.Sprint(test.atOnce), func(t *testing.T) {
			reports := make(map[string]Report)
			for i := range engines {
				reports[fmt.Sprintf("e%02d", i)] = Report{}
			}
			p := testPlanner(t, models, reports)
			store := &sharedStore{atOnce: test.atOnce, loads: make(map[string]float64)}
			taken, held := make(map[string]int64), make(map[string][]string)
			loading := make(map[string]string)
			full := 6 * time.Second
			var first time.Duration
			for d := tick; d < test.within; d += tick {
				now := start.Add(d)
				for _, e := range store.advance(tick, full) {
					held[e] = append(held[e], loading[e])
					if first == 0 {
						first = d
					}
				}
				var uses []Usage
				for k := range models {
					uses = append(uses, Usage{Unit: unit(fmt.Sprintf("m%d", k)), Waiting: 1, NextDue: now.Add(time.Hour), LastDue: now.Add(time.Hour)})
				}
				p.RecordUsage("n", uses, now)
				for _, a := range p.Plan(now, 1) {
					switch {
					case a.Probe != nil:
						e := a.Probe.Engine
						_, busy := store.loads[e]
						p.HandleReport(e, &Report{Taken: taken[e], Busy: busy, Holdings: directory.Holdings{Models: heldList(held[e]...), OnDisk: held[e]}}, now, now)
					case a.Order.FromStore:
						store.loads[a.Order.Engine], loading[a.Order.Engine] = 0, a.Order.Unit.Model
						taken[a.Order.Engine]++
						p.HandleReply(a.Order, Accepted, now)
					default:
						p.HandleReply(a.Order, Conflict, now)
					}
				}
			}
			if got := p.StoreConcurrency(); got < test.estimate[0] || got > test.estimate[1] {
				t.Errorf("after %v the estimate is %d, want within %v", test.within, got, test.estimate)
			}
			if first == 0 || first > test.firstBy {
				t.Errorf("the first model was loaded after %v, want %v or less", first, test.firstBy)
			}
		})
	}
}

// TestStoreConcurrencySlowEngine checks that a load that is slow because of its engine does not
// lower the estimate.
func TestStoreConcurrencySlowEngine(t *testing.T) {
	s := newStoreConcurrency()
	s.advance(at(0), 1)
	if s.observeEnd(at(0), at(20000), 6*time.Second, s.integral(at(20000))); s.estimate != initialConcurrency {
		t.Errorf("after one slow load the estimate is %d, want %d", s.estimate, initialConcurrency)
	}
}

// TestBusyModelBeforeStoreQueue checks what follows a replacement of engines: models of single
// requests take all loads that the store runs at full speed, then a busy model loses its last
// engine. The busy model is loaded at once, and no further model for a single request is.
func TestBusyModelBeforeStoreQueue(t *testing.T) {
	p := testPlanner(t, 9, map[string]Report{"e1": {}, "e2": {}, "e3": {}, "e4": {}})
	p.RecordUsage("n", []Usage{waitingUse(unit("m1"), 5000), waitingUse(unit("m2"), 5000), waitingUse(unit("m3"), 5000)}, at(10))
	first := p.Plan(at(10), 1)
	if len(orders(first)) != initialConcurrency {
		t.Fatalf("orders for single requests: %v, want %d", orders(first), initialConcurrency)
	}
	for _, a := range first {
		p.HandleReply(a.Order, Accepted, at(12))
	}
	busy := Usage{Unit: unit("m0"), Waiting: 11, Arrivals: 60, Objective: 300 * time.Millisecond, NextDue: at(300), LastDue: at(600)}
	p.RecordUsage("n", []Usage{busy, waitingUse(unit("m1"), 5000), waitingUse(unit("m2"), 5000), waitingUse(unit("m3"), 5000)}, at(20))
	var units []string
	for _, o := range orders(p.Plan(at(20), 1)) {
		units = append(units, o.Unit)
	}
	if diff := cmp.Diff([]string{"unit/s/m0"}, units); diff != "" {
		t.Errorf("loads beside two from the store (-want +got):\n%s", diff)
	}
}
