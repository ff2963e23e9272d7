// Package demand merges what every node reports about its waiting and running
// requests, at the home of each unit.
//
// The problem: the home must see the demand of all nodes without a message for
// each request, and must not act on the word of a node that has gone. The
// model: a node reports a unit when its state changes and again before its
// report ages; a report replaces the node's earlier one and fades after [Life].
package demand

import "time"

// Life is how long a report counts unless renewed.
const Life = 5 * time.Second

// Report is one node's word on one unit.
type Report struct {
	Unit string
	// Waiting and Running count the node's requests.
	Waiting, Running int
	// Arrivals counts requests since the node's report before.
	Arrivals int
	// Deadline is that of the most urgent waiting request; zero if none waits.
	Deadline time.Time
}

// Demand is the merged state of one unit.
type Demand struct {
	Waiting, Running int
	// Deadline is the most urgent of all nodes; zero if none waits.
	Deadline time.Time
	// Since is when the waiting began; zero if none waits.
	Since time.Time
	// LastUse is when a request last waited, ran or arrived.
	LastUse time.Time
}

// Table holds the reports of all nodes. It is owned by one goroutine.
type Table struct {
	// Life is how long a report counts unless renewed.
	Life  time.Duration
	units map[string]*unit
}

type unit struct {
	reports map[string]dated
	since   time.Time
	lastUse time.Time
}

type dated struct {
	Report
	at time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{Life: Life, units: make(map[string]*unit)} }

// Put takes a node's report in.
func (t *Table) Put(node string, r Report, now time.Time) {
	u := t.units[r.Unit]
	if u == nil {
		u = &unit{reports: make(map[string]dated)}
		t.units[r.Unit] = u
	}
	if r.Waiting == 0 && r.Running == 0 {
		if _, had := u.reports[node]; had || r.Arrivals > 0 {
			u.lastUse = now
		}
		delete(u.reports, node)
	} else {
		u.reports[node] = dated{Report: r, at: now}
		u.lastUse = now
	}
	if r.Waiting > 0 && u.since.IsZero() {
		u.since = now
	}
}

// Get returns the merged demand of a unit.
func (t *Table) Get(name string, now time.Time) Demand {
	u := t.units[name]
	if u == nil {
		return Demand{}
	}
	d := Demand{LastUse: u.lastUse}
	for node, r := range u.reports {
		if now.Sub(r.at) > t.Life {
			delete(u.reports, node)
			continue
		}
		d.Waiting += r.Waiting
		d.Running += r.Running
		if !r.Deadline.IsZero() && (d.Deadline.IsZero() || r.Deadline.Before(d.Deadline)) {
			d.Deadline = r.Deadline
		}
	}
	if d.Waiting == 0 {
		u.since = time.Time{}
	}
	d.Since = u.since
	return d
}

// Units returns the names with a report or a use on record.
func (t *Table) Units() []string {
	out := make([]string, 0, len(t.units))
	for name := range t.units {
		out = append(out, name)
	}
	return out
}

// Forget drops units that were last used before a time and have no report.
func (t *Table) Forget(before time.Time) {
	for name, u := range t.units {
		if len(u.reports) == 0 && u.lastUse.Before(before) {
			delete(t.units, name)
		}
	}
}

// Used notes a use of a unit that no report tells of: that of a base model
// through its adapter.
func (t *Table) Used(name string, at time.Time) {
	u := t.units[name]
	if u == nil {
		u = &unit{reports: make(map[string]dated)}
		t.units[name] = u
	}
	if at.After(u.lastUse) {
		u.lastUse = at
	}
}
