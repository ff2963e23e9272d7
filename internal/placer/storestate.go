package placer

import (
	"slices"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/lease"
	"olivetiller/io/peer"
)

// storeState is the part of a publication that originates in the store.
type storeState struct {
	config    confirmedConfig
	instances map[string]instanceEntry
	// configAt and instancesAt are when the latest reads of the topics up to their ends were sent of which the publication
	// shows all.
	configAt, instancesAt time.Time
	// listedTo is the version up to which the list of endpoints was read.
	listedTo    uint64
	lease       lease.Record
	leaseOffset uint64
	// takers are the nodes named in the lease record, which may take the lease over, and takersVersion is the version
	// at which they changed.
	takers        []string
	takersVersion uint64
	// evacuations are the data halls that are being evacuated; nil before any were read.
	evacuations        *peer.Evacuations
	evacuationsVersion uint64
}

// instanceEntry is one endpoint's entry, and the version at which it changed.
type instanceEntry struct {
	record  directory.Record
	version uint64
}

// publishInstances publishes the live endpoints of the list as read up to a version.
func (p *publication) publishInstances(records []directory.Record, listedTo uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == "" {
		// begin publishes the full list when the term begins.
		return
	}
	p.setInstances(records, listedTo)
}

func (p *publication) setInstances(records []directory.Record, listedTo uint64) {
	next, changed := p.version+1, false
	p.store.listedTo = max(p.store.listedTo, listedTo)
	live := make(map[string]bool, len(records))
	for _, r := range records {
		live[r.ID] = true
		old, ok := p.store.instances[r.ID]
		if !ok || old.record.Instance == nil || old.record.Since != r.Since || !directory.SameRouting(old.record.Instance, r.Instance) ||
			coldChanged(old.record.Instance.Cold, r.Instance.Cold) {
			p.store.instances[r.ID] = instanceEntry{r, next}
			changed = true
			continue
		}
		// A heartbeat alone needs no delta. The record is stored so that full snapshots contain its latest time.
		p.store.instances[r.ID] = instanceEntry{r, old.version}
	}
	for id, in := range p.store.instances {
		if !live[id] && in.record.Instance != nil {
			p.store.instances[id] = instanceEntry{directory.Record{ID: id, Version: listedTo, Relayed: true}, next}
			changed = true
		}
	}
	if changed {
		p.wakeAll()
	}
}

// coldChanged reports whether an endpoint's entry must be sent again because it has turned cold or warm. An expected
// warm-up needs no update: each node counts the cold time down itself.
func coldChanged(old, next time.Duration) bool {
	return next > old+coldSlack || next == 0 && old > coldSlack
}

// coldSlack is by how much an endpoint's remaining cold time must grow to be published again.
const coldSlack = 1500 * time.Millisecond

// setConfig publishes the configuration in force.
func (p *publication) setConfig(cc confirmedConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newer := cc.version() > p.store.config.version()
	p.store.config = cc
	if newer {
		p.wakeAll()
	}
}

// configRead records that the configuration topic was read to its end by a read that was sent at a time.
func (p *publication) configRead(asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.configAt = asked
}

// instancesRead records that the list of endpoints was read to its end by a read that was sent at a time.
func (p *publication) instancesRead(asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.instancesAt = asked
}

// setLease publishes the latest lease record.
func (p *publication) setLease(rec lease.Record, offset uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	admitted := !rec.Ledger.Equal(p.store.lease.Ledger)
	p.store.lease, p.store.leaseOffset = rec, offset
	if admitted {
		// Streams may begin at a new build once the nodes know it.
		p.wakeAll()
	}
	if !slices.Equal(rec.Nodes, p.store.takers) {
		p.wake(nil)
		p.store.takers, p.store.takersVersion = rec.Nodes, p.version
	}
}
