package quarantine

import "time"

// Times of the tracker.
const (
	// brokenLife is how long after a connection broke its engine's end may be confirmed, and
	// how long after that connections break: both take milliseconds.
	brokenLife = time.Second
	// leftBefore is how long before its engine's end an attempt may have been given up: engines work on
	// for some hundred milliseconds after their caller has gone.
	leftBefore = 500 * time.Millisecond
	// leftLife is how long after a silent attempt was given up a new start of its engine is put
	// down to the requests of before.
	leftLife = 10 * time.Second
	// goodKept is how many requests that were answered well are remembered, and goodLife for how
	// long: one that has just been answered well does not end engines.
	goodKept = 2048
	goodLife = 5 * time.Minute
	// lifeKept is how long an engine that runs nothing is remembered.
	lifeKept = time.Minute
)

// Life is one life of an engine.
type Life struct {
	Engine string
	// Start is in Unix milliseconds; 0 where it is not told.
	Start int64
}

// Run is one request at an engine, from its sending on.
type Run struct {
	request Fingerprint
	life    Life
	sentAt  time.Time
	// begunAt is when the engine began to answer; zero if it did not.
	begunAt time.Time
	// overAt is when the connection broke, or the attempt was given up; zero before.
	overAt time.Time
	// broke is true where the connection broke.
	broke bool
}

// engineRuns is what runs, or ran lately, in one life of an engine.
type engineRuns struct {
	runs map[*Run]bool
	// ends counts the ends known, where starts are not told; answered is set once the
	// engine has answered since the latest.
	ends     int
	answered bool
	// endedAt is when the latest end was noticed; zero if there is none.
	endedAt time.Time
	// leaving is set once the engine's end is planned.
	leaving bool
	usedAt  time.Time
}

// Tracker knows which requests of a node run at which engines. It is not safe for concurrent
// use.
type Tracker struct {
	lives map[Life]*engineRuns
	// good holds the requests that were answered well lately, and older those of the span
	// before.
	good, older map[Fingerprint]bool
	// goodSince is when good was begun.
	goodSince time.Time
}

// NewTracker returns a tracker of a node that runs nothing.
func NewTracker() *Tracker {
	return &Tracker{lives: make(map[Life]*engineRuns), good: make(map[Fingerprint]bool)}
}

// noteGood remembers a request that was answered well.
func (t *Tracker) noteGood(f Fingerprint, now time.Time) {
	if len(t.good) >= goodKept || now.Sub(t.goodSince) > goodLife {
		t.older, t.good, t.goodSince = t.good, make(map[Fingerprint]bool), now
	}
	t.good[f] = true
}

// wasGood reports whether a request was answered well lately.
func (t *Tracker) wasGood(f Fingerprint, now time.Time) bool {
	return (t.good[f] || t.older[f]) && now.Sub(t.goodSince) <= goodLife
}

func (t *Tracker) life(l Life, now time.Time) *engineRuns {
	er := t.lives[l]
	if er == nil {
		er = &engineRuns{runs: make(map[*Run]bool)}
		t.lives[l] = er
	}
	er.usedAt = now
	return er
}

// Send notes that a request is being sent to an engine.
func (t *Tracker) Send(f Fingerprint, l Life, now time.Time) *Run {
	run := &Run{request: f, life: l, sentAt: now}
	t.life(l, now).runs[run] = true
	return run
}

// Begin notes that the engine has begun to answer.
func (t *Tracker) Begin(run *Run, now time.Time) {
	if !run.begunAt.IsZero() {
		return
	}
	run.begunAt = now
	if er := t.life(run.life, now); run.sentAt.After(er.endedAt) {
		er.answered = true
	}
}

// Answer notes that the engine answered, well or not, or refused to begin.
func (t *Tracker) Answer(run *Run, good bool, now time.Time) {
	if good {
		t.noteGood(run.request, now)
	}
	er := t.life(run.life, now)
	er.answered = true
	delete(er.runs, run)
}

// Drop notes that nothing of the request reached the engine.
func (t *Tracker) Drop(run *Run) {
	if er := t.lives[run.life]; er != nil {
		delete(er.runs, run)
	}
}

