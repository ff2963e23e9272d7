package quarantine

import "time"

// reevaluate updates the states of records and of all records that share a crash with them. A new verdict explains
// crashes of the others, so the records that share a crash with it are evaluated again. Within one round, states are
// assessed before any of them changes, so that the result does not depend on the order.
func (r *Registry) reevaluate(touched []*record, now time.Time) {
	for len(touched) > 0 {
		group := withCoSuspects(touched)
		r.updateOdds(group, now)
		touched = nil
		events := make([]event, len(group))
		for i, rec := range group {
			events[i] = r.assess(rec, now)
		}
		for i, rec := range group {
			had := rec.hasVerdict
			r.apply(rec, events[i], now)
			if rec.hasVerdict && !had {
				touched = append(touched, rec)
			}
		}
	}
}

// withCoSuspects returns records and all records that share a crash with them.
func withCoSuspects(touched []*record) []*record {
	seen := make(map[*record]bool, len(touched))
	var group []*record
	add := func(rec *record) {
		if !seen[rec] {
			seen[rec] = true
			group = append(group, rec)
		}
	}
	for _, rec := range touched {
		add(rec)
		for _, b := range rec.suspicions {
			for _, s := range b.crash.suspects {
				add(s)
			}
		}
	}
	return group
}

// assess returns the event that the suspicions of a record amount to. The probability leads to a verdict only after
// all suspects of the same crashes are known: before that, the suspect that is reported first would appear to be the
// only one.
func (r *Registry) assess(rec *record, now time.Time) event {
	probability := sigmoid(float64(rec.odds))
	delete(r.pending, rec)
	switch {
	case rec.request.IsPart():
		return r.assessPart(rec, probability, now)
	case len(rec.distinctEvents()) >= maxCrashes:
		return verdictReached
	case rec.unexplained >= maxUnexplainedCrashes:
		if rec.settledAt() <= now.Sub(r.base) || !rec.besidePart() {
			return verdictReached
		}
		r.pending[rec] = true
		return strongSuspicion
	case rec.unexplained == 0:
		return explained
	case probability >= quarantineThreshold && r.complete:
		if rec.settledAt() <= now.Sub(r.base) {
			return verdictReached
		}
		r.pending[rec] = true
		return strongSuspicion
	case probability >= isolateThreshold, rec.unexplained > 1:
		return strongSuspicion
	}
	return weakSuspicion
}

// assessPart is assess for a part of a prompt. Its crashes count once they have settled, also if new ones follow: other
// nodes that had answers on the part have said so by then.
func (r *Registry) assessPart(rec *record, probability float64, now time.Time) event {
	settled, unexplained := rec.countSettled(now.Sub(r.base))
	switch {
	case unexplained >= maxUnexplainedPartCrashes, probability >= quarantineThreshold && r.complete && settled >= minPartCrashes:
		return verdictReached
	case rec.unexplained == 0:
		return explained
	case len(rec.suspicions) >= minPartCrashes:
		r.pending[rec] = true
		return strongSuspicion
	case probability >= isolateThreshold:
		return strongSuspicion
	}
	return weakSuspicion
}

// besidePart reports whether a part of a prompt is suspected of all crashes of a request and of others, so that a verdict on
// it may explain them in a moment.
func (rec *record) besidePart() bool {
	for _, o := range rec.suspicions[0].crash.suspects {
		if rec.narrowerThan(o) {
			return true
		}
	}
	return false
}

// countSettled returns how many of the record's crashes have settled, and how many of these no verdict on another subject
// explains.
func (rec *record) countSettled(at time.Duration) (settled, unexplained int) {
	for _, b := range rec.distinctEvents() {
		if b.crash.updatedAt+SettleTime > at {
			continue
		}
		settled++
		if !b.crash.attributedExcept(rec) {
			unexplained++
		}
	}
	return settled, unexplained
}

// Pending reports whether some records wait for Evaluate until their crashes have settled.
func (r *Registry) Pending() bool { return len(r.pending) > 0 }

// Evaluate evaluates the pending records whose crashes have settled, and returns the requests whose state changed.
func (r *Registry) Evaluate(now time.Time) []Fingerprint {
	var due []*record
	for rec := range r.pending {
		if rec.settledAt() <= now.Sub(r.base) || rec.request.IsPart() {
			due = append(due, rec)
		}
	}
	r.reevaluate(due, now)
	return r.takeTransitioned()
}

// takeTransitioned returns the requests whose state changed since the last call.
func (r *Registry) takeTransitioned() []Fingerprint {
	transitioned := r.transitioned
	r.transitioned = nil
	return transitioned
}

// apply applies an event to a record's state.
func (r *Registry) apply(rec *record, ev event, now time.Time) {
	next := transitions[rec.state][ev]
	if next == rec.state {
		return
	}
	if next.blocked() && !rec.hasVerdict {
		r.setVerdict(rec, true)
		rec.verdictAt = now.Sub(r.base)
		r.evictVerdict(rec)
	}
	rec.state = next
	rec.shared = rec.shared || next >= Isolated
	r.transitioned = append(r.transitioned, rec.request)
	r.bumpVersion(rec)
}
