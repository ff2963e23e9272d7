package quarantine

import "time"

// Scope selects the records to send to another node.
type Scope uint8

// Possible scopes.
const (
	// AllRecords selects every record. It is used between nodes while no node collects the suspicions of all.
	AllRecords Scope = iota
	// LocalRecords selects the records that this node has suspected or cleared itself, to be sent to the node that
	// collects the suspicions of all nodes.
	LocalRecords
	// SharedRecords selects the records that matter to nodes which do not suspect the request themselves. The rest is
	// left out, since most suspects of a crash are never suspected again.
	SharedRecords
)

// Since returns the records in scope that changed after a version, and the current version.
func (r *Registry) Since(version uint64, scope Scope) ([]Entry, uint64) {
	if version >= r.version || scope == SharedRecords && version >= r.sharedVersion {
		return nil, r.version
	}
	var out []Entry
	for _, rec := range r.records {
		if rec.version > version && rec.inScope(scope) {
			out = append(out, r.entry(rec))
		}
	}
	return out, r.version
}

func (rec *record) inScope(s Scope) bool {
	switch s {
	case LocalRecords:
		return rec.local
	case SharedRecords:
		return rec.shared
	}
	return true
}

// Entry returns what is known of one request.
func (r *Registry) Entry(f Fingerprint) Entry {
	if rec := r.records[f]; rec != nil {
		return r.entry(rec)
	}
	return Entry{Request: f}
}

// entry converts a record to its form for other nodes.
func (r *Registry) entry(rec *record) Entry {
	e := Entry{Request: rec.request, Epoch: rec.epoch, At: r.base.Add(rec.since)}
	for i := range rec.suspicions {
		b := &rec.suspicions[i]
		e.Suspicions = append(e.Suspicions, Suspicion{Crash: b.crash.id, Elapsed: b.elapsed, Begun: b.begun, At: r.base.Add(b.at), Delay: time.Duration(b.delayMs) * time.Millisecond})
	}
	for _, d := range rec.disproofs {
		e.Disproofs = append(e.Disproofs, Disproof{Crash: d.id, At: r.base.Add(d.at)})
	}
	if rec.hasVerdict {
		e.Verdict = &Verdict{At: r.base.Add(rec.verdictAt), Trials: int(rec.trials)}
	}
	return e
}

// Merge adds another node's entries, and returns the requests whose state changed.
func (r *Registry) Merge(entries []Entry, now time.Time) []Fingerprint {
	var touched []*record
	for i := range entries {
		touched = append(touched, r.mergeDisproofs(&entries[i], now)...)
		if rec, changed := r.mergeEntry(&entries[i], now); changed {
			r.bumpVersion(rec)
			touched = append(touched, rec)
		}
	}
	r.reevaluate(touched, now)
	return r.takeTransitioned()
}

// ClearAnsweredParts is called after Merge with the entries that it merged. It clears the parts that other nodes suspect
// and on which an engine has recently answered a request of this node, and has the tracker note those that other nodes
// have cleared. It returns the former.
//
// A part that many requests hold may be new at one node, where it is suspected beside one that crashes engines, and
// known as harmless at another.
func (r *Registry) ClearAnsweredParts(entries []Entry, t *Tracker, now time.Time) (cleared []Fingerprint) {
	for i := range entries {
		e := &entries[i]
		suspected := len(e.Suspicions) > 0 || e.Verdict != nil
		switch {
		case !e.Request.IsPart():
		case suspected && t.RecentlySucceeded(e.Request, now) && r.Answered(e.Request, now):
			cleared = append(cleared, e.Request)
		case !suspected && e.Epoch > 0:
			t.RecordSuccess(e.Request, now)
		}
	}
	return cleared
}

// mergeEntry merges one entry, and reports whether it changed anything.
func (r *Registry) mergeEntry(e *Entry, now time.Time) (rec *record, changed bool) {
	if e.empty() || r.expired(e, now) {
		return nil, false
	}
	rec = r.records[e.Request]
	switch {
	case rec == nil:
		if rec = r.record(e.Request, e.At); rec == nil {
			return nil, false
		}
	case e.Epoch < rec.epoch:
		return rec, false
	}
	if e.Epoch > rec.epoch {
		r.newEpoch(rec, e.Epoch, e.At.Sub(r.base))
		r.apply(rec, successfulAnswer, now)
		changed = true
	}
	// Another node may have recorded the same event earlier.
	rec.since = min(rec.since, e.At.Sub(r.base))
	void := false
	for _, b := range e.Suspicions {
		void = void || r.voids(&b)
		changed = r.addSuspicion(rec, b, now) || changed
	}
	if e.Verdict != nil && void {
		// The verdict counted a crash that is disproved here.
		r.mergeVerdict(rec, e.Verdict, now)
		r.withdraw(rec, now)
		rec.local = true
		return rec, true
	}
	return rec, r.mergeVerdict(rec, e.Verdict, now) || changed
}

func (r *Registry) mergeVerdict(rec *record, v *Verdict, now time.Time) bool {
	if v == nil {
		return false
	}
	at, trials := v.At.Sub(r.base), uint8(min(v.Trials, len(trialDelays)))
	switch {
	case !rec.hasVerdict:
		r.apply(rec, verdictReached, now)
		rec.trials, rec.verdictAt = trials, at
		return true
	case trials > rec.trials:
		rec.trials, rec.verdictAt = trials, at
		return true
	case trials == rec.trials:
		rec.verdictAt = min(rec.verdictAt, at)
	}
	return false
}

// expired reports whether an entry is past its retention time.
func (r *Registry) expired(e *Entry, now time.Time) bool {
	if e.Verdict != nil {
		return now.Sub(e.Verdict.At) > verdictTTL
	}
	return now.Sub(e.At) > suspicionTTL
}

// Status describes a request for operators.
type Status struct {
	Request Fingerprint
	State   State
	// Probability is the probability, from 0 to 1, that the request crashes engines.
	Probability float64
	// Crashes counts the crashes that it is suspected of, and Unexplained those that no verdict on another request
	// explains.
	Crashes, Unexplained int
	Trials               int
	// Since is when the verdict was reached or the latest trial began; without a verdict, when the request was first
	// suspected or last cleared.
	Since time.Time
}

// List returns the status of all requests with a record, in no particular order.
func (r *Registry) List() []Status {
	out := make([]Status, 0, len(r.records))
	for _, rec := range r.records {
		out = append(out, r.status(rec))
	}
	return out
}

// Status returns the status of one request.
func (r *Registry) Status(f Fingerprint) Status {
	rec := r.records[f]
	if rec == nil {
		return Status{Request: f}
	}
	return r.status(rec)
}

func (r *Registry) status(rec *record) Status {
	s := Status{
		Request: rec.request, State: rec.state, Probability: sigmoid(float64(rec.odds)), Crashes: len(rec.suspicions),
		Unexplained: int(rec.unexplained), Trials: int(rec.trials), Since: r.base.Add(rec.since),
	}
	switch {
	case rec.hasVerdict:
		s.Since = r.base.Add(rec.verdictAt)
		s.Probability = max(s.Probability, quarantineThreshold)
	case len(rec.suspicions) == 0:
		s.Probability = priorCrashing
	}
	return s
}
