package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Limits on memory, retention times and delays.
const (
	// maxRecords bounds the number of records, and maxVerdicts those with a verdict. New suspects evict older
	// suspects, never a verdict.
	maxRecords  = 10000
	maxVerdicts = 5000
	// maxCrashRecords bounds the number of crashes, and maxSuspects the suspects of one crash.
	maxCrashRecords = 512
	maxSuspects     = 512
	// maxSuspicions bounds the suspicions of one request; one more would not change its state.
	maxSuspicions = 6
	// maxPartSuspicions is the same for a part, whose crashes are compared with those of the requests that hold it.
	maxPartSuspicions = 24
	// suspicionTTL is how long a suspicion counts. A caller retries a request within its deadline or, if a program
	// schedules it, some minutes later.
	suspicionTTL = 10 * time.Minute
	// verdictTTL is how long a verdict is kept after the request was last seen.
	verdictTTL = 24 * time.Hour
	// SettleTime is how long after the latest suspicion of a crash all of its suspects are assumed to be known:
	// connections break within milliseconds, and nodes report at once.
	SettleTime = 250 * time.Millisecond
	// PropagationTime is the time that a verdict takes from the node that collects the suspicions of all nodes to the
	// other nodes.
	PropagationTime = 200 * time.Millisecond
)

// evictCrash removes the oldest crash if there are too many.
func (r *Registry) evictCrash() {
	if len(r.crashes) <= maxCrashRecords {
		return
	}
	var oldest *crash
	for _, e := range r.crashes {
		if oldest == nil || e.at < oldest.at {
			oldest = e
		}
	}
	delete(r.crashes, oldest.id)
}

// When the registry is full, 1/evictionDivisor of the records are evicted at once, so that a flood of suspects has a
// low cost per request.
const evictionDivisor = 16

// evictSuspects removes the suspects that were first suspected longest ago, and reports whether there was one. It
// never removes a verdict.
func (r *Registry) evictSuspects() bool {
	var suspects []*record
	for _, rec := range r.records {
		if !rec.hasVerdict {
			suspects = append(suspects, rec)
		}
	}
	slices.SortFunc(suspects, func(a, b *record) int { return cmp.Compare(a.since, b.since) })
	for _, rec := range suspects[:min(len(suspects), maxRecords/evictionDivisor)] {
		r.remove(rec)
	}
	return len(suspects) > 0
}

// remove deletes a record.
func (r *Registry) remove(rec *record) {
	r.clearSuspicions(rec)
	r.setVerdict(rec, false)
	delete(r.pending, rec)
	delete(r.records, rec.request)
}

// evictVerdict removes the verdict whose request was not seen for longest if there are too many verdicts, but never
// that of the record except.
func (r *Registry) evictVerdict(except *record) {
	if r.verdicts <= maxVerdicts {
		return
	}
	var oldest *record
	for _, rec := range r.records {
		if rec != except && rec.hasVerdict && (oldest == nil || rec.seenAt < oldest.seenAt) {
			oldest = rec
		}
	}
	if oldest != nil {
		r.remove(oldest)
	}
}

// Expire removes the records and crashes whose retention time is over.
func (r *Registry) Expire(now time.Time) {
	at := now.Sub(r.base)
	for _, rec := range r.records {
		ttl, since := suspicionTTL, rec.since
		if rec.hasVerdict {
			ttl, since = verdictTTL, rec.verdictAt
		}
		if at-max(since, rec.seenAt) > ttl {
			r.remove(rec)
		}
	}
	for id, e := range r.crashes {
		if at-e.at > suspicionTTL && len(e.suspects) == 0 {
			delete(r.crashes, id)
		}
	}
}
