package lease

import (
	"time"

	"github.com/google/uuid"

	"olivetiller/core/origin"
	"olivetiller/core/position"
)

// Durations of the lease. Engines tolerate a change of holder within the platform's lease bound (3 s
// on the known deployments); TTL plus the store's response time stays near that bound.
const (
	// TTL is how long after reading the latest renewal a node may take over.
	TTL = 2500 * time.Millisecond
	// Margin is how long before the end of TTL the holder stops sending orders.
	Margin = 700 * time.Millisecond
	// RenewEvery is the interval between two renewals.
	RenewEvery = 600 * time.Millisecond
	// urgentEvery is the least interval between two renewals of which the second has to change the ledger.
	urgentEvery = 50 * time.Millisecond
	// RetryEvery is the pause after a failed append. It limits the load on the store: refused appends
	// cost it as much as accepted ones.
	RetryEvery = 400 * time.Millisecond
	// ReadFresh is the maximum age of the latest complete read of the topic for a takeover.
	ReadFresh = 1500 * time.Millisecond
	// MaxOutage is how long after its lease expired a holder may continue while the store is
	// unreachable. Known outages last up to nine seconds.
	MaxOutage = 15 * time.Second
)

// FirstFence is the fencing number of the first takeover in a new log.
const FirstFence = 1

// Record is one record of the lease topic: a takeover, a renewal or a release.
type Record struct {
	// Holder is the name of the node that wrote the record.
	Holder string `json:"holder"`
	// Incarnation identifies the incarnation of the node's process; see [NewIncarnation].
	Incarnation string `json:"life"`
	// Address is where the holder accepts the reports of other nodes.
	Address string `json:"address"`
	// Release is true if the holder gives up the lease with this record.
	Release bool `json:"release,omitempty"`
	// Nodes are the names of all other nodes that may take the lease. It is nil if the holder does
	// not know all of them yet, or does not need them because engines check fencing numbers.
	Nodes []string `json:"nodes"`
	// Members is the number of nodes among which the holder divides customers' limits; 0 if the
	// record does not state it.
	Members int `json:"members,omitempty"`
	// Era is the store's era in which the record was sent. A record at a position of a later era was
	// copied there by a restore, or took effect late; it gives nobody the lease.
	Era uint64 `json:"era,omitempty"`
	// Returned is true if the holder may not order some engines yet because another node has held the lease since it
	// ordered them; see [Turns].
	Returned bool `json:"returned,omitempty"`
	// Ledger names the builds at which streams may have begun; nil if the holder keeps none.
	Ledger *origin.Ledger `json:"ledger,omitempty"`
}

// SameIncarnation reports whether two records were written by the same incarnation of the same node.
func (r Record) SameIncarnation(o Record) bool {
	return r.Holder == o.Holder && r.Incarnation == o.Incarnation
}

// Append is one append of a record to the lease topic. Its answer has to name it: what answers one append says nothing of
// another that is in flight.
type Append struct {
	Record Record
	// At is the position at which the topic has to end for the record to be added.
	At position.Position
	// sentAt is when the append was sent.
	sentAt time.Time
	// id numbers the appends of a node from 1; 0 is no append.
	id uint64
}

