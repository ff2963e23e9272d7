package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
	"olivetiller/core/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time some milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fataler is the part of testing.TB that testTable needs; rapid.T has it too.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

// testTable returns a table with models named m0 and on. An engine has memory for two of them
// and slots for four adapters.
func testTable(t fataler, models int) *route.Table {
	t.Helper()
	e := &route.Engine{Slots: 8, WeightsMB: 210, AdapterSlots: 4, LoadsPerSecond: 3}
	for i := range models {
		e.Models = append(e.Models, route.Model{
			Name: fmt.Sprintf("m%d", i), WeightsMB: 100, Load: 6 * time.Second, Warm: 400 * time.Millisecond,
			Disk: 800 * time.Millisecond, Adapters: 9, AdapterMB: 1,
		})
	}
	table, err := route.New(&route.Config{Version: 1, Services: []route.Service{{Name: "s", Engine: e}}})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// entry returns the directory entry of an engine.
func entry(id string) *directory.Entry {
	return &directory.Entry{Instance: directory.Instance{ID: id, Service: "s", Address: id + ":1", Slots: 8}}
}

func unit(model string) Unit { return Unit{Service: "s", Model: model} }

// testPlanner returns a planner whose engines, given by id, sent these reports at time 0.
func testPlanner(t *testing.T, models int, engines map[string]Report) *Planner {
	t.Helper()
	p := New(Limits{Window: 5 * time.Second})
	p.SetTable(testTable(t, models))
	var entries []*directory.Entry
	for id := range engines {
		entries = append(entries, entry(id))
	}
	p.SetEngines(entries, at(0))
	p.Plan(at(0), 1)
	for id, r := range engines {
		p.HandleReport(id, &r, at(0), at(1))
	}
	return p
}

func heldList(models ...string) []directory.Held {
	var out []directory.Held
	for _, m := range models {
		out = append(out, directory.Held{Model: m})
	}
	return out
}

// orderSummary holds the fields of an order that the tests compare.
type orderSummary struct {
	Engine, Unit string
	Unload       bool
	FromStore    bool
}

func orders(actions []Action) []orderSummary {
	var out []orderSummary
	for _, a := range actions {
		if a.Order != nil {
			out = append(out, orderSummary{a.Order.Engine, a.Order.Unit.Pool(), a.Order.Unload, a.Order.FromStore})
		}
	}
	return out
}

func waitingUse(u Unit, ms int) Usage {
	return Usage{Unit: u, Waiting: 1, Arrivals: 1, NextDue: at(ms), LastDue: at(ms)}
}

// TestPlan checks which orders a plan gives for waiting requests.
func TestPlan(t *testing.T) {
	everything := []string{"m0", "m1", "m2", "m3", "m4"}
	a3 := Unit{Service: "s", Model: "m0", Adapter: "a3"}
	full := Report{Holdings: directory.Holdings{Models: []directory.Held{{Model: "m0", Adapters: []string{"a1", "a2", "a4", "a5"}}}}}
	tests := []struct {
		name    string
		engines map[string]Report
		use     []Usage
		want    []orderSummary
	}{
		{
			"from the disk that keeps a copy, not from the store",
			map[string]Report{
				"e1": {Holdings: directory.Holdings{Models: heldList("m0", "m2"), OnDisk: []string{"m1"}}},
				"e2": {Holdings: directory.Holdings{Models: heldList("m3", "m4")}},
			},
			[]Usage{waitingUse(unit("m1"), 500)},
			[]orderSummary{{"e1", "unit/s/m0", true, false}},
		},
		{
			"from memory before disk",
			map[string]Report{
				"e1": {Holdings: directory.Holdings{OnDisk: everything}},
				"e2": {Holdings: directory.Holdings{Warm: []string{"m1"}}},
			},
			[]Usage{waitingUse(unit("m1"), 500)},
			[]orderSummary{{"e2", "unit/s/m1", false, false}},
		},
		{
			"nothing while a replica serves",
			map[string]Report{"e1": {Holdings: directory.Holdings{Models: heldList("m1"), OnDisk: everything}}},
			[]Usage{waitingUse(unit("m1"), 500)},
			nil,
		},
		{
			"an adapter at the engine that holds its model",
			map[string]Report{
				"e1": {Holdings: directory.Holdings{Models: heldList("m0", "m2")}},
				"e2": {Holdings: directory.Holdings{Models: heldList("m1", "m2"), OnDisk: []string{"m3", "m4"}}},
			},
			[]Usage{waitingUse(a3, 500)},
			[]orderSummary{{"e1", "unit/s/m0/a3", false, false}},
		},
		{
			"an adapter makes way",
			map[string]Report{"e1": full},
			[]Usage{waitingUse(a3, 500)},
			[]orderSummary{{"e1", "unit/s/m0/a1", true, false}},
		},
		{
			"no order to an engine that did not report",
			map[string]Report{},
			[]Usage{waitingUse(unit("m1"), 500)},
			nil,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := testPlanner(t, 5, tt.engines)
			p.RecordUsage("n", tt.use, at(10))
			if diff := cmp.Diff(tt.want, orders(p.Plan(at(10), 1))); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFullReplicas checks that a busy model whose only engine is full gets another replica
// before a model that one request waits for. Otherwise two busy models shared one engine with
// 64 of 64 slots taken for 15 s, while all loads that the store allows went to models with one
// request each.
func TestFullReplicas(t *testing.T) {
	p := testPlanner(t, 9, map[string]Report{
		"e1": {Holdings: directory.Holdings{Models: heldList("m0", "m1")}},
		"e2": {}, "e3": {}, "e4": {}, "e5": {}, "e6": {}, "e7": {}, "e8": {},
	})
	use := []Usage{
		{Unit: unit("m0"), Arrivals: 60, RunningAt: map[string]int{"e1": 4}},
		{Unit: unit("m1"), Arrivals: 50, RunningAt: map[string]int{"e1": 4}},
	}
	for i := 2; i < 9; i++ {
		use = append(use, waitingUse(unit(fmt.Sprintf("m%d", i)), 10))
	}
	p.RecordUsage("n", use, at(10))
	got := orders(p.Plan(at(10), 1))
	if len(got) < 2 {
		t.Fatalf("orders: %v, want two or more", got)
	}
	if diff := cmp.Diff([]string{"unit/s/m0", "unit/s/m1"}, []string{got[0].Unit, got[1].Unit}); diff != "" {
		t.Errorf("first orders (-want +got):\n%s", diff)
	}
}

// TestInTimeFirst checks that a model whose requests can still meet their deadlines goes before
// those whose requests are late already, and a busy model before both. When models were loaded
// in the order in which their requests had come, every request of one group was late for 15 s
// after a burst.
func TestInTimeFirst(t *testing.T) {
	tests := []struct {
		name string
		use  []Usage
		want string
	}{
		{"in time first", []Usage{waitingUse(unit("m1"), 100), waitingUse(unit("m2"), 2500)}, "unit/s/m2"},
		{"one of two can be in time", []Usage{{Unit: unit("m1"), Waiting: 2, Arrivals: 2, NextDue: at(100), LastDue: at(2400)}, waitingUse(unit("m2"), 2500)}, "unit/s/m1"},
		{"all late, in their order", []Usage{waitingUse(unit("m1"), 200), waitingUse(unit("m2"), 100)}, "unit/s/m2"},
		{"busy first", []Usage{{Unit: unit("m1"), Waiting: 9, Arrivals: 9, NextDue: at(100), LastDue: at(400)}, waitingUse(unit("m2"), 2500)}, "unit/s/m1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := testPlanner(t, 5, map[string]Report{"e1": {Holdings: directory.Holdings{Models: heldList("m0"), OnDisk: []string{"m1", "m2"}}}})
			p.RecordUsage("n", tt.use, at(10))
			got := orders(p.Plan(at(10), 1))
			if diff := cmp.Diff([]orderSummary{{"e1", tt.want, false, false}}, got); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
			if len(p.ReadyAt()) != 2 {
				t.Errorf("ReadyAt = %v, want a time for both", p.ReadyAt())
			}
		})
	}
}

// TestDeferredCallers checks that a model is loaded for callers who were refused with a retry hint,
// and that a model that must queue for the store has an expected ready time.
func TestDeferredCallers(t *testing.T) {
	p := testPlanner(t, 30, map[string]Report{"e1": {}})
	p.RecordUsage("n", []Usage{waitingUse(unit("m7"), 10), waitingUse(unit("m8"), 20)}, at(10))
	p.Plan(at(10), 1)
	if got := p.ReadyAt()[unit("m8")]; !got.After(at(6000)) {
		t.Errorf("m8 is expected %v after the start, want more than the load before it", got.Sub(start))
	}
	q := testPlanner(t, 30, map[string]Report{"e1": {Holdings: directory.Holdings{OnDisk: []string{"m8"}}}})
	q.RecordUsage("n", []Usage{{Unit: unit("m8"), Arrivals: 1, Deferred: 1}, {Unit: unit("m9"), Arrivals: 1}}, at(10))
	q.RecordUsage("n", nil, at(11))
	if diff := cmp.Diff([]orderSummary{{"e1", "unit/s/m8", false, false}}, orders(q.Plan(at(12), 1))); diff != "" {
		t.Errorf("orders for a caller refused with a retry hint (-want +got):\n%s", diff)
	}
}

// TestUnansweredOrder checks that an engine with an unanswered order gets no order until it sends a
// report requested after that, and that the next order names the count in this report.
func TestUnansweredOrder(t *testing.T) {
	p := testPlanner(t, 2, map[string]Report{"e1": {Taken: 4, Holdings: directory.Holdings{OnDisk: []string{"m0", "m1"}}}})
	p.RecordUsage("n", []Usage{waitingUse(unit("m1"), 500)}, at(10))
	actions := p.Plan(at(10), 1)
	if len(actions) != 1 || actions[0].Order == nil || actions[0].Order.Taken != 4 {
		t.Fatalf("Plan = %v, want one order after 4 taken", actions)
	}
	p.HandleReply(actions[0].Order, Unanswered, at(1010))
	if got := orders(p.Plan(at(1020), 1)); got != nil {
		t.Errorf("orders to an engine of unknown state: %v", got)
	}
	p.HandleReport("e1", &Report{Taken: 4}, at(900), at(1030))
	if got := orders(p.Plan(at(1040), 1)); got != nil {
		t.Errorf("orders after a report from before the lost reply: %v", got)
	}
	p.HandleReport("e1", &Report{Taken: 5, Holdings: directory.Holdings{Models: heldList("m1")}}, at(1450), at(1460))
	if diff := cmp.Diff(map[string][]Unit{"e1": {unit("m1")}}, p.Serving(at(1470))); diff != "" {
		t.Errorf("Serving (-want +got):\n%s", diff)
	}
}

// TestStaleReport checks that a report from before the latest order does not end the work of
// that order.
func TestStaleReport(t *testing.T) {
	p := testPlanner(t, 2, map[string]Report{"e1": {Holdings: directory.Holdings{OnDisk: []string{"m0", "m1"}}}})
	p.RecordUsage("n", []Usage{waitingUse(unit("m1"), 500)}, at(10))
	actions := p.Plan(at(10), 1)
	p.HandleReply(actions[0].Order, Accepted, at(12))
	p.HandleReport("e1", &Report{Taken: 0}, at(13), at(15))
	if p.ReadyAt(); len(orders(p.Plan(at(20), 1))) != 0 {
		t.Error("a second order while the first is in progress")
	}
	if got := p.ReadyAt()[unit("m1")]; !got.Equal(at(812)) {
		t.Errorf("ReadyAt = %v after the start, want 812ms", got.Sub(start))
	}
}

// TestReset checks that a new lease holder trusts none of its former state, and that the loads
// of the holder before it count against the store's limit.
func TestReset(t *testing.T) {
	p := testPlanner(t, 30, map[string]Report{"e1": {}, "e2": {}})
	p.Reset(false, at(100))
	p.RecordUsage("n", []Usage{waitingUse(unit("m1"), 500), waitingUse(unit("m2"), 500)}, at(110))
	if got := orders(p.Plan(at(110), 2)); got != nil {
		t.Errorf("orders before any report: %v", got)
	}
	for _, id := range []string{"e1", "e2"} {
		p.HandleReport(id, &Report{}, at(110), at(120))
	}
	if got := len(orders(p.Plan(at(130), 2))); got != 1 {
		t.Errorf("%d loads from the store right after a change of lease holder, want 1", got)
	}
	// The requests still wait, and the node reports them again.
	p.RecordUsage("n", []Usage{waitingUse(unit("m1"), 500), waitingUse(unit("m2"), 500)}, at(5190))
	if got := len(orders(p.Plan(at(5200), 2))); got != 1 {
		t.Errorf("%d loads from the store a window later, want 1 more", got)
	}
}