// Leave notes that the attempt was given up without an answer.
func (t *Tracker) Leave(run *Run, now time.Time) { run.overAt = now }

// Break notes that the connection broke before a whole answer had come. It returns what that
// is blamed on where the engine is known to have ended just now.
func (t *Tracker) Break(run *Run, now time.Time) (blame Blame, ended bool) {
	er := t.life(run.life, now)
	run.overAt, run.broke = now, true
	if er.leaving || t.wasGood(run.request, now) || er.endedAt.IsZero() || now.Sub(er.endedAt) > brokenLife || run.sentAt.After(er.endedAt) {
		return Blame{}, false
	}
	delete(er.runs, run)
	return run.blame(er.endID(run.life), er.endedAt), true
}

// blame is what the end of the engine is blamed on the run with.
func (run *Run) blame(id EndID, at time.Time) Blame {
	from := run.sentAt
	if !run.begunAt.IsZero() {
		from = run.begunAt
	}
	// Whether what was given up was still there is not known: it weighs as what had not begun.
	return Blame{End: id, Ran: max(0, at.Sub(from)), Begun: run.broke && !run.begunAt.IsZero(), At: at}
}

func (er *engineRuns) endID(l Life) EndID { return EndID{Engine: l.Engine, Start: l.Start, N: er.ends} }

// End notes that an engine has ended without notice, and returns the end and those whose
// connections broke with it. What was sent to a life that is known to have ended is not blamed
// again.
func (t *Tracker) End(l Life, now time.Time) (id EndID, requests []Fingerprint, blames []Blame) {
	er := t.life(l, now)
	if er.leaving {
		return EndID{}, nil, nil
	}
	if !er.endedAt.IsZero() && er.answered {
		er.ends++
	}
	er.answered, er.endedAt = false, now
	id = er.endID(l)
	for run := range er.runs {
		if !run.endsWith(now) || t.wasGood(run.request, now) {
			continue
		}
		requests = append(requests, run.request)
		blames = append(blames, run.blame(id, now))
		delete(er.runs, run)
	}
	return id, requests, blames
}

// endsWith reports whether a run is put down to the end of its engine at a moment: its
// connection broke just before, or its caller has just left.
func (run *Run) endsWith(now time.Time) bool {
	if run.overAt.IsZero() {
		return false
	}
	life := leftBefore
	if run.broke {
		life = brokenLife
	}
	return now.Sub(run.overAt) <= life
}

// Restart notes that an engine has started again: the life before has ended. Also the
// attempts that were given up as silent were there, and those that wait for an answer.
func (t *Tracker) Restart(former Life, now time.Time) (id EndID, requests []Fingerprint, blames []Blame) {
	if er := t.lives[former]; er != nil && !er.leaving && er.endedAt.IsZero() {
		for run := range er.runs {
			if run.overAt.IsZero() || now.Sub(run.overAt) <= leftLife {
				run.broke, run.overAt = true, now
			}
		}
		id, requests, blames = t.End(former, now)
	}
	delete(t.lives, former)
	return id, requests, blames
}

// Ended reports whether an engine is known to have ended just now.
func (t *Tracker) Ended(l Life, now time.Time) bool {
	er := t.lives[l]
	return er != nil && !er.endedAt.IsZero() && now.Sub(er.endedAt) <= brokenLife
}

// Leaving notes whether the end of an engine is planned, or its entry is gone: that its connections
// break is blamed on nobody then.
func (t *Tracker) Leaving(l Life, leaving bool, now time.Time) {
	if leaving || t.lives[l] != nil {
		t.life(l, now).leaving = leaving
	}
}

// Expire forgets runs and lives that are over for long.
func (t *Tracker) Expire(now time.Time) {
	for l, er := range t.lives {
		for run := range er.runs {
			if !run.overAt.IsZero() && now.Sub(run.overAt) > leftLife {
				delete(er.runs, run)
			}
		}
		if len(er.runs) == 0 && now.Sub(er.usedAt) > lifeKept {
			delete(t.lives, l)
		}
	}
}

// Lives returns of how many lives of engines anything is remembered.
func (t *Tracker) Lives() int { return len(t.lives) }