// Lease is one node's view of the lease, built from the records that it has read and the results of
// its own appends. It is not safe for concurrent use.
type Lease struct {
	self  Record
	delay time.Duration
	// successor is true if the holder has named this node its successor. Its first takeover needs no fresh
	// read of the topic: no other node tries at that time, and the append is refused if the holder
	// still renews.
	successor bool
	// refused is true if an append failed after the latest record was read.
	refused bool
	// freeSince is when this node first found the lease free after a complete read; zero if it is held.
	freeSince time.Time
	// end is the position after the latest record read.
	end position.Position
	// holder is the latest record of the current holder; zero if the lease is free.
	holder Record
	// former is the latest record of the previous holder; zero if none is known.
	former Record
	// formerAt is when this node read the record former.
	formerAt time.Time
	// latestPos is the position of the record holder.
	latestPos uint64
	// fence is the fencing number: 1 + the position of the holder's takeover record, or of its first record in a later
	// era.
	fence uint64
	// seenAt is when this node read the record holder.
	seenAt time.Time
	// until is when this node must stop sending orders; zero if it does not hold the lease.
	until time.Time
	// appends is the number of appends that this node has sent, inFlight the takeover or renewal whose answer is awaited, and
	// release the release whose answer is.
	appends           uint64
	inFlight, release Append
	// voidTo is the id up to which the answers to appends give no right to send orders, because this node has given the lease
	// up since it sent them, or has learned of another holder.
	voidTo uint64
	// releaseDue is true if this node has given the lease up and is to release it. releaseFailed is true from a failed
	// release until the topic is read again.
	releaseDue, releaseFailed bool
	// heldTo is the end of this node's term when it gave the lease up: no other node can have taken the lease before.
	heldTo time.Time
	// stopped is true if this node is about to end: it takes and renews the lease no more.
	stopped bool
	// readAt is when the topic was last read to its end; zero if it never was.
	readAt time.Time
	// retryAt is the earliest time for the next append after a failed one.
	retryAt time.Time
	// takeoverPending is set from a takeover's append until the topic is read again: until then the record may
	// already be on the log, or still be added to it.
	takeoverPending bool
	// eraSeenAt is when this node first saw the store's current era; eraWritten is true if a record that was
	// sent in that era has been read.
	eraSeenAt  time.Time
	eraWritten bool
	// fromEarlierEra is true if the holder is known only from a record of an earlier era.
	fromEarlierEra bool
	// heldUntil is the value that until had after the latest renewal. Unlike until it is also kept
	// while the store is unreachable; it is zero once another holder is known or an engine has refused
	// the fencing number.
	heldUntil time.Time
	// ledger is that of the latest record of this era that was read, whoever wrote it; nil if it had none. ledgerRead is
	// true if a record of this era was read.
	ledger     *origin.Ledger
	ledgerRead bool
	// urgent is true if the holder's next record must not wait for RenewEvery.
	urgent bool
	// lostAt is when this node found that the topic's latest records had been dropped; zero once it has read a record again.
	lostAt time.Time
	// otherAt is the latest time at which this node learned that another node held the lease, or that it may have held
	// it; zero if it never did. The other node has sent no order after this node took the lease again.
	otherAt time.Time
	// heldEarlier is true if an earlier incarnation of this node held the lease, or may have held it.
	heldEarlier bool
	// history is the number of records of the store's era that the first complete read of the topic returned, and incomplete
	// is true if there were records before them.
	history    int
	incomplete bool
}

// New returns the lease of a node that has read nothing yet. The node waits for delay in addition to
// the required time before it takes over, so that not all nodes try at once.
func New(self Record, delay time.Duration) *Lease { return &Lease{self: self, delay: delay} }

// SetSuccession sets whether the holder has named this node its successor, and the delay as in [New].
func (l *Lease) SetSuccession(successor bool, delay time.Duration) {
	l.successor, l.delay = successor, delay
}

// advance records that the topic was read up to a position, which may be the first one of a new era.
func (l *Lease) advance(p position.Position, now time.Time) {
	if p < l.end {
		return
	}
	if era := position.Era(p); l.eraSeenAt.IsZero() || era > position.Era(l.end) {
		if l.end == 0 {
			l.incomplete = l.incomplete || era > 0
		} else if !l.holds(now) {
			// The restore may have lost the records of other holders.
			l.otherAt, l.heldEarlier = now, true
		}
		// A takeover in an era without records waits for TTL from here.
		l.eraSeenAt, l.eraWritten = now, era == 0
		// A restore may have lost the latest ledgers.
		l.ledger, l.ledgerRead = nil, false
	}
	l.end = p
}

// Apply applies one record, read at a position. Records at positions that were already read are ignored.
func (l *Lease) Apply(offset uint64, r Record, now time.Time) {
	if offset < l.end {
		return
	}
	l.skipped(offset, now)
	l.advance(offset+1, now)
	l.refused, l.lostAt = false, time.Time{}
	if r.Era != position.Era(offset) {
		l.applyEarlierEra(r, now)
		return
	}
	l.eraWritten = true
	l.ledger, l.ledgerRead = r.Ledger, true
	same := r.SameIncarnation(l.holder)
	first := l.readAt.IsZero()
	if first {
		l.history++
	}
	if same || !r.Release || first {
		l.noteHolder(r, now)
	}
	switch {
	case r.Release && same:
		l.retire()
		// A former holder also waits for its full delay before it takes the free lease again.
		l.holder, l.freeSince = Record{}, time.Time{}
	case r.Release:
		// A release by a previous holder changes nothing.
	case same && !l.fromEarlierEra && position.Era(l.fence-1) == position.Era(offset):
		l.holder, l.latestPos, l.seenAt = r, offset, now
	default:
		// The first renewal in an era counts as a takeover: the restore may have lost the takeover of another node, with
		// a higher fencing number than that of an earlier era.
		if !same {
			l.retire()
		}
		l.holder, l.latestPos, l.fence, l.seenAt, l.fromEarlierEra = r, offset, offset+1, now, false
	}
	l.releaseFailed = false
	if !l.heldBySelf() {
		l.loseRight()
		l.releaseDue = false
	}
}

