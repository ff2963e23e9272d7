package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// record holds what is known of one request.
type record struct {
	request Fingerprint
	epoch   uint32
	state   State
	// hasVerdict is true while there is a verdict; trials counts the trial runs since.
	hasVerdict bool
	trials     uint8
	// local is set once this node has suspected or cleared the request; shared is set once the record matters to
	// nodes that do not suspect the request themselves.
	local, shared bool
	// unexplained counts the suspicions whose crash no verdict on another request explains.
	unexplained uint8
	// odds is the logarithm of the odds that the request crashes engines.
	odds float32
	// suspicions are sorted by their crashes; there is one for each.
	suspicions []suspicion
	// disproofs are those of crashes that it was suspected of, sorted by their crashes.
	disproofs []disproof
	// since is when the epoch began, verdictAt when the verdict was reached or the latest trial began, and seenAt
	// when the request was last seen, all relative to the registry's base.
	since, verdictAt, seenAt time.Duration
	// version is the registry's version at the record's latest change.
	version uint64
}

// suspicion is the internal form of a [Suspicion].
type suspicion struct {
	crash *crash
	// at is when the crash was noticed, relative to the registry's base; elapsed is how long the engine had the
	// request.
	at, elapsed time.Duration
	// delayMs is [Suspicion.Delay] in milliseconds.
	delayMs uint16
	begun   bool
}

// crash is one crash of an engine.
type crash struct {
	id CrashID
	// at is when the crash was noticed, and updatedAt when its latest suspicion arrived, relative to the registry's
	// base.
	at, updatedAt time.Duration
	// aliveAt is the latest time at which the engine is known to have been alive; neverAlive if there is none.
	aliveAt time.Duration
	// suspects are the records with a suspicion for this crash in their current epoch.
	suspects []*record
}

// Registry holds the records of all suspected requests of a node. It is not safe for concurrent use.
type Registry struct {
	base    time.Time
	records map[Fingerprint]*record
	crashes map[CrashID]*crash
	// pending holds the records that wait for their crashes to settle.
	pending map[*record]bool
	// transitioned collects the requests whose state changed.
	transitioned []Fingerprint
	// verdicts counts the records with a verdict.
	verdicts int
	// engines is the number of engines in the deployment.
	engines int
	// complete is true if the suspicions of all nodes arrive here.
	complete bool
	// version increases with each change; sharedVersion is the version of the latest change of a shared record.
	version, sharedVersion uint64
}

// NewRegistry returns an empty registry that is complete: it assumes that there is no other node until SetComplete is
// called.
func NewRegistry(now time.Time) *Registry {
	return &Registry{base: now, records: make(map[Fingerprint]*record), crashes: make(map[CrashID]*crash), pending: make(map[*record]bool), complete: true}
}

// SetEngines sets the number of engines, which the rate of spontaneous crashes is computed from.
func (r *Registry) SetEngines(n int) { r.engines = n }

// SetComplete sets whether the suspicions of all nodes arrive here. Elsewhere most suspects of a crash are unknown, so
// the probability leads to no verdict there; only the number of crashes does.
func (r *Registry) SetComplete(complete bool) {
	if complete && !r.complete {
		for _, rec := range r.records {
			if len(rec.suspicions) > 0 {
				r.pending[rec] = true
			}
		}
	}
	r.complete = complete
}

// Version increases with each change.
func (r *Registry) Version() uint64 { return r.version }

// SharedVersion returns the version of the latest change that matters to other nodes.
func (r *Registry) SharedVersion() uint64 { return r.sharedVersion }

// State returns the state of a request; Clear if there is no record.
func (r *Registry) State(f Fingerprint) State {
	rec := r.records[f]
	if rec == nil {
		return Clear
	}
	return rec.state
}

// Blocked notes that f arrived as a subject of a request. It returns whether that blocks the request, and the delay after
// which its caller may retry.
func (r *Registry) Blocked(f Fingerprint, subjects []Fingerprint, now time.Time) (retryAfter time.Duration, blocked bool) {
	rec := r.records[f]
	if rec == nil {
		return 0, false
	}
	rec.seenAt = now.Sub(r.base)
	if !r.StateIn(f, subjects).blocked() {
		return 0, false
	}
	due, ok := rec.trialDue()
	if !ok {
		return maxRetryAfter, true
	}
	return max(time.Second, due-now.Sub(r.base)), true
}

