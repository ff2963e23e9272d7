package isolation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/quarantine"
	"olivetiller/core/refusal"
)

// Options are what a guard is made of.
type Options struct {
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Refuses opens a connection to an address, closes it, and reports whether it was refused.
	Refuses func(ctx context.Context, address string) bool
	// Changed is called when there is something to tell others; nil where nobody wants to know.
	Changed func()
	// Fresh reports whether the others' word is not too old; nil where there are no others.
	Fresh func() bool
	// Claim keeps the beginning of a trial for good, so that no other node begins it too; it
	// returns an error where this node may not. Nil where there is only this node.
	Claim func(ctx context.Context, e quarantine.Entry) error
	// Turns are those of all nodes; nil where there is only this node.
	Turns TurnTaker
}

// Guard is what a node knows of requests that end engines. It is safe for concurrent use.
type Guard struct {
	o       Options
	Metrics Metrics

	mu       sync.Mutex
	registry *quarantine.Registry
	tracker  *quarantine.Tracker
	// probes are closed when the engine's answer is known.
	probes map[quarantine.Life]chan struct{}
	// expiredAt is when was last looked for what can be forgotten.
	expiredAt time.Time
	// starts are the latest starts that engines told, by their ids.
	starts map[string]int64
	turns  *quarantine.Turns
	// turnSeq tells this node's runs in turns apart.
	turnSeq atomic.Int64
}

// New returns a guard that knows nothing.
func New(o Options) *Guard {
	if o.Changed == nil {
		o.Changed = func() {}
	}
	if o.Fresh == nil {
		o.Fresh = func() bool { return true }
	}
	return &Guard{
		o: o, registry: quarantine.NewRegistry(o.Clock.Now()), tracker: quarantine.NewTracker(),
		probes: make(map[quarantine.Life]chan struct{}), starts: make(map[string]int64), turns: quarantine.NewTurns(),
	}
}

// State returns what is thought of a request.
func (g *Guard) State(f quarantine.Fingerprint) quarantine.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.State(f)
}

// Admit returns why a request is kept from engines, or nil, and whether its run is a trial. A request that
// is one of few under which engines ended waits until the latest end has been judged.
func (g *Guard) Admit(ctx context.Context, f quarantine.Fingerprint) (trial bool, err error) {
	if wait := g.unsettled(f); wait > 0 {
		select {
		case <-g.o.Clock.After(wait):
		case <-ctx.Done():
		}
	}
	if g.State(f) == quarantine.Isolated {
		g.Judge()
	}
	if err = g.Held(f); err == nil {
		return false, nil
	}
	if g.tryAgain(ctx, f) {
		return true, nil
	}
	return false, err
}

func (g *Guard) unsettled(f quarantine.Fingerprint) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Unsettled(f, g.o.Clock.Now())
}

// Held returns why a request is kept from engines now, or nil.
func (g *Guard) Held(f quarantine.Fingerprint) error {
	g.mu.Lock()
	again, held := g.registry.Held(f, g.o.Clock.Now())
	doubtful := !held && g.registry.Doubtful(f)
	g.mu.Unlock()
	switch {
	case held:
		return refusal.New(refusal.Quarantined, "engines ended under request %s", f).After(again)
	case doubtful && !g.o.Fresh():
		return refusal.New(refusal.Quarantined, "engines ended under request %s, and what other nodes say of it is not known now", f).After(staleHint)
	}
	return nil
}

// staleHint is when to come back where only the others' word is missing: they are heard within a
// second, or the balancer knows a better node.
const staleHint = time.Second

// tryAgain begins a trial of a quarantined request if one is due.
func (g *Guard) tryAgain(ctx context.Context, f quarantine.Fingerprint) bool {
	g.mu.Lock()
	begun := g.registry.BeginTrial(f, g.o.Clock.Now())
	entry := g.registry.Entry(f)
	g.mu.Unlock()
	if !begun {
		return false
	}
	if g.o.Claim != nil {
		if err := g.o.Claim(ctx, entry); err != nil {
			g.o.Logger.Info("trial of a quarantined request not begun", "fingerprint", f.String(), "error", err.Error())
			g.TrialOver(f)
			return false
		}
	}
	g.o.Logger.Info("trial of a quarantined request", "fingerprint", f.String(), "trial", entry.Verdict.Trials)
	g.o.Changed()
	return true
}

// TrialOver notes that a trial of a request is over, or came to no run. For a request that is not on trial
// it does nothing.
func (g *Guard) TrialOver(f quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.EndTrial(f, g.o.Clock.Now())
}

