package queue

import (
	"fmt"
	"time"
)

// overdueDivisor is the part of the time until its deadline after which a waiting item is overdue: a half. The other
// half is left to serve it in time.
const overdueDivisor = 2

// OverdueAt returns when something that began to wait at since, and is of full use to its caller until the time
// limit has passed, stops yielding to all that is more urgent.
func OverdueAt(since time.Time, limit time.Duration) time.Time {
	return since.Add(limit / overdueDivisor)
}

// OverdueAt returns when the item stops yielding to all more urgent ones.
func (it *Item) OverdueAt() time.Time {
	until := it.Deadline
	if !it.GivesUpAt.IsZero() && it.GivesUpAt.Before(until) {
		until = it.GivesUpAt
	}
	return OverdueAt(it.Arrived, until.Sub(it.Arrived))
}

// overdueBy reports whether the item is overdue at now.
func (it *Item) overdueBy(now time.Time) bool { return !now.Before(it.OverdueAt()) }

// late reports whether the item goes after others of its rank at now.
func (it *Item) late(now time.Time) bool { return it.LateLast && !it.Deadline.After(now) }

// GoesBefore reports whether the item goes before another one of any caller by rank and deadline.
func (it *Item) GoesBefore(o *Item, now time.Time) bool {
	switch {
	case it.Rank != o.Rank:
		return it.Rank < o.Rank
	case it.late(now) != o.late(now):
		return o.late(now)
	}
	return it.Deadline.Before(o.Deadline)
}

// Passes reports whether the item goes in a turn of overdue items before the one that goes first otherwise: it is overdue,
// came before that, and would have to wait for it because of its rank or because it is late.
func (it *Item) Passes(first *Item, now time.Time) bool {
	yields := it.Rank > first.Rank || it.Rank == first.Rank && it.late(now) && !first.late(now)
	return yields && it.Arrived.Before(first.Arrived) && it.overdueBy(now)
}

// turnsBetweenOverdue is how many turns go by rank between two of overdue items. While there are enough urgent items that
// can be in time, they keep seven eighths of the capacity, however many others are overdue.
const turnsBetweenOverdue = 7

// Turns decides which turns go to overdue items in place of more urgent ones: the first, and then one in
// turnsBetweenOverdue+1. So an overdue item with n others before it is served within (n+1)*(turnsBetweenOverdue+1)
// turns, whatever more urgent items come after it. The zero value is ready to use.
type Turns struct {
	// left is the number of turns by rank until the next one of an overdue item.
	left int
}

// Due reports whether an overdue item may go next.
func (t *Turns) Due() bool { return t.left == 0 }

// Served records a turn. overdue is true if an item went ahead of a more urgent one because it was overdue.
func (t *Turns) Served(overdue bool) {
	if overdue {
		t.left = turnsBetweenOverdue
	} else if t.left > 0 {
		t.left--
	}
}

// Ahead counts the items that go before another one, by the reason.
type Ahead struct {
	// MoreUrgent have a more urgent rank. Callers are those of other callers that have been served less. Sooner are the
	// caller's own with an earlier deadline. Overdue are less urgent, or late, and have waited for long.
	MoreUrgent, Callers, Sooner, Overdue int
}

// Total returns the number of items.
func (a Ahead) Total() int { return a.MoreUrgent + a.Callers + a.Sooner + a.Overdue }

// String returns the counts by reason, for logs.
func (a Ahead) String() string {
	return fmt.Sprintf("moreUrgent=%d callers=%d sooner=%d overdue=%d", a.MoreUrgent, a.Callers, a.Sooner, a.Overdue)
}

// Ahead counts the waiting items that go before an item that is not in the queue, if no other comes. It may miss one of
// each other caller of the rank.
func (q *Queue) Ahead(it *Item, now time.Time) Ahead {
	var a Ahead
	overdue := 0
	for _, c := range q.classes {
		switch {
		case c.rank < it.Rank:
			a.MoreUrgent += c.items
		case c.rank == it.Rank:
			a.Sooner, a.Callers = c.inTime.ahead(it, now)
			overdue += c.lateBy(now)
		default:
			overdue += c.overdueBy(now)
		}
	}
	a.Overdue = min(overdue, a.Total()/turnsBetweenOverdue)
	return a
}
