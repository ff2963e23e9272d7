package placement

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
)

// TestLoadSurvivesCrossedReport guards against losing a loaded model from the planner's state,
// after which the engine was ordered to load more than fits and crashed. A load is assumed to
// have ended. A report requested in the same plan as the next order says that the load goes on,
// which reopens it. Then the reply says that the engine has taken the next order, so the load
// has ended after all. If the new work replaces the reopened load, the loaded model is missing
// from the state while the count of orders is right, so that the engine accepts the following
// orders. The sequence of a failing run:
//
//	24.278s report {taken 9, busy, models m3} of 23.816s     load of m2 reopened
//	24.278s order unload of m3 at 9: accepted                 state now: no model
//	24.589s order load of m6 at 10: accepted
//	27.164s order load of m3 at 11: needs 300 MB of 210
func TestLoadSurvivesCrossedReport(t *testing.T) {
	p := testPlanner(t, 7, map[string]Report{"e": {Holdings: directory.Holdings{
		Models: []directory.Held{{Model: "m3"}}, OnDisk: allModels,
	}}})
	addWaiting(p, "m2", 10)
	load := onlyOrder(t, p, 10)
	p.HandleReply(load, Accepted, at(20))
	p.RecordUsage("n", nil, at(1300))
	addWaiting(p, "m6", 1400)
	var next *Order
	probed := false
	for _, a := range p.Plan(at(1400), 1) {
		probed = probed || a.Probe != nil
		if a.Order != nil {
			next = a.Order
		}
	}
	if !probed || next == nil || !next.Unload {
		t.Fatalf("at 1400 ms: a probe %v and order %+v, want both, and an unload", probed, next)
	}
	p.HandleReport("e", &Report{Taken: 1, Busy: true, Holdings: directory.Holdings{Models: []directory.Held{{Model: "m3"}}}}, at(1400), at(1405))
	p.HandleReply(next, Accepted, at(1410))
	left := map[string]string{"m2": "m3", "m3": "m2"}[next.Unit.Model]
	var got []string
	for _, u := range p.Serving(at(1420))["e"] {
		got = append(got, u.Model)
	}
	if diff := cmp.Diff([]string{left}, got); diff != "" {
		t.Errorf("served after the unload of %s (-want +got):\n%s", next.Unit.Model, diff)
	}
}

// TestLateOrderAfterRestart guards against a late order that overloads a restarted engine. An
// engine that crashes comes back under its id, empty, and counts its orders from 0. An
// unanswered order may be carried out many seconds later, and the engine refuses it only if its
// count differs from the one that the order names. If the engine has been filled again up to
// exactly that count, the late order exceeds its memory. The sequence of a failing run:
//
//	2.453s order load of m5 at 2: no answer
//	3.063s the engine restarts
//	4.749s order load of m6 at 0: accepted
//	10.234s order load of m1 at 1: accepted                    two models, memory for two
//	11.820s load of m5 at 2 arrives: needs 300 MB of 210
func TestLateOrderAfterRestart(t *testing.T) {
	p := testPlanner(t, 7, map[string]Report{"e": {Start: 1000, Taken: 2, Holdings: directory.Holdings{
		Models: []directory.Held{{Model: "m0"}}, OnDisk: allModels,
	}}})
	addWaiting(p, "m5", 10)
	late := onlyOrder(t, p, 10)
	p.HandleReply(late, Unanswered, at(20))
	p.RecordUsage("n", nil, at(30))
	en := entry("e")
	en.Start = 2000
	p.SetEngines([]*directory.Entry{en}, at(600))
	p.Plan(at(1100), 1)
	p.HandleReport("e", &Report{Start: 2000, Holdings: directory.Holdings{OnDisk: allModels}}, at(1100), at(1101))
	addWaiting(p, "m1", 1200)
	first := onlyOrder(t, p, 1200)
	p.HandleReply(first, Accepted, at(1201))
	p.RecordUsage("n", nil, at(2200))
	if diff := cmp.Diff(int64(0), first.Taken); diff != "" {
		t.Fatalf("count of the first order to the new start (-want +got):\n%s", diff)
	}
	if p.Plan(at(2200), 1); p.engines["e"].work != nil {
		t.Fatal("the load of m1 is still in progress at 2200 ms")
	}
	addWaiting(p, "m2", 2300)
	for _, a := range p.Plan(at(2300), 1) {
		if a.Order != nil && !a.Order.Unload {
			t.Errorf("%s is loaded at count %d, which leaves no memory for the late order at %d", a.Order.Unit.Model, a.Order.Taken, late.Taken)
		}
	}
	addWaiting(p, "m2", 16000)
	if o := onlyOrder(t, p, 16000); o.Unload {
		t.Errorf("after the late order can no longer arrive: %+v, want a load", o)
	}
}

// allModels lists the models of a testTable with seven models.
var allModels = []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6"}

// addWaiting makes a request wait for a model, with a deadline an hour away.
func addWaiting(p *Planner, model string, ms int) {
	due := at(ms + int(time.Hour.Milliseconds()))
	p.RecordUsage("n", []Usage{{Unit: unit(model), Waiting: 1, Arrivals: 1, NextDue: due, LastDue: due}}, at(ms))
}

// onlyOrder returns the only order of a plan.
func onlyOrder(t *testing.T, p *Planner, ms int) *Order {
	t.Helper()
	var orders []*Order
	for _, a := range p.Plan(at(ms), 1) {
		if a.Order != nil {
			orders = append(orders, a.Order)
		}
	}
	if len(orders) != 1 {
		t.Fatalf("%d orders at %d ms, want 1", len(orders), ms)
	}
	return orders[0]
}

// TestOrderIsCountedOnce checks that an order that a report counts before its reply arrives is
// not counted again. Otherwise the next order names a count that is too high, and a late order
// of another sender may match it.
func TestOrderIsCountedOnce(t *testing.T) {
	p := testPlanner(t, 3, map[string]Report{"e": {Taken: 3, Holdings: directory.Holdings{Models: []directory.Held{{Model: "m0"}}, OnDisk: allModels}}})
	u := Unit{Service: "s", Model: "m0", Adapter: "a1"}
	due := at(int(time.Hour.Milliseconds()))
	p.RecordUsage("n", []Usage{{Unit: u, Waiting: 1, Arrivals: 1, NextDue: due, LastDue: due}}, at(10))
	o := onlyOrder(t, p, 10)
	p.HandleReport("e", &Report{Taken: 4, Holdings: directory.Holdings{Models: []directory.Held{{Model: "m0", Adapters: []string{"a1"}}}, OnDisk: allModels}}, at(400), at(405))
	p.HandleReply(o, Accepted, at(410))
	if diff := cmp.Diff(int64(4), p.engines["e"].taken); diff != "" {
		t.Errorf("orders taken (-want +got):\n%s", diff)
	}
}
