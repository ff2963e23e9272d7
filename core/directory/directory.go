package directory

import (
	"slices"
	"sort"
	"time"
)

// Instance describes one incarnation of an endpoint, as the endpoint published it.
type Instance struct {
	// ID is the endpoint's name. It stays the same when the endpoint restarts after a crash.
	ID string
	// Start identifies the incarnation.
	Start   Start
	Build   Build `json:",omitzero"`
	Service string
	Address string
	Hall    string
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots int
	// Draining is true if the endpoint takes no new work.
	Draining bool
	// Remaining is the time until the endpoint shuts down; 0 if no shutdown was announced.
	Remaining time.Duration
	// Cold is how much longer the endpoint takes a reduced request rate, counted from when this node read the entry.
	Cold time.Duration `json:",omitempty"`
	// Holdings are the models that an engine has loaded and the copies that it keeps.
	Holdings
}

// Holdings are the models that an engine published as loaded or kept.
type Holdings struct {
	Models []Held
	// Warm and OnDisk are the names of the models of which the engine keeps a copy in memory or on disk.
	Warm, OnDisk []string
}

// Held is a loaded model and its loaded adapters.
type Held struct {
	Model    string
	Adapters []string
}

// Record is one change of the list of endpoints: an entry, or the deletion of one.
type Record struct {
	ID string
	// Version orders the records of the list: 1 + the offset in the store; 0 if it is unknown. A relayed
	// deletion has the version up to which the relaying node has read the list.
	Version uint64
	// Instance is nil if the entry was deleted.
	Instance *Instance
	// Relayed is true if the record comes from another node. Such a record contains no holdings.
	Relayed bool
	// Since is the version since which the entry has existed without interruption, as far as the node that
	// sent the record knows; 0 if it is not stated.
	Since uint64 `json:",omitempty"`
}

// Change is the kind of change that a record made.
type Change uint8

// Kinds of change.
const (
	// Unchanged means that the record was a heartbeat, or obsolete.
	Unchanged Change = iota
	// HoldingsChanged means that only the engine's holdings changed.
	HoldingsChanged
	// Routing means that the endpoint appeared, vanished, moved, or changed its capacity or whether it takes work.
	Routing
)

// Entry is an instance with the state that this node keeps about it. A gone entry is a tombstone.
type Entry struct {
	Instance
	// Version is the version of the latest record; records with lower versions are ignored.
	Version uint64
	// GoneAt is when the entry counts as gone, possibly in the future; zero while it exists.
	GoneAt time.Time
	// ColdUntil is until when the endpoint takes a reduced request rate; a time in the past if it is warm.
	ColdUntil time.Time
	// HoldingsKnown is true if the holdings come from the entry itself; relayed records contain none.
	HoldingsKnown bool
	// Since is the same as [Record.Since].
	Since uint64
}

// Directory is the list of endpoints of one node. It is not safe for concurrent use.
type Directory struct {
	entries map[string]*Entry
	// present counts the entries that are not gone; withStart counts those of them with a start.
	present, withStart int
	// tombstones holds the entries that are gone or scheduled to be, by id.
	tombstones map[string]*Entry
	// deletionsValidAt is the earliest time at which a deleted entry may count as gone.
	deletionsValidAt time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[string]*Entry), tombstones: make(map[string]*Entry)}
}

// count updates the counters for one entry: by +1 to include it, by -1 to exclude it.
func (d *Directory) count(e *Entry, sign int) {
	if !e.GoneAt.IsZero() {
		return
	}
	d.present += sign
	if e.Start != 0 {
		d.withStart += sign
	}
}

// reindex includes a changed entry in the counters again and updates the set of gone entries. The entry was
// excluded by count before the change.
func (d *Directory) reindex(e *Entry) {
	d.count(e, 1)
	if e.GoneAt.IsZero() {
		delete(d.tombstones, e.ID)
		return
	}
	d.tombstones[e.ID] = e
}

// HoldRemovals sets the earliest time at which an entry whose deletion is read from the store may count as gone; see [Lapses].
// A relayed deletion counts at once, since the node that relays it holds it back itself where that is due.
func (d *Directory) HoldRemovals(until time.Time) { d.deletionsValidAt = until }

// HeldBack reports whether an entry whose deletion was read still counts as live.
func (d *Directory) HeldBack(now time.Time) bool {
	if !d.deletionsValidAt.After(now) {
		return false
	}
	for _, e := range d.tombstones {
		if e.GoneAt.After(now) {
			return true
		}
	}
	return false
}