// applyEarlierEra applies a record of an earlier era. A node that remembers a current or previous holder ignores
// it; to other nodes it shows which node may still be sending orders.
func (l *Lease) applyEarlierEra(r Record, now time.Time) {
	switch {
	case l.holder.Holder == "" && l.former.Holder == "" && !r.Release, l.fromEarlierEra && !r.Release:
		l.holder, l.seenAt, l.fromEarlierEra = r, now, true
		l.noteHolder(r, now)
	case l.fromEarlierEra && r.SameIncarnation(l.holder):
		l.holder, l.fromEarlierEra = Record{}, false
	}
}

// skipped records that this node continues at a position. The records before it that it has not read may be those of any
// holder: the store has dropped them, or they were not relayed or could not be decoded.
func (l *Lease) skipped(to position.Position, now time.Time) {
	switch {
	case l.end == 0:
		l.incomplete = to > 0
	case to > l.end && position.Era(to) == position.Era(l.end) && !l.holds(now):
		l.otherAt, l.heldEarlier = now, true
		if l.heldBySelf() {
			l.forgetHolder()
		}
	}
}

// lost records that the latest records of the topic were dropped before this node has read them: whoever wrote them may hold
// the lease.
func (l *Lease) lost(now time.Time) {
	if !l.holds(now) {
		l.forgetHolder()
		l.freeSince, l.lostAt, l.otherAt, l.heldEarlier = time.Time{}, now, now, true
	}
}

// holds reports whether this node has held the lease all the while, so that no other node can have taken it.
func (l *Lease) holds(now time.Time) bool { return l.heldBySelf() && now.Before(l.until) }

// forgetHolder records that the current holder is not known any more.
func (l *Lease) forgetHolder() {
	l.retire()
	l.holder, l.releaseDue = Record{}, false
	l.loseRight()
}

// loseRight ends this node's right to send orders. No answer to an append that was sent before gives it back.
func (l *Lease) loseRight() {
	l.until, l.heldUntil, l.voidTo = time.Time{}, time.Time{}, l.appends
}

// noteHistory records what the first complete read of the topic leaves open.
func (l *Lease) noteHistory(now time.Time) {
	if l.history >= minHistory || !l.incomplete {
		return
	}
	// The store has dropped records a short time ago, or a restore has lost them.
	l.heldEarlier = true
	if position.Era(l.end) > 0 {
		l.otherAt = now
	}
}

// noteHolder records that the writer of a record holds the lease, or held it until now.
func (l *Lease) noteHolder(r Record, now time.Time) {
	switch {
	case r.Holder != l.self.Holder:
		l.otherAt = now
	case r.Incarnation != l.self.Incarnation:
		l.heldEarlier = true
		switch {
		case r.Returned:
			l.otherAt = now
		case l.readAt.IsZero():
			// The other holders of the topic's history have ordered before.
			l.otherAt = time.Time{}
		}
	}
}

// retire moves the current holder, if there is one, to former.
func (l *Lease) retire() {
	if l.holder.Holder != "" {
		l.former, l.formerAt = l.holder, l.seenAt
	}
}

// CaughtUp records that the topic was read to its end, a position. Records before it may be missing
// if the platform has truncated the topic.
func (l *Lease) CaughtUp(end uint64, now time.Time) {
	l.skipped(end, now)
	if end > l.end && position.Era(end) == position.Era(l.end) {
		l.lost(now)
	}
	l.advance(end, now)
	if l.readAt.IsZero() {
		l.noteHistory(now)
	}
	l.readAt, l.takeoverPending, l.releaseFailed = now, false, false
}

