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

// testGuard returns a guard whose engines refuse connections where refused returns true.
func testGuard(clock clockwork.Clock, refused func() bool) *Guard {
	return New(Options{
		Clock: clock, Logger: hclog.NewNullLogger(),
		Refuses: func(context.Context, string) bool { return refused() },
	})
}

func fingerprint(path string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("", quarantine.DigestOf("POST", "h", path, nil))
}

// breakConnection sends a request to an engine and breaks the connection. It reports whether the engine had crashed.
func breakConnection(t *testing.T, g *Guard, path, engine string) bool {
	t.Helper()
	run := g.Send(fingerprint(path), view.Endpoint{Name: engine})
	run.Began()
	return run.ConnectionBroke(t.Context())
}

// TestBrokenConnection guards against requests that are suspected because of a broken connection while the engine is
// still running.
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
			if crashed := breakConnection(t, g, "/a", "e"); crashed != test.refused {
				t.Errorf("ConnectionBroke returned %t", crashed)
			}
			if diff := cmp.Diff(test.want.String(), g.State(fingerprint("/a")).String()); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdmit checks the refusals of a request under which engines crashed, and that its next run waits until the
// latest crash has been evaluated.
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
				t.Errorf("%v does not report that the request did not run", e)
			}
			return e.Kind
		}
		return ""
	}
	got := []refusal.Kind{admit()}
	breakConnection(t, g, "/a", "e1")
	got = append(got, admit())
	clock.Advance(time.Second)
	breakConnection(t, g, "/a", "e2")
	kind := make(chan refusal.Kind)
	go func() { kind <- admit() }()
	for waiting := true; waiting; {
		select {
		case k := <-kind:
			got, waiting = append(got, k), false
		default:
			clock.Advance(quarantine.SettleTime / 10)
			runtime.Gosched()
		}
	}
	got = append(got, admit())
	if diff := cmp.Diff([]refusal.Kind{"", "", refusal.Quarantined, refusal.Quarantined}, got); diff != "" {
		t.Errorf("refusals before any crash, after one, after two and again (-want +got):\n%s", diff)
	}
	if !g.Release(f) || admit() != "" {
		t.Error("the request was not released")
	}
}

// TestTrialNeedsClaim guards against trials of one request at several nodes: a trial may begin only if its start was
// stored.
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
	breakConnection(t, g, "/a", "e1")
	clock.Advance(time.Second)
	breakConnection(t, g, "/a", "e2")
	clock.Advance(quarantine.SettleTime)
	g.Evaluate()
	clock.Advance(11 * time.Minute)
	if trial, err := g.Admit(t.Context(), f); trial || err == nil {
		t.Errorf("trial without a claim: %v", err)
	}
	claim = nil
	clock.Advance(2 * time.Hour)
	if trial, err := g.Admit(t.Context(), f); !trial || err != nil {
		t.Errorf("no trial: %v", err)
	}
	if claimed != 2 {
		t.Errorf("trial %d was claimed, want 2", claimed)
	}
	if err := g.Blocked(f); err == nil {
		t.Error("a second run is admitted during the trial")
	}
	run := g.Send(f, view.Endpoint{Name: "e3"})
	run.Answered(true)
	if err := g.Blocked(f); err != nil {
		t.Errorf("after a successful answer: %v", err)
	}
}

// TestUnsentRequestsNotSuspected guards against suspecting a request of crashes of engines that it never reached: four
// engines that had crashed under another request refused the connections of a harmless one, which was quarantined
// when all four had restarted.
func TestUnsentRequestsNotSuspected(t *testing.T) {
	g := testGuard(clockwork.NewFakeClock(), func() bool { return true })
	g.SetEngines(4)
	for _, engine := range []string{"a", "b", "c", "d"} {
		g.EngineSeen(quarantine.Incarnation{Engine: engine, Start: 1}, false)
		g.Send(fingerprint("/proper"), view.Endpoint{Name: engine, Start: 1}).NotSent()
		g.Send(fingerprint("/waits"), view.Endpoint{Name: engine, Start: 1})
	}
	for _, engine := range []string{"a", "b", "c", "d"} {
		g.EngineSeen(quarantine.Incarnation{Engine: engine, Start: 2}, false)
	}
	got := []string{g.State(fingerprint("/proper")).String(), g.State(fingerprint("/waits")).String()}
	if diff := cmp.Diff([]string{"clear", "quarantined"}, got); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
}

// TestHeldWhileStale guards against a node that does not receive entries of other nodes and still sends a request
// that is one of few suspects of several crashes: the other nodes may have quarantined it.
func TestHeldWhileStale(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := testGuard(clock, func() bool { return true })
	fresh := true
	g.o.Fresh = func() bool { return fresh }
	g.SetEngines(9)
	g.SetComplete(false)
	f := fingerprint("/a")
	held := func() bool { return g.Blocked(f) != nil }
	got := []bool{held()}
	breakConnection(t, g, "/a", "e1")
	fresh = false
	got = append(got, held())
	clock.Advance(time.Second)
	breakConnection(t, g, "/a", "e2")
	got = append(got, held())
	fresh = true
	got = append(got, held())
	if diff := cmp.Diff([]bool{false, false, true, false}, got); diff != "" {
		t.Errorf("held before any crash, after one and after two while stale, and when fresh again (-want +got):\n%s", diff)
	}
}

