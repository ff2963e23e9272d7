package placement

import (
	"cmp"
	"slices"
	"time"

	"olivetiller/core/queue"
)

// urgency says how urgent the requests are that wait for a load.
type urgency struct {
	// rank is the most urgent rank of the waiting requests; 0 if none waits, and where their nodes state none.
	rank int
	// nextDue is the next deadline.
	nextDue time.Time
	// overdueAt is when the load stops yielding to all more urgent ones, see queue.Turns; zero if no request waits.
	overdueAt time.Time
}

// compare orders loads by rank, and then by deadline.
func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.rank, o.rank), u.nextDue.Compare(o.nextDue))
}

// overdueBy reports whether the load no longer yields to all more urgent ones at now.
func (u urgency) overdueBy(now time.Time) bool {
	return !u.overdueAt.IsZero() && !now.Before(u.overdueAt)
}

// byTurns calls load for all loads, which are sorted by urgency. An overdue one goes ahead of more urgent ones when it is its
// turn. When more loads are wanted than the engines and the weight store allow, as when demand moves to many models at
// once, those of the most urgent requests go first, and others still get their part. Only calls that send orders are turns.
func byTurns[L any](g *planning, t *queue.Turns, loads []L, urgencyOf func(L) urgency, load func(L)) {
	var overdue []int
	for i, l := range loads {
		if urgencyOf(l).overdueBy(g.now) {
			overdue = append(overdue, i)
		}
	}
	slices.SortStableFunc(overdue, func(i, j int) int {
		return urgencyOf(loads[i]).overdueAt.Compare(urgencyOf(loads[j]).overdueAt)
	})
	done := make([]bool, len(loads))
	first := 0
	for range loads {
		for done[first] {
			first++
		}
		next := first
		if t.Due() {
			for _, i := range overdue {
				if !done[i] && urgencyOf(loads[i]).rank > urgencyOf(loads[first]).rank {
					next = i
					break
				}
			}
		}
		done[next] = true
		sent := len(g.actions)
		load(loads[next])
		if len(g.actions) > sent {
			t.Served(next != first)
		}
	}
}

// observeWait keeps since when requests wait for the unit.
func (u *usage) observeWait(now time.Time) {
	switch {
	case u.waiting == 0:
		u.waitingSince = time.Time{}
	case u.waitingSince.IsZero():
		u.waitingSince = now
	}
}

// urgency returns the urgency of the waiting requests.
func (u *usage) urgency(now time.Time) urgency {
	d := u.deadlines(now)
	out := urgency{rank: u.rank(), nextDue: d.nextDue}
	if u.waiting > 0 {
		out.overdueAt = overdueAt(u.waitingSince, u.objective, d)
	}
	return out
}

// rank returns the most urgent rank of the waiting requests, or 0 if none waits.
func (u *usage) rank() int {
	rank, waits := 0, false
	for _, r := range u.nodes {
		if r.Waiting > 0 && (!waits || r.Rank < rank) {
			rank, waits = r.Rank, true
		}
	}
	return rank
}

// overdueAt returns when requests that wait since a time are overdue. Without an objective their next deadline counts.
func overdueAt(since time.Time, objective time.Duration, d deadlines) time.Time {
	if objective <= 0 {
		objective = max(0, d.nextDue.Sub(since))
	}
	return queue.OverdueAt(since, objective)
}

// urgency returns the urgency of the requests that wait for the model.
func (m *modelState) urgency() urgency {
	u := urgency{rank: m.rank, nextDue: m.nextDue}
	if m.waiting > 0 {
		u.overdueAt = overdueAt(m.waitingSince, m.objective, m.deadlines)
	}
	return u
}
