package placement

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/directory"
)

// phaseCase is a state of an engine and an event. The engine has taken three orders and holds
// m0 with adapter a1; its work, if any, is a load of m1 or an unload of m0.
type phaseCase struct {
	phase   phase
	unload  bool
	pending string
	event   string
}

// Pending orders and events.
var (
	phaseOrders = []string{"none", "load m2", "unload m0", "load a2", "unload a1"}
	phaseEvents = []string{
		"accepted", "holds", "conflict", "lost",
		"report 3 settled", "report 3 busy", "report 4 settled", "report 4 busy", "report 2 settled", "old report 3 busy",
		"lacks m0", "clock", "new start", "new holder",
	}
)

// updatePhases rewrites the table; review the changes before committing them.
var updatePhases = flag.Bool("updatePhases", false, "write testdata/phases.txt anew")

// TestPhases applies all events to an engine in each state and compares the transitions with
// the table in testdata.
func TestPhases(t *testing.T) {
	var b strings.Builder
	for _, c := range phaseCases() {
		p, e := c.setUp(t)
		c.applyEvent(p, e)
		fmt.Fprintf(&b, "%-22s | %-9s | %-17s -> %-22s | taken %d | counts %s\n",
			stateName(c.phase, c.unload), c.pending, c.event, stateNow(e), e.taken, strings.Join(heldModels(e), " "))
		if e.phase() != doubtful && e.pending != nil && !strings.Contains("report old clock lacks", strings.Fields(c.event)[0]) {
			t.Errorf("%+v: the order is still pending", c)
		}
	}
	const file = "testdata/phases.txt"
	if *updatePhases {
		if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(b.String(), "\n")); diff != "" {
		t.Errorf("transitions (-want +got):\n%s", diff)
	}
}

// phaseCases returns all combinations, except replies without a pending order.
func phaseCases() []phaseCase {
	var out []phaseCase
	states := []phaseCase{{phase: doubtful}, {phase: settled}, {phase: working}, {phase: working, unload: true}, {phase: unconfirmed}, {phase: unconfirmed, unload: true}}
	for _, s := range states {
		for _, pending := range phaseOrders {
			for i, event := range phaseEvents {
				if pending == "none" && i < 4 {
					continue
				}
				out = append(out, phaseCase{s.phase, s.unload, pending, event})
			}
		}
	}
	return out
}

// setUp returns a planner with one engine in the state of the case.
func (c *phaseCase) setUp(t *testing.T) (*Planner, *engine) {
	p := testPlanner(t, 3, map[string]Report{"e": {Start: 1, Taken: 3, Holdings: directory.Holdings{
		Models: []directory.Held{{Model: "m0", Adapters: []string{"a1"}}}, OnDisk: []string{"m0", "m1", "m2"},
	}}})
	e := p.engines["e"]
	w := &work{unit: unit("m1"), startedAt: at(100), expected: at(900), timed: true}
	if c.unload {
		w.unit, w.unload, w.expected = unit("m0"), true, at(170)
	}
	if c.phase == working || c.phase == unconfirmed {
		e.work = w
	}
	if c.phase == unconfirmed {
		p.assumeEnded(e, at(1000))
	}
	if c.phase == doubtful {
		e.invalidate(at(500), 0)
	}
	if c.pending != "none" {
		op, name, _ := strings.Cut(c.pending, " ")
		u := unit(name)
		if strings.HasPrefix(name, "a") {
			u = Unit{Service: "s", Model: "m0", Adapter: name}
		}
		e.pending = &Order{Engine: "e", Unit: u, Unload: op == "unload", Taken: 3, Expected: unloadTime}
	}
	return p, e
}

// applyEvent delivers the event to the planner.
func (c *phaseCase) applyEvent(p *Planner, e *engine) {
	now := at(2000)
	replies := map[string]Reply{"accepted": Accepted, "holds": NothingToDo, "conflict": Conflict, "lost": Unanswered}
	if r, ok := replies[c.event]; ok {
		p.HandleReply(e.pending, r, now)
		return
	}
	report := func(taken int64, busy bool, askedMs int) {
		p.HandleReport("e", &Report{Start: 1, Taken: taken, Busy: busy, Holdings: directory.Holdings{Models: []directory.Held{{Model: "m0", Adapters: []string{"a1"}}}}}, at(askedMs), now)
	}
	switch c.event {
	case "report 3 settled":
		report(3, false, 1990)
	case "report 3 busy":
		report(3, true, 1990)
	case "report 4 settled":
		report(4, false, 1990)
	case "report 4 busy":
		report(4, true, 1990)
	case "report 2 settled":
		report(2, false, 1990)
	case "old report 3 busy":
		report(3, true, 450)
	case "lacks m0":
		p.HandleMissing("e", now)
	case "clock":
		p.endDueWork(now)
	case "new start":
		p.HandleReport("e", &Report{Start: 2}, at(1990), now)
	case "new holder":
		p.Reset(false, now)
	}
}

func stateName(p phase, unload bool) string {
	switch {
	case p != working && p != unconfirmed:
		return p.String()
	case unload:
		return p.String() + " unload"
	}
	return p.String() + " load"
}

// stateNow names the phase of the engine and its work.
func stateNow(e *engine) string {
	s := e.phase().String()
	w := e.work
	if w == nil {
		w = e.unconfirmed
	}
	if w == nil {
		return s
	}
	return s + " " + w.String()
}

// heldModels names the models that take up memory, with their number of adapters; models of an
// unconfirmed unload are in parentheses.
func heldModels(e *engine) []string {
	var out []string
	for _, m := range allModels {
		if h := e.models[m]; h != nil {
			out = append(out, fmt.Sprintf("%s+%d", m, len(h.adapters)))
		}
	}
	if w := e.work; w != nil && !w.unload && e.models[w.unit.Model] == nil {
		out = append(out, w.unit.Model)
	}
	if h := e.unconfirmedUnload(); h != nil {
		out = append(out, fmt.Sprintf("(%s+%d)", e.unconfirmed.unit.Model, len(h.adapters)))
	}
	return out
}
