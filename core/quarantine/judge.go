package quarantine

import "time"

// judge weighs records anew, and all that share ends with them. A verdict explains ends for the
// others, who are weighed again then; all that are convicted at once are convicted by
// what was known before.
func (r *Registry) judge(touched []*record, now time.Time) {
	for len(touched) > 0 {
		group := groupOf(touched)
		r.weigh(group, now)
		touched = nil
		grades := make([]event, len(group))
		for i, rec := range group {
			grades[i] = r.grade(rec, now)
		}
		for i, rec := range group {
			was := rec.convicted
			r.apply(rec, grades[i], now)
			if rec.convicted && !was {
				touched = append(touched, rec)
			}
		}
	}
}

// groupOf returns records with all that share ends with them.
func groupOf(touched []*record) []*record {
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
		for _, b := range rec.blames {
			for _, s := range b.end.suspects {
				add(s)
			}
		}
	}
	return group
}

// grade is what the blames of a record come to. Belief convicts nobody before all that are blamed
// for the same ends are known: whoever is told of first would seem to be alone.
func (r *Registry) grade(rec *record, now time.Time) event {
	belief := sigmoid(float64(rec.odds))
	delete(r.pending, rec)
	switch {
	case rec.unexplained >= mostEnds, len(rec.moments()) >= mostEndsInAll:
		return conviction
	case rec.unexplained == 0:
		return explained
	case belief >= convictAt && r.whole:
		if rec.settledAt() <= now.Sub(r.base) {
			return conviction
		}
		r.pending[rec] = true
		return strongDoubt
	case belief >= isolateAt, rec.unexplained > 1:
		return strongDoubt
	}
	return doubt
}

// Pending reports whether Judge has something to decide once all is settled.
func (r *Registry) Pending() bool { return len(r.pending) > 0 }

// Judge convicts those whose ends have settled, and returns the requests of which something
// else is thought now.
func (r *Registry) Judge(now time.Time) []Fingerprint {
	var due []*record
	for rec := range r.pending {
		if rec.settledAt() <= now.Sub(r.base) {
			due = append(due, rec)
		}
	}
	r.judge(due, now)
	return r.takeMoved()
}

// takeMoved returns what was collected since the last call.
func (r *Registry) takeMoved() []Fingerprint {
	moved := r.moved
	r.moved = nil
	return moved
}

// apply changes a record's state by an event.
func (r *Registry) apply(rec *record, ev event, now time.Time) {
	next := transitions[rec.state][ev]
	if next == rec.state {
		return
	}
	if next.held() && !rec.convicted {
		r.setConvicted(rec, true)
		rec.verdictAt = now.Sub(r.base)
		r.boundVerdicts(rec)
	}
	rec.state = next
	rec.told = rec.told || next >= Isolated
	r.moved = append(r.moved, rec.request)
	r.changed(rec)
}
