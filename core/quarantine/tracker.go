package quarantine

import "time"

// Durations that the tracker uses.
const (
	// breakWindow is how long after a broken connection the crash of its engine may be confirmed, and how long after
	// the crash other connections may break. Both take milliseconds.
	breakWindow = time.Second
	// abandonWindow is how long before a crash an attempt may have been abandoned and still be a suspect: engines
	// continue for some hundred milliseconds after the caller has disconnected.
	abandonWindow = 500 * time.Millisecond
	// restartWindow is how long after an attempt without response was abandoned it is still a suspect when the engine
	// turns out to have restarted.
	restartWindow = 10 * time.Second
	// maxSucceeded and maxSucceededParts bound the sets of requests and of parts that were answered successfully, and
	// succeededTTL is how long they are kept: what was recently answered is not a suspect.
	maxSucceeded      = 2048
	maxSucceededParts = 8192
	succeededTTL      = 5 * time.Minute
	// idleTTL is how long an incarnation of an engine without runs is kept.
	idleTTL = time.Minute
)

// Incarnation identifies one incarnation of an engine.
type Incarnation struct {
	Engine string
	// Start is the start time in Unix milliseconds; 0 if the engine does not publish it.
	Start int64
}

// Run is one attempt of a request at an engine, from the moment of sending.
type Run struct {
	// subjects are the request's fingerprint and those of the parts of its prompt.
	subjects    []Fingerprint
	incarnation Incarnation
	sentAt      time.Time
	// begunAt is when the engine began to answer; zero before.
	begunAt time.Time
	// stoppedAt is when the connection broke or the attempt was abandoned; zero before.
	stoppedAt time.Time
	// broke is true if the connection broke.
	broke bool
}

// engineRuns holds the current and recent runs of one incarnation of an engine.
type engineRuns struct {
	runs map[*Run]bool
	// crashes counts further crashes of an engine that does not publish its start time; answered is set once the
	// engine has answered since the latest crash.
	crashes  int
	answered bool
	// crashedAt is when the latest crash was noticed; zero if there was none. reportedAt is when another node's report of
	// a crash arrived; zero if none did.
	crashedAt, reportedAt time.Time
	// aliveAt is the latest time at which an engine that was taken for crashed is known to have been alive.
	aliveAt time.Time
	// draining is set while the engine's shutdown is planned or its entry is gone.
	draining bool
	usedAt   time.Time
}

// Tracker tracks which requests of a node run on which engines, to find the suspects of a crash. It is not safe for
// concurrent use.
type Tracker struct {
	incarnations map[Incarnation]*engineRuns
	// requests and parts hold those that were answered successfully.
	requests, parts succeeded
}

// succeeded is a bounded set of what was recently answered successfully.
type succeeded struct {
	limit int
	// latest holds what was answered since since, and previous what was in the period before.
	latest, previous map[Fingerprint]bool
	since            time.Time
}

func (s *succeeded) add(f Fingerprint, now time.Time) {
	if len(s.latest) >= s.limit || now.Sub(s.since) > succeededTTL {
		s.previous, s.latest, s.since = s.latest, make(map[Fingerprint]bool), now
	}
	s.latest[f] = true
}

func (s *succeeded) has(f Fingerprint, now time.Time) bool {
	return (s.latest[f] || s.previous[f]) && now.Sub(s.since) <= succeededTTL
}

// NewTracker returns a tracker with no runs.
func NewTracker() *Tracker {
	return &Tracker{incarnations: make(map[Incarnation]*engineRuns), requests: succeeded{limit: maxSucceeded}, parts: succeeded{limit: maxSucceededParts}}
}

func (t *Tracker) succeeded(f Fingerprint) *succeeded {
	if f.IsPart() {
		return &t.parts
	}
	return &t.requests
}

// RecordSuccess adds a request or part that was answered successfully, here or at another node.
func (t *Tracker) RecordSuccess(f Fingerprint, now time.Time) { t.succeeded(f).add(f, now) }

// RecentlySucceeded reports whether a request or part was recently answered successfully.
func (t *Tracker) RecentlySucceeded(f Fingerprint, now time.Time) bool {
	return t.succeeded(f).has(f, now)
}

func (t *Tracker) runsOf(l Incarnation, now time.Time) *engineRuns {
	er := t.incarnations[l]
	if er == nil {
		er = &engineRuns{runs: make(map[*Run]bool)}
		t.incarnations[l] = er
	}
	er.usedAt = now
	return er
}

