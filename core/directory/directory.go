package directory

import (
	"slices"
	"sort"
	"time"
)

// Instance is one life of an endpoint, as it describes itself.
type Instance struct {
	// ID names the endpoint; after a crash it may start again under it.
	ID string
	// Start tells its lives apart.
	Start   Start
	Service string
	Address string
	Hall    string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining endpoints take no new work.
	Draining bool
	// Remaining is the time to the endpoint's end where one was announced.
	Remaining time.Duration
	// Holdings are what an engine has loaded and what copies it keeps.
	Holdings
}

// Holdings are what an engine said it holds.
type Holdings struct {
	Models []Held
	// Warm and OnDisk name the models of which the engine keeps copies.
	Warm, OnDisk []string
}

// Held is a loaded model with its loaded adapters.
type Held struct {
	Model    string
	Adapters []string
}

// Record is one record of the list of endpoints.
type Record struct {
	ID string
	// Version orders the records of the list: 1 + the offset in the store; 0 where
	// it is not known. A relayed record that says that an entry is gone has the
	// version up to which the list was read.
	Version uint64
	// Instance is nil when the entry is gone.
	Instance *Instance
	// Relayed records come from another node and do not tell the holdings.
	Relayed bool
	// Since is the version since which the entry has been there without a gap, as far as the node knows that
	// tells it; 0 where it is not told.
	Since uint64 `json:",omitempty"`
}

// Change says what a record changed.
type Change uint8

// The changes.
const (
	// Unchanged: a heartbeat.
	Unchanged Change = iota
	// Holding: only what an engine holds.
	Holding
	// Place: whether or where the endpoint is, or takes work.
	Place
)

// Entry is an instance with what this node knows of its entry.
type Entry struct {
	Instance
	// Version is that of the latest record; older ones change nothing.
	Version uint64
	// GoneAt is when the entry is to be believed gone; zero while it is there.
	GoneAt time.Time
	// Since is as in Record.
	Since uint64
}

// lapseGrace is how long a live endpoint may take to record itself anew once
// the store is back; the platform states about two seconds.
const lapseGrace = 2500 * time.Millisecond

// Directory is the list. It is not safe for concurrent use.
type Directory struct {
	entries map[string]*Entry
	// trustAt is when a vanished entry may be believed gone.
	trustAt time.Time
}

// New returns an empty directory.
func New() *Directory { return &Directory{entries: make(map[string]*Entry)} }

// StoreAway notes that the store did not answer just now.
func (d *Directory) StoreAway(now time.Time) { d.trustAt = now.Add(lapseGrace) }

// Apply folds one record in and says what changed.
func (d *Directory) Apply(r Record, now time.Time) Change {
	e := d.entries[r.ID]
	switch {
	case e == nil && r.Instance == nil:
		// Remembered, so that an older record does not bring it.
		d.entries[r.ID] = &Entry{Instance: Instance{ID: r.ID}, Version: r.Version, GoneAt: now}
		return Unchanged
	case e == nil:
		d.entries[r.ID] = &Entry{Instance: *r.Instance, Version: r.Version, Since: r.Version}
		return Place
	case e.newerThan(r):
		return Unchanged
	}
	e.Version = r.Version
	if r.Instance == nil {
		return d.vanish(e, now)
	}
	next := *r.Instance
	again := next.Start.Newer(e.Start)
	if r.Relayed && !again {
		next.Holdings = e.Holdings
	}
	change := changeOf(&e.Instance, &next)
	if !e.GoneAt.IsZero() {
		change, e.Since = Place, r.Version
	}
	// An endpoint that leaves does not come back in the same life; one that started again has
	// said nothing yet.
	next.Draining = next.Draining || e.Draining && !again
	e.Instance, e.GoneAt = next, time.Time{}
	return change
}

// newerThan reports whether the entry is of a later record than r. An entry that is
// gone stays so by the record that said it.
func (e *Entry) newerThan(r Record) bool {
	switch {
	case r.Version == 0:
		return r.Instance != nil && r.Instance.Start.Older(e.Start)
	case r.Version == e.Version:
		return !e.GoneAt.IsZero() && r.Instance != nil
	}
	return r.Version < e.Version
}

