package quarantine

import "time"

// Scope says which records are told.
type Scope uint8

// The scopes.
const (
	// All: between nodes that have nobody to unite what they know.
	All Scope = iota
	// Own: to one that unites the blames of all nodes, those that this node knows by itself.
	Own
	// Concerning: only those that concern nodes which do not blame the request themselves:
	// most requests that an engine's end is blamed on are never blamed again.
	Concerning
)

// Since returns what changed since a version, and the version that this leads to.
func (r *Registry) Since(version uint64, scope Scope) ([]Entry, uint64) {
	if version >= r.version || scope == Concerning && version >= r.toldVersion {
		return nil, r.version
	}
	var out []Entry
	for _, rec := range r.records {
		if rec.version > version && rec.within(scope) {
			out = append(out, r.entry(rec))
		}
	}
	return out, r.version
}

func (rec *record) within(s Scope) bool {
	switch s {
	case Own:
		return rec.own
	case Concerning:
		return rec.told
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

// entry returns a record as it is told.
func (r *Registry) entry(rec *record) Entry {
	e := Entry{Request: rec.request, Epoch: rec.epoch, At: r.base.Add(rec.at)}
	for i := range rec.blames {
		b := &rec.blames[i]
		e.Blames = append(e.Blames, Blame{End: b.end.id, Ran: b.ran, Begun: b.begun, At: r.base.Add(b.at)})
	}
	if rec.convicted {
		e.Verdict = &Verdict{At: r.base.Add(rec.verdictAt), Trials: int(rec.trials)}
	}
	return e
}

// Merge takes in what another node knows, and returns the requests of which something else is
// thought now.
func (r *Registry) Merge(entries []Entry, now time.Time) []Fingerprint {
	var touched []*record
	for i := range entries {
		if rec, news := r.join(&entries[i], now); news {
			r.changed(rec)
			touched = append(touched, rec)
		}
	}
	r.judge(touched, now)
	return r.takeMoved()
}

// join takes one entry in and reports whether it was news.
func (r *Registry) join(e *Entry, now time.Time) (rec *record, news bool) {
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
		r.apply(rec, goodAnswer, now)
		news = true
	}
	// The same moment may be told with less delay.
	rec.at = min(rec.at, e.At.Sub(r.base))
	for _, b := range e.Blames {
		news = r.addBlame(rec, b, now) || news
	}
	return rec, r.joinVerdict(rec, e.Verdict, now) || news
}

func (r *Registry) joinVerdict(rec *record, v *Verdict, now time.Time) bool {
	if v == nil {
		return false
	}
	at, trials := v.At.Sub(r.base), uint8(min(v.Trials, len(trialGaps)))
	switch {
	case !rec.convicted:
		r.apply(rec, conviction, now)
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

// expired reports whether an entry is too old to be taken in.
func (r *Registry) expired(e *Entry, now time.Time) bool {
	if e.Verdict != nil {
		return now.Sub(e.Verdict.At) > verdictLife
	}
	return now.Sub(e.At) > suspectLife
}

// Status is what an operator gets to see of a request.
type Status struct {
	Request Fingerprint
	State   State
	// Belief is the chance that it ends engines, from 0 to 1.
	Belief float64
	// Ends counts the ends that it is blamed for, and Unexplained those that no other request
	// explains.
	Ends, Unexplained int
	Trials            int
	// Since is when it came into this state, as far as it is known.
	Since time.Time
}

// List returns all requests of which something is thought, in no order.
func (r *Registry) List() []Status {
	out := make([]Status, 0, len(r.records))
	for _, rec := range r.records {
		out = append(out, r.status(rec))
	}
	return out
}

// Status returns what is thought of one request.
func (r *Registry) Status(f Fingerprint) Status {
	rec := r.records[f]
	if rec == nil {
		return Status{Request: f}
	}
	return r.status(rec)
}

func (r *Registry) status(rec *record) Status {
	s := Status{
		Request: rec.request, State: rec.state, Belief: sigmoid(float64(rec.odds)), Ends: len(rec.blames),
		Unexplained: int(rec.unexplained), Trials: int(rec.trials), Since: r.base.Add(rec.at),
	}
	switch {
	case rec.convicted:
		s.Since = r.base.Add(rec.verdictAt)
		s.Belief = max(s.Belief, convictAt)
	case len(rec.blames) == 0:
		s.Belief = priorDeadly
	}
	return s
}
