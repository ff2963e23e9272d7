package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"
)

// class holds the waiting items of one rank.
type class struct {
	rank int
	// late holds the items of which it was found that they can no longer be in time, and inTime the others.
	inTime, late fairQueue
	items        int
	// mayLeave is the number of the items that may leave for more urgent ones, and mayLeaveBytes their memory.
	mayLeave      int
	mayLeaveBytes int64
	// overdue holds all items by the time from which they are overdue.
	overdue overdueHeap
	// youngest is the item pushed last of those that may leave; the others follow by Item.older.
	youngest *Item
}

// first returns the item that goes first in a class that is not empty.
func (c *class) first(now time.Time) *Item {
	for c.inTime.items > 0 {
		it := c.inTime.first()
		if !it.late(now) {
			return it
		}
		c.makeLate(it)
	}
	return c.late.first()
}

// firstOverdue returns the item that goes first in a turn of overdue items: a late one, if there is one. oldest is the
// item that has been overdue longest.
func (c *class) firstOverdue(oldest *Item, now time.Time) *Item {
	if oldest.fair == &c.inTime && oldest.late(now) {
		c.makeLate(oldest)
	}
	if c.late.items > 0 {
		return c.late.first()
	}
	return c.inTime.first()
}

// makeLate moves an item to the late ones.
func (c *class) makeLate(it *Item) {
	c.inTime.remove(it)
	c.late.push(it)
}

// push adds an item.
func (c *class) push(it *Item) {
	it.class = c
	c.inTime.push(it)
	heap.Push(&c.overdue, it)
	c.items++
	if it.Keep {
		return
	}
	c.mayLeave++
	c.mayLeaveBytes += it.Bytes
	if it.older = c.youngest; it.older != nil {
		it.older.younger = it
	}
	c.youngest = it
}

// remove removes an item.
func (c *class) remove(it *Item) {
	it.fair.remove(it)
	heap.Remove(&c.overdue, it.overdueIndex)
	it.class = nil
	c.items--
	if it.Keep {
		return
	}
	c.unlink(it)
	c.mayLeave--
	c.mayLeaveBytes -= it.Bytes
}

// unlink removes an item from the list by arrival.
func (c *class) unlink(it *Item) {
	if it.younger != nil {
		it.younger.older = it.older
	} else {
		c.youngest = it.older
	}
	if it.older != nil {
		it.older.younger = it.younger
	}
	it.older, it.younger = nil, nil
}

// overdueBy counts the items that are overdue at now.
func (c *class) overdueBy(now time.Time) int {
	return c.count(func(it *Item) bool { return it.overdueBy(now) })
}

// lateBy counts the items that are late at now.
func (c *class) lateBy(now time.Time) int {
	return c.count(func(it *Item) bool { return it.late(now) })
}

func (c *class) count(is func(*Item) bool) int {
	n := 0
	for _, it := range c.overdue {
		if is(it) {
			n++
		}
	}
	return n
}

// fairQueue is a fair queue between callers.
type fairQueue struct {
	flows  map[string]*flow
	active flowHeap
	items  int
	// now is the current virtual time: the start tag of the item served last.
	now float64
}

// first returns the item that goes first; the queue must not be empty.
func (q *fairQueue) first() *Item { return q.active[0].items[0] }

// push adds an item.
func (q *fairQueue) push(it *Item) {
	f := q.flows[it.Caller]
	if f == nil {
		f = &flow{caller: it.Caller, index: -1}
		if q.flows == nil {
			q.flows = make(map[string]*flow)
		}
		q.flows[it.Caller] = f
	}
	it.flow, it.fair = f, q
	heap.Push(&f.items, it)
	q.items++
	if f.index < 0 {
		f.startTag = max(f.startTag, q.now)
		heap.Push(&q.active, f)
	} else {
		heap.Fix(&q.active, f.index)
	}
}

// serve charges an item that goes first to its caller.
func (q *fairQueue) serve(it *Item) {
	q.now = it.flow.startTag
	it.flow.startTag += it.cost()
}

// remove removes an item from its flow, and the flow from the active flows if it has no more items.
func (q *fairQueue) remove(it *Item) {
	f := it.flow
	heap.Remove(&f.items, it.index)
	it.flow, it.fair = nil, nil
	q.items--
	if len(f.items) > 0 {
		heap.Fix(&q.active, f.index)
		return
	}
	heap.Remove(&q.active, f.index)
	f.index = -1
	if f.startTag <= q.now {
		// A flow that is not ahead of the virtual time has no state worth keeping.
		delete(q.flows, f.caller)
	}
	if q.items == 0 {
		// No item waits: every caller starts from zero again.
		clear(q.flows)
		q.now = 0
	}
}

// appendItems appends the items in the order in which they go if no other comes.
func (q *fairQueue) appendItems(out []*Item) []*Item {
	type tagged struct {
		*Item
		startTag float64
	}
	items := make([]tagged, 0, q.items)
	for _, f := range q.active {
		tag := f.startTag
		for _, it := range slices.SortedFunc(slices.Values(f.items), (*Item).compare) {
			items = append(items, tagged{it, tag})
			tag += it.cost()
		}
	}
	slices.SortFunc(items, func(a, b tagged) int {
		return cmp.Or(cmp.Compare(a.startTag, b.startTag), a.Deadline.Compare(b.Deadline), strings.Compare(a.Caller, b.Caller), cmp.Compare(a.seq, b.seq))
	})
	for _, it := range items {
		out = append(out, it.Item)
	}
	return out
}

// ahead counts the items that are in time at now and go before another one, which is not in the queue: those of its own
// caller, and those of others. Of each other caller it may miss one, where it depends on the deadline who goes first.
func (q *fairQueue) ahead(it *Item, now time.Time) (own, others int) {
	tag := q.now
	f := q.flows[it.Caller]
	if f != nil {
		tag = max(tag, f.startTag)
		for _, o := range f.items {
			if !o.Deadline.After(it.Deadline) && !o.late(now) {
				own++
				tag += o.cost()
			}
		}
	}
	for _, g := range q.active {
		if g == f {
			continue
		}
		theirs := g.startTag
		for _, o := range g.items {
			if theirs >= tag {
				break
			}
			if !o.late(now) {
				others++
				theirs += o.cost()
			}
		}
	}
	return own, others
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

func (h itemHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }

// compare orders the items of a flow by deadline, and then by arrival.
func (it *Item) compare(o *Item) int {
	return cmp.Or(it.Deadline.Compare(o.Deadline), cmp.Compare(it.seq, o.seq))
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

// overdueHeap orders the items of a class by OverdueAt, and then by arrival.
type overdueHeap []*Item

func (h overdueHeap) Len() int { return len(h) }

func (h overdueHeap) Less(i, j int) bool {
	return cmp.Or(h[i].OverdueAt().Compare(h[j].OverdueAt()), cmp.Compare(h[i].seq, h[j].seq)) < 0
}

func (h overdueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].overdueIndex, h[j].overdueIndex = i, j
}

func (h *overdueHeap) Push(x any) {
	it := x.(*Item)
	it.overdueIndex = len(*h)
	*h = append(*h, it)
}

func (h *overdueHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
