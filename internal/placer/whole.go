package placer

import (
	"time"

	"olivetiller/core/directory"
	"olivetiller/io/peer"
)

// wholeLife is how long what nodes get that ask for everything may be reused. They ask at once for
// what has changed since, so that it adds this much to the age of their first knowledge.
const wholeLife = 200 * time.Millisecond

// wholeBoard is all that a board showed at a moment, in the form in which nodes get it.
type wholeBoard struct {
	at       time.Time
	version  uint64
	listedTo uint64
	// instancesAt is when the list had been read to its end.
	instancesAt time.Time
	shared      *peer.Shared
}

// wholeAt returns all that the board shows, or showed a short time ago.
func (b *board) wholeAt(now time.Time) *wholeBoard {
	if b.whole != nil && now.Sub(b.whole.at) <= wholeLife {
		return b.whole
	}
	shared := &peer.Shared{Serving: make(map[string][]string, len(b.serving)), Instances: make([]directory.Record, 0, len(b.feed.instances))}
	for id, sh := range b.serving {
		shared.Serving[id] = sh.pools
	}
	for _, in := range b.feed.instances {
		if in.record.Instance != nil {
			shared.Instances = append(shared.Instances, in.record)
		}
	}
	b.whole = &wholeBoard{at: now, version: b.version, listedTo: b.feed.listedTo, instancesAt: b.feed.instancesAt, shared: shared}
	return b.whole
}

// fill adds what the board showed to a snapshot.
func (w *wholeBoard) fill(s *peer.Snapshot) {
	s.Version, s.ListedTo = w.version, w.listedTo
	s.Serving, s.Instances, s.Shared = w.shared.Serving, w.shared.Instances, w.shared
}