// TestRunsExpire guards against a memory leak: abandoned runs must be removed also at a node whose control side never
// calls the guard.
func TestRunsExpire(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := testGuard(clock, func() bool { return true })
	for i := range 100 {
		g.Send(fingerprint("/a"), view.Endpoint{Name: fmt.Sprint("e", i)}).Abandoned()
	}
	clock.Advance(time.Hour)
	g.Send(fingerprint("/b"), view.Endpoint{Name: "f"})
	if n := g.tracker.Incarnations(); n != 1 {
		t.Errorf("%d engines are remembered, want 1", n)
	}
}

// TestEngineThatRefusedIsAsked checks that engines that are taken for crashed are asked when they started, and that those
// that are alive are not held against the requests that they ran.
func TestEngineThatRefusedIsAsked(t *testing.T) {
	tests := []struct {
		name  string
		start func() (int64, error)
		want  quarantine.State
	}{
		{"alive", func() (int64, error) { return 1, nil }, quarantine.Clear},
		{"started again", func() (int64, error) { return 2, nil }, quarantine.Quarantined},
		{"no answer", func() (int64, error) { return 0, errors.New("refused") }, quarantine.Quarantined},
		{"is not asked", func() (int64, error) { return 0, ErrNotAsked }, quarantine.Quarantined},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			g := testGuard(clock, func() bool { return true })
			g.SetEngines(9)
			asked := make(chan string, 100)
			g.o.StartOf = func(_ context.Context, _ string, ep view.Endpoint) (int64, error) {
				asked <- ep.Name
				return tt.start()
			}
			f := fingerprint("/a")
			for _, engine := range []string{"e1", "e2", "e3"} {
				g.EngineSeen(quarantine.Incarnation{Engine: engine, Start: 1}, false)
				run := g.Send(f, view.Endpoint{Name: engine, Start: 1})
				run.Began()
				run.ConnectionBroke(t.Context())
			}
			if got := g.State(f); got != quarantine.Quarantined {
				t.Fatalf("the request is %v before, want quarantined", got)
			}
			clock.Advance(firstInquiry)
			for range 3 {
				<-asked
			}
			for deadline := time.Now().Add(time.Second); g.State(f) != tt.want && time.Now().Before(deadline); {
				runtime.Gosched()
			}
			if got := g.State(f); got != tt.want {
				t.Errorf("the request is %v, want %v", got, tt.want)
			}
		})
	}
}

// TestVerifyBeforeSending guards against a second crash of an engine that counts as its first one, because the engine was used
// again before its new entry was read.
func TestVerifyBeforeSending(t *testing.T) {
	const crashed = 1
	const (
		nowhere = iota
		here
		elsewhere
		// byEntry means that the new entry is read after the engine was chosen.
		byEntry
	)
	tests := []struct {
		name string
		// knownFrom says where the crash was noticed.
		knownFrom int
		start     int64
		err       error
		// asked, sent and disproved are what Verify is to do.
		asked, sent, disproved bool
	}{
		{"no crash", nowhere, crashed + 1, nil, false, true, false},
		{"started again", here, crashed + 1, nil, true, false, false},
		{"started again, known from another node", elsewhere, crashed + 1, nil, true, false, false},
		{"its new entry is read", byEntry, crashed + 1, nil, false, false, false},
		{"alive", here, crashed, nil, true, true, true},
		{"alive, known from another node", elsewhere, crashed, nil, true, true, true},
		{"no answer", here, 0, errors.New("refused"), true, true, false},
		{"is not asked", here, 0, ErrNotAsked, true, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			g := testGuard(clock, func() bool { return true })
			g.SetEngines(9)
			asked := false
			g.o.StartOf = func(context.Context, string, view.Endpoint) (int64, error) {
				asked = true
				return tt.start, tt.err
			}
			ep := view.Endpoint{Name: "e", Start: crashed}
			g.EngineSeen(quarantine.Incarnation{Engine: ep.Name, Start: ep.Start}, false)
			switch tt.knownFrom {
			case here:
				run := g.Send(fingerprint("/a"), ep)
				run.Began()
				run.ConnectionBroke(t.Context())
			case elsewhere:
				other := testGuard(clock, func() bool { return true })
				other.SetEngines(9)
				run := other.Send(fingerprint("/a"), ep)
				run.Began()
				run.ConnectionBroke(t.Context())
				entries, _ := other.Since(0, quarantine.AllRecords)
				g.Merge(entries, "other")
			}
			if tt.knownFrom == byEntry {
				g.EngineSeen(quarantine.Incarnation{Engine: ep.Name, Start: crashed + 1}, false)
			}
			run := g.Send(fingerprint("/a"), ep)
			if err := run.Verify(t.Context()); (err == nil) != tt.sent {
				t.Errorf("Verify = %v, want that the request is sent: %t", err, tt.sent)
			}
			if asked != tt.asked {
				t.Errorf("the engine was asked: %t, want %t", asked, tt.asked)
			}
			if got := g.Metrics.Disproved.Value() == 1; got != tt.disproved {
				t.Errorf("the crash is disproved: %t, want %t", got, tt.disproved)
			}
		})
	}
}
