package isolation

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/quarantine"
	"olivetiller/core/refusal"
	"olivetiller/core/view"
)

// Options configures a Guard.
type Options struct {
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Refuses opens a connection to an address, closes it, and reports whether the connection was refused.
	Refuses func(ctx context.Context, address string) bool
	// StartOf asks an engine of a service when it started, in Unix milliseconds; nil if none can be asked. It returns
	// [ErrNotAsked] for an endpoint that answers no such questions.
	StartOf func(ctx context.Context, service string, ep view.Endpoint) (int64, error)
	// Changed is called when there are new entries for other nodes; may be nil.
	Changed func()
	// Fresh reports whether the entries received from other nodes are recent; nil if there are no other nodes.
	Fresh func() bool
	// Claim stores the start of a trial durably, so that no other node starts it too. It returns an error if this
	// node may not start it. Nil if there is only this node.
	Claim func(ctx context.Context, e quarantine.Entry) error
	// Turns holds the run locks shared by all nodes; nil if there is only this node.
	Turns RunLocker
}

// Guard tracks the requests that crash engines for one node. It is safe for concurrent use.
type Guard struct {
	o       Options
	Metrics Metrics

	mu       sync.Mutex
	registry *quarantine.Registry
	tracker  *quarantine.Tracker
	// probes holds the connection probes in progress; each channel is closed when the result is known.
	probes map[quarantine.Incarnation]chan struct{}
	// asking holds the incarnations that are taken for crashed and are asked when they started.
	asking map[quarantine.Incarnation]bool
	// expiredAt is when expired records and runs were last removed.
	expiredAt time.Time
	// startTimes holds the latest published start time of each engine, by name, in Unix milliseconds.
	startTimes map[string]int64
	locks      *quarantine.RunLocks
	// runSeq numbers this node's runs, to identify the holders of run locks.
	runSeq atomic.Int64
}

// New returns a guard that knows of no crashes.
func New(o Options) *Guard {
	if o.Changed == nil {
		o.Changed = func() {}
	}
	if o.Fresh == nil {
		o.Fresh = func() bool { return true }
	}
	return &Guard{
		o: o, registry: quarantine.NewRegistry(o.Clock.Now()), tracker: quarantine.NewTracker(),
		probes: make(map[quarantine.Incarnation]chan struct{}), asking: make(map[quarantine.Incarnation]bool), startTimes: make(map[string]int64), locks: quarantine.NewRunLocks(),
	}
}

// A request is known to the guard by its subjects: its own fingerprint, and those of the parts of its prompt.

// State returns the worst quarantine state among the subjects of a request.
func (g *Guard) State(subjects ...quarantine.Fingerprint) quarantine.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	worst := quarantine.Clear
	for _, f := range subjects {
		if s := g.registry.StateIn(f, subjects); s.WorseThan(worst) {
			worst = s
		}
	}
	return worst
}

// Admit decides whether a request may run. It returns an error if the request is blocked, and otherwise whether the
// run is a trial. A request that is one of few suspects first waits until its latest crash has been evaluated.
func (g *Guard) Admit(ctx context.Context, subjects ...quarantine.Fingerprint) (trial bool, err error) {
	if wait := g.unsettled(subjects); wait > 0 {
		select {
		case <-g.o.Clock.After(wait):
		case <-ctx.Done():
		}
	}
	if g.State(subjects...) == quarantine.Isolated {
		g.Evaluate()
	}
	f, err := g.blocked(subjects)
	if err == nil {
		return false, nil
	}
	if g.beginTrial(ctx, f) {
		// The trial of one subject must not run another one that is blocked.
		if _, other := g.blocked(slices.DeleteFunc(slices.Clone(subjects), func(s quarantine.Fingerprint) bool { return s == f })); other != nil {
			g.EndTrial(f)
			return false, other
		}
		return true, nil
	}
	return false, err
}

// unsettled returns how long a request should wait until the latest crashes of its subjects have been evaluated.
func (g *Guard) unsettled(subjects []quarantine.Fingerprint) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	var wait time.Duration
	for _, f := range subjects {
		wait = max(wait, g.registry.SettleDelay(f, g.o.Clock.Now()))
	}
	return wait
}

// Blocked returns an error if a request is blocked now, and nil otherwise.
func (g *Guard) Blocked(subjects ...quarantine.Fingerprint) error {
	_, err := g.blocked(subjects)
	return err
}

