// Package queue implements the queue of requests that wait for an endpoint: ordered by rank, fair between the callers
// of one rank, by deadline within a caller, and bounded in items and memory.
//
// The most urgent rank goes first. An item that has waited for half of the time until its deadline is overdue. Its rank
// then goes ahead of more urgent items that came after it, in one of a few turns, so that nothing starves, and yet a
// surplus of less urgent items cannot displace urgent ones; see [Turns].
//
// A large batch of one caller must not starve a single interactive request of another one. Between callers of one rank
// the queue uses start-time fair queueing. Each caller has a virtual time that grows by the cost of the items that
// were served to it. The caller with the least virtual time goes next, and among equals the one with the
// earliest deadline. Within a caller the earliest deadline goes first. A caller that comes back after a pause
// starts at the current virtual time of the queue, so that it neither pays for its earlier work nor saves up
// credit.
//
// When a queue is longer than the objectives of its items, the earliest deadline first makes nearly all of them late.
// Items may therefore go after others of their rank once they are late, see [Item.LateLast]. The turns of overdue items
// are theirs then.
//
// A [Queue] is not safe for concurrent use; its owner holds a lock.
package queue

import (
	"cmp"
	"slices"
	"time"
)

// Item is one waiting request.
type Item struct {
	// Caller identifies the flow to which the item's cost is charged.
	Caller string
	// Rank orders items before all else; 0 is the most urgent. A queue holds few different ranks.
	Rank int
	// Arrived is when the item began to wait. It matters only where ranks differ.
	Arrived time.Time
	// Deadline is the time by which the item must have left the queue.
	Deadline time.Time
	// GivesUpAt is when its caller gives up, if that can be before the deadline; zero otherwise.
	GivesUpAt time.Time
	// Keep is true for an item that does not leave for a more urgent one.
	Keep bool
	// LateLast is true if the item goes after others of its rank once its deadline has passed, since these can still be in
	// time. Otherwise the earliest deadline goes first, also when it has passed.
	LateLast bool
	// Cost is the cost of serving the item, in a unit that all items share. Values below 1 count as 1.
	Cost float64
	// Bytes is the memory that the item uses while it waits.
	Bytes int64
	// Value is for the owner of the queue, which does not read it.
	Value any

	// index is the position in the heap of the flow, and overdueIndex that in the heap of the class.
	index, overdueIndex int
	flow                *flow
	fair                *fairQueue
	class               *class
	seq                 uint64
	// older and younger are the neighbours by arrival in the class, among those that may leave for more urgent ones.
	older, younger *Item
}

// cost returns Cost, at least 1.
func (it *Item) cost() float64 { return max(1, it.Cost) }

// Limits bounds the size of a queue.
type Limits struct {
	// Items is the maximum number of waiting items.
	Items int
	// Bytes is the maximum memory of all waiting items.
	Bytes int64
}

// Queue is a fair queue of items with ranks and deadlines.
type Queue struct {
	limits Limits
	// classes holds the items by rank, the most urgent first. A class stays when it has no more items.
	classes []*class
	items   int
	bytes   int64
	seq     uint64
	turns   Turns
}

// New returns an empty queue.
func New(limits Limits) *Queue { return &Queue{limits: limits} }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.items }

// Bytes returns the memory of the waiting items, in bytes.
func (q *Queue) Bytes() int64 { return q.bytes }

// Push adds an item. It reports false if that would exceed the limits.
func (q *Queue) Push(it *Item) bool {
	if q.items+1 > q.limits.Items || q.bytes+it.Bytes > q.limits.Bytes {
		return false
	}
	q.seq++
	it.seq = q.seq
	q.class(it.Rank).push(it)
	q.items++
	q.bytes += it.Bytes
	return true
}

// PushOver is like Push, but an item for which there is no room takes that of less urgent items: those of the least
// urgent rank leave first, and the youngest of a rank, but none that is to be kept. It returns the items that left. If
// they would not make enough room, none leaves.
func (q *Queue) PushOver(it *Item) (left []*Item, ok bool) {
	items, bytes := q.items+1-q.limits.Items, q.bytes+it.Bytes-q.limits.Bytes
	lessUrgentItems, lessUrgentBytes := 0, int64(0)
	for _, c := range q.classes {
		if c.rank > it.Rank {
			lessUrgentItems += c.mayLeave
			lessUrgentBytes += c.mayLeaveBytes
		}
	}
	if items > lessUrgentItems || bytes > lessUrgentBytes {
		return nil, false
	}
	for i := len(q.classes) - 1; items > 0 || bytes > 0; {
		youngest := q.classes[i].youngest
		if youngest == nil {
			i--
			continue
		}
		items, bytes = items-1, bytes-youngest.Bytes
		q.remove(youngest)
		left = append(left, youngest)
	}
	return left, q.Push(it)
}

