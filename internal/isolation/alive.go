package isolation

import (
	"context"
	"errors"
	"fmt"
	"time"

	"olivetiller/core/quarantine"
)

// ErrNotAsked is returned by [Options.StartOf] for endpoints that do not say when they started.
var ErrNotAsked = errors.New("endpoints of this service do not say when they started")

// An engine that is taken for crashed is asked when it started after firstInquiry, then at doubling intervals up to
// inquiryInterval, until its entry is gone or replaced, or the suspicions have expired.
const (
	firstInquiry    = 250 * time.Millisecond
	inquiryInterval = 16 * time.Second
	inquiriesEnd    = 10 * time.Minute
)

// askStart asks an engine that refused connections when it started. If it answers with the start of the incarnation that is
// taken for crashed, it has not crashed.
func (g *Guard) askStart(r *Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.o.StartOf == nil || r.incarnation.Start == 0 || g.asking[r.incarnation] {
		return
	}
	g.asking[r.incarnation] = true
	g.awaitStart(r, firstInquiry, g.o.Clock.Now().Add(inquiriesEnd))
}

// awaitStart asks the engine of a run after a delay, and again until that need not be repeated. g.mu must be held.
func (g *Guard) awaitStart(r *Run, delay time.Duration, end time.Time) {
	g.o.Clock.AfterFunc(delay, func() {
		done := g.askedStart(r, end)
		g.mu.Lock()
		defer g.mu.Unlock()
		if done {
			delete(g.asking, r.incarnation)
			return
		}
		g.awaitStart(r, min(2*delay, inquiryInterval), end)
	})
}

// askedStart asks the engine of a run when it started, and reports whether that need not be repeated.
func (g *Guard) askedStart(r *Run, end time.Time) bool {
	g.mu.Lock()
	current := g.startTimes[r.incarnation.Engine] == r.incarnation.Start && g.o.Clock.Now().Before(end)
	g.mu.Unlock()
	if !current {
		return true
	}
	_, err := g.inquire(context.Background(), r)
	return err == nil || errors.Is(err, ErrNotAsked)
}

// inquire asks the engine of a run when it started, and reports whether it is the incarnation of the run, which then has
// not crashed.
func (g *Guard) inquire(ctx context.Context, r *Run) (same bool, err error) {
	now := g.o.Clock.Now()
	start, err := g.o.StartOf(ctx, r.Service, r.endpoint)
	if same = err == nil && start == r.incarnation.Start; same {
		g.disprove(r.incarnation, now)
	}
	return same, err
}

// Verify returns an error if the engine of a run has started again since it was chosen: a crash of the new process would
// count as that of the one before. It asks an engine that is taken for crashed when it started, since its new entry may not
// be read yet. Whether an engine that does not answer is there, the attempt finds out.
func (r *Run) Verify(ctx context.Context) error {
	g := r.g
	g.mu.Lock()
	replaced := g.startTimes[r.incarnation.Engine] > r.incarnation.Start
	ask := g.o.StartOf != nil && g.tracker.TakenForCrashed(r.incarnation)
	g.mu.Unlock()
	if !replaced && ask {
		same, err := g.inquire(ctx, r)
		replaced = err == nil && !same
	}
	if replaced {
		return fmt.Errorf("engine %s has started again since it was chosen; another one, or its next process, may take the request", r.incarnation.Engine)
	}
	return nil
}

// disprove records that an engine that was taken for crashed was alive at a time.
func (g *Guard) disprove(l quarantine.Incarnation, aliveAt time.Time) {
	g.mu.Lock()
	now := g.o.Clock.Now()
	g.tracker.Alive(l, aliveAt, now)
	void, transitioned := g.registry.Disprove(l, aliveAt, now)
	g.mu.Unlock()
	g.Metrics.Disproved.Add(1)
	g.o.Logger.Info("engine has not crashed, the suspicions are void", "engine", l.Engine, "born", l.Start, "void", void)
	g.scheduleEvaluation()
	g.logTransitions(transitioned, "here")
	if void > 0 {
		g.o.Changed()
	}
}