// ended blames the requests that an engine ran at its end.
func (g *Guard) ended(life quarantine.Life, end func(quarantine.Life, time.Time) (quarantine.EndID, []quarantine.Fingerprint, []quarantine.Blame)) {
	g.mu.Lock()
	now := g.o.Clock.Now()
	id, requests, blames := end(life, now)
	if id == (quarantine.EndID{}) {
		g.mu.Unlock()
		return
	}
	g.registry.Ended(id, now)
	moved := g.registry.Blame(requests, blames, now)
	g.mu.Unlock()
	g.Metrics.Ended.Add(1)
	g.o.Logger.Info("engine ended", "engine", life.Engine, "born", life.Start, "running", len(requests))
	g.tell(requests, blames, moved)
}

// mostLines bounds the lines about one end: an engine may run hundreds of requests.
const mostLines = 8

// tell logs blames and what they came to, and has the others told.
func (g *Guard) tell(requests []quarantine.Fingerprint, blames []quarantine.Blame, moved []quarantine.Fingerprint) {
	for i, f := range requests {
		if i == mostLines {
			g.o.Logger.Info("blames not shown", "count", len(requests)-mostLines)
			break
		}
		g.logStatus("request blamed", f, "engine", blames[i].End.Engine, "born", blames[i].End.Start,
			"ranMs", blames[i].Ran.Milliseconds(), "begun", blames[i].Begun, "beside", len(requests)-1)
	}
	g.Metrics.Blamed.Add(int64(len(requests)))
	g.judgeLater()
	g.tellMoved(moved, "here")
	if len(requests) > 0 {
		g.o.Changed()
	}
}

// tellMoved logs requests of which something else is thought, by whose word.
func (g *Guard) tellMoved(moved []quarantine.Fingerprint, by string) {
	for i, f := range moved {
		if i == mostLines {
			g.o.Logger.Info("requests not shown", "count", len(moved)-mostLines)
			break
		}
		g.logStatus("request thought of otherwise", f, "by", by)
	}
}

func (g *Guard) logStatus(message string, f quarantine.Fingerprint, args ...any) {
	g.mu.Lock()
	s := g.registry.Status(f)
	g.mu.Unlock()
	g.o.Logger.Info(message, append([]any{
		"fingerprint", f.String(), "state", s.State.String(), "belief", s.Belief, "ends", s.Ends, "unexplained", s.Unexplained, "trials", s.Trials,
	}, args...)...)
}

// Seen notes an endpoint's entry, and whether it leaves. A newer start than the one before means that the
// life before has ended.
func (g *Guard) Seen(life quarantine.Life, leaving bool) {
	g.mu.Lock()
	former, known := g.starts[life.Engine]
	g.starts[life.Engine] = life.Start
	g.tracker.Leaving(life, leaving, g.o.Clock.Now())
	g.mu.Unlock()
	if known && former != 0 && life.Start > former {
		g.ended(quarantine.Life{Engine: life.Engine, Start: former}, g.tracker.Restart)
	}
}

// Gone notes that an endpoint's entry is gone.
func (g *Guard) Gone(engine string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Leaving(quarantine.Life{Engine: engine, Start: g.starts[engine]}, true, g.o.Clock.Now())
	delete(g.starts, engine)
}

// SetEngines notes how many engines there are, and SetWhole whether the blames of all nodes come
// together here.
func (g *Guard) SetEngines(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.SetEngines(n)
}

// SetWhole notes whether the blames of all nodes come together here.
func (g *Guard) SetWhole(whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.SetWhole(whole)
}

// Judge judges the ends of which all is known by now. It is to be called some times a second.
func (g *Guard) Judge() {
	g.mu.Lock()
	moved := g.registry.Judge(g.o.Clock.Now())
	g.mu.Unlock()
	if len(moved) > 0 {
		g.tellMoved(moved, "here")
		g.o.Changed()
	}
}

// judgeLater has Judge called once the latest ends have settled.
func (g *Guard) judgeLater() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registry.Pending() {
		g.o.Clock.AfterFunc(quarantine.Settle, g.Judge)
	}
}

// Merge takes in what another node, or the store, knows, and reports whether that was news.
func (g *Guard) Merge(entries []quarantine.Entry, by string) bool {
	if len(entries) == 0 {
		return false
	}
	g.mu.Lock()
	before := g.registry.Version()
	moved := g.registry.Merge(entries, g.o.Clock.Now())
	news := g.registry.Version() != before
	g.mu.Unlock()
	if news {
		g.judgeLater()
	}
	g.tellMoved(moved, by)
	return news
}

// Since returns what changed since a version, and the version that this leads to.
func (g *Guard) Since(version uint64, scope quarantine.Scope) ([]quarantine.Entry, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Since(version, scope)
}

// ToldVersion rises with each change that concerns other nodes.
func (g *Guard) ToldVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.ToldVersion()
}

// List returns what is thought of all requests that are known.
func (g *Guard) List() []quarantine.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.List()
}

// Release lets a request go by an operator's word. It reports whether there was anything to let
// go.
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
