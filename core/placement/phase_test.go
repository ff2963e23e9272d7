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

// phaseCase is a state of an engine and the news that come in: the engine has taken three
// orders and holds m0 with adapter a1; its work, where there is some, is a load of m1 or an
// unload of m0.
type phaseCase struct {
	phase  phase
	unload bool
	sent   string
	news   string
}

// Orders whose reply is awaited, and news.
var (
	phaseSent = []string{"none", "load m2", "unload m0", "load a2", "unload a1"}
	phaseNews = []string{
		"accepted", "holds", "conflict", "lost",
		"report 3 settled", "report 3 busy", "report 4 settled", "report 4 busy", "report 2 settled", "old report 3 busy",
		"lacks m0", "clock", "new start", "new holder",
	}
)

// updatePhases writes the table anew, to be read before it is committed.
var updatePhases = flag.Bool("updatePhases", false, "write testdata/phases.txt anew")

// TestPhases walks through all states of an engine and all news of it, and compares what
// the planner makes of them with the table in testdata.
func TestPhases(t *testing.T) {
	var b strings.Builder
	for _, c := range phaseCases() {
		p, e := c.set(t)
		c.tell(p, e)
		fmt.Fprintf(&b, "%-22s | %-9s | %-17s -> %-22s | taken %d | counts %s\n",
			stateName(c.phase, c.unload), c.sent, c.news, stateNow(e), e.taken, strings.Join(counted(e), " "))
		if e.phase() != doubtful && e.sent != nil && !strings.Contains("report old clock lacks", strings.Fields(c.news)[0]) {
			t.Errorf("%+v: still awaits a reply", c)
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

// phaseCases returns all cases; replies come for orders only.
func phaseCases() []phaseCase {
	var out []phaseCase
	states := []phaseCase{{phase: doubtful}, {phase: settled}, {phase: working}, {phase: working, unload: true}, {phase: unconfirmed}, {phase: unconfirmed, unload: true}}
	for _, s := range states {
		for _, sent := range phaseSent {
			for i, news := range phaseNews {
				if sent == "none" && i < 4 {
					continue
				}
				out = append(out, phaseCase{s.phase, s.unload, sent, news})
			}
		}
	}
	return out
}

// set makes the state.
func (c *phaseCase) set(t *testing.T) (*Planner, *engine) {
	p := testPlanner(t, 3, map[string]Report{"e": {Start: 1, Taken: 3, Holdings: directory.Holdings{
		Models: []directory.Held{{Model: "m0", Adapters: []string{"a1"}}}, OnDisk: []string{"m0", "m1", "m2"},
	}}})
	e := p.engines["e"]
	w := &work{unit: unit("m1"), began: at(100), expected: at(900), timed: true}
	if c.unload {
		w.unit, w.unload, w.expected = unit("m0"), true, at(170)
	}
	if c.phase == working || c.phase == unconfirmed {
		e.work = w
	}
	if c.phase == unconfirmed {
		p.end(e, at(1000))
	}
	if c.phase == doubtful {
		e.doubt(at(500), 0)
	}
	if c.sent != "none" {
		op, name, _ := strings.Cut(c.sent, " ")
		u := unit(name)
		if strings.HasPrefix(name, "a") {
			u = Unit{Service: "s", Model: "m0", Adapter: name}
		}
		e.sent = &Order{Engine: "e", Unit: u, Unload: op == "unload", Taken: 3, Expected: unloadTime}
	}
	return p, e
}

// tell brings the news in.
func (c *phaseCase) tell(p *Planner, e *engine) {
	now := at(2000)
	replies := map[string]Reply{"accepted": Accepted, "holds": Holds, "conflict": Conflict, "lost": Lost}
	if r, ok := replies[c.news]; ok {
		p.Replied(e.sent, r, now)
		return
	}
	report := func(taken int64, busy bool, askedMs int) {
		p.Reported("e", &Report{Start: 1, Taken: taken, Busy: busy, Holdings: directory.Holdings{Models: []directory.Held{{Model: "m0", Adapters: []string{"a1"}}}}}, at(askedMs), now)
	}
	switch c.news {
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
		p.Missing("e", now)
	case "clock":
		p.endWork(now)
	case "new start":
		p.Reported("e", &Report{Start: 2}, at(1990), now)
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

// stateNow names the state with what is in progress.
func stateNow(e *engine) string {
	s := e.phase().String()
	w := e.work
	if w == nil {
		w = e.ended
	}
	if w == nil {
		return s
	}
	return s + " " + w.String()
}

// counted names the models that take up room.
func counted(e *engine) []string {
	var out []string
	for _, m := range allModels {
		if h := e.models[m]; h != nil {
			out = append(out, fmt.Sprintf("%s+%d", m, len(h.adapters)))
		}
	}
	if w := e.work; w != nil && !w.unload && e.models[w.unit.Model] == nil {
		out = append(out, w.unit.Model)
	}
	if h := e.leaving(); h != nil {
		out = append(out, fmt.Sprintf("(%s+%d)", e.ended.unit.Model, len(h.adapters)))
	}
	return out
}
