// Package membership judges which nodes are alive.
//
// The problem: the platform's list lags, a paused node looks dead and then is
// not, a node cut off from one peer may be well connected to the others, and
// what a node spends on all this must not grow with the fleet. The model: every
// node probes a few others, its neighbours ([Neighbours]), directly. Of all
// others it believes the list, until a neighbour of theirs reports silence.
// Only news travels, riding on the answers to probes: that a node is silent,
// that it was heard from though somebody reported silence, and that it is a new
// incarnation. Evidence of life always outweighs a report of silence that is
// not younger by [Silence], so one bad link or one lost probe kills nobody, and
// a node is held for dead when nobody hears from it.
//
// No promise rests on this judgement: homes only save work, and an executor
// that was held for dead by mistake is fenced off.
package membership

import (
	"sort"
	"time"

	"olivetiller/core/ledger"
)

// Times of the judgement.
const (
	// Silence is how long a node may give no sign of life. Probes come every
	// second to a watched node, or in a small fleet every two seconds each way.
	Silence = 5 * time.Second
	// newsLife is how long a report of silence holds unless renewed.
	newsLife = 7 * time.Second
	// confirm is how long a report of silence stands before it is believed, so
	// that whoever heard from the node can say so first.
	confirm = 3 * time.Second
	// freshLife is how long a new incarnation is news.
	freshLife = 10 * time.Second
)

// Member is one node.
type Member struct {
	ledger.NodeRef
	// Address is where its peers reach it.
	Address string
	Hall    string
	// Listed is true while the platform's list shows it.
	Listed bool
	// Leaving nodes take no new work and no home.
	Leaving bool
	// Direct is when this node last heard from it itself.
	Direct time.Time
	// Heard is the latest evidence of life, direct or not.
	Heard time.Time
	// Silent is when somebody, perhaps this node, last reported its silence.
	Silent time.Time
	// suspected is when the reports of silence in force began.
	suspected time.Time
	// Probed is since when this node probes it; zero if it does not.
	Probed time.Time
	// since is when the incarnation was first heard of.
	since time.Time
}

// News is one item that travels between nodes.
type News struct {
	ledger.NodeRef
	// Age is how old the evidence is.
	Age time.Duration
	// Silent is true of a report of silence, false of a sign of life.
	Silent bool
}

// Table holds the members. It is owned by one goroutine.
type Table struct {
	Self    ledger.NodeRef
	members map[string]*Member
}

// NewTable returns a table that knows only the node itself.
func NewTable(self ledger.NodeRef) *Table {
	return &Table{Self: self, members: make(map[string]*Member)}
}

// Listed takes in a list of nodes; those it lacks are no longer listed.
func (t *Table) Listed(nodes []Member) {
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

// Probing notes which members this node probes from now on.
func (t *Table) Probing(names []string, now time.Time) {
	probed := make(map[string]bool, len(names))
	for _, name := range names {
		probed[name] = true
		if m := t.members[name]; m != nil && m.Probed.IsZero() {
			m.Probed = now
		}
	}
	for name, m := range t.members {
		if !probed[name] {
			m.Probed = time.Time{}
		}
	}
}

// Heard notes direct evidence of an incarnation.
func (t *Table) Heard(ref ledger.NodeRef, now time.Time) {
	if ref.Node == t.Self.Node {
		return
	}
	m := t.member(ref.Node)
	if m.adopt(ref.Incarnation, now) {
		m.Direct = now
		m.Heard = now
	}
}

// Seen notes that an incarnation exists, without a sign that it still lives.
func (t *Table) Seen(ref ledger.NodeRef, now time.Time) {
	if m := t.members[ref.Node]; m != nil {
		m.adopt(ref.Incarnation, now)
	}
}

// Take takes a peer's news in.
func (t *Table) Take(n News, now time.Time) {
	m := t.members[n.Node]
	if m == nil || !m.adopt(n.Incarnation, now) {
		return
	}
	at := now.Add(-n.Age)
	if n.Silent {
		m.suspect(at, now)
	}
	if !n.Silent && at.After(m.Heard) {
		m.Heard = at
	}
}

// News returns what this node has to tell: about members whose silence is
// reported, and about new incarnations. In a quiet fleet it is empty.
func (t *Table) News(now time.Time) []News {
	var out []News
	for _, m := range t.members {
		if m.overdue(now) {
			m.suspect(now, now)
		}
		suspected := now.Sub(m.Silent) < newsLife
		if suspected {
			out = append(out, News{NodeRef: m.NodeRef, Age: now.Sub(m.Silent), Silent: true})
		}
		fresh := now.Sub(m.since) < freshLife
		if (suspected || fresh) && now.Sub(m.Heard) < Silence {
			out = append(out, News{NodeRef: m.NodeRef, Age: now.Sub(m.Heard)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// suspect notes a report of silence made at a time.
func (m *Member) suspect(at, now time.Time) {
	if now.Sub(m.Silent) >= newsLife {
		m.suspected = now
	}
	if at.After(m.Silent) {
		m.Silent = at
	}
}

// overdue reports whether this node probes the member and hears nothing.
func (m *Member) overdue(now time.Time) bool {
	return !m.Probed.IsZero() && now.Sub(m.Probed) >= Silence && now.Sub(m.Direct) >= Silence
}

// alive judges one member.
func (m *Member) alive(now time.Time) bool {
	switch {
	case now.Sub(m.Heard) < Silence:
		return true
	case !m.Probed.IsZero():
		// A neighbour must have been heard.
		return false
	}
	return m.Listed && (now.Sub(m.Silent) >= newsLife || now.Sub(m.suspected) < confirm)
}

// SetLeaving notes that a node takes no new work.
func (t *Table) SetLeaving(node string) {
	if m := t.members[node]; m != nil {
		m.Leaving = true
	}
}

// adopt moves to a newer incarnation; it reports false for an older one.
func (m *Member) adopt(incarnation uint64, now time.Time) bool {
	if incarnation < m.Incarnation {
		return false
	}
	if incarnation > m.Incarnation {
		m.Incarnation = incarnation
		m.Leaving = false
		m.Heard, m.Direct, m.Silent = time.Time{}, time.Time{}, time.Time{}
		m.since = now
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

// Alive reports whether an incarnation is held to be alive.
func (t *Table) Alive(ref ledger.NodeRef, now time.Time) bool {
	if ref == t.Self {
		return true
	}
	m := t.members[ref.Node]
	return m != nil && m.Incarnation <= ref.Incarnation && m.alive(now)
}

// Live returns the names of the nodes that share the work, this one included
// unless it is leaving, in order.
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

// Peers returns the members that may be reached, in order of name.
func (t *Table) Peers(now time.Time) []Member {
	var out []Member
	for _, m := range t.members {
		if m.Address != "" && (m.Listed || now.Sub(m.Heard) < Silence) {
			out = append(out, *m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// Member returns what is known of a node.
func (t *Table) Member(name string) (Member, bool) {
	m := t.members[name]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// Forget drops members that are neither listed nor heard of.
func (t *Table) Forget(now time.Time) {
	for name, m := range t.members {
		if !m.Listed && now.Sub(m.Heard) > 10*Silence {
			delete(t.members, name)
		}
	}
}
