package lease

import "time"

const (
	// DefaultBound is the bound of [Turns] where the platform states none; it is that of the known deployments.
	DefaultBound = 3 * time.Second
	// orderTransit is how long after it was sent an order without an answer may still arrive: connections to engines fail
	// when data is not acknowledged for two seconds.
	orderTransit = 2 * time.Second
	// minHistory is the number of records of the lease topic from which they cover the time for which an earlier process of
	// a node limits its orders.
	minHistory = int((orderTransit + DefaultBound) / RenewEvery)
	// turnMargin is added to the bound, for clocks that differ in rate or resolution.
	turnMargin = 50 * time.Millisecond
)

// Turns decides which engines this node may order, where engines check no fencing numbers: a node that has ordered an
// engine orders it again after another holder only when its earlier order is older than the platform's bound. Otherwise the
// orders of two holders alternate at the engine, although each held the lease when it sent them. A holder is a node, whatever
// process runs there. It is not safe for concurrent use.
type Turns struct {
	bound time.Duration
	// startedAt is when this process started. An earlier one of this node may have ordered any engine until then.
	startedAt time.Time
	// ordered holds this node's latest order of each engine. Those that limit nothing any more may be missing.
	ordered map[string]*ordered
	// sending is the number of orders whose call has not ended, and settledAt the latest time at which one whose call has
	// ended may still arrive.
	sending   int
	settledAt time.Time
}

// ordered is a node's latest order of an engine.
type ordered struct {
	// sentAt is when it was sent, and arrivedBy the latest time at which it or an earlier one may have arrived.
	sentAt, arrivedBy time.Time
	// sending is the number of orders whose call has not ended. They may arrive at any time.
	sending int
}

// NewTurns returns the state of a process that started at a time. A bound of 0 is that of a platform whose engines check
// fencing numbers; all engines may be ordered then.
func NewTurns(bound time.Duration, startedAt time.Time) *Turns {
	return &Turns{bound: bound, startedAt: startedAt, ordered: make(map[string]*ordered)}
}

// Sent records that an order of an engine is about to be sent.
func (t *Turns) Sent(engine string, now time.Time) {
	t.expire(now)
	o := t.ordered[engine]
	if o == nil {
		o = new(ordered)
		t.ordered[engine] = o
	}
	o.sentAt = now
	o.sending++
	t.sending++
}

// Ended records that the call of an order has ended. Answered is false if the order may still arrive.
func (t *Turns) Ended(engine string, answered bool, now time.Time) {
	o := t.ordered[engine]
	if o == nil || o.sending == 0 {
		return
	}
	o.sending--
	t.sending--
	o.arrivedBy = latest(o.arrivedBy, now)
	if !answered {
		o.arrivedBy = latest(o.arrivedBy, o.sentAt.Add(orderTransit))
		t.settledAt = latest(t.settledAt, o.arrivedBy)
	}
}

// Settled reports whether no order of this node can arrive after one of the next holder.
func (t *Turns) Settled(now time.Time) bool {
	return t.bound == 0 || t.sending == 0 && !now.Before(t.settledAt)
}

// expire forgets the orders that limit nothing any more.
func (t *Turns) expire(now time.Time) {
	for engine, o := range t.ordered {
		if o.sending == 0 && now.Sub(o.arrivedBy) >= t.bound+turnMargin {
			delete(t.ordered, engine)
		}
	}
}

// Limited reports whether another node has held the lease so recently that NotBefore may limit an engine.
func (t *Turns) Limited(l *Lease, now time.Time) bool {
	return t.bound > 0 && !l.otherAt.IsZero() && now.Sub(l.otherAt) < orderTransit+t.bound+turnMargin
}

// NotBefore returns the earliest time at which this node may order an engine; zero if it may at once.
func (t *Turns) NotBefore(l *Lease, engine string, now time.Time) time.Time {
	if !t.Limited(l, now) {
		return time.Time{}
	}
	var arrivedBy time.Time
	if l.heldEarlier {
		arrivedBy = t.startedAt.Add(orderTransit)
	}
	if o := t.ordered[engine]; o != nil {
		if o.sentAt.After(l.otherAt) {
			// No other node has held the lease since.
			return time.Time{}
		}
		arrivedBy = latest(arrivedBy, o.arrivedBy)
		if o.sending > 0 {
			arrivedBy = latest(arrivedBy, now)
		}
	}
	if at := arrivedBy.Add(t.bound + turnMargin); at.After(now) {
		return at
	}
	return time.Time{}
}

// Waiting returns how many engines this node may not order yet, of those that this process has ordered; one more if an
// earlier process may have ordered others.
func (t *Turns) Waiting(l *Lease, now time.Time) int {
	n := 0
	if !t.NotBefore(l, "", now).IsZero() {
		n++
	}
	for engine := range t.ordered {
		if !t.NotBefore(l, engine, now).IsZero() {
			n++
		}
	}
	return n
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
