package placer

import (
	"maps"
	"time"

	"olivetiller/core/directory"
	"olivetiller/internal/traffic"
	"olivetiller/io/peer"
)

// A feeder's publication mirrors the lease holder's, with the same incarnation and versions, so that a node that
// changes from one feeder to another, or to the lease holder, receives a delta and not everything again. Each change
// carries the version of the snapshot that brought it, which is never lower than the version at which it changed at
// the lease holder. Times are passed on as ages.

// wakeFollowers wakes the followers of a feeder: what it knows of suspected requests or signals, which is not part of
// the mirrored state, has changed.
func (p *publication) wakeFollowers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeWatchers()
}

// mirrors reports whether the publication mirrors an incarnation of a lease holder's.
func (p *publication) mirrors(incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation == incarnation
}

// mirrorAll starts to mirror a lease holder's publication, from a snapshot and the complete state that this node has
// built from earlier ones.
func (p *publication) mirrorAll(s *peer.Snapshot, serving map[string][]string, uneven traffic.Uneven, records []directory.Record, listedTo uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation, p.version, p.deltasFrom, p.full = s.Term, s.Version, s.Version, nil
	p.serving, p.removedAt = make(map[string]servingEntry, len(serving)), make(map[string]uint64)
	for id, pools := range serving {
		p.serving[id] = servingEntry{pools: pools, version: s.Version}
	}
	p.store.instances, p.store.listedTo = recordsOf(records, s.Version), listedTo
	p.uneven = newPublishedUneven()
	p.setUneven(uneven, s.Version)
	p.peersVersion, p.store.takersVersion, p.store.evacuationsVersion, p.feedersVersion = s.Version, s.Version, s.Version, s.Version
	p.wakeWatchers()
}

// mirror applies a delta of the lease holder.
func (p *publication) mirror(s *peer.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	urgent := s.Config != nil || s.Evacuations != nil || len(s.Feeders) > 0 || !s.Lease.Ledger.Equal(p.store.lease.Ledger)
	changed := urgent || s.Version > p.version
	p.version = max(p.version, s.Version)
	for id, pools := range s.Serving {
		p.serving[id] = servingEntry{pools: pools, version: s.Version}
		delete(p.removedAt, id)
	}
	for _, id := range s.Removed {
		delete(p.serving, id)
		p.removedAt[id] = s.Version
	}
	for _, r := range s.Instances {
		p.store.instances[r.ID] = instanceEntry{r, s.Version}
		urgent = true
	}
	p.setUneven(traffic.Uneven{Paces: s.Paces, Loads: s.Loads, Lanes: s.Lanes}, s.Version)
	p.store.listedTo = max(p.store.listedTo, s.DirectoryVersion)
	switch {
	case urgent:
		p.wakeWatchers()
	case changed:
		p.wakeDue()
	}
}

// relayConfig sets the configuration that a feeder relays, which it may have read itself. The version is that of the
// lease holder's state and stays: followers state which configuration they have. readTo stays too, since evacuations
// that this node has read itself are not relayed.
func (p *publication) relayConfig(cc confirmedConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newer := cc.version() > p.store.config.version()
	cc.readTo = p.store.config.readTo
	p.store.config = cc
	if newer {
		p.wakeWatchers()
	}
}

// mirrorCommon applies what every snapshot of the lease holder contains. asOf is when the holder had read the store to
// its end, and seenAt is when it had sent its state.
func (p *publication) mirrorCommon(s *peer.Snapshot, config confirmedConfig, evacuations *peer.Evacuations, asOf, seenAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fence, p.nodes, p.successor, p.holderLostStore, p.holderSeenAt = s.Fence, s.Nodes, s.Successor, s.StoreUnconfirmed, seenAt
	st := &p.store
	st.lease, st.leaseOffset, st.configAt, st.instancesAt, st.evacuations = s.Lease, s.LeaseOffset, asOf, asOf, evacuations
	st.config = config
	st.config.readTo = s.ConfigReadTo
	if len(s.Takers) > 0 {
		st.takers, st.takersVersion = s.Takers, s.Version
	}
	if len(s.Peers) > 0 {
		p.peers, p.gateways, p.peersVersion = s.Peers, s.Gateways, s.Version
	}
	if s.Evacuations != nil {
		st.evacuationsVersion = s.Version
	}
	if s.Feeders != nil {
		p.feeders, p.feedersVersion = s.Feeders, s.Version
	}
	ready := make(map[string]time.Time, len(s.ReadyInMs))
	for pool, ms := range s.ReadyInMs {
		ready[pool] = seenAt.Add(time.Duration(ms) * time.Millisecond)
	}
	if !maps.EqualFunc(ready, p.readyAt, func(x, y time.Time) bool { return x.Sub(y).Abs() <= readySlack }) {
		p.readyAt, p.readyVersion = ready, s.Version
	}
}