// Apply applies one record and returns what changed.
func (d *Directory) Apply(r Record, now time.Time) Change {
	e := d.entries[r.ID]
	switch {
	case e == nil && r.Instance == nil:
		// Keep a tombstone, so that an older record does not add the entry.
		d.add(&Entry{Instance: Instance{ID: r.ID}, Version: r.Version, GoneAt: now})
		return Unchanged
	case e == nil:
		e = &Entry{Instance: *r.Instance, Version: r.Version, Since: r.Version, ColdUntil: coldUntil(r.Instance, now), HoldingsKnown: !r.Relayed}
		e.ID = r.ID
		d.add(e)
		return Routing
	case e.newerThan(r):
		if r.Instance == nil && r.Relayed && !e.GoneAt.IsZero() && r.Version >= e.Since {
			// Both nodes have read that the entry was deleted.
			return d.markGone(e, now, true)
		}
		if r.Instance != nil && r.Instance.Draining && r.Instance.Start == e.Start && !e.Draining {
			// The later record is a heartbeat from before the endpoint said so, which was written late.
			e.Draining = true
			return Routing
		}
		return Unchanged
	}
	e.Version = r.Version
	if r.Instance == nil {
		return d.markGone(e, now, r.Relayed)
	}
	d.count(e, -1)
	defer d.reindex(e)
	next := *r.Instance
	next.ID = r.ID
	restarted := next.Start.Newer(e.Start)
	switch {
	case !r.Relayed:
		e.HoldingsKnown = true
	case restarted:
		e.HoldingsKnown = false
	default:
		next.Holdings = e.Holdings
	}
	change := changeOf(&e.Instance, &next)
	if !e.GoneAt.IsZero() {
		change, e.Since = Routing, r.Version
	}
	// A draining endpoint stays draining until it restarts, even if an older record arrives late. A
	// new incarnation has not announced a shutdown yet.
	next.Draining = next.Draining || e.Draining && !restarted
	if change == Unchanged && coldPhaseChanged(e.ColdUntil, coldUntil(&next, now)) {
		change = Routing
	}
	e.Instance, e.GoneAt, e.ColdUntil = next, time.Time{}, coldUntil(&next, now)
	return change
}

// coldUntil returns until when an endpoint is cold whose entry was read at now; zero if it is warm.
func coldUntil(in *Instance, now time.Time) time.Time {
	if in.Cold <= 0 {
		return time.Time{}
	}
	return now.Add(in.Cold)
}

// minColdChange is the least change of the end of an endpoint's cold phase that counts as a change: entries
// state it only to whole heartbeats.
const minColdChange = 500 * time.Millisecond

// coldPhaseChanged reports whether the end of an endpoint's cold phase changed: it moved later, or the phase was
// cancelled.
func coldPhaseChanged(old, next time.Time) bool {
	return next.Sub(old) > minColdChange || next.IsZero() && !old.IsZero()
}

// add inserts a new entry.
func (d *Directory) add(e *Entry) {
	d.entries[e.ID] = e
	d.reindex(e)
}

// newerThan reports whether the entry is the result of a later record than r. A record of the same version
// does not undo a deletion.
func (e *Entry) newerThan(r Record) bool {
	switch {
	case r.Version == 0:
		return r.Instance != nil && r.Instance.Start.Older(e.Start)
	case r.Version == e.Version:
		return !e.GoneAt.IsZero() && r.Instance != nil
	}
	return r.Version < e.Version
}

// Replace applies a complete list that was read from the store up to a version, 0 if that is unknown. Entries that
// are not on the list and have no later version are deleted. It calls note for each change.
func (d *Directory) Replace(list []Record, upTo uint64, now time.Time, note func(Record, Change)) {
	d.replace(list, upTo, false, now, note)
}

// ReplaceRelayed is like Replace for a list that another node relays.
func (d *Directory) ReplaceRelayed(list []Record, upTo uint64, now time.Time, note func(Record, Change)) {
	d.replace(list, upTo, true, now, note)
}

func (d *Directory) replace(list []Record, upTo uint64, relayed bool, now time.Time, note func(Record, Change)) {
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
		if change := d.Apply(r, now); change != Unchanged {
			note(r, change)
		}
	}
	for id, e := range d.entries {
		later := upTo != 0 && e.Version > upTo
		// A list from before the entry was added says nothing of it.
		if listed[id] || later && (e.GoneAt.IsZero() || upTo < e.Since) {
			continue
		}
		if !later {
			e.Version = upTo
		}
		if change := d.markGone(e, now, relayed); change != Unchanged {
			note(Record{ID: id, Version: e.Version}, change)
		}
	}
}

