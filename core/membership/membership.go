// Package membership judges which nodes are alive.
//
// The problem: the platform's list lags, a paused node looks dead and then is
// not, and a node cut off from one peer may be well connected to the others.
// The model: evidence with a time. A node is alive while this node, or a peer
// that this node hears from, has heard from it within [Silence]. One lost probe
// proves nothing; silence toward everybody does. The list adds nodes to probe
// and removes those it no longer shows once they are silent too.
//
// No promise rests on this judgement: homes only save work, and an executor
// that was held for dead by mistake is fenced off.
package membership

import (
	"sort"
	"time"

	"olivetiller/core/ledger"
)

// Silence is how long a node is held for alive without a sign of life. With
// probes every half second, six in a row must fail from every side.
const Silence = 3 * time.Second

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
	// Heard is the latest evidence, direct or not.
	Heard time.Time
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

// Heard notes direct evidence of an incarnation.
func (t *Table) Heard(ref ledger.NodeRef, now time.Time) {
	if ref.Node == t.Self.Node {
		return
	}
	m := t.member(ref.Node)
	if !m.adopt(ref.Incarnation) {
		return
	}
	m.Direct = now
	m.Heard = now
}

// HeardOf notes a peer's evidence: it heard from the incarnation at a time.
func (t *Table) HeardOf(ref ledger.NodeRef, at time.Time) {
	m := t.members[ref.Node]
	if m == nil || !m.adopt(ref.Incarnation) {
		return
	}
	if at.After(m.Heard) {
		m.Heard = at
	}
}

// SetLeaving notes that a node takes no new work.
func (t *Table) SetLeaving(node string) {
	if m := t.members[node]; m != nil {
		m.Leaving = true
	}
}

// adopt moves to a newer incarnation; it reports false for an older one.
func (m *Member) adopt(incarnation uint64) bool {
	if incarnation < m.Incarnation {
		return false
	}
	if incarnation > m.Incarnation {
		m.Incarnation = incarnation
		m.Leaving = false
		m.Heard, m.Direct = time.Time{}, time.Time{}
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
	return m != nil && m.Incarnation == ref.Incarnation && now.Sub(m.Heard) < Silence
}

// Live returns the names of the nodes that share the work, this one included
// unless it is leaving, in order.
func (t *Table) Live(now time.Time, selfLeaving bool) []string {
	var out []string
	if !selfLeaving {
		out = append(out, t.Self.Node)
	}
	for name, m := range t.members {
		if !m.Leaving && now.Sub(m.Heard) < Silence {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// Peers returns the members to probe, in order of name: those listed and those
// heard of lately.
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
