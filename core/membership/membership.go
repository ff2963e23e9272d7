// Package membership is a failure detector: it decides which nodes of the fleet
// count as alive, and arranges which of them probe each other and forward log
// records. The controller (internal/control) runs the probes and calls it.
//
// The platform's instance list lags, a paused node looks dead and resumes, a node
// that is unreachable for one peer may be reachable for the others, and the cost
// per node must not grow with the fleet. Every node therefore probes only a few
// others, its neighbours ([Neighbours]). It trusts the instance list for all other
// nodes until a node that watches them reports them silent. The answers to probes
// carry only news: that a node is silent, that it was alive although it was
// reported silent, and that a node has a new incarnation. Evidence that a node was
// alive outweighs every report of silence while it is younger than
// [SilenceTimeout], so one bad link or one lost probe makes no node count as dead;
// a node counts as dead if no node has evidence that it is alive.
//
// Correctness does not depend on these decisions: a home node only saves work, and
// an executor that wrongly counted as dead is fenced.
package membership

import (
	"sort"
	"time"

	"olivetiller/core/ledger"
)

// Timeouts of the failure detector.
const (
	// SilenceTimeout is how long a node counts as alive after the latest evidence. A
	// watched node is probed every second; in a small fleet, each pair of nodes
	// exchanges a probe every two seconds in each direction.
	SilenceTimeout = 5 * time.Second
	// silenceReportTTL is how long a report of silence is valid unless it is renewed.
	silenceReportTTL = 7 * time.Second
	// suspicionDelay is the time between the first report of silence and its effect,
	// in which nodes with evidence that the member is alive can report that.
	suspicionDelay = 3 * time.Second
	// newIncarnationTTL is how long a new incarnation is included in the news.
	newIncarnationTTL = 10 * time.Second
)

// Member is what a node knows of another node.
type Member struct {
	ledger.NodeRef
	// Address is the address at which peers reach the node.
	Address string
	// Hall is the node's data hall.
	Hall string
	// Listed is true while the platform's instance list contains the node.
	Listed bool
	// Leaving is true if the node takes no new work and is no home.
	Leaving bool
	// LastDirect is when this node last got evidence from the member itself that it
	// is alive.
	LastDirect time.Time
	// LastAlive is the time of the latest evidence that the member is alive, direct
	// or from the news.
	LastAlive time.Time
	// ReportedSilent is when a node, possibly this one, last reported the member
	// silent.
	ReportedSilent time.Time
	// suspectedSince is the start of the uninterrupted series of valid reports of
	// silence.
	suspectedSince time.Time
	// ProbedSince is when this node began to watch the member; zero if it does not.
	ProbedSince time.Time
	// incarnationSince is when the current incarnation was first observed.
	incarnationSince time.Time
}

// News is an item of membership news that nodes exchange.
type News struct {
	ledger.NodeRef
	// Age is the age of the report or evidence.
	Age time.Duration
	// Silent is true for a report that the node is silent, false for evidence that
	// it is alive.
	Silent bool
}

// Table holds the members. It is owned by one goroutine.
type Table struct {
	Self    ledger.NodeRef
	members map[string]*Member
}

// NewTable returns a table without members for the node self.
func NewTable(self ledger.NodeRef) *Table {
	return &Table{Self: self, members: make(map[string]*Member)}
}

// UpdateListed updates the members from the instance list. Members that it lacks
// are no longer listed, but kept.
func (t *Table) UpdateListed(nodes []Member) {
	seen := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		if n.Node == t.Self.Node {
			continue
		}
		seen[n.Node] = true
		m := t.member(n.Node)
		m.Listed, m.Address, m.Hall = true, n.Address, n.Hall
		m.Leaving = m.Leaving || n.Leaving
	}
	for name, m := range t.members {
		if !seen[name] {
			m.Listed = false
		}
	}
}

// SetProbed sets the members that this node watches from now on.
func (t *Table) SetProbed(names []string, now time.Time) {
	probed := make(map[string]bool, len(names))
	for _, name := range names {
		probed[name] = true
		if m := t.members[name]; m != nil && m.ProbedSince.IsZero() {
			m.ProbedSince = now
		}
	}
	for name, m := range t.members {
		if !probed[name] {
			m.ProbedSince = time.Time{}
		}
	}
}

// ObserveAlive records direct evidence that an incarnation is alive. Evidence of a
// superseded incarnation is ignored.
func (t *Table) ObserveAlive(ref ledger.NodeRef, now time.Time) {
	if ref.Node == t.Self.Node {
		return
	}
	m := t.member(ref.Node)
	if m.observeIncarnation(ref.Incarnation, now) {
		m.LastDirect = now
		m.LastAlive = now
	}
}

// ObserveIncarnation records that an incarnation exists, without evidence that it
// is still alive.
func (t *Table) ObserveIncarnation(ref ledger.NodeRef, now time.Time) {
	if m := t.members[ref.Node]; m != nil {
		m.observeIncarnation(ref.Incarnation, now)
	}
}

