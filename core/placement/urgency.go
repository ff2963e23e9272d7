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

// passes reports whether a load goes ahead of a more urgent one in a turn of overdue loads.
func (u urgency) passes(first urgency, now time.Time) bool {
	return u.rank > first.rank && !u.overdueAt.IsZero() && !now.Before(u.overdueAt)
}

// takeTurns moves overdue loads ahead of more urgent ones, in their turns. The loads are sorted by urgency. When more
// loads are wanted than the engines and the weight store allow, as when demand moves to many models at once, those of
// the most urgent requests go first, and others still get their part.
func takeTurns[L any](loads []L, t queue.Turns, now time.Time, urgencyOf func(L) urgency) {
	if !slices.ContainsFunc(loads, func(l L) bool { return urgencyOf(l).rank != 0 }) {
		return
	}
	for i := range loads {
		first := urgencyOf(loads[i])
		overdue := -1
		for j := i + 1; t.Due() && j < len(loads); j++ {
			u := urgencyOf(loads[j])
			if u.passes(first, now) && (overdue < 0 || u.overdueAt.Before(urgencyOf(loads[overdue]).overdueAt)) {
				overdue = j
			}
		}
		if overdue >= 0 {
			l := loads[overdue]
			loads = slices.Insert(slices.Delete(loads, overdue, overdue+1), i, l)
		}
		t.Served(overdue >= 0)
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

// overdueAt returns when requests that wait since a time are overdue. Without an objective their last deadline counts.
func overdueAt(since time.Time, objective time.Duration, d deadlines) time.Time {
	if objective <= 0 {
		objective = max(0, d.lastDue.Sub(since))
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

// countTurn records the turn of a load if orders were sent for it since there were sent actions. The first load of the
// plan in the order by rank is first.
func (g *planning) countTurn(t *queue.Turns, sent int, u, first urgency) {
	if len(g.actions) > sent {
		t.Served(u.passes(first, g.now))
	}
}