// TakeoverPending reports whether a takeover by this node may still take effect although it was not acknowledged.
func (l *Lease) TakeoverPending() bool { return l.takeoverPending }

// End returns the position to read from and to append at.
func (l *Lease) End() uint64 { return l.end }

// Holder returns the latest record of the current holder, zero if there is none, and its fencing number.
func (l *Lease) Holder() (Record, uint64) { return l.holder, l.fence }

// Former returns the latest record of the previous holder and when it was read; zero if none is known.
func (l *Lease) Former() (r Record, at time.Time) { return l.former, l.formerAt }

// Latest returns the latest record of the current holder and its position; ok is false if no holder
// is known.
func (l *Lease) Latest() (r Record, offset uint64, ok bool) {
	return l.holder, l.latestPos, l.holder.Holder != ""
}

// heldBySelf reports whether the current holder is this incarnation of this node.
func (l *Lease) heldBySelf() bool {
	return l.holder.SameIncarnation(l.self)
}

// Held reports whether this node may send orders to engines now, and under which fencing number.
func (l *Lease) Held(now time.Time) (fence uint64, ok bool) {
	return l.fence, l.heldBySelf() && now.Before(l.until)
}

// Until returns when this node must stop sending orders; zero if it does not hold the lease.
func (l *Lease) Until() time.Time { return l.until }

// ShouldAppend reports whether this node should append a record now: a renewal of its own lease, or a
// takeover of a lease that is free or that its holder has not renewed in time.
func (l *Lease) ShouldAppend(now time.Time) bool {
	// A successor's first append relies on the records that the holder has relayed to it.
	relayed := l.successor && !l.refused && l.end > 0
	switch {
	case l.stopped || l.releaseDue || l.Appending():
		return false
	case l.readAt.IsZero() && !relayed || now.Before(l.retryAt):
		return false
	case l.heldBySelf() && now.Before(l.until):
		return now.Sub(l.seenAt) >= RenewEvery || l.urgent && now.Sub(l.seenAt) >= urgentEvery
	case !l.eraWritten && now.Sub(l.eraSeenAt) < TTL:
		// Another node may have taken the lease by a record that the restore lost, and may send orders
		// until its term is over.
		return false
	case !l.lostAt.IsZero() && now.Sub(l.lostAt) < TTL:
		// The writer of the records that were dropped may send orders until its term is over.
		return false
	case l.heldBySelf():
		return now.Sub(l.seenAt) >= RenewEvery
	case now.Sub(l.readAt) > ReadFresh && !relayed:
		return false
	}
	if l.holder.Holder == "" {
		if l.freeSince.IsZero() {
			l.freeSince = now
		}
		return now.Sub(l.freeSince) >= l.delay
	}
	l.freeSince = time.Time{}
	if l.holder.Holder == l.self.Holder {
		// An earlier incarnation of this node holds it, and its process no longer runs.
		return true
	}
	return now.Sub(l.seenAt) >= TTL+l.delay
}

// Begin records that a takeover or a renewal is being sent, and returns it. Others are the other nodes that may take the
// lease, nil if unknown; they become [Record.Nodes].
func (l *Lease) Begin(now time.Time, others []string) Append {
	l.self.Nodes = others
	l.takeoverPending = l.takeoverPending || !l.heldBySelf()
	l.inFlight = l.nextAppend(now)
	return l.inFlight
}

// nextAppend returns an append of this node's record at the end of the topic.
func (l *Lease) nextAppend(now time.Time) Append {
	l.appends++
	l.self.Era = position.Era(l.end)
	return Append{Record: l.self, At: l.end, sentAt: now, id: l.appends}
}

// Ledger returns the ledger of the latest record that was read. It is nil if that record has none, if no record of the
// store's era is known, or if an earlier one was lost; first is true if no record was ever written.
func (l *Lease) Ledger() (ledger *origin.Ledger, first bool) {
	return l.ledger, !l.ledgerRead && !l.readAt.IsZero() && l.end == 0
}

// SetLedger sets [Record.Ledger] of the records that this node writes.
func (l *Lease) SetLedger(ledger *origin.Ledger) { l.self.Ledger = ledger }

