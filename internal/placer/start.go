package placer

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/lease"
)

// Times of a node that has just started.
const (
	// startHold is how long it waits to read who holds the lease before it reads all else.
	startHold = 600 * time.Millisecond
	// startPerNode is the time in which one node more reads all there is, where nobody feeds it: the store's link
	// carries some hundred lists of 3,000 endpoints in a second.
	startPerNode = 8 * time.Millisecond
	// startAtMost bounds the wait of the last node: less than until another node takes a free lease.
	startAtMost = 2 * time.Second
)

// start keeps a node that has just started from the store while a holder may feed it. Nodes that all read everything
// at once have the store's link for seconds.
type start struct {
	// readAt is when the node reads for itself if nobody feeds it; set once at the beginning, and once more when the
	// lease was read.
	readAt atomic.Pointer[time.Time]
	// leaseRead is set once the lease was read. It belongs to the owner.
	leaseRead bool
}

func (s *start) begin(now time.Time) {
	at := now.Add(startHold)
	s.readAt.Store(&at)
}

// awaits reports whether the node waits to be fed.
func (s *start) awaits(now time.Time) bool { return now.Before(*s.readAt.Load()) }

// heard notes the first read of the lease.
func (s *start) heard(rec lease.Record, known bool, self lease.Record, now time.Time) {
	if s.leaseRead {
		return
	}
	s.leaseRead = true
	at := now.Add(startDelay(rec, known, self))
	s.readAt.Store(&at)
}

// startDelay is how long a node waits to be fed after it read the latest record of the lease. The machine that held the
// lease takes it again, and needs the list for that. The others read one after the other, in an order of their names, so
// that those that come later are fed.
func startDelay(rec lease.Record, known bool, self lease.Record) time.Duration {
	if !known || rec.Holder == self.Holder {
		return 0
	}
	spread := min(startAtMost, time.Duration(max(rec.Members, len(rec.Nodes)))*startPerNode)
	if spread == 0 {
		return 0
	}
	return time.Duration(xxhash.Sum64String(self.Life) % uint64(spread))
}
