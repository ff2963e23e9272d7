package quarantine

import "time"

// trialGaps are the times from a verdict to the first trial and from one trial to the next.
// There are no more: each may cost an engine.
var trialGaps = []time.Duration{10 * time.Minute, time.Hour}

// longestHint is when a caller may ask again where no trial is due.
const longestHint = time.Hour

// trialDue returns when the next trial may begin; ok is false when there is none.
func (rec *record) trialDue() (at time.Duration, ok bool) {
	if int(rec.trials) >= len(trialGaps) {
		return 0, false
	}
	return rec.verdictAt + trialGaps[rec.trials], true
}

// BeginTrial begins a trial of a quarantined request if one is due. The caller sees to
// it that no other node begins one.
func (r *Registry) BeginTrial(f Fingerprint, now time.Time) bool {
	rec := r.records[f]
	if rec == nil || rec.state != Quarantined {
		return false
	}
	due, ok := rec.trialDue()
	if !ok || now.Sub(r.base) < due {
		return false
	}
	rec.trials++
	rec.own = true
	rec.verdictAt = now.Sub(r.base)
	r.apply(rec, trialBegun, now)
	r.takeMoved()
	return true
}

// EndTrial notes that a trial is over. One that ended in a good answer, or ended its engine, was noted
// as that already.
func (r *Registry) EndTrial(f Fingerprint, now time.Time) {
	if rec := r.records[f]; rec != nil {
		r.apply(rec, trialOver, now)
		r.takeMoved()
	}
}