// SetUrgent sets whether the holder's next record must not wait for the interval of renewals, because the ledger has to
// change.
func (l *Lease) SetUrgent(urgent bool) { l.urgent = urgent }

// SetReturned sets [Record.Returned] of the records that this node writes.
func (l *Lease) SetReturned(returned bool) { l.self.Returned = returned }

// SetMembers sets [Record.Members] of the records that this node writes.
func (l *Lease) SetMembers(n int) { l.self.Members = n }

// Members returns the larger [Record.Members] of the current and the previous holder; 0 if neither states it.
func (l *Lease) Members() int { return max(l.holder.Members, l.former.Members) }

// Appending reports whether an append is in flight.
func (l *Lease) Appending() bool { return l.inFlight.id != 0 || l.release.id != 0 }

// appendAge returns how long the takeover or renewal in flight has waited for its answer; 0 if none is in flight.
func (l *Lease) appendAge(now time.Time) time.Duration {
	if l.inFlight.id == 0 {
		return 0
	}
	return now.Sub(l.inFlight.sentAt)
}

// Acknowledged records that an append was acknowledged at a position.
func (l *Lease) Acknowledged(a Append, offset uint64, now time.Time) {
	if position.Era(offset) < position.Era(l.end) {
		// The store has been restored since, without this record.
		l.Failed(a, now)
		return
	}
	l.answered(a)
	void := a.Record.Release || a.id <= l.voidTo
	l.Apply(offset, a.Record, now)
	if void || !l.heldBySelf() || l.fromEarlierEra {
		return
	}
	l.until = latest(l.until, a.sentAt.Add(TTL-Margin))
	l.heldUntil = l.until
}

// Failed records that an append was refused, or got no answer. It may still take effect: its record is then read like any
// other, and gives no right to send orders until a renewal is acknowledged.
func (l *Lease) Failed(a Append, now time.Time) {
	l.answered(a)
	l.refused, l.retryAt = true, now.Add(RetryEvery)
	if a.Record.Release {
		l.releaseDue, l.releaseFailed = l.releaseDue && l.stopped, true
	}
}

// answered records that the answer to an append is not awaited any more.
func (l *Lease) answered(a Append) {
	switch a.id {
	case l.inFlight.id:
		l.inFlight = Append{}
	case l.release.id:
		l.release = Append{}
	}
}

// mayOutlast reports whether a holder whose lease expired may continue if the store is unreachable:
// nothing that this node has read or been answered shows another holder, and MaxOutage has not passed.
func (l *Lease) mayOutlast(now time.Time) bool {
	return l.heldBySelf() && !l.heldUntil.IsZero() && now.Before(l.heldUntil.Add(MaxOutage))
}

// Superseded records that an engine has seen a higher fencing number than this node's.
func (l *Lease) Superseded() { l.loseRight() }

// GiveUp makes this node, if it holds the lease, send no more orders and release the lease. It renews the lease again if
// the release fails.
func (l *Lease) GiveUp() {
	if !l.heldBySelf() {
		return
	}
	l.endTerm()
	l.releaseDue = true
}

// Stop makes this node send no more orders and take the lease no more, since it is about to end. It releases the lease if it
// holds it, also by an append that is still in flight.
func (l *Lease) Stop() {
	l.endTerm()
	l.stopped = true
}

// endTerm ends this node's right to send orders before its term ends.
func (l *Lease) endTerm() {
	l.heldTo = latest(l.heldTo, l.until)
	l.loseRight()
}

// ReleaseDue reports whether this node should release the lease now. After a failed release it waits for a read of the
// topic, which shows whether the record was added.
func (l *Lease) ReleaseDue(now time.Time) bool {
	if !l.releaseDue && !l.stopped || !l.heldBySelf() || l.fromEarlierEra || l.release.id != 0 || l.releaseFailed {
		return false
	}
	// In a later era than that of its latest record the holder may be another node, whose takeover the restore lost.
	return position.Era(l.latestPos) == position.Era(l.end) || now.Before(l.heldTo)
}

// BeginRelease records that the release is being sent, and returns it.
func (l *Lease) BeginRelease(now time.Time) Append {
	l.release = l.nextAppend(now)
	l.release.Record.Release = true
	return l.release
}

// NewIncarnation returns a name that is unique to this incarnation of a node's process.
func NewIncarnation(node string) string {
	return node + "-" + uuid.NewString()
}
