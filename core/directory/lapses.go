package directory

import "time"

const (
	// registerGrace is how long a running endpoint may take to register again once the store is reachable.
	// The platform states about two seconds.
	registerGrace = 2500 * time.Millisecond
	// defaultHeartbeat is the interval at which endpoints write their entries where the platform states none.
	defaultHeartbeat = 1200 * time.Millisecond
	// defaultContact is the bound of [Lapses] where the platform states none.
	defaultContact = 3 * time.Second
	// lapseHeartbeats is the number of heartbeats that an outage must prevent for an entry to lapse in it: entries are removed
	// after three heartbeats without a write, of which the last write can be one old when the outage begins.
	lapseHeartbeats = 2
	// minFailures is the number of calls without an answer from which the store may have been away. One call can get lost.
	minFailures = 2
)

// Lapses tells removals of entries that endpoints have asked for from those of entries that may have lapsed while the store
// was away, and whose endpoints may be about to register again. It learns of the calls that read the list or the lease, and of
// the reads of other nodes that are relayed. It is not safe for concurrent use.
type Lapses struct {
	heartbeat, contact time.Duration
	// answered is the latest time at which the list is known to have been readable.
	answered time.Time
	// failures counts the calls without an answer that were sent after answered, and askedAt is when the latest of them was
	// sent.
	failures int
	askedAt  time.Time
	// confirmed is true if another node has lost the store too since the first of these calls.
	confirmed bool
	// holdUntil is until when removals are held back.
	holdUntil time.Time
}

// NewLapses returns the state of a node that has called nothing yet. Endpoints write their entries every heartbeat, and the
// platform's bounds on reactions do not hold for a node until contact after a disruption of its calls; 0 selects a default.
func NewLapses(heartbeat, contact time.Duration) *Lapses {
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	if contact <= 0 {
		contact = defaultContact
	}
	return &Lapses{heartbeat: heartbeat, contact: contact}
}

// Failed records that a call that was sent at asked has got no answer. Confirmed is true if another node has lost the store too.
func (l *Lapses) Failed(asked time.Time, confirmed bool) {
	if asked.Before(l.answered) {
		// A later call was answered.
		return
	}
	l.failures++
	l.confirmed = l.confirmed || confirmed
	if asked.After(l.askedAt) {
		l.askedAt = asked
	}
}

// ListRead records that a read of the list that was sent at asked is answered at now.
func (l *Lapses) ListRead(asked, now time.Time) {
	if l.failures >= minFailures || l.failures > 0 && l.confirmed {
		// The store can have been away since the latest time at which the list is known to have been readable.
		if now.Sub(l.answered) >= lapseHeartbeats*l.heartbeat {
			l.holdUntil = earliest(now.Add(registerGrace), l.askedAt.Add(l.contact))
		}
	}
	l.failures, l.confirmed = 0, false
	if asked.After(l.answered) {
		l.answered = asked
	}
}

// ListRelayed records that another node has read the list to its end at a time.
func (l *Lapses) ListRelayed(at time.Time) {
	if l.failures > 0 && !at.After(l.askedAt) {
		// That was before the latest failure.
		if at.After(l.answered) {
			l.answered = at
		}
		return
	}
	l.ListRead(at, at)
}

// HoldUntil returns until when a removal that is read now takes no effect; zero or a time in the past if it takes effect at
// once. The time is never so late that the platform's bound on removals holds again for this node: what made the calls fail
// lasted until the last one was sent at least, and the bound begins to hold contact after it.
func (l *Lapses) HoldUntil() time.Time { return l.holdUntil }

// earliest returns the earlier one of two times.
func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
