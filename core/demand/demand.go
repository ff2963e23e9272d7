// Package demand merges the numbers of waiting and running requests that all nodes report for each unit. Its
// table is kept by the unit's home, the node that decides on the unit's replicas.
//
// The home must know the demand of all nodes without a message per request, and must not act on the reports of a
// node that has gone. A node therefore reports a unit when its numbers change, and again before its last report
// expires. A report replaces the previous one of the same node, and expires after [ReportTTL].
package demand

import "time"

// ReportTTL is how long a report is valid.
const ReportTTL = 5 * time.Second

// Report is the demand of one node for one unit.
type Report struct {
	Unit string
	// Waiting and Running are the numbers of the node's requests for the unit.
	Waiting, Running int
	// Arrivals is the number of requests since the node's previous report.
	Arrivals int
	// Deadline is the earliest deadline of the waiting requests; zero if none waits.
	Deadline time.Time
}

// Demand is the demand of all nodes for one unit.
type Demand struct {
	Waiting, Running int
	// Deadline is the earliest deadline of all nodes' waiting requests; zero if none waits.
	Deadline time.Time
	// Since is when requests began to wait; zero if none waits.
	Since time.Time
	// LastUse is when a request for the unit was last reported as waiting, running or arrived.
	LastUse time.Time
}

// Table holds the reports of all nodes. It is not safe for concurrent use; one goroutine owns it.
type Table struct {
	// ReportTTL is how long a report is valid.
	ReportTTL time.Duration
	units     map[string]*unit
}

type unit struct {
	reports map[string]receivedReport
	since   time.Time
	lastUse time.Time
}

type receivedReport struct {
	Report
	at time.Time
}

// NewTable returns an empty table with the default [ReportTTL].
func NewTable() *Table { return &Table{ReportTTL: ReportTTL, units: make(map[string]*unit)} }

// Put records a node's report. A report without waiting and running requests removes the node's entry.
func (t *Table) Put(node string, r Report, now time.Time) {
	u := t.units[r.Unit]
	if u == nil {
		u = &unit{reports: make(map[string]receivedReport)}
		t.units[r.Unit] = u
	}
	if r.Waiting == 0 && r.Running == 0 {
		if _, had := u.reports[node]; had || r.Arrivals > 0 {
			u.lastUse = now
		}
		delete(u.reports, node)
	} else {
		u.reports[node] = receivedReport{Report: r, at: now}
		u.lastUse = now
	}
	if r.Waiting > 0 && u.since.IsZero() {
		u.since = now
	}
}

// Get returns the merged demand for a unit, and removes its expired reports.
func (t *Table) Get(name string, now time.Time) Demand {
	u := t.units[name]
	if u == nil {
		return Demand{}
	}
	d := Demand{LastUse: u.lastUse}
	for node, r := range u.reports {
		if now.Sub(r.at) > t.ReportTTL {
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

// Units returns the names of the units that have reports or a recorded use, in no particular order.
func (t *Table) Units() []string {
	out := make([]string, 0, len(t.units))
	for name := range t.units {
		out = append(out, name)
	}
	return out
}

// Forget removes units without reports whose last use was before a time.
func (t *Table) Forget(before time.Time) {
	for name, u := range t.units {
		if len(u.reports) == 0 && u.lastUse.Before(before) {
			delete(t.units, name)
		}
	}
}

// MarkUsed records a use of a unit that no report states: a base model is used through its adapters.
func (t *Table) MarkUsed(name string, at time.Time) {
	u := t.units[name]
	if u == nil {
		u = &unit{reports: make(map[string]receivedReport)}
		t.units[name] = u
	}
	if at.After(u.lastUse) {
		u.lastUse = at
	}
}