// class returns the class of a rank and creates it on first use.
func (q *Queue) class(rank int) *class {
	i, ok := slices.BinarySearchFunc(q.classes, rank, func(c *class, rank int) int { return cmp.Compare(c.rank, rank) })
	if !ok {
		q.classes = slices.Insert(q.classes, i, &class{rank: rank})
	}
	return q.classes[i]
}

// Pop removes and returns the item that goes next at now, or nil if none waits.
func (q *Queue) Pop(now time.Time) *Item {
	it, overdue := q.next(now)
	if it == nil {
		return nil
	}
	q.turns.Served(overdue)
	it.fair.serve(it)
	q.remove(it)
	return it
}

// Peek returns the item that goes next at now without removing it, or nil if none waits.
func (q *Queue) Peek(now time.Time) *Item {
	it, _ := q.next(now)
	return it
}

// First returns the item that goes first at now whatever turns overdue items have, or nil if none waits.
func (q *Queue) First(now time.Time) *Item {
	for _, c := range q.classes {
		if c.items > 0 {
			return c.first(now)
		}
	}
	return nil
}

// next returns the item that goes next at now, and whether it goes in a turn of overdue items.
func (q *Queue) next(now time.Time) (it *Item, overdue bool) {
	first := q.First(now)
	if first == nil || !q.turns.Due() {
		return first, false
	}
	var owed *Item
	for _, c := range q.classes {
		if c.items == 0 {
			continue
		}
		if o := c.overdue[0]; o.Passes(first, now) && (owed == nil || o.OverdueAt().Before(owed.OverdueAt())) {
			owed = o
		}
	}
	if owed != nil {
		return owed.class.firstOverdue(owed, now), true
	}
	return first, false
}

// Remove removes an item from any position. It reports false if the item is no longer in the queue.
func (q *Queue) Remove(it *Item) bool {
	if it.flow == nil {
		return false
	}
	q.remove(it)
	return true
}

// remove removes an item that is in the queue.
func (q *Queue) remove(it *Item) {
	it.class.remove(it)
	q.items--
	q.bytes -= it.Bytes
}

// Items returns the waiting items in the order in which they go if no other comes and none is overdue. Which of them are
// late is known as of the last call of Pop or Peek.
func (q *Queue) Items() []*Item {
	out := make([]*Item, 0, q.items)
	for _, c := range q.classes {
		out = c.late.appendItems(c.inTime.appendItems(out))
	}
	return out
}

// MostUrgent returns the most urgent rank of the waiting items; 0 if none waits.
func (q *Queue) MostUrgent() int {
	for _, c := range q.classes {
		if c.items > 0 {
			return c.rank
		}
	}
	return 0
}

// Earliest returns the earliest deadline; ok is false if no item waits.
func (q *Queue) Earliest() (deadline time.Time, ok bool) {
	for f := range q.waitingFlows {
		if d := f.items[0].Deadline; !ok || d.Before(deadline) {
			deadline, ok = d, true
		}
	}
	return deadline, ok
}

// Due returns the earliest deadline after now, or the earliest of all if none is after now, and the latest
// deadline of all; ok is false if no item waits.
func (q *Queue) Due(now time.Time) (next, last time.Time, ok bool) {
	for f := range q.waitingFlows {
		for _, it := range f.items {
			d := it.Deadline
			if !ok || Before(d, next, now) {
				next = d
			}
			if d.After(last) {
				last = d
			}
			ok = true
		}
	}
	return next, last, ok
}

// waitingFlows iterates over the flows that have waiting items.
func (q *Queue) waitingFlows(yield func(*flow) bool) {
	for _, c := range q.classes {
		for _, active := range []flowHeap{c.inTime.active, c.late.active} {
			for _, f := range active {
				if !yield(f) {
					return
				}
			}
		}
	}
}

// Before reports whether deadline a goes before deadline b. Deadlines after now go before those that have passed.
func Before(a, b, now time.Time) bool {
	if past := !a.After(now); past != !b.After(now) {
		return !past
	}
	return a.Before(b)
}