// Send records that a request, whose prompt holds the given parts, is being sent to an engine.
func (t *Tracker) Send(f Fingerprint, l Incarnation, now time.Time, parts ...Fingerprint) *Run {
	run := &Run{subjects: append([]Fingerprint{f}, parts...), incarnation: l, sentAt: now}
	t.runsOf(l, now).runs[run] = true
	return run
}

// Begin records that the engine has begun to answer.
func (t *Tracker) Begin(run *Run, now time.Time) {
	if !run.begunAt.IsZero() {
		return
	}
	run.begunAt = now
	if er := t.runsOf(run.incarnation, now); run.sentAt.After(er.crashedAt) {
		er.answered = true
	}
}

// Answer records that the engine answered, successfully or not, or refused to begin.
func (t *Tracker) Answer(run *Run, succeeded bool, now time.Time) {
	if succeeded {
		for _, f := range run.subjects {
			t.RecordSuccess(f, now)
		}
	}
	er := t.runsOf(run.incarnation, now)
	er.answered = true
	delete(er.runs, run)
}

// Drop records that nothing of the request reached the engine.
func (t *Tracker) Drop(run *Run) {
	if er := t.incarnations[run.incarnation]; er != nil {
		delete(er.runs, run)
	}
}

// Abandon records that the attempt was abandoned without an answer.
func (t *Tracker) Abandon(run *Run, now time.Time) { run.stoppedAt = now }

// Break records that the connection broke before the answer was complete. If the engine is known to have just
// crashed, it returns the suspects of that crash among the run's subjects, their suspicions, and true.
func (t *Tracker) Break(run *Run, now time.Time) (suspects []Fingerprint, suspicions []Suspicion, crashed bool) {
	er := t.runsOf(run.incarnation, now)
	run.stoppedAt, run.broke = now, true
	if er.draining || er.crashedAt.IsZero() || now.Sub(er.crashedAt) > breakWindow || run.sentAt.After(er.crashedAt) {
		return nil, nil, false
	}
	suspects = t.suspects(run, now)
	if len(suspects) == 0 {
		return nil, nil, false
	}
	delete(er.runs, run)
	for range suspects {
		suspicions = append(suspicions, run.suspicion(er.crashID(run.incarnation), er.crashedAt))
	}
	return suspects, suspicions, true
}

// suspects returns the subjects of a run that were not recently answered.
func (t *Tracker) suspects(run *Run, now time.Time) []Fingerprint {
	var out []Fingerprint
	for _, f := range run.subjects {
		if !t.RecentlySucceeded(f, now) {
			out = append(out, f)
		}
	}
	return out
}

// suspicion returns the suspicion of the run for a crash.
func (run *Run) suspicion(id CrashID, at time.Time) Suspicion {
	from := run.sentAt
	if !run.begunAt.IsZero() {
		from = run.begunAt
	}
	// Whether an abandoned request was still on the engine is unknown, so it has the weight of one that had not
	// begun.
	s := Suspicion{Crash: id, Elapsed: max(0, at.Sub(from)), Begun: run.broke && !run.begunAt.IsZero(), At: at}
	if run.broke {
		s.Delay = max(0, at.Sub(run.stoppedAt)).Truncate(time.Millisecond)
	}
	return s
}

func (er *engineRuns) crashID(l Incarnation) CrashID {
	return CrashID{Engine: l.Engine, Start: l.Start, N: er.crashes}
}

// EngineCrashed records that an engine crashed, and returns the crash with its suspects and their suspicions. The
// suspects are the requests whose connections broke or which were abandoned just before, and the parts of their prompts.
// The result is empty if the shutdown was planned.
func (t *Tracker) EngineCrashed(l Incarnation, now time.Time) (id CrashID, suspects []Fingerprint, suspicions []Suspicion) {
	er := t.runsOf(l, now)
	if er.draining {
		return CrashID{}, nil, nil
	}
	known := er.knownAt(l, now)
	if !er.crashedAt.IsZero() && er.answered {
		er.crashes++
	}
	er.answered, er.crashedAt = false, now
	id = er.crashID(l)
	for run := range er.runs {
		of := t.suspects(run, now)
		if !run.coincidesWith(now) || run.sentAfter(known) || len(of) == 0 {
			continue
		}
		for _, f := range of {
			suspects = append(suspects, f)
			suspicions = append(suspicions, run.suspicion(id, now))
		}
		delete(er.runs, run)
	}
	return id, suspects, suspicions
}

