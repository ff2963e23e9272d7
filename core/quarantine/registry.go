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

// trialGaps are the times from a verdict to the first trial and from one trial to the next.
// There are no more: each may cost an engine.
var trialGaps = []time.Duration{10 * time.Minute, time.Hour}

// longestHint is when a caller may ask again where no trial is due.
const longestHint = time.Hour

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
			r.pending[rec] = true
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

// trialDue returns when the next trial may begin; ok is false when there is none.
func (rec *record) trialDue() (at time.Duration, ok bool) {
	if int(rec.trials) >= len(trialGaps) {
		return 0, false
	}
	return rec.verdictAt + trialGaps[rec.trials], true
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
