package placer

import (
	"maps"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/route"
	"olivetiller/io/peer"
)

// A feeder's publication mirrors the lease holder's, with the same incarnation and versions, so that a node that
// changes from one feeder to another, or to the lease holder, receives a delta and not everything again. Each change
// carries the version of the snapshot that brought it, which is never lower than the version at which it changed at
// the lease holder. Times are passed on as ages.

// wakeFollowers wakes the followers of a feeder: what it knows of suspected requests or signals, which is not part of
// the mirrored state, has changed.
func (b *publication) wakeFollowers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wakeWatchers()
}

// mirrors reports whether the publication mirrors an incarnation of a lease holder's.
func (b *publication) mirrors(life string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incarnation == life
}

// mirrorAll starts to mirror a lease holder's publication, from a snapshot and the complete state that this node has
// built from earlier ones.
func (b *publication) mirrorAll(s *peer.Snapshot, serving map[string][]string, records []directory.Record, listedTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnation, b.version, b.deltasFrom, b.full = s.Life, s.Version, s.Version, nil
	b.serving, b.removedAt = make(map[string]servingEntry, len(serving)), make(map[string]uint64)
	for id, pools := range serving {
		b.serving[id] = servingEntry{pools: pools, version: s.Version}
	}
	b.feed.instances, b.feed.listedTo = recordsOf(records, s.Version), listedTo
	b.peersVersion, b.feed.takersVersion, b.feed.evacuationsVersion, b.feedersVersion = s.Version, s.Version, s.Version, s.Version
	b.wakeWatchers()
}

// mirror applies a delta of the lease holder.
func (b *publication) mirror(s *peer.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	urgent := s.Config != nil || s.Evacuations != nil || len(s.Feeders) > 0
	news := urgent || s.Version > b.version
	b.version = max(b.version, s.Version)
	for id, pools := range s.Serving {
		b.serving[id] = servingEntry{pools: pools, version: s.Version}
		delete(b.removedAt, id)
	}
	for _, id := range s.Gone {
		delete(b.serving, id)
		b.removedAt[id] = s.Version
	}
	for _, r := range s.Instances {
		b.feed.instances[r.ID] = instanceEntry{r, s.Version}
		urgent = true
	}
	b.feed.listedTo = max(b.feed.listedTo, s.ListedTo)
	switch {
	case urgent:
		b.wakeWatchers()
	case news:
		b.wakeDue()
	}
}

// mirrorFeed applies what every snapshot of the lease holder contains. asOf is when the holder had read the store to
// its end, and heardAt is when it had sent its state.
func (b *publication) mirrorFeed(s *peer.Snapshot, t *route.Table, evacuations *peer.Evacuations, asOf, heardAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fence, b.nodes, b.successor, b.holderLostStore, b.holderSeenAt = s.Fence, s.Nodes, s.Successor, s.StoreDoubt, heardAt
	f := &b.feed
	f.lease, f.leaseOffset, f.configAt, f.instancesAt, f.evacuations = s.Lease, s.LeaseOffset, asOf, asOf, evacuations
	if t != nil {
		f.config = t.Config
	}
	if len(s.Takers) > 0 {
		f.takers, f.takersVersion = s.Takers, s.Version
	}
	if len(s.Peers) > 0 {
		b.peers, b.peersVersion = s.Peers, s.Version
	}
	if s.Evacuations != nil {
		f.evacuationsVersion = s.Version
	}
	if s.Feeders != nil {
		b.feeders, b.feedersVersion = s.Feeders, s.Version
	}
	ready := make(map[string]time.Time, len(s.ReadyInMs))
	for pool, ms := range s.ReadyInMs {
		ready[pool] = heardAt.Add(time.Duration(ms) * time.Millisecond)
	}
	if !maps.EqualFunc(ready, b.readyAt, func(x, y time.Time) bool { return x.Sub(y).Abs() <= readySlack }) {
		b.readyAt, b.readyVersion = ready, s.Version
	}
}
