package placer

import (
	"time"

	"olivetiller/core/directory"
	"olivetiller/io/peer"
)

// fullSnapshotTTL is how long an encoded full snapshot is reused. A node asks for a delta right after a full
// snapshot, so that reuse adds at most this much to the age of what it knows at first.
const fullSnapshotTTL = 200 * time.Millisecond

// fullSnapshot is the complete state of a publication at a time, in the form that is sent to followers.
type fullSnapshot struct {
	at       time.Time
	version  uint64
	listedTo uint64
	// instancesAt is when the list of endpoints had been read to its end.
	instancesAt time.Time
	shared      *peer.Shared
}

// fullSnapshotAt returns the cached full snapshot if it is at most fullSnapshotTTL old, otherwise a new one. The
// caller holds b.mu.
func (b *publication) fullSnapshotAt(now time.Time) *fullSnapshot {
	if b.full != nil && now.Sub(b.full.at) <= fullSnapshotTTL {
		return b.full
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
	b.full = &fullSnapshot{at: now, version: b.version, listedTo: b.feed.listedTo, instancesAt: b.feed.instancesAt, shared: shared}
	return b.full
}

// fill copies the full snapshot into s. The large parts are shared, not copied.
func (w *fullSnapshot) fill(s *peer.Snapshot) {
	s.Version, s.ListedTo = w.version, w.listedTo
	s.Serving, s.Instances, s.Shared = w.shared.Serving, w.shared.Instances, w.shared
}
