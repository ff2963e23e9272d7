package quarantine

import (
	"math"
	"slices"
	"time"
)

// Disproof records that an engine that was taken for crashed is alive. Connections to an engine may be reset and refused
// while its process goes on, which looks like a crash to the nodes that they belong to.
type Disproof struct {
	Crash CrashID
	// At is a time at which the engine was alive. What was noticed of the crash until then is void.
	At time.Time
}

// disproof is the internal form of a [Disproof], with a time relative to the registry's base.
type disproof struct {
	id CrashID
	at time.Duration
}

// messageTime bounds how much later a disproof seems at each node that it passes, since its age is sent without the time
// that the message takes.
const messageTime = time.Second

// neverAlive is before every time at which an engine may have been alive.
const neverAlive = time.Duration(math.MinInt64)

// disproved reports whether the engine was alive after the crash was noticed.
func (e *crash) disproved() bool { return e.at <= e.aliveAt }

// voids reports whether a suspicion is void, because the engine was alive after it.
func (r *Registry) voids(s *Suspicion) bool {
	e := r.crashes[s.Crash]
	return e != nil && s.At.Sub(r.base) <= e.aliveAt
}

// Disprove records that an incarnation of an engine was alive at a time, and voids the suspicions of crashes that were
// noticed before. A verdict that counted one of them is withdrawn, unless the other suspicions lead to it again. It returns
// the number of void suspicions, and the requests whose state changed.
func (r *Registry) Disprove(l Incarnation, aliveAt, now time.Time) (void int, transitioned []Fingerprint) {
	var touched []*record
	for id := range r.crashes {
		if id.Engine == l.Engine && id.Start == l.Start {
			touched = append(touched, r.disprove(disproof{id, aliveAt.Sub(r.base)}, now)...)
		}
	}
	for _, rec := range touched {
		rec.local = true
	}
	r.reevaluate(touched, now)
	return len(touched), r.takeTransitioned()
}

// disprove records that the engine of a crash was alive at a time, and returns the records of which that voids a suspicion.
func (r *Registry) disprove(d disproof, now time.Time) (touched []*record) {
	e := r.crash(d.id, d.at)
	if d.at <= e.aliveAt {
		return nil
	}
	e.aliveAt = d.at
	for _, rec := range slices.Clone(e.suspects) {
		if rec.suspicionFor(e).at > d.at {
			continue
		}
		e.suspects = slices.DeleteFunc(e.suspects, func(o *record) bool { return o == rec })
		rec.suspicions = slices.DeleteFunc(rec.suspicions, func(s suspicion) bool { return s.crash == e })
		rec.addDisproof(d, 0)
		r.withdraw(rec, now)
		r.bumpVersion(rec)
		touched = append(touched, rec)
	}
	return touched
}

// withdraw withdraws the verdict of a record that counted a void suspicion. The other suspicions stand in a new epoch, since
// within one epoch the verdict would come back from other nodes.
func (r *Registry) withdraw(rec *record, now time.Time) {
	if !rec.hasVerdict {
		return
	}
	r.setVerdict(rec, false)
	rec.epoch, rec.since = rec.epoch+1, now.Sub(r.base)
	r.apply(rec, crashDisproved, now)
}

// addDisproof adds a disproof to those that are sent with the record, and reports whether that changed anything. It replaces
// one of the same crash only if it is later by more than the given time.
func (rec *record) addDisproof(d disproof, later time.Duration) bool {
	i, found := slices.BinarySearchFunc(rec.disproofs, d.id, func(x disproof, id CrashID) int { return x.id.compare(id) })
	switch {
	case found && d.at <= rec.disproofs[i].at+later, !found && i >= maxSuspicions:
		return false
	case found:
		rec.disproofs[i].at = d.at
		return true
	}
	rec.disproofs = slices.Insert(rec.disproofs, i, d)
	rec.disproofs = rec.disproofs[:min(len(rec.disproofs), maxSuspicions)]
	return true
}

// mergeDisproofs merges the disproofs of an entry, and returns the records that they changed.
func (r *Registry) mergeDisproofs(e *Entry, now time.Time) (touched []*record) {
	for _, d := range e.Disproofs {
		d := disproof{d.Crash, d.At.Sub(r.base)}
		touched = append(touched, r.disprove(d, now)...)
		if rec := r.records[e.Request]; rec != nil && rec.addDisproof(d, messageTime) {
			r.bumpVersion(rec)
			touched = append(touched, rec)
		}
	}
	return touched
}

// Alive records that an engine was alive at a time. It is not known as crashed any more, unless it crashed later.
func (t *Tracker) Alive(l Incarnation, at, now time.Time) {
	er := t.runsOf(l, now)
	er.aliveAt = at
	if !er.crashedAt.After(at) {
		er.crashedAt = time.Time{}
	}
	if !er.reportedAt.After(at) {
		er.reportedAt = time.Time{}
	}
}
