package placement

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
)

// TestRestartDetected checks which events show a restart, which invalidates the state of the engine.
// The engine's last report, at 1 ms, has start 2000, three orders taken and m0 held.
func TestRestartDetected(t *testing.T) {
	full := directory.Holdings{Models: []directory.Held{{Model: "m0"}}}
	listed := func(s directory.Start) func(p *Planner) {
		return func(p *Planner) {
			en := entry("e")
			en.Start = s
			p.SetEngines([]*directory.Entry{en}, at(500))
		}
	}
	reported := func(r Report, askedMs int) func(p *Planner) {
		return func(p *Planner) { p.HandleReport("e", &r, at(askedMs), at(askedMs+5)) }
	}
	tests := []struct {
		name  string
		start directory.Start
		event func(p *Planner)
		// invalidated is whether the state is invalidated, known whether orders may be given at once.
		invalidated, known bool
		taken              int64
	}{
		{"the list tells a later start", 2000, listed(3000), true, false, 0},
		{"the list tells an earlier start", 2000, listed(1000), false, true, 3},
		{"the list tells the same", 2000, listed(2000), false, true, 3},
		{"a report tells a later start", 2000, reported(Report{Start: 3000, Taken: 7}, 500), true, true, 7},
		{"a report of an earlier start with more orders", 2000, reported(Report{Start: 1000, Taken: 9, Holdings: full}, 100), false, true, 3},
		{"a report of an earlier start long after: the clock was set back", 2000, reported(Report{Start: 1000, Taken: 1}, 900), true, true, 1},
		{"a report of the same start", 2000, reported(Report{Start: 2000, Taken: 4, Holdings: full}, 900), false, true, 4},
		{"no start told, the count went back", 0, reported(Report{Taken: 1, Holdings: full}, 900), true, true, 1},
		{"no start told, the count is short by one", 0, reported(Report{Taken: 2, Holdings: full}, 900), false, true, 3},
		{"no start told, the count is short by one and nothing held", 0, reported(Report{Taken: 2}, 900), true, true, 2},
		{"no start told, a report of before the last order", 0, reported(Report{Taken: 1}, 300), false, true, 3},
		{"no start told before", 0, reported(Report{Start: 2000, Taken: 3, Holdings: full}, 900), false, true, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := testPlanner(t, 3, map[string]Report{"e": {Start: tt.start, Taken: 3, Holdings: full}})
			tt.event(p)
			e := p.engines["e"]
			got := []any{len(p.Restarts()) > 0, e.known, e.taken}
			if diff := cmp.Diff([]any{tt.invalidated, tt.known, tt.taken}, got); diff != "" {
				t.Errorf("invalidated, known, taken (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRestartWhileDelisted checks that the state of an engine is unknown if its entry was gone and
// came back with another start, and that its unanswered loads are remembered.
func TestRestartWhileDelisted(t *testing.T) {
	p := testPlanner(t, 3, map[string]Report{"e": {Start: 2000, Taken: 3, Holdings: directory.Holdings{OnDisk: []string{"m0", "m1", "m2"}}}})
	addWaiting(p, "m1", 10)
	p.HandleReply(onlyOrder(t, p, 10), Unanswered, at(20))
	p.SetEngines(nil, at(100))
	en := entry("e")
	en.Start = 3000
	p.SetEngines([]*directory.Entry{en}, at(900))
	want := []Restart{{Engine: "e", Start: 3000, UnansweredLoads: 1}}
	if diff := cmp.Diff(want, p.Restarts()); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
	if p.engines["e"].known {
		t.Error("the engine is known before it reported")
	}
}
