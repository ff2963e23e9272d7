// Package queue holds the requests that wait for an endpoint.
//
// The problem: a museum's night batch must not starve a clerk at the counter,
// the most urgent request of a caller goes first, and memory stays bounded
// while thousands wait. The model: start-time fair queueing between callers,
// earliest deadline first within a caller. Each caller has a virtual time that
// grows by the cost of what it was given; the caller that was given least goes
// next, and among equals the one with the most urgent request. A caller that
// comes back after a pause starts at the time of those waiting, so that it
// neither owes for old work nor saves up credit.
//
// A queue is not safe for concurrent use; its owner locks.
package queue

import (
	"container/heap"
	"time"
)

// Item is one waiting request.
type Item struct {
	// Caller is whom the item is accounted to.
	Caller string
	// Deadline is when the item must have left.
	Deadline time.Time
	// Cost is what serving the item takes, in any unit that all items share; at least 1.
	Cost float64
	// Bytes is the memory the item holds while it waits.
	Bytes int64
	// Value is the owner's own.
	Value any

	index int
	flow  *flow
	order uint64
}

// Limits bounds a queue.
type Limits struct {
	// Items bounds how many wait.
	Items int
	// Bytes bounds the memory of those waiting.
	Bytes int64
}

// Queue is a fair queue with deadlines.
type Queue struct {
	limits Limits
	flows  map[string]*flow
	active flowHeap
	// now is the virtual time: the start tag of the caller served last.
	now   float64
	items int
	bytes int64
	order uint64
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, flows: make(map[string]*flow)}
}

// Len returns how many items wait.
func (q *Queue) Len() int { return q.items }

// Bytes returns the memory of the waiting items.
func (q *Queue) Bytes() int64 { return q.bytes }

// Push adds an item, or reports false when the queue is full.
func (q *Queue) Push(it *Item) bool {
	if q.items+1 > q.limits.Items || q.bytes+it.Bytes > q.limits.Bytes {
		return false
	}
	f := q.flows[it.Caller]
	if f == nil {
		f = &flow{caller: it.Caller, index: -1}
		q.flows[it.Caller] = f
	}
	q.order++
	it.order = q.order
	it.flow = f
	heap.Push(&f.items, it)
	q.items++
	q.bytes += it.Bytes
	if f.index < 0 {
		f.tag = max(f.tag, q.now)
		heap.Push(&q.active, f)
	} else {
		heap.Fix(&q.active, f.index)
	}
	return true
}

// Pop takes the item that goes next, or nil.
func (q *Queue) Pop() *Item {
	if len(q.active) == 0 {
		return nil
	}
	f := q.active[0]
	it := f.items[0]
	q.now = f.tag
	f.tag += max(1, it.Cost)
	q.take(it)
	return it
}

// Peek returns the item that goes next without taking it, or nil.
func (q *Queue) Peek() *Item {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].items[0]
}

// Remove takes an item out wherever it stands; it reports false when the item
// has left already.
func (q *Queue) Remove(it *Item) bool {
	if it.flow == nil {
		return false
	}
	q.take(it)
	return true
}

// Items returns the waiting items in no order.
func (q *Queue) Items() []*Item {
	out := make([]*Item, 0, q.items)
	for _, f := range q.active {
		out = append(out, f.items...)
	}
	return out
}

// Earliest returns the most urgent deadline; ok is false when none waits.
func (q *Queue) Earliest() (deadline time.Time, ok bool) {
	for _, f := range q.active {
		if d := f.items[0].Deadline; !ok || d.Before(deadline) {
			deadline, ok = d, true
		}
	}
	return deadline, ok
}

// Due returns the first deadline after now, or the earliest one if all are past, and
// the last deadline; ok is false when none waits.
func (q *Queue) Due(now time.Time) (next, last time.Time, ok bool) {
	for _, f := range q.active {
		for _, it := range f.items {
			d := it.Deadline
			if !ok || Sooner(d, next, now) {
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

// Sooner reports whether deadline a goes before b: those that are not past go first.
func Sooner(a, b, now time.Time) bool {
	if past := !a.After(now); past != !b.After(now) {
		return !past
	}
	return a.Before(b)
}

// take removes the item from its flow and the flow from the queue if idle.
func (q *Queue) take(it *Item) {
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
	if f.tag <= q.now || q.items == 0 {
		// A flow that is not ahead of the others has nothing to remember.
		delete(q.flows, f.caller)
	}
	if q.items == 0 {
		// Nobody waits: all start anew.
		clear(q.flows)
		q.now = 0
	}
}

// flow is the waiting work of one caller.
type flow struct {
	caller string
	items  itemHeap
	// tag is the virtual start time of the caller's next item.
	tag   float64
	index int
}

type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].order < h[j].order
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
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
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