// StateIn returns the state of f as a subject of a request. A quarantined part is only isolated there if its verdict may
// be due to other quarantined parts that the request does not hold: requests that hold both crashed the engines, and
// nothing tells which part did. One request at a time finds out, or a caller could have another one's parts refused by
// adding them to its own requests. The same holds for a quarantined request in all of whose crashes there was another
// quarantined request that crashed further engines.
func (r *Registry) StateIn(f Fingerprint, subjects []Fingerprint) State {
	rec := r.records[f]
	switch {
	case rec == nil:
		return Clear
	case rec.state == Quarantined && (r.covered(rec, subjects) || rec.besideWorse(subjects)):
		return Isolated
	}
	return rec.state
}

// covered reports whether rec is a part and in each of its crashes there was another quarantined part, which is not among
// the given ones.
func (r *Registry) covered(rec *record, except []Fingerprint) bool {
	for i := range rec.suspicions {
		if !slices.ContainsFunc(rec.suspicions[i].crash.suspects, func(o *record) bool {
			return o != rec && o.request.IsPart() && o.hasVerdict && !slices.Contains(except, o.request)
		}) {
			return false
		}
	}
	return rec.request.IsPart() && len(rec.suspicions) > 0
}

// besideWorse reports whether rec is a request and another quarantined one, which is not among the given ones, is suspected
// of all of its crashes and of others.
func (rec *record) besideWorse(except []Fingerprint) bool {
	if rec.request.IsPart() || len(rec.suspicions) == 0 {
		return false
	}
	return slices.ContainsFunc(rec.suspicions[0].crash.suspects, func(o *record) bool {
		return o.hasVerdict && o.exceeds(rec) && !slices.Contains(except, o.request)
	})
}

// RunLock returns the fingerprint under whose run lock an isolated request, or one with an isolated part, runs. Requests
// that are suspected of the same crash share the lock, since those that run together on an engine that crashes again
// cannot be told apart.
func (r *Registry) RunLock(f Fingerprint) Fingerprint {
	rec := r.records[f]
	if rec == nil {
		return f
	}
	for _, s := range rec.suspicions {
		for _, o := range s.crash.suspects {
			if o.state == Isolated && o.request.IsPart() == f.IsPart() && bytes.Compare(o.request[:], f[:]) < 0 {
				f = o.request
			}
		}
	}
	return f
}

// Doubtful reports whether a request is isolated and suspected of several crashes. It must not be sent while the
// records of other nodes are out of date.
func (r *Registry) Doubtful(f Fingerprint) bool {
	rec := r.records[f]
	return rec != nil && rec.state == Isolated && len(rec.suspicions) > 1
}

// SettleDelay returns how long the next run of a doubtful request should wait until its latest crash has been
// evaluated.
func (r *Registry) SettleDelay(f Fingerprint, now time.Time) time.Duration {
	if !r.Doubtful(f) {
		return 0
	}
	at := r.records[f].settledAt()
	if !r.complete {
		at += PropagationTime
	}
	return max(0, at-now.Sub(r.base))
}

// settledAt returns when all suspects of the record's crashes are assumed to be known.
func (rec *record) settledAt() time.Duration {
	var at time.Duration
	for i := range rec.suspicions {
		at = max(at, rec.suspicions[i].crash.updatedAt+SettleTime)
	}
	return at
}

// RecordCrash records a crash, also if the engine ran no requests.
func (r *Registry) RecordCrash(id CrashID, now time.Time) { r.crash(id, now.Sub(r.base)) }

// crash returns the crash with an id, creating it if needed. Of several times at which it was noticed the earliest
// counts, after the engine was last alive.
func (r *Registry) crash(id CrashID, at time.Duration) *crash {
	e := r.crashes[id]
	if e == nil {
		e = &crash{id: id, at: at, aliveAt: neverAlive}
		r.crashes[id] = e
		r.evictCrash()
	}
	if at > e.aliveAt && e.disproved() {
		e.at = at
	}
	e.at = min(e.at, at)
	return e
}

// Suspect records that an engine crashed under requests of this node, with one suspicion for each, and returns the
// requests whose state changed.
func (r *Registry) Suspect(requests []Fingerprint, suspicions []Suspicion, now time.Time) []Fingerprint {
	var touched []*record
	for i, f := range requests {
		rec := r.record(f, now)
		if rec == nil {
			continue
		}
		rec.seenAt, rec.local = now.Sub(r.base), true
		if r.addSuspicion(rec, suspicions[i], now) {
			r.bumpVersion(rec)
			touched = append(touched, rec)
		}
	}
	r.reevaluate(touched, now)
	return r.takeTransitioned()
}