// blocked returns the first blocked subject of a request and the error with which the request is refused.
func (g *Guard) blocked(subjects []quarantine.Fingerprint) (f quarantine.Fingerprint, err error) {
	for _, f := range subjects {
		g.mu.Lock()
		retryAfter, blocked := g.registry.Blocked(f, subjects, g.o.Clock.Now())
		doubtful := !blocked && g.registry.Doubtful(f)
		g.mu.Unlock()
		switch {
		case blocked:
			return f, refusal.New(refusal.Quarantined, "engines crashed while they ran %s; retry later, or have an operator release it", describe(f)).WithRetryAfter(retryAfter)
		case doubtful && !g.o.Fresh():
			return f, refusal.New(refusal.Quarantined, "engines crashed while they ran %s, and the entries of other nodes are out of date; retry", describe(f)).WithRetryAfter(staleRetryAfter)
		}
	}
	return f, nil
}

// describe names a subject in a refusal.
func describe(f quarantine.Fingerprint) string {
	if f.IsPart() {
		return "requests with part " + f.String() + " in their prompts"
	}
	return "request " + f.String()
}

// staleRetryAfter is the retry delay where only recent entries of other nodes are missing. They arrive within a
// second, or the load balancer learns that another node is better.
const staleRetryAfter = time.Second

// beginTrial begins a trial of a quarantined request if one is due, and reports whether it did.
func (g *Guard) beginTrial(ctx context.Context, f quarantine.Fingerprint) bool {
	g.mu.Lock()
	begun := g.registry.BeginTrial(f, g.o.Clock.Now())
	entry := g.registry.Entry(f)
	g.mu.Unlock()
	if !begun {
		return false
	}
	if g.o.Claim != nil {
		if err := g.o.Claim(ctx, entry); err != nil {
			g.o.Logger.Info("trial run of a quarantined request not started", "fingerprint", f.String(), "error", err.Error())
			g.EndTrial(f)
			return false
		}
	}
	g.o.Logger.Info("trial run of a quarantined request started", "fingerprint", f.String(), "trial", entry.Verdict.Trials)
	g.o.Changed()
	return true
}

// EndTrial records that the trial of a request is over, or was given up before the run. It has no effect on subjects
// that are not on trial.
func (g *Guard) EndTrial(subjects ...quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range subjects {
		g.registry.EndTrial(f, g.o.Clock.Now())
	}
}

// recordCrash records a crash found by detect, a method of the tracker, with the requests that the engine ran as
// suspects.
func (g *Guard) recordCrash(incarnation quarantine.Incarnation, detect func(quarantine.Incarnation, time.Time) (quarantine.CrashID, []quarantine.Fingerprint, []quarantine.Suspicion)) {
	g.mu.Lock()
	now := g.o.Clock.Now()
	id, requests, suspicions := detect(incarnation, now)
	if id == (quarantine.CrashID{}) {
		g.mu.Unlock()
		return
	}
	g.registry.RecordCrash(id, now)
	transitioned := g.registry.Suspect(requests, suspicions, now)
	g.mu.Unlock()
	g.Metrics.Crashes.Add(1)
	g.o.Logger.Info("engine crashed", "engine", incarnation.Engine, "born", incarnation.Start, "running", len(requests))
	g.announce(requests, suspicions, transitioned)
}

// maxLogLines bounds the log lines for one crash: an engine may run hundreds of requests.
const maxLogLines = 8

// announce logs suspicions and the resulting states, and notifies the other nodes.
func (g *Guard) announce(requests []quarantine.Fingerprint, suspicions []quarantine.Suspicion, transitioned []quarantine.Fingerprint) {
	for i, f := range requests {
		if i == maxLogLines {
			g.o.Logger.Info("further suspects of the crash not logged", "count", len(requests)-maxLogLines)
			break
		}
		g.logStatus("request suspected of an engine crash", f, "engine", suspicions[i].Crash.Engine, "born", suspicions[i].Crash.Start,
			"ranMs", suspicions[i].Elapsed.Milliseconds(), "begun", suspicions[i].Begun, "beside", len(requests)-1)
	}
	g.Metrics.Suspected.Add(int64(len(requests)))
	g.scheduleEvaluation()
	g.logTransitions(transitioned, "here")
	if len(requests) > 0 {
		g.o.Changed()
	}
}

