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
// caller holds p.mu.
func (p *publication) fullSnapshotAt(now time.Time) *fullSnapshot {
	if p.full != nil && now.Sub(p.full.at) <= fullSnapshotTTL {
		return p.full
	}
	shared := &peer.Shared{Serving: make(map[string][]string, len(p.serving)), Instances: make([]directory.Record, 0, len(p.store.instances))}
	for id, sh := range p.serving {
		shared.Serving[id] = sh.pools
	}
	for _, in := range p.store.instances {
		if in.record.Instance != nil {
			shared.Instances = append(shared.Instances, in.record)
		}
	}
	p.full = &fullSnapshot{at: now, version: p.version, listedTo: p.store.listedTo, instancesAt: p.store.instancesAt, shared: shared}
	return p.full
}

// fill copies the full snapshot into s. The large parts are shared, not copied.
func (f *fullSnapshot) fill(s *peer.Snapshot) {
	s.Version, s.DirectoryVersion = f.version, f.listedTo
	s.Serving, s.Instances, s.Shared = f.shared.Serving, f.shared.Instances, f.shared
}