// record returns the record of a request, creating it if needed; nil if the registry is full of verdicts.
func (r *Registry) record(f Fingerprint, at time.Time) *record {
	if rec := r.records[f]; rec != nil {
		return rec
	}
	if len(r.records) >= maxRecords && !r.evictSuspects() {
		return nil
	}
	rec := &record{request: f, since: at.Sub(r.base)}
	r.records[f] = rec
	return rec
}

func (r *Registry) setVerdict(rec *record, convicted bool) {
	switch {
	case rec.hasVerdict == convicted:
		return
	case convicted:
		r.verdicts++
	default:
		r.verdicts--
		rec.trials = 0
	}
	rec.hasVerdict = convicted
}

func (r *Registry) bumpVersion(rec *record) {
	r.version++
	rec.version = r.version
	if rec.shared {
		r.sharedVersion = r.version
	}
}

// clearSuspicions removes a record's suspicions.
func (r *Registry) clearSuspicions(rec *record) {
	for _, b := range rec.suspicions {
		b.crash.suspects = slices.DeleteFunc(b.crash.suspects, func(s *record) bool { return s == rec })
	}
	rec.suspicions, rec.odds, rec.unexplained = nil, 0, 0
}

// addSuspicion adds a suspicion to a record, and reports whether it changed anything. If several nodes reported the
// same crash, the shortest time that the request had run counts, since it is the strongest evidence.
func (r *Registry) addSuspicion(rec *record, b Suspicion, now time.Time) bool {
	if r.voids(&b) {
		return false
	}
	at, delayMs := b.At.Sub(r.base), uint16(max(0, min(b.Delay, breakWindow)).Milliseconds())
	e := r.crash(b.Crash, at)
	i, found := slices.BinarySearchFunc(rec.suspicions, b.Crash, func(x suspicion, id CrashID) int { return x.crash.id.compare(id) })
	if found {
		old := &rec.suspicions[i]
		changed := b.Elapsed < old.elapsed || b.Begun && !old.begun
		old.at, old.elapsed, old.begun = min(old.at, at), min(old.elapsed, b.Elapsed), old.begun || b.Begun
		old.delayMs = min(old.delayMs, delayMs)
		return changed
	}
	limit := maxSuspicions
	if rec.request.IsPart() {
		limit = maxPartSuspicions
	}
	if i >= limit || len(e.suspects) >= maxSuspects {
		return false
	}
	rec.suspicions = slices.Insert(rec.suspicions, i, suspicion{crash: e, at: at, elapsed: b.Elapsed, delayMs: delayMs, begun: b.Begun})
	e.suspects = append(e.suspects, rec)
	e.updatedAt = now.Sub(r.base)
	if len(rec.suspicions) > limit {
		// Keep the first ones in sort order, whatever the order in which they arrived, so that merging stays commutative.
		last := rec.suspicions[limit].crash
		last.suspects = slices.DeleteFunc(last.suspects, func(s *record) bool { return s == rec })
		rec.suspicions = rec.suspicions[:limit]
	}
	return true
}

// Answered records that an engine answered a request successfully, which clears it. It reports whether there was
// anything to clear.
func (r *Registry) Answered(f Fingerprint, now time.Time) bool {
	return r.reset(f, successfulAnswer, now)
}

// Release clears a request at an operator's command. It reports whether there was anything to clear.
func (r *Registry) Release(f Fingerprint, now time.Time) bool {
	return r.reset(f, operatorRelease, now)
}

// reset starts a new epoch of a request after an event that clears it.
func (r *Registry) reset(f Fingerprint, ev event, now time.Time) bool {
	rec := r.records[f]
	if rec == nil || len(rec.suspicions) == 0 && !rec.hasVerdict {
		return false
	}
	r.newEpoch(rec, rec.epoch+1, now.Sub(r.base))
	rec.local = true
	r.apply(rec, ev, now)
	r.bumpVersion(rec)
	r.takeTransitioned()
	return true
}

func (r *Registry) newEpoch(rec *record, epoch uint32, at time.Duration) {
	r.clearSuspicions(rec)
	r.setVerdict(rec, false)
	rec.epoch, rec.since, rec.disproofs = epoch, at, nil
}
