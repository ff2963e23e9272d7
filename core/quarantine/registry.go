package quarantine

import (
	"slices"
	"time"
)

// record is what is known of one request.
type record struct {
	request Fingerprint
	epoch   uint32
	state   State
	// convicted is true while there is a verdict; trials counts the runs tried since.
	convicted bool
	trials    uint8
	// own is set once this node has blamed the request, or cleared it; told once the record
	// concerns other nodes than those that blame it.
	own, told bool
	// unexplained counts the blames that no other request explains.
	unexplained uint8
	// odds are the logarithm of the odds that the request ends engines.
	odds float32
	// blames are in the order of their ends, one for each.
	blames []blame
	// at is when the epoch began, verdictAt when the verdict or the latest trial; seenAt
	// when the request last came. They count from the registry's base.
	at, verdictAt, seenAt time.Duration
	// version is that of the registry at the latest change.
	version uint64
}

// blame is one Blame of a record.
type blame struct {
	end *end
	// at is when it was noticed, from the registry's base.
	at, ran time.Duration
	begun   bool
}

// end is one end of an engine with the requests that are blamed for it.
type end struct {
	id EndID
	// at is when it was noticed, toldAt when the latest blame for it came here, from the
	// registry's base.
	at, toldAt time.Duration
	// suspects are blamed in their present epoch.
	suspects []*record
}

// Registry holds what is known of all requests. It is not safe for concurrent use.
type Registry struct {
	base    time.Time
	records map[Fingerprint]*record
	ends    map[EndID]*end
	// pending are the records whose ends are not settled.
	pending map[*record]bool
	// moved collects the requests of which something else is thought.
	moved []Fingerprint
	// verdicts counts the records with one.
	verdicts int
	// engines is how many engines there are.
	engines int
	// whole is true where the blames of all nodes come together.
	whole bool
	// version rises with each change, and toldVersion is that of the latest change of a record that
	// concerns others.
	version, toldVersion uint64
}

// NewRegistry returns a registry that knows nothing, to which no other node's blames come.
func NewRegistry(now time.Time) *Registry {
	return &Registry{base: now, records: make(map[Fingerprint]*record), ends: make(map[EndID]*end), pending: make(map[*record]bool), whole: true}
}

// SetEngines sets how many engines there are, by which the rate of their ends is judged.
func (r *Registry) SetEngines(n int) { r.engines = n }

// SetWhole sets whether the blames of all nodes come together here. Elsewhere most suspects of
// an end are not known, so that belief convicts nobody; the number of ends does.
func (r *Registry) SetWhole(whole bool) {
	if whole && !r.whole {
		for _, rec := range r.records {
			if len(rec.blames) > 0 {
				r.pending[rec] = true
			}
		}
	}
	r.whole = whole
}

// Version rises with each change.
func (r *Registry) Version() uint64 { return r.version }

// ToldVersion is the version at the latest change that concerns other nodes.
func (r *Registry) ToldVersion() uint64 { return r.toldVersion }

// State returns what is thought of a request.
func (r *Registry) State(f Fingerprint) State {
	rec := r.records[f]
	if rec == nil {
		return Clear
	}
	return rec.state
}

// Held returns whether a request that came is kept from engines, and when its caller may ask
// again.
func (r *Registry) Held(f Fingerprint, now time.Time) (again time.Duration, held bool) {
	rec := r.records[f]
	if rec == nil {
		return 0, false
	}
	rec.seenAt = now.Sub(r.base)
	if !rec.state.held() {
		return 0, false
	}
	due, ok := rec.trialDue()
	if !ok {
		return longestHint, true
	}
	return max(time.Second, due-now.Sub(r.base)), true
}

// Doubtful reports whether a request is one of few under which several engines ended: it is not to be
// sent before the others' word on it is known.
func (r *Registry) Doubtful(f Fingerprint) bool {
	rec := r.records[f]
	return rec != nil && rec.state == Isolated && len(rec.blames) > 1
}

// Unsettled returns for how long the next run of a request should wait: it is one of few that
// may have ended engines, and what the latest end comes to is not known yet.
func (r *Registry) Unsettled(f Fingerprint, now time.Time) time.Duration {
	if !r.Doubtful(f) {
		return 0
	}
	at := r.records[f].settledAt()
	if !r.whole {
		at += Tell
	}
	return max(0, at-now.Sub(r.base))
}

// settledAt is when all blames for the record's ends are known.
func (rec *record) settledAt() time.Duration {
	var at time.Duration
	for i := range rec.blames {
		at = max(at, rec.blames[i].end.toldAt+Settle)
	}
	return at
}

