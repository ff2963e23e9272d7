// Package queue implements the queue of requests that wait for an endpoint: fair between callers, by deadline
// within a caller, and bounded in items and memory.
//
// A large batch of one caller must not starve a single interactive request of another one. Between callers the
// queue uses start-time fair queueing. Each caller has a virtual time that grows by the cost of the items that
// were served to it. The caller with the least virtual time goes next, and among equals the one with the
// earliest deadline. Within a caller the earliest deadline goes first. A caller that comes back after a pause
// starts at the current virtual time of the queue, so that it neither pays for its earlier work nor saves up
// credit.
//
// A [Queue] is not safe for concurrent use; its owner holds a lock.
package queue

import (
	"container/heap"
	"time"
)

// Item is one waiting request.
type Item struct {
	// Caller identifies the flow to which the item's cost is charged.
	Caller string
	// Deadline is the time by which the item must have left the queue.
	Deadline time.Time
	// Cost is the cost of serving the item, in a unit that all items share. Values below 1 count as 1.
	Cost float64
	// Bytes is the memory that the item uses while it waits.
	Bytes int64
	// Value is for the owner of the queue, which does not read it.
	Value any

	index int
	flow  *flow
	seq   uint64
}

// Limits bounds the size of a queue.
type Limits struct {
	// Items is the maximum number of waiting items.
	Items int
	// Bytes is the maximum memory of all waiting items.
	Bytes int64
}

// Queue is a fair queue of items with deadlines.
type Queue struct {
	limits Limits
	flows  map[string]*flow
	active flowHeap
	// now is the current virtual time: the start tag of the item served last.
	now   float64
	items int
	bytes int64
	seq   uint64
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, flows: make(map[string]*flow)}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.items }

// Bytes returns the memory of the waiting items, in bytes.
func (q *Queue) Bytes() int64 { return q.bytes }

// Push adds an item. It reports false if that would exceed the limits.
func (q *Queue) Push(it *Item) bool {
	if q.items+1 > q.limits.Items || q.bytes+it.Bytes > q.limits.Bytes {
		return false
	}
	f := q.flows[it.Caller]
	if f == nil {
		f = &flow{caller: it.Caller, index: -1}
		q.flows[it.Caller] = f
	}
	q.seq++
	it.seq = q.seq
	it.flow = f
	heap.Push(&f.items, it)
	q.items++
	q.bytes += it.Bytes
	if f.index < 0 {
		f.startTag = max(f.startTag, q.now)
		heap.Push(&q.active, f)
	} else {
		heap.Fix(&q.active, f.index)
	}
	return true
}

// Pop removes and returns the next item, or nil if none waits.
func (q *Queue) Pop() *Item {
	if len(q.active) == 0 {
		return nil
	}
	f := q.active[0]
	it := f.items[0]
	q.now = f.startTag
	f.startTag += max(1, it.Cost)
	q.remove(it)
	return it
}

// Peek returns the next item without removing it, or nil if none waits.
func (q *Queue) Peek() *Item {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].items[0]
}

// Remove removes an item from any position. It reports false if the item is no longer in the queue.
func (q *Queue) Remove(it *Item) bool {
	if it.flow == nil {
		return false
	}
	q.remove(it)
	return true
}

// Items returns the waiting items in no particular order.
func (q *Queue) Items() []*Item {
	out := make([]*Item, 0, q.items)
	for _, f := range q.active {
		out = append(out, f.items...)
	}
	return out
}

// Earliest returns the earliest deadline; ok is false if no item waits.
func (q *Queue) Earliest() (deadline time.Time, ok bool) {
	for _, f := range q.active {
		if d := f.items[0].Deadline; !ok || d.Before(deadline) {
			deadline, ok = d, true
		}
	}
	return deadline, ok
}

// Due returns the earliest deadline after now, or the earliest of all if none is after now, and the latest
// deadline of all; ok is false if no item waits.
func (q *Queue) Due(now time.Time) (next, last time.Time, ok bool) {
	for _, f := range q.active {
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

// Before reports whether deadline a goes before deadline b. Deadlines after now go before those that have passed.
func Before(a, b, now time.Time) bool {
	if past := !a.After(now); past != !b.After(now) {
		return !past
	}
	return a.Before(b)
}

// remove removes an item from its flow, and the flow from the active flows if it has no more items.
func (q *Queue) remove(it *Item) {
	f := it.flow
	heap.Remove(&f.items, it.index)
	it.flow = nil
	q.items--
	q.bytes -= it.Bytes
	if len(f.items) > 0 {
		heap.Fix(&q.active, f.index)
		return
	}
	heap.Remove(&q.active, f.index)
	f.index = -1
	if f.startTag <= q.now || q.items == 0 {
		// A flow that is not ahead of the virtual time has no state worth keeping.
		delete(q.flows, f.caller)
	}
	if q.items == 0 {
		// The queue is empty: every caller starts from zero again.
		clear(q.flows)
		q.now = 0
	}
}

// flow holds the waiting items of one caller.
type flow struct {
	caller string
	items  itemHeap
	// startTag is the start tag of the caller's next item, in virtual time.
	startTag float64
	index    int
}

type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].seq < h[j].seq
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}

type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	a, b := h[i].items, h[j].items
	if len(a) > 0 && len(b) > 0 && !a[0].Deadline.Equal(b[0].Deadline) {
		return a[0].Deadline.Before(b[0].Deadline)
	}
	return h[i].caller < h[j].caller
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