// logTransitions logs requests whose state changed; by is the source of the change, "here" for this node.
func (g *Guard) logTransitions(transitioned []quarantine.Fingerprint, by string) {
	for i, f := range transitioned {
		if i == maxLogLines {
			g.o.Logger.Info("further state changes not logged", "count", len(transitioned)-maxLogLines)
			break
		}
		g.logStatus("quarantine state of a request changed", f, "by", by)
	}
}

func (g *Guard) logStatus(message string, f quarantine.Fingerprint, args ...any) {
	g.mu.Lock()
	s := g.registry.Status(f)
	g.mu.Unlock()
	g.o.Logger.Info(message, append([]any{
		"fingerprint", f.String(), "state", s.State.String(), "belief", s.Probability, "ends", s.Crashes, "unexplained", s.Unexplained, "trials", s.Trials,
	}, args...)...)
}

// EngineSeen records an engine's published entry, and whether it is draining. A later start time than before means that
// the former incarnation has crashed.
func (g *Guard) EngineSeen(incarnation quarantine.Incarnation, draining bool) {
	g.mu.Lock()
	former, known := g.startTimes[incarnation.Engine]
	g.startTimes[incarnation.Engine] = incarnation.Start
	g.tracker.SetDraining(incarnation, draining, g.o.Clock.Now())
	g.mu.Unlock()
	if known && former != 0 && incarnation.Start > former {
		g.recordCrash(quarantine.Incarnation{Engine: incarnation.Engine, Start: former}, g.tracker.Restart)
	}
}

// EngineRemoved records that an engine's entry was removed.
func (g *Guard) EngineRemoved(engine string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.SetDraining(quarantine.Incarnation{Engine: engine, Start: g.startTimes[engine]}, true, g.o.Clock.Now())
	delete(g.startTimes, engine)
}

// SetEngines sets the number of engines in the deployment.
func (g *Guard) SetEngines(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.SetEngines(n)
}

// SetComplete sets whether the suspicions of all nodes arrive here.
func (g *Guard) SetComplete(complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.SetComplete(complete)
}

// Evaluate evaluates the crashes whose suspects are all known by now. It must be called several times per second.
func (g *Guard) Evaluate() {
	g.mu.Lock()
	transitioned := g.registry.Evaluate(g.o.Clock.Now())
	g.mu.Unlock()
	if len(transitioned) > 0 {
		g.logTransitions(transitioned, "here")
		g.o.Changed()
	}
}

// scheduleEvaluation calls Evaluate once the latest crashes have settled.
func (g *Guard) scheduleEvaluation() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registry.Pending() {
		g.o.Clock.AfterFunc(quarantine.SettleTime, g.Evaluate)
	}
}

// Merge merges entries of another node or of the store, and reports whether they changed anything; by names the
// source for the log.
func (g *Guard) Merge(entries []quarantine.Entry, by string) bool {
	if len(entries) == 0 {
		return false
	}
	g.mu.Lock()
	before, now := g.registry.Version(), g.o.Clock.Now()
	transitioned := g.registry.Merge(entries, now)
	g.tracker.MergeCrashes(entries, now)
	changed := g.registry.Version() != before
	cleared := g.registry.ClearAnsweredParts(entries, g.tracker, now)
	g.mu.Unlock()
	if changed {
		g.scheduleEvaluation()
	}
	g.logTransitions(transitioned, by)
	for _, f := range cleared {
		g.logCleared(f, "")
	}
	if len(cleared) > 0 {
		g.o.Changed()
	}
	return changed || len(cleared) > 0
}

// logCleared logs that a subject was cleared by the answer of an engine; "" for one of before.
func (g *Guard) logCleared(f quarantine.Fingerprint, engine string) {
	g.Metrics.Cleared.Add(1)
	g.o.Logger.Info("request cleared by a successful answer", "fingerprint", f.String(), "engine", engine)
}

// Since returns the entries in scope that changed after a version, and the current version.
func (g *Guard) Since(version uint64, scope quarantine.Scope) ([]quarantine.Entry, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Since(version, scope)
}

// SharedVersion returns a version that increases with each change that matters to other nodes.
func (g *Guard) SharedVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.SharedVersion()
}

// List returns the status of all requests with a record.
func (g *Guard) List() []quarantine.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.List()
}

// Release clears a request at an operator's command, and reports whether there was anything to clear.
func (g *Guard) Release(f quarantine.Fingerprint) bool {
	g.mu.Lock()
	released := g.registry.Release(f, g.o.Clock.Now())
	g.mu.Unlock()
	if released {
		g.logStatus("request released", f, "by", "operator")
		g.o.Changed()
	}
	return released
}