// Ended notes that an engine has ended, whatever it ran.
func (r *Registry) Ended(id EndID, now time.Time) { r.end(id, now.Sub(r.base)) }

// end returns the end of an id; of two moments at which it was noticed the earlier one counts.
func (r *Registry) end(id EndID, at time.Duration) *end {
	e := r.ends[id]
	if e == nil {
		e = &end{id: id, at: at}
		r.ends[id] = e
		r.boundEnds()
	}
	e.at = min(e.at, at)
	return e
}

// Blame notes that an engine ended under requests of this node, one blame for each, and returns those of
// which something else is thought now.
func (r *Registry) Blame(requests []Fingerprint, blames []Blame, now time.Time) []Fingerprint {
	var touched []*record
	for i, f := range requests {
		rec := r.record(f, now)
		if rec == nil {
			continue
		}
		rec.seenAt, rec.own = now.Sub(r.base), true
		if r.addBlame(rec, blames[i], now) {
			r.changed(rec)
			touched = append(touched, rec)
		}
	}
	r.judge(touched, now)
	return r.takeMoved()
}

// record returns the record of a request, a new one if there is room.
func (r *Registry) record(f Fingerprint, at time.Time) *record {
	if rec := r.records[f]; rec != nil {
		return rec
	}
	if len(r.records) >= mostRecords && !r.makeRoom() {
		return nil
	}
	rec := &record{request: f, at: at.Sub(r.base)}
	r.records[f] = rec
	return rec
}

func (r *Registry) setConvicted(rec *record, convicted bool) {
	switch {
	case rec.convicted == convicted:
		return
	case convicted:
		r.verdicts++
	default:
		r.verdicts--
		rec.trials = 0
	}
	rec.convicted = convicted
}

func (r *Registry) changed(rec *record) {
	r.version++
	rec.version = r.version
	if rec.told {
		r.toldVersion = r.version
	}
}

// clearBlames makes a record's blames void.
func (r *Registry) clearBlames(rec *record) {
	for _, b := range rec.blames {
		b.end.suspects = slices.DeleteFunc(b.end.suspects, func(s *record) bool { return s == rec })
	}
	rec.blames, rec.odds, rec.unexplained = nil, 0, 0
}

// addBlame unites a blame with those of a record, and reports whether it was news. Where
// several nodes saw one end, the one at which the request had run for the shortest time counts:
// it says most.
func (r *Registry) addBlame(rec *record, b Blame, now time.Time) bool {
	at := b.At.Sub(r.base)
	e := r.end(b.End, at)
	i, found := slices.BinarySearchFunc(rec.blames, b.End, func(x blame, id EndID) int { return x.end.id.compare(id) })
	if found {
		old := &rec.blames[i]
		news := b.Ran < old.ran || b.Begun && !old.begun
		old.at, old.ran, old.begun = min(old.at, at), min(old.ran, b.Ran), old.begun || b.Begun
		return news
	}
	if i >= mostBlames || len(e.suspects) >= mostSuspects {
		return false
	}
	rec.blames = slices.Insert(rec.blames, i, blame{end: e, at: at, ran: b.Ran, begun: b.Begun})
	e.suspects = append(e.suspects, rec)
	e.toldAt = now.Sub(r.base)
	if len(rec.blames) > mostBlames {
		// Of too many the first in their order stay, whatever the order in which they came.
		last := rec.blames[mostBlames].end
		last.suspects = slices.DeleteFunc(last.suspects, func(s *record) bool { return s == rec })
		rec.blames = rec.blames[:mostBlames]
	}
	return true
}

// Answered notes that an engine answered a request well: what it was blamed for is void. It
// reports whether anything was.
func (r *Registry) Answered(f Fingerprint, now time.Time) bool {
	return r.void(f, goodAnswer, now)
}

// Release lets a request go by an operator's word. It reports whether there was anything to let go.
func (r *Registry) Release(f Fingerprint, now time.Time) bool { return r.void(f, release, now) }

// void begins a new epoch of a request.
func (r *Registry) void(f Fingerprint, ev event, now time.Time) bool {
	rec := r.records[f]
	if rec == nil || len(rec.blames) == 0 && !rec.convicted {
		return false
	}
	r.newEpoch(rec, rec.epoch+1, now.Sub(r.base))
	rec.own = true
	r.apply(rec, ev, now)
	r.changed(rec)
	r.takeMoved()
	return true
}

func (r *Registry) newEpoch(rec *record, epoch uint32, at time.Duration) {
	r.clearBlames(rec)
	r.setConvicted(rec, false)
	rec.epoch, rec.at = epoch, at
}
