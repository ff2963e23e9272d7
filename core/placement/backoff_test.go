package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
)

// TestLoadBackoff checks that a load under which engines crash is not ordered at one engine
// after the other. A model version that crashes every engine was ordered again at another
// engine as soon as the directory entry of the last one was removed; all eight crashed within a
// second.
func TestLoadBackoff(t *testing.T) {
	all := func(alive []string) []*directory.Entry {
		var out []*directory.Entry
		for _, id := range alive {
			out = append(out, entry(id))
		}
		return out
	}
	alive := []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"}
	engines := make(map[string]Report)
	for _, id := range alive {
		engines[id] = Report{Holdings: directory.Holdings{OnDisk: []string{"m0", "m1"}}}
	}
	p := testPlanner(t, 2, engines)
	var loads []string
	for ms := 100; ms < 40_000; ms += 100 {
		p.RecordUsage("n", []Usage{{Unit: unit("m0"), Waiting: 1, Arrivals: 1, NextDue: at(ms + 500), LastDue: at(ms + 500)}}, at(ms))
		for _, a := range p.Plan(at(ms), 1) {
			if a.Order == nil || a.Order.Unload {
				continue
			}
			loads = append(loads, fmt.Sprint(ms/1000))
			p.HandleReply(a.Order, Accepted, at(ms))
			id := a.Order.Engine
			for i := range alive {
				if alive[i] == id {
					alive = append(alive[:i:i], alive[i+1:]...)
					break
				}
			}
			// The engine crashes at once; its entry is removed a little later.
			p.SetEngines(all(alive), at(ms+50))
		}
	}
	// Three loads at once, then one after each backoff of 5, 10 and 20 s.
	if diff := cmp.Diff([]string{"0", "0", "0", "5", "15", "35"}, loads); diff != "" {
		t.Errorf("seconds of the loads (-want +got):\n%s", diff)
	}
	if at, ok := p.ReadyAt()[unit("m0")]; !ok || at.Sub(start) < time.Minute {
		t.Errorf("ReadyAt = %v after the start, known %t, want a minute or more", at.Sub(start), ok)
	}
	// Other models are not delayed.
	p.RecordUsage("n", []Usage{{Unit: unit("m1"), Waiting: 1, Arrivals: 1, NextDue: at(41_000), LastDue: at(41_000)}}, at(40_500))
	if diff := cmp.Diff(1, len(orders(p.Plan(at(40_500), 1)))); diff != "" {
		t.Errorf("orders for another model (-want +got):\n%s", diff)
	}
}
