package placer

import (
	"slices"
	"sync"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/feedtree"
	"olivetiller/core/placement"
	"olivetiller/core/reach"
	"olivetiller/core/view"
	"olivetiller/io/peer"
)

// publication is the versioned state that a node publishes to its followers: what the engines serve, the list of
// endpoints, the configuration and the feed plan. The lease holder publishes its own state, a feeder publishes a copy
// of the holder's. It is safe for concurrent use.
type publication struct {
	mu          sync.Mutex
	incarnation string
	fence       uint64
	version     uint64
	nodes       int
	// successor is the node that should take the lease next.
	successor string
	// peers are addresses of nodes that followers may ask for the lease holder, and peersVersion is the version at
	// which they changed.
	peers []string
	// gateways are nodes that connect others to endpoints. They change together with peers.
	gateways     []reach.Gateway
	peersVersion uint64
	// holderLostStore is set while the store does not answer the lease holder.
	holderLostStore bool
	// until is when the right to send orders ends; zero if this node does not hold the lease.
	until   time.Time
	serving map[string]servingEntry
	// removedAt holds the version at which an engine was removed.
	removedAt map[string]uint64
	uneven    publishedUneven
	readyAt   map[string]time.Time
	// readyVersion is the version at which readyAt changed.
	readyVersion uint64
	// interest holds, by node, the pools for which requests wait there.
	interest map[string]map[string]bool
	store    storeState
	// suspectsVersion is the latest version of the records of suspected requests that all nodes must receive.
	suspectsVersion uint64
	// signalsVersion is the latest version of the endpoints' signals (capacity and draining).
	signalsVersion uint64
	// full caches the latest full snapshot; nil if there is none.
	full *fullSnapshot
	// watchers are the open long polls.
	watchers map[*watcher]bool
	// collecting is true while watch requests are collected before the term is published. requesters holds the nodes
	// that asked, collectUntil is when the feed plan may be made, and planned is true once it was made.
	collecting   bool
	requesters   map[string]requester
	collectUntil time.Time
	planned      bool
	// feeders are the nodes that relay snapshots to others, and feedersVersion is the version at which they changed.
	feeders        []feedtree.Node
	feedersVersion uint64
	// deltasFrom is the lowest version from which a delta can be computed; a follower with an older one receives a
	// full snapshot.
	deltasFrom uint64
	// holderSeenAt is when the lease holder had sent the state that a feeder publishes; zero at the lease holder.
	holderSeenAt time.Time
}

// servingEntry is what one engine serves, and the version at which that changed.
type servingEntry struct {
	units   []placement.Unit
	pools   []string
	version uint64
}

func (p *publication) init() {
	p.watchers, p.requesters = make(map[*watcher]bool), make(map[string]requester)
}

// begin starts the publication of a new term, in which no engine serves anything yet.
func (p *publication) begin(incarnation string, fence uint64, nodes int, records []directory.Record, listedTo uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation, p.fence, p.nodes, p.peers, p.gateways, p.collecting = incarnation, fence, nodes, nil, nil, false
	p.serving, p.removedAt, p.readyAt = make(map[string]servingEntry), make(map[string]uint64), nil
	p.store.takers, p.store.takersVersion, p.full, p.uneven = nil, 0, nil, newPublishedUneven()
	p.interest, p.store.instances = make(map[string]map[string]bool), make(map[string]instanceEntry)
	// Publish the list together with the new incarnation: followers take the list of a full snapshot as complete and
	// remove every endpoint that it lacks.
	p.setInstances(records, listedTo)
	p.wakeAll()
}

// end ends the publication; open watch requests fail with peer.ErrNotHolder.
func (p *publication) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation, p.until, p.collecting = "", time.Time{}, false
	p.wakeAll()
}

// extend sets until when orders may be sent.
func (p *publication) extend(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = until
}

// raiseFence sets the fencing number of the term that is published, and reports whether it rose.
func (p *publication) raiseFence(fence uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == "" || fence <= p.fence {
		return false
	}
	p.fence = fence
	p.wakeAll()
	return true
}

// mayOrder reports whether an order under a fence may be sent at now.
func (p *publication) mayOrder(fence uint64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation != "" && p.fence == fence && now.Before(p.until)
}

