package quarantine

import "time"

// trialDelays are the delays from a verdict to the first trial, and from each trial to the next. There are no further
// trials, since each may crash an engine.
var trialDelays = []time.Duration{10 * time.Minute, time.Hour}

// maxRetryAfter is the retry delay where no further trial is due.
const maxRetryAfter = time.Hour

// trialDue returns when the next trial may begin, relative to the registry's base; ok is false if there is none.
func (rec *record) trialDue() (at time.Duration, ok bool) {
	if int(rec.trials) >= len(trialDelays) {
		return 0, false
	}
	return rec.verdictAt + trialDelays[rec.trials], true
}

// BeginTrial begins a trial of a quarantined request if one is due, and reports whether it did. The caller has to
// ensure that no other node begins one.
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
	rec.local = true
	rec.verdictAt = now.Sub(r.base)
	r.apply(rec, trialBegun, now)
	r.takeTransitioned()
	return true
}

// EndTrial records that a trial is over. It has no effect if the trial ended with a successful answer or a crash,
// which were recorded before.
func (r *Registry) EndTrial(f Fingerprint, now time.Time) {
	if rec := r.records[f]; rec != nil {
		r.apply(rec, trialOver, now)
		r.takeTransitioned()
	}
}