// Replace takes a whole list over that was read up to a version: what is not on it,
// and was not recorded later, has vanished. It calls note for each change.
func (d *Directory) Replace(list []Record, upTo uint64, now time.Time, note func(Record, Change)) {
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
		if change := d.Apply(r, now); change != Unchanged {
			note(r, change)
		}
	}
	for id, e := range d.entries {
		if listed[id] || upTo != 0 && e.Version > upTo {
			continue
		}
		e.Version = upTo
		if change := d.vanish(e, now); change != Unchanged {
			note(Record{ID: id, Version: upTo}, change)
		}
	}
}

func (d *Directory) vanish(e *Entry, now time.Time) Change {
	if e == nil || !e.GoneAt.IsZero() {
		return Unchanged
	}
	e.GoneAt = now
	if d.trustAt.After(now) {
		e.GoneAt = d.trustAt
	}
	return Place
}

// Drain notes that an endpoint said itself that it leaves.
func (d *Directory) Drain(id string) bool {
	e := d.entries[id]
	if e == nil || e.Draining {
		return false
	}
	e.Draining = true
	return true
}

// DrainLife notes that a life of an endpoint said itself that it leaves; one that is not on the list is passed over.
func (d *Directory) DrainLife(id string, start Start) bool {
	e := d.entries[id]
	return e != nil && e.Start == start && e.GoneAt.IsZero() && d.Drain(id)
}

// forgetAfter is how long an entry that is gone is remembered, so that a late
// record of it does not bring it back unnoticed.
const forgetAfter = time.Minute

// Live returns the entries that are not gone, ordered by id; draining ones too.
func (d *Directory) Live(now time.Time) []*Entry {
	out := make([]*Entry, 0, len(d.entries))
	told := d.tellStarts()
	for id, e := range d.entries {
		switch {
		case told && e.Start == 0 && e.GoneAt.IsZero():
			// Not of an endpoint.
		case e.GoneAt.IsZero() || now.Before(e.GoneAt):
			out = append(out, e)
		case now.Sub(e.GoneAt) > forgetAfter:
			delete(d.entries, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// tellStarts reports whether endpoints here tell their starts: most entries do. Then an entry
// without one is not of an endpoint. One entry alone does not decide it: another writer's
// would take all endpoints away where none of them tells its start.
func (d *Directory) tellStarts() bool {
	told, there := 0, 0
	for _, e := range d.entries {
		if !e.GoneAt.IsZero() {
			continue
		}
		there++
		if e.Start != 0 {
			told++
		}
	}
	return 2*told > there
}

// NextLapse returns when the next vanished entry is to be believed gone.
func (d *Directory) NextLapse(now time.Time) (at time.Time, ok bool) {
	for _, e := range d.entries {
		if e.GoneAt.After(now) && (!ok || e.GoneAt.Before(at)) {
			at, ok = e.GoneAt, true
		}
	}
	return at, ok
}

// Records returns the live entries as records to be relayed, ordered by id.
func (d *Directory) Records(now time.Time) []Record {
	live := d.Live(now)
	out := make([]Record, 0, len(live))
	for _, e := range live {
		in := e.Instance
		in.Holdings = Holdings{}
		out = append(out, Record{ID: e.ID, Version: e.Version, Instance: &in, Relayed: true, Since: e.Since})
	}
	return out
}

func changeOf(a, b *Instance) Change {
	switch {
	case !SamePlace(a, b):
		return Place
	case !SameHoldings(a.Holdings, b.Holdings):
		return Holding
	}
	return Unchanged
}

// SamePlace reports whether two entries are equal but for what an engine holds.
func SamePlace(a, b *Instance) bool {
	return a.Start == b.Start && a.Service == b.Service && a.Address == b.Address && a.Hall == b.Hall && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.Remaining == b.Remaining
}

// SameHoldings reports whether two holdings are equal.
func SameHoldings(a, b Holdings) bool {
	return slices.EqualFunc(a.Models, b.Models, func(x, y Held) bool {
		return x.Model == y.Model && slices.Equal(x.Adapters, y.Adapters)
	}) && slices.Equal(a.Warm, b.Warm) && slices.Equal(a.OnDisk, b.OnDisk)
}