// update publishes what the planner knows of the engines, and assumed for engines that the planner knows nothing of.
// It returns the engines whose pools changed; changed also covers the expected ready times.
func (p *publication) update(planner *placement.Planner, assumed map[string][]string, nodes int, now time.Time) (engines []string, changed bool) {
	serving := planner.Serving(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	changedPools := make(map[string]bool)
	next := p.version + 1
	for id, units := range serving {
		if old, ok := p.serving[id]; ok && old.units != nil && slices.Equal(old.units, units) {
			continue
		}
		pools := make([]string, 0, len(units))
		for _, u := range units {
			pools = append(pools, u.Pool())
		}
		engines = p.setServing(engines, id, servingEntry{units, pools, next}, changedPools)
	}
	for id, pools := range assumed {
		if _, known := serving[id]; !known {
			engines = p.setServing(engines, id, servingEntry{nil, pools, next}, changedPools)
		}
	}
	for id := range p.serving {
		if _, ok := serving[id]; ok {
			continue
		}
		if _, ok := assumed[id]; !ok {
			delete(p.serving, id)
			p.removedAt[id] = next
			engines = append(engines, id)
		}
	}
	if p.setReadyAt(readyAtByPool(planner)) {
		p.readyVersion = next
		changed = true
		for pool := range p.readyAt {
			changedPools[pool] = true
		}
	}
	p.nodes = nodes
	changed = changed || len(engines) > 0
	if changed {
		p.wake(changedPools)
	}
	return engines, changed
}

// setServing sets what an engine serves. If its pools changed, it appends the engine to engines and the pools to
// changedPools. The caller holds p.mu.
func (p *publication) setServing(engines []string, id string, sh servingEntry, changedPools map[string]bool) []string {
	old, ok := p.serving[id]
	if ok && slices.Equal(old.pools, sh.pools) {
		sh.version = old.version
		p.serving[id] = sh
		return engines
	}
	for _, pool := range sh.pools {
		changedPools[pool] = true
	}
	p.serving[id] = sh
	delete(p.removedAt, id)
	return append(engines, id)
}

// readySlack is by how much an expected ready time must move to be published again.
const readySlack = 150 * time.Millisecond

func (p *publication) setReadyAt(ready map[string]time.Time) bool {
	changed := len(ready) != len(p.readyAt)
	for pool, at := range ready {
		old, ok := p.readyAt[pool]
		if d := at.Sub(old); !ok || d > readySlack || d < -readySlack {
			changed = true
		}
	}
	if changed {
		p.readyAt = ready
	}
	return changed
}

// setSuccessor sets which node should take the lease next.
func (p *publication) setSuccessor(node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.successor = node
}

// setPeers sets the addresses of nodes that followers may ask for the lease holder, and the gateways.
func (p *publication) setPeers(addresses []string, gateways []reach.Gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(p.peers, addresses) && slices.Equal(p.gateways, gateways) {
		return
	}
	p.wake(nil)
	p.peers, p.gateways, p.peersVersion = addresses, gateways, p.version
}

// setHolderLostStore sets whether the store does not answer the lease holder.
func (p *publication) setHolderLostStore(lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holderLostStore != lost {
		p.holderLostStore = lost
		p.wakeAll()
	}
}

// setSuspects wakes all followers if version is newer than the records of suspected requests published so far.
func (p *publication) setSuspects(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raiseVersion(&p.suspectsVersion, version)
}

// setSignals wakes all followers if version is newer than the endpoints' signals published so far.
func (p *publication) setSignals(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raiseVersion(&p.signalsVersion, version)
}

// raiseVersion advances *current to version and wakes all followers. The caller holds p.mu.
func (p *publication) raiseVersion(current *uint64, version uint64) {
	if version > *current && p.incarnation != "" {
		*current = version
		p.wakeAll()
	}
}

// setInterest records the pools for which a node's requests wait, so that their changes are sent to it at once.
func (p *publication) setInterest(node string, uses []peer.PoolUsage) {
	pools := make(map[string]bool)
	for _, u := range uses {
		if u.Waiting > 0 {
			pools[u.Pool], pools[view.BoundPool(u.Pool, u.Bound, u.Build)] = true, true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation != "" {
		p.interest[node] = pools
	}
}