// Merge applies an item of news from a peer. News of unknown nodes and of
// superseded incarnations are ignored.
func (t *Table) Merge(n News, now time.Time) {
	m := t.members[n.Node]
	if m == nil || !m.observeIncarnation(n.Incarnation, now) {
		return
	}
	at := now.Add(-n.Age)
	if n.Silent {
		m.reportSilence(at, now)
	}
	if !n.Silent && at.After(m.LastAlive) {
		m.LastAlive = at
	}
}

// News returns the news to send to peers, sorted by node: about members that are
// reported silent and about new incarnations. Usually there is none.
func (t *Table) News(now time.Time) []News {
	var out []News
	for _, m := range t.members {
		if m.overdue(now) {
			m.reportSilence(now, now)
		}
		suspected := now.Sub(m.ReportedSilent) < silenceReportTTL
		if suspected {
			out = append(out, News{NodeRef: m.NodeRef, Age: now.Sub(m.ReportedSilent), Silent: true})
		}
		fresh := now.Sub(m.incarnationSince) < newIncarnationTTL
		if (suspected || fresh) && now.Sub(m.LastAlive) < SilenceTimeout {
			out = append(out, News{NodeRef: m.NodeRef, Age: now.Sub(m.LastAlive)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// reportSilence records a report of silence that was made at a time.
func (m *Member) reportSilence(at, now time.Time) {
	if now.Sub(m.ReportedSilent) >= silenceReportTTL {
		m.suspectedSince = now
	}
	if at.After(m.ReportedSilent) {
		m.ReportedSilent = at
	}
}

// overdue reports whether this node has watched the member for SilenceTimeout or
// longer without direct evidence that it is alive.
func (m *Member) overdue(now time.Time) bool {
	return !m.ProbedSince.IsZero() && now.Sub(m.ProbedSince) >= SilenceTimeout && now.Sub(m.LastDirect) >= SilenceTimeout
}

// alive reports whether the member counts as alive.
func (m *Member) alive(now time.Time) bool {
	switch {
	case now.Sub(m.LastAlive) < SilenceTimeout:
		return true
	case !m.ProbedSince.IsZero():
		// This node watches the member and should have evidence itself.
		return false
	}
	return m.Listed && (now.Sub(m.ReportedSilent) >= silenceReportTTL || now.Sub(m.suspectedSince) < suspicionDelay)
}

// SetLeaving records that the current incarnation of a node is leaving.
func (t *Table) SetLeaving(node string) {
	if m := t.members[node]; m != nil {
		m.Leaving = true
	}
}

// observeIncarnation resets the member if the incarnation is newer than the known
// one. It returns false if the incarnation is older.
func (m *Member) observeIncarnation(incarnation uint64, now time.Time) bool {
	if incarnation < m.Incarnation {
		return false
	}
	if incarnation > m.Incarnation {
		m.Incarnation = incarnation
		m.Leaving = false
		m.LastAlive, m.LastDirect, m.ReportedSilent = time.Time{}, time.Time{}, time.Time{}
		m.incarnationSince = now
	}
	return true
}

func (t *Table) member(name string) *Member {
	m := t.members[name]
	if m == nil {
		m = &Member{NodeRef: ledger.NodeRef{Node: name}}
		t.members[name] = m
	}
	return m
}

// Alive reports whether a node incarnation counts as alive; this node's own always
// does, a superseded one never.
func (t *Table) Alive(ref ledger.NodeRef, now time.Time) bool {
	if ref == t.Self {
		return true
	}
	m := t.members[ref.Node]
	return m != nil && m.Incarnation <= ref.Incarnation && m.alive(now)
}

// Live returns the sorted names of the nodes that are alive and not leaving. This
// node is included unless selfLeaving is set.
func (t *Table) Live(now time.Time, selfLeaving bool) []string {
	var out []string
	if !selfLeaving {
		out = append(out, t.Self.Node)
	}
	for name, m := range t.members {
		if !m.Leaving && m.alive(now) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// Peers returns the members to which requests can be sent, sorted by name: those
// with an address that are listed or alive.
func (t *Table) Peers(now time.Time) []Member {
	var out []Member
	for _, m := range t.members {
		if m.Address != "" && (m.Listed || now.Sub(m.LastAlive) < SilenceTimeout) {
			out = append(out, *m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// Member returns the member with the given name, and false if there is none.
func (t *Table) Member(name string) (Member, bool) {
	m := t.members[name]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// DeleteStale deletes members that are not listed and without evidence that they
// were alive in the last ten SilenceTimeouts.
func (t *Table) DeleteStale(now time.Time) {
	for name, m := range t.members {
		if !m.Listed && now.Sub(m.LastAlive) > 10*SilenceTimeout {
			delete(t.members, name)
		}
	}
}
