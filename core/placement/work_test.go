package placement

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
)

// swapPlanner returns a planner whose only engine is full and has been ordered to unload a
// model for m2, which is on its disk.
func swapPlanner(t *testing.T) (*Planner, *Order) {
	t.Helper()
	p := testPlanner(t, 3, map[string]Report{
		"e1": {Holdings: directory.Holdings{Models: heldList("m0", "m1"), OnDisk: []string{"m0", "m1", "m2"}}},
	})
	p.RecordUsage("n", []Usage{waitingUse(unit("m2"), 500)}, at(10))
	actions := p.Plan(at(10), 1)
	if diff := cmp.Diff([]orderSummary{{"e1", "unit/s/m0", true, false}}, orders(actions)); diff != "" {
		t.Fatalf("orders (-want +got):\n%s", diff)
	}
	return p, actions[0].Order
}

// TestSwapWithoutReports checks that a model is loaded as soon as the unload before it is
// expected to have ended, and is served at the expected end of its load. Reports are 200 ms
// old; waiting for them made a swap take 1.3 s instead of 0.9 s, which delayed all the requests
// behind it.
func TestSwapWithoutReports(t *testing.T) {
	p, unload := swapPlanner(t)
	p.HandleReply(unload, Accepted, at(12))
	if got := orders(p.Plan(at(20), 1)); got != nil {
		t.Errorf("orders while the unload is in progress: %v", got)
	}
	unloaded := at(12).Add(unloadTime + endSlack)
	if got := p.WakeAt(); !got.Equal(unloaded) {
		t.Errorf("WakeAt = %v after the start, want %v", got.Sub(start), unloaded.Sub(start))
	}
	actions := p.Plan(unloaded, 1)
	if diff := cmp.Diff([]orderSummary{{"e1", "unit/s/m2", false, false}}, orders(actions)); diff != "" {
		t.Fatalf("orders (-want +got):\n%s", diff)
	}
	p.HandleReply(actions[0].Order, Accepted, unloaded)
	loadEnd := unloaded.Add(800*time.Millisecond + endSlack)
	p.Plan(loadEnd, 1)
	if diff := cmp.Diff(map[string][]Unit{"e1": {unit("m1"), unit("m2")}}, p.Serving(loadEnd)); diff != "" {
		t.Errorf("Serving (-want +got):\n%s", diff)
	}
	// A report from before the expected end changes nothing; a later one decides.
	p.HandleReport("e1", &Report{Taken: 2, Busy: true, Holdings: directory.Holdings{Models: heldList("m1")}}, loadEnd, loadEnd)
	if got := len(p.Serving(loadEnd)["e1"]); got != 2 {
		t.Errorf("%d units after an old report, want 2", got)
	}
	late := loadEnd.Add(maxReportAge)
	p.HandleReport("e1", &Report{Taken: 2, Busy: true, Holdings: directory.Holdings{Models: heldList("m1")}}, late, late)
	if diff := cmp.Diff(map[string][]Unit{"e1": {unit("m1")}}, p.Serving(late)); diff != "" {
		t.Errorf("Serving after a report that the load goes on (-want +got):\n%s", diff)
	}
}

// TestRefusedEarly checks what follows when an unload takes longer than expected: the capacity
// stays reserved, the order is tried again, and after the last try a report decides.
func TestRefusedEarly(t *testing.T) {
	p, unload := swapPlanner(t)
	p.HandleReply(unload, Accepted, at(12))
	now := at(12)
	p.Plan(now, 1)
	for try := range maxEarlyRefusals {
		// The next try is due within the longest pause.
		if due := p.WakeAt(); due.After(now.Add(maxRetryAfter + endSlack)) {
			t.Fatalf("try %d is due %v after the previous one, want at most maxRetryAfter", try, due.Sub(now))
		}
		now = p.WakeAt()
		got := p.Plan(now, 1)
		if diff := cmp.Diff([]orderSummary{{"e1", "unit/s/m2", false, false}}, orders(got)); diff != "" {
			t.Fatalf("try %d: orders (-want +got):\n%s", try, diff)
		}
		p.HandleReply(got[0].Order, Conflict, now)
		if got := orders(p.Plan(now.Add(time.Millisecond), 1)); got != nil {
			t.Fatalf("orders right after a refusal: %v", got)
		}
	}
	now = now.Add(maxReportAge)
	if got := orders(p.Plan(now, 1)); got != nil {
		t.Errorf("orders to an engine of unknown state: %v", got)
	}
	p.HandleReport("e1", &Report{Taken: 1, Holdings: directory.Holdings{Models: heldList("m1"), OnDisk: []string{"m2"}}}, now, now)
	if diff := cmp.Diff([]orderSummary{{"e1", "unit/s/m2", false, false}}, orders(p.Plan(now, 1))); diff != "" {
		t.Errorf("orders after the report (-want +got):\n%s", diff)
	}
}

// TestUnloadWaits checks that an unload that waits for running requests ends only by a report.
func TestUnloadWaits(t *testing.T) {
	p := testPlanner(t, 3, map[string]Report{
		"e1": {Holdings: directory.Holdings{Models: heldList("m0", "m1"), OnDisk: []string{"m0", "m1", "m2"}}},
	})
	p.RecordUsage("n", []Usage{
		waitingUse(unit("m2"), 500), {Unit: unit("m0"), Arrivals: 1, RunningAt: map[string]int{"e1": 1}},
		{Unit: unit("m1"), Arrivals: 1, RunningAt: map[string]int{"e1": 2}},
	}, at(2000))
	actions := p.Plan(at(2000), 1)
	if diff := cmp.Diff([]orderSummary{{"e1", "unit/s/m0", true, false}}, orders(actions)); diff != "" {
		t.Fatalf("orders (-want +got):\n%s", diff)
	}
	p.HandleReply(actions[0].Order, Accepted, at(2002))
	if got := orders(p.Plan(at(2500), 1)); got != nil {
		t.Errorf("orders before a report: %v", got)
	}
}

