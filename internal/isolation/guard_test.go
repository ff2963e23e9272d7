package isolation

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/quarantine"
	"olivetiller/core/refusal"
	"olivetiller/core/view"
)

// testGuard returns a guard whose engines are gone where refused says so.
func testGuard(clock clockwork.Clock, refused func() bool) *Guard {
	return New(Options{
		Clock: clock, Logger: hclog.NewNullLogger(),
		Refuses: func(context.Context, string) bool { return refused() },
	})
}

func fingerprint(path string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("", quarantine.DigestOf("POST", "h", path, nil))
}

// breakAt sends a request to an engine, whose connection breaks, and reports whether the
// engine had ended.
func breakAt(t *testing.T, g *Guard, path, engine string) bool {
	t.Helper()
	run := g.Send(fingerprint(path), view.Endpoint{Name: engine})
	run.Began()
	return run.Broke(t.Context())
}

// TestBrokenConnection checks that only the end of an engine is blamed on what ran there, not
// that its connection broke.
func TestBrokenConnection(t *testing.T) {
	tests := []struct {
		name    string
		refused bool
		want    quarantine.State
	}{
		{"the engine takes connections", false, quarantine.Clear},
		{"the engine is gone", true, quarantine.Isolated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := testGuard(clockwork.NewFakeClock(), func() bool { return test.refused })
			g.SetEngines(9)
			if ended := breakAt(t, g, "/a", "e"); ended != test.refused {
				t.Errorf("ended is %t", ended)
			}
			if diff := cmp.Diff(test.want.String(), g.State(fingerprint("/a")).String()); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdmit checks what a request gets under which engines ended, and that its next run waits until the
// latest end has been judged.
func TestAdmit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := testGuard(clock, func() bool { return true })
	g.SetEngines(9)
	f := fingerprint("/a")
	admit := func() refusal.Kind {
		_, err := g.Admit(t.Context(), f)
		var e *refusal.Error
		if errors.As(err, &e) {
			if !e.NotRun() {
				t.Errorf("%v does not say that the request has not run", e)
			}
			return e.Kind
		}
		return ""
	}
	got := []refusal.Kind{admit()}
	breakAt(t, g, "/a", "e1")
	got = append(got, admit())
	clock.Advance(time.Second)
	breakAt(t, g, "/a", "e2")
	kind := make(chan refusal.Kind)
	go func() { kind <- admit() }()
	for waiting := true; waiting; {
		select {
		case k := <-kind:
			got, waiting = append(got, k), false
		default:
			clock.Advance(quarantine.Settle / 10)
			runtime.Gosched()
		}
	}
	got = append(got, admit())
	if diff := cmp.Diff([]refusal.Kind{"", "", refusal.Quarantined, refusal.Quarantined}, got); diff != "" {
		t.Errorf("before any end, after one, after two and again (-want +got):\n%s", diff)
	}
	if !g.Release(f) || admit() != "" {
		t.Error("it was not released")
	}
}

// TestTrialNeedsClaim checks that a trial begins only where it is kept for good that it did.
func TestTrialNeedsClaim(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := testGuard(clock, func() bool { return true })
	g.SetEngines(9)
	claim := errors.New("another node holds the lease")
	claimed := 0
	g.o.Claim = func(_ context.Context, e quarantine.Entry) error {
		claimed = e.Verdict.Trials
		return claim
	}
	f := fingerprint("/a")
	breakAt(t, g, "/a", "e1")
	clock.Advance(time.Second)
	breakAt(t, g, "/a", "e2")
	clock.Advance(quarantine.Settle)
	g.Judge()
	clock.Advance(11 * time.Minute)
	if trial, err := g.Admit(t.Context(), f); trial || err == nil {
		t.Errorf("tried without a claim (%v)", err)
	}
	claim = nil
	clock.Advance(2 * time.Hour)
	if trial, err := g.Admit(t.Context(), f); !trial || err != nil {
		t.Errorf("not tried: %v", err)
	}
	if claimed != 2 {
		t.Errorf("trial %d was claimed, want 2", claimed)
	}
	if err := g.Held(f); err == nil {
		t.Error("a second run during the trial")
	}
	run := g.Send(f, view.Endpoint{Name: "e3"})
	run.Answered(true)
	if err := g.Held(f); err != nil {
		t.Errorf("after a good answer: %v", err)
	}
}

// TestNewStarts checks that the new starts of engines are not blamed on a request that found them
// gone. Found by TestRequestThatEndsEngines: of four engines that had ended under another request each refused
// the connection of a proper one, which was convicted when all four had started again.
func TestNewStarts(t *testing.T) {
	g := testGuard(clockwork.NewFakeClock(), func() bool { return true })
	g.SetEngines(4)
	for _, engine := range []string{"a", "b", "c", "d"} {
		g.Seen(quarantine.Life{Engine: engine, Start: 1}, false)
		g.Send(fingerprint("/proper"), view.Endpoint{Name: engine, Start: 1}).NotSent()
		g.Send(fingerprint("/waits"), view.Endpoint{Name: engine, Start: 1})
	}
	for _, engine := range []string{"a", "b", "c", "d"} {
		g.Seen(quarantine.Life{Engine: engine, Start: 2}, false)
	}
	got := []string{g.State(fingerprint("/proper")).String(), g.State(fingerprint("/waits")).String()}
	if diff := cmp.Diff([]string{"clear", "quarantined"}, got); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
}

// TestStaleWord checks that a node which hears of no other sends a request no more that is one of few under
// which several engines ended: what the others know of it may be a verdict.
func TestStaleWord(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := testGuard(clock, func() bool { return true })
	fresh := true
	g.o.Fresh = func() bool { return fresh }
	g.SetEngines(9)
	g.SetWhole(false)
	f := fingerprint("/a")
	held := func() bool { return g.Held(f) != nil }
	got := []bool{held()}
	breakAt(t, g, "/a", "e1")
	fresh = false
	got = append(got, held())
	clock.Advance(time.Second)
	breakAt(t, g, "/a", "e2")
	got = append(got, held())
	fresh = true
	got = append(got, held())
	if diff := cmp.Diff([]bool{false, false, true, false}, got); diff != "" {
		t.Errorf("held before any end, after one and two at a node that hears nobody, and when it hears others (-want +got):\n%s", diff)
	}
}

// TestForgetsRuns checks that nothing is left of runs that were given up, at a node whose control side does
// not tend the guard.
func TestForgetsRuns(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := testGuard(clock, func() bool { return true })
	for i := range 100 {
		g.Send(fingerprint("/a"), view.Endpoint{Name: fmt.Sprint("e", i)}).Left()
	}
	clock.Advance(time.Hour)
	g.Send(fingerprint("/b"), view.Endpoint{Name: "f"})
	if n := g.tracker.Lives(); n != 1 {
		t.Errorf("%d engines are remembered, want 1", n)
	}
}
