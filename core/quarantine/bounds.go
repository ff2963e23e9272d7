package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of what is remembered.
const (
	// mostRecords bounds the requests, and mostVerdicts those of them with a verdict. Suspects
	// make way for suspects, never for them a verdict.
	mostRecords  = 10000
	mostVerdicts = 5000
	// mostEndsKept bounds the ends, and mostSuspects the requests blamed for one.
	mostEndsKept = 512
	mostSuspects = 512
	// mostBlames bounds the blames of one request: beyond, one more changes nothing.
	mostBlames = 6
	// suspectLife is how long a blame counts: a caller that sends a request again does so within
	// its deadline or, by a program's schedule, some minutes later.
	suspectLife = 10 * time.Minute
	// verdictLife is how long a verdict is kept of a request that does not come any more.
	verdictLife = 24 * time.Hour
	// Settle is how long after the latest blame for an end all are known: connections break within
	// milliseconds, and nodes report at once.
	Settle = 250 * time.Millisecond
	// Tell is how long a verdict takes from where all blames come together to the other nodes.
	Tell = 200 * time.Millisecond
)

// boundEnds keeps the ends within their bound; the oldest go.
func (r *Registry) boundEnds() {
	if len(r.ends) <= mostEndsKept {
		return
	}
	var oldest *end
	for _, e := range r.ends {
		if oldest == nil || e.at < oldest.at {
			oldest = e
		}
	}
	delete(r.ends, oldest.id)
}

// roomShare is the part of the records that makes way at once, so that a flood costs little for
// each of its requests.
const roomShare = 16

// makeRoom drops the suspects that were blamed first. A verdict never makes way for a suspect.
func (r *Registry) makeRoom() bool {
	var suspects []*record
	for _, rec := range r.records {
		if !rec.convicted {
			suspects = append(suspects, rec)
		}
	}
	slices.SortFunc(suspects, func(a, b *record) int { return cmp.Compare(a.at, b.at) })
	for _, rec := range suspects[:min(len(suspects), mostRecords/roomShare)] {
		r.drop(rec)
	}
	return len(suspects) > 0
}

// drop forgets a record.
func (r *Registry) drop(rec *record) {
	r.clearBlames(rec)
	r.setConvicted(rec, false)
	delete(r.pending, rec)
	delete(r.records, rec.request)
}

// boundVerdicts drops the verdict of the request that did not come for longest if there are
// too many, but not that of one record.
func (r *Registry) boundVerdicts(but *record) {
	if r.verdicts <= mostVerdicts {
		return
	}
	var oldest *record
	for _, rec := range r.records {
		if rec != but && rec.convicted && (oldest == nil || rec.seenAt < oldest.seenAt) {
			oldest = rec
		}
	}
	if oldest != nil {
		r.drop(oldest)
	}
}

// Expire forgets what was not heard of for long.
func (r *Registry) Expire(now time.Time) {
	at := now.Sub(r.base)
	for _, rec := range r.records {
		life, since := suspectLife, rec.at
		if rec.convicted {
			life, since = verdictLife, rec.verdictAt
		}
		if at-max(since, rec.seenAt) > life {
			r.drop(rec)
		}
	}
	for id, e := range r.ends {
		if at-e.at > suspectLife && len(e.suspects) == 0 {
			delete(r.ends, id)
		}
	}
}
