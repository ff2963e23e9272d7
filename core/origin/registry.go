package origin

import (
	"container/heap"
	"time"
)

// Registry holds records of streams, up to a limit. It is not safe for concurrent use.
//
// A registry that is full drops, for each new record, the one that expires first of the owner that has the most. An owner
// that opens very many streams, or names very many ids, thus displaces its own records.
type Registry struct {
	limit   int
	records map[Key]*entry
	owners  map[Owner]*expiryHeap
	dropped int
}

// NewRegistry returns an empty registry for at most limit records.
func NewRegistry(limit int) *Registry {
	return &Registry{limit: limit, records: make(map[Key]*entry), owners: make(map[Owner]*expiryHeap)}
}

// Add adds a record, or extends the one with its key. A record of another origin under the same key makes both ambiguous.
func (r *Registry) Add(rec Record, now time.Time) {
	if !rec.Expires.After(now) {
		return
	}
	if latest := now.Add(MaxAge); rec.Expires.After(latest) {
		rec.Expires = latest
	}
	if old := r.records[rec.Key]; old != nil {
		old.Ambiguous = old.Ambiguous || rec.Ambiguous || old.Origin != rec.Origin
		if rec.Expires.After(old.Expires) {
			old.Expires = rec.Expires
			heap.Fix(r.owners[old.Owner], old.index)
		}
		return
	}
	if len(r.records) >= r.limit {
		if r.Expire(now); len(r.records) >= r.limit {
			r.dropOne()
		}
	}
	e := &entry{Record: rec}
	r.records[rec.Key] = e
	h := r.owners[rec.Owner]
	if h == nil {
		h = new(expiryHeap)
		r.owners[rec.Owner] = h
	}
	heap.Push(h, e)
}

// Find returns the record with a key that has not expired.
func (r *Registry) Find(k Key, now time.Time) (Record, bool) {
	if e := r.records[k]; e != nil && e.Expires.After(now) {
		return e.Record, true
	}
	return Record{}, false
}

// Records returns all records that have not expired, in no particular order.
func (r *Registry) Records(now time.Time) []Record {
	out := make([]Record, 0, len(r.records))
	for _, e := range r.records {
		if e.Expires.After(now) {
			out = append(out, e.Record)
		}
	}
	return out
}

// Expire drops the records that have expired.
func (r *Registry) Expire(now time.Time) {
	for owner, h := range r.owners {
		for h.Len() > 0 && !(*h)[0].Expires.After(now) {
			r.dropFirst(owner, h)
		}
	}
}

// Len returns the number of records, and Dropped how many were dropped because the registry was full.
func (r *Registry) Len() int     { return len(r.records) }
func (r *Registry) Dropped() int { return r.dropped }

// dropOne drops the record that expires first of the owner with the most records.
func (r *Registry) dropOne() {
	var owner Owner
	var most *expiryHeap
	for o, h := range r.owners {
		if most == nil || h.Len() > most.Len() || h.Len() == most.Len() && o < owner {
			owner, most = o, h
		}
	}
	if most != nil {
		r.dropFirst(owner, most)
		r.dropped++
	}
}

// dropFirst drops the record of an owner that expires first.
func (r *Registry) dropFirst(owner Owner, h *expiryHeap) {
	e := heap.Pop(h).(*entry)
	delete(r.records, e.Key)
	if h.Len() == 0 {
		delete(r.owners, owner)
	}
}

// entry is a record with its index in the heap of its owner.
type entry struct {
	Record
	index int
}

// expiryHeap is a [heap.Interface] of entries, the one that expires first on top.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].Expires.Before(h[j].Expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements [heap.Interface].
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements [heap.Interface].
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