// MergeCrashes records the crashes in entries of other nodes, as far as the engines publish their start times.
func (t *Tracker) MergeCrashes(entries []Entry, now time.Time) {
	for i := range entries {
		for _, b := range entries[i].Suspicions {
			if b.Crash.Start == 0 || b.Crash.N > 0 {
				continue
			}
			if er := t.runsOf(Incarnation{Engine: b.Crash.Engine, Start: b.Crash.Start}, now); er.reportedAt.IsZero() && b.At.After(er.aliveAt) {
				er.reportedAt = now
			}
		}
	}
}

// knownAt returns when this node learned that an incarnation, whose start time the engine publishes, has crashed; zero
// if that was not within breakWindow or the engine has answered since.
func (er *engineRuns) knownAt(l Incarnation, now time.Time) time.Time {
	at := er.reportedAt
	if !er.crashedAt.IsZero() && (at.IsZero() || er.crashedAt.Before(at)) {
		at = er.crashedAt
	}
	if l.Start == 0 || er.answered && !er.crashedAt.IsZero() || now.Sub(at) > breakWindow {
		return time.Time{}
	}
	return at
}

// sentAfter reports whether the run was sent after a crash was known, and the engine did not begin to answer it. It met
// the connections that the crash left behind and did not cause it.
func (run *Run) sentAfter(known time.Time) bool {
	return !known.IsZero() && run.begunAt.IsZero() && run.sentAt.After(known)
}

// coincidesWith reports whether a run is a suspect of a crash that happens now: its connection broke or the attempt
// was abandoned just before.
func (run *Run) coincidesWith(now time.Time) bool {
	if run.stoppedAt.IsZero() {
		return false
	}
	window := abandonWindow
	if run.broke {
		window = breakWindow
	}
	return now.Sub(run.stoppedAt) <= window
}

// Restart records that an engine has started again, so that its former incarnation has crashed. Attempts that still
// wait for an answer, and those abandoned within restartWindow, are suspects too.
func (t *Tracker) Restart(former Incarnation, now time.Time) (id CrashID, suspects []Fingerprint, suspicions []Suspicion) {
	if er := t.incarnations[former]; er != nil && !er.draining && er.crashedAt.IsZero() {
		for run := range er.runs {
			if run.stoppedAt.IsZero() || now.Sub(run.stoppedAt) <= restartWindow {
				run.broke, run.stoppedAt = true, now
			}
		}
		id, suspects, suspicions = t.EngineCrashed(former, now)
	}
	delete(t.incarnations, former)
	return id, suspects, suspicions
}

// Crashed reports whether an engine is known to have crashed within breakWindow.
func (t *Tracker) Crashed(l Incarnation, now time.Time) bool {
	er := t.incarnations[l]
	return er != nil && !er.crashedAt.IsZero() && now.Sub(er.crashedAt) <= breakWindow
}

// TakenForCrashed reports whether an incarnation, whose start time the engine publishes, has crashed as far as this node or
// another one knows.
func (t *Tracker) TakenForCrashed(l Incarnation) bool {
	er := t.incarnations[l]
	return l.Start != 0 && er != nil && !(er.crashedAt.IsZero() && er.reportedAt.IsZero())
}

// SetDraining records whether an engine's shutdown is planned or its entry is gone. Broken connections are then no
// evidence of a crash.
func (t *Tracker) SetDraining(l Incarnation, draining bool, now time.Time) {
	if draining || t.incarnations[l] != nil {
		t.runsOf(l, now).draining = draining
	}
}

// Expire removes old runs and idle incarnations.
func (t *Tracker) Expire(now time.Time) {
	for l, er := range t.incarnations {
		for run := range er.runs {
			if !run.stoppedAt.IsZero() && now.Sub(run.stoppedAt) > restartWindow {
				delete(er.runs, run)
			}
		}
		if len(er.runs) == 0 && now.Sub(er.usedAt) > idleTTL {
			delete(t.incarnations, l)
		}
	}
}

// Incarnations returns the number of incarnations of engines that are tracked.
func (t *Tracker) Incarnations() int { return len(t.incarnations) }