// markGone marks an entry as gone: at once if a relayed record deletes it, otherwise not before the time set by
// [Directory.HoldRemovals]. It never moves the time later.
func (d *Directory) markGone(e *Entry, now time.Time, relayed bool) Change {
	at := now
	if !relayed && d.deletionsValidAt.After(now) {
		at = d.deletionsValidAt
	}
	if !e.GoneAt.IsZero() && !at.Before(e.GoneAt) {
		return Unchanged
	}
	d.count(e, -1)
	defer d.reindex(e)
	e.GoneAt = at
	return Routing
}

// Drain records that an endpoint announced its shutdown. It reports whether that changed its entry.
func (d *Directory) Drain(id string) bool {
	e := d.entries[id]
	if e == nil || e.Draining {
		return false
	}
	e.Draining = true
	return true
}

// DrainIncarnation is like Drain for one incarnation of an endpoint. It does nothing if that one is not on the list.
func (d *Directory) DrainIncarnation(id string, start Start) bool {
	e := d.entries[id]
	return e != nil && e.Start == start && e.GoneAt.IsZero() && d.Drain(id)
}

// tombstoneTTL is how long the tombstone of a gone entry is kept, so that a record that arrives late does
// not restore the entry.
const tombstoneTTL = time.Minute

// Live returns the entries that are not gone, draining ones included, ordered by id. It removes expired tombstones.
func (d *Directory) Live(now time.Time) []*Entry {
	out := make([]*Entry, 0, len(d.entries))
	for id, e := range d.entries {
		switch {
		case d.live(e, now):
			out = append(out, e)
		case !e.GoneAt.IsZero() && now.Sub(e.GoneAt) > tombstoneTTL:
			delete(d.entries, id)
			delete(d.tombstones, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Len returns the number of entries that are not gone.
func (d *Directory) Len() int { return d.present }

// StartsPublished reports whether endpoints here publish their starts, which holds if most entries have one. An
// entry without a start is then not an endpoint's. One entry with a start is not enough: if it were, a
// foreign entry with a start would hide all endpoints where none publishes a start.
func (d *Directory) StartsPublished() bool { return 2*d.withStart > d.present }

// live reports whether an entry is an endpoint's and not gone.
func (d *Directory) live(e *Entry, now time.Time) bool {
	if e.GoneAt.IsZero() {
		return e.Start != 0 || !d.StartsPublished()
	}
	return now.Before(e.GoneAt)
}

// Find returns the entry of a live endpoint, or nil.
func (d *Directory) Find(id string, now time.Time) *Entry {
	if e := d.entries[id]; e != nil && d.live(e, now) {
		return e
	}
	return nil
}

// Gone returns the ids of the entries that are gone or scheduled to be, in no particular order.
func (d *Directory) Gone() []string {
	out := make([]string, 0, len(d.tombstones))
	for id := range d.tombstones {
		out = append(out, id)
	}
	return out
}

// Records returns the live entries as records for other nodes, without holdings, ordered by id. A deleted entry that
// still counts as live has a version of before its deletion, so that it does not undo the deletion at a node that knows
// of it.
func (d *Directory) Records(now time.Time) []Record {
	live := d.Live(now)
	out := make([]Record, 0, len(live))
	for _, e := range live {
		in, version := e.Instance, e.Version
		in.Holdings, in.Cold = Holdings{}, max(0, e.ColdUntil.Sub(now))
		if !e.GoneAt.IsZero() {
			version = e.Since
		}
		out = append(out, Record{ID: e.ID, Version: version, Instance: &in, Relayed: true, Since: e.Since})
	}
	return out
}

func changeOf(a, b *Instance) Change {
	switch {
	case !SameRouting(a, b):
		return Routing
	case !SameHoldings(a.Holdings, b.Holdings):
		return HoldingsChanged
	}
	return Unchanged
}

// SameRouting reports whether two instances are equal apart from their holdings.
func SameRouting(a, b *Instance) bool {
	return a.Start == b.Start && a.Service == b.Service && a.Address == b.Address && a.Hall == b.Hall && a.Slots == b.Slots &&
		a.Build == b.Build && a.Draining == b.Draining && a.Remaining == b.Remaining
}

// SameHoldings reports whether two holdings are equal.
func SameHoldings(a, b Holdings) bool {
	return slices.EqualFunc(a.Models, b.Models, func(x, y Held) bool {
		return x.Model == y.Model && slices.Equal(x.Adapters, y.Adapters)
	}) && slices.Equal(a.Warm, b.Warm) && slices.Equal(a.OnDisk, b.OnDisk)
}