// TestAdaptersWhileUnloading checks that the adapters of a model that is being unloaded count
// until the unload is confirmed: engines take adapters in the meantime, so that a further
// adapter could exceed the slots.
func TestAdaptersWhileUnloading(t *testing.T) {
	full := []directory.Held{{Model: "m0", Adapters: []string{"a1", "a2", "a4", "a5"}}, {Model: "m1"}}
	p := testPlanner(t, 3, map[string]Report{"e1": {Holdings: directory.Holdings{Models: full, OnDisk: []string{"m0", "m1", "m2"}}}})
	p.RecordUsage("n", []Usage{waitingUse(unit("m2"), 500), {Unit: unit("m1"), Arrivals: 60}}, at(10))
	unload := p.Plan(at(10), 1)
	if diff := cmp.Diff([]orderSummary{{"e1", "unit/s/m0", true, false}}, orders(unload)); diff != "" {
		t.Fatalf("orders (-want +got):\n%s", diff)
	}
	p.HandleReply(unload[0].Order, Accepted, at(12))
	p.RecordUsage("n", []Usage{waitingUse(Unit{Service: "s", Model: "m1", Adapter: "a3"}, 500)}, at(13))
	for _, a := range p.Plan(at(12).Add(unloadTime+endSlack), 1) {
		if a.Order != nil && a.Order.Unit.Adapter != "" {
			t.Errorf("order for a fifth adapter: %v", orders([]Action{a}))
		}
	}
}

// TestUnloadEndsWithRuns checks that an unload that waits for running requests is assumed to
// have ended when the nodes report none any more, and that its duration updates the drain time.
func TestUnloadEndsWithRuns(t *testing.T) {
	p := testPlanner(t, 3, map[string]Report{
		"e1": {Holdings: directory.Holdings{Models: heldList("m0", "m1"), OnDisk: []string{"m0", "m1", "m2"}}},
	})
	run := func(n int) []Usage {
		return []Usage{
			waitingUse(unit("m2"), 500), {Unit: unit("m0"), RunningAt: map[string]int{"e1": n}},
			{Unit: unit("m1"), RunningAt: map[string]int{"e1": 2}},
		}
	}
	p.RecordUsage("n", run(1), at(2000))
	unload := p.Plan(at(2000), 1)
	p.HandleReply(unload[0].Order, Accepted, at(2002))
	p.RecordUsage("n", run(0), at(2400))
	load := p.Plan(at(2401), 1)
	if diff := cmp.Diff([]orderSummary{{"e1", "unit/s/m2", false, false}}, orders(load)); diff != "" {
		t.Fatalf("orders (-want +got):\n%s", diff)
	}
	p.HandleReply(load[len(load)-1].Order, Accepted, at(2402))
	if got, want := p.drainPerRun.Mean(defaultRunTime), 400*time.Millisecond-unloadTime; got != want {
		t.Errorf("drain time of a run is %v, want %v", got, want)
	}
}

// TestReopenKeepsAdapters checks that reopening a load, after the engine refused an order for
// any reason, does not lose the adapters that the engine took in the meantime. The engine was
// otherwise given more adapters than it has slots for, when orders were carried out late.
func TestReopenKeepsAdapters(t *testing.T) {
	p := testPlanner(t, 3, map[string]Report{"e1": {Holdings: directory.Holdings{Models: heldList("m1"), OnDisk: []string{"m0"}}}})
	adapter := func(name string) Unit { return Unit{Service: "s", Model: "m0", Adapter: name} }
	p.RecordUsage("n", []Usage{waitingUse(unit("m0"), 500)}, at(10))
	load := p.Plan(at(10), 1)
	p.HandleReply(load[0].Order, Accepted, at(12))
	loadEnd := at(12).Add(800*time.Millisecond + endSlack)
	p.RecordUsage("n", []Usage{waitingUse(adapter("a1"), 900)}, loadEnd)
	first := p.Plan(loadEnd, 1)
	if diff := cmp.Diff([]orderSummary{{"e1", "unit/s/m0/a1", false, false}}, orders(first)); diff != "" {
		t.Fatalf("orders (-want +got):\n%s", diff)
	}
	p.HandleReply(first[len(first)-1].Order, Accepted, loadEnd)
	p.RecordUsage("n", []Usage{waitingUse(adapter("a2"), 900)}, loadEnd)
	second := p.Plan(loadEnd.Add(adapterLoadTime), 1)
	if diff := cmp.Diff([]orderSummary{{"e1", "unit/s/m0/a2", false, false}}, orders(second)); diff != "" {
		t.Fatalf("orders (-want +got):\n%s", diff)
	}
	p.HandleReply(second[len(second)-1].Order, Conflict, loadEnd.Add(adapterLoadTime))
	later := loadEnd.Add(time.Second)
	p.Plan(later, 1)
	if got := p.engines["e1"].adapters(); got == 0 {
		t.Error("the adapter that the engine took is missing from its state")
	}
}

// TestRefusalOfEarlierFence guards against a lease holder whose fencing number rose within its term and that takes the
// refusal of an order under the earlier number for another holder's.
func TestRefusalOfEarlierFence(t *testing.T) {
	for _, raised := range []bool{true, false} {
		p, o := swapPlanner(t)
		if raised {
			p.Plan(at(20), o.Fence+1)
		}
		p.HandleReply(o, Fenced, at(30))
		if p.Fenced() == raised {
			t.Errorf("Fenced() = %t after a refusal, want %t (fencing number raised before: %t)", p.Fenced(), !raised, raised)
		}
	}
}
