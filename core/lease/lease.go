package lease

import (
	"time"

	"github.com/google/uuid"
)

// Times of the lease. Engines tolerate a change of holder after the platform's
// lease bound (3 s on the deployments known); the sum of TTL and the store's
// answer time stays near it.
const (
	// TTL is how long after the latest renewal that it read a node may take over.
	TTL = 2500 * time.Millisecond
	// Margin is how much earlier the holder stops ordering.
	Margin = 700 * time.Millisecond
	// RenewEvery is the time between two renewals.
	RenewEvery = 600 * time.Millisecond
)

// Record is one record of the lease's topic.
type Record struct {
	// Holder is the node's name.
	Holder string `json:"holder"`
	// Life tells one life of the process from the next.
	Life string `json:"life"`
	// Address is where the holder takes the other nodes' reports.
	Address string `json:"address"`
	// Release is true when the holder gives the lease up.
	Release bool `json:"release,omitempty"`
}

// Lease is one node's knowledge of the lease. It is not safe for concurrent use.
type Lease struct {
	self  Record
	delay time.Duration
	// freeSince is when the topic was first read to its end without a holder.
	freeSince time.Time
	// end is the offset after the latest record read.
	end uint64
	// holder is the latest holder; zero when the lease is free.
	holder Record
	// fence is 1 + the offset of the holder's takeover record.
	fence uint64
	// seenAt is when the latest record of the holder was read here.
	seenAt time.Time
	// until is when this node must stop ordering; zero when it never held.
	until time.Time
	// sentAt is when the append in flight was sent; zero when there is none.
	sentAt time.Time
	// caughtUp is set once the topic was read to its end.
	caughtUp bool
}

// New returns the knowledge of a node that has read nothing. The node waits for
// delay longer than it must before it takes over.
func New(self Record, delay time.Duration) *Lease { return &Lease{self: self, delay: delay} }

// Fold takes one record in. Records at offsets already folded are passed over.
func (l *Lease) Fold(offset uint64, r Record, now time.Time) {
	if offset < l.end {
		return
	}
	l.end = offset + 1
	same := r.Holder == l.holder.Holder && r.Life == l.holder.Life
	switch {
	case r.Release && same:
		l.holder, l.until = Record{}, time.Time{}
	case r.Release:
		// A release by a former holder changes nothing.
	case same:
		l.seenAt = now
	default:
		l.holder, l.fence, l.seenAt = r, offset+1, now
	}
	if !l.mine() {
		l.until = time.Time{}
	}
}

// CaughtUp notes that the topic was read up to its end. Records may be missing
// before it where the platform dropped its history.
func (l *Lease) CaughtUp(end uint64) {
	l.end = max(l.end, end)
	l.caughtUp = true
}

// End returns the offset to read from, and to append at.
func (l *Lease) End() uint64 { return l.end }

// Holder returns the latest holder known, and its fencing number.
func (l *Lease) Holder() (Record, uint64) { return l.holder, l.fence }

// mine reports whether the latest holder is this life of this node.
func (l *Lease) mine() bool {
	return l.holder.Holder == l.self.Holder && l.holder.Life == l.self.Life
}

// Held reports whether this node may order engines now, and under which fence.
func (l *Lease) Held(now time.Time) (fence uint64, ok bool) {
	return l.fence, l.mine() && now.Before(l.until)
}

// Until returns when this node must stop ordering; zero when it does not hold the
// lease.
func (l *Lease) Until() time.Time { return l.until }

// Wants reports whether this node should append now: a renewal of its own lease
// or a takeover of a free or silent one.
func (l *Lease) Wants(now time.Time) bool {
	switch {
	case !l.caughtUp || !l.sentAt.IsZero():
		return false
	case l.mine():
		return now.Sub(l.seenAt) >= RenewEvery
	}
	if l.holder.Holder == "" {
		if l.freeSince.IsZero() {
			l.freeSince = now
		}
		return now.Sub(l.freeSince) >= l.delay
	}
	l.freeSince = time.Time{}
	return now.Sub(l.seenAt) >= TTL+l.delay
}

// Begin notes that an append is being sent at the end known, and returns the
// record to append.
func (l *Lease) Begin(now time.Time) Record {
	l.sentAt = now
	return l.self
}

// Appended notes that the append in flight was acknowledged at an offset.
func (l *Lease) Appended(offset uint64, now time.Time) {
	sent := l.sentAt
	l.sentAt = time.Time{}
	l.Fold(offset, l.self, now)
	if l.mine() {
		l.until = sent.Add(TTL - Margin)
	}
}

// Failed notes that the append in flight was refused, or that no answer came. It
// may still be carried out: the record is then read like any other, and gives no
// right to order until a renewal is acknowledged.
func (l *Lease) Failed() { l.sentAt = time.Time{} }

// Releasing returns the record that gives the lease up; ok is false when this
// node does not hold it. From here on it does not order any more.
func (l *Lease) Releasing() (r Record, ok bool) {
	if !l.mine() {
		return Record{}, false
	}
	l.until = time.Time{}
	r = l.self
	r.Release = true
	return r, true
}

// NewLife returns a name that tells this life of a node's process from others.
func NewLife(node string) string {
	return node + "-" + uuid.NewString()
}
