package placer

import (
	"slices"
	"sync"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/feedtree"
	"olivetiller/core/placement"
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
	peers        []string
	peersVersion uint64
	// holderLostStore is set while the store does not answer the lease holder.
	holderLostStore bool
	// until is when the right to send orders ends; zero if this node does not hold the lease.
	until   time.Time
	serving map[string]servingEntry
	// removedAt holds the version at which an engine was removed.
	removedAt map[string]uint64
	readyAt   map[string]time.Time
	// readyVersion is the version at which readyAt changed.
	readyVersion uint64
	// interest holds, by node, the pools for which requests wait there.
	interest map[string]map[string]bool
	feed     storeState
	// suspects is the latest version of the records of suspected requests that all nodes must receive.
	suspects uint64
	// signals is the latest version of the endpoints' signals (capacity and draining).
	signals uint64
	// full caches the latest full snapshot; nil if there is none.
	full *fullSnapshot
	// watchers are the open long polls.
	watchers map[*watcher]bool
	// collecting is true while questions are collected before the term is published. requesters holds the nodes that
	// asked, collectUntil is when the feed plan may be made, and planned is true once it was made.
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

func (b *publication) init() {
	b.watchers, b.requesters = make(map[*watcher]bool), make(map[string]requester)
}

// begin starts the publication of a new term, in which no engine serves anything yet.
func (b *publication) begin(life string, fence uint64, nodes int, records []directory.Record, listedTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnation, b.fence, b.nodes, b.peers, b.collecting = life, fence, nodes, nil, false
	b.serving, b.removedAt, b.readyAt = make(map[string]servingEntry), make(map[string]uint64), nil
	b.feed.takers, b.feed.takersVersion, b.full = nil, 0, nil
	b.interest, b.feed.instances = make(map[string]map[string]bool), make(map[string]instanceEntry)
	// Publish the list together with the new incarnation: followers take the list of a full snapshot as complete and
	// remove every endpoint that it lacks.
	b.setInstances(records, listedTo)
	b.wakeAll()
}

// end ends the publication; open questions fail with peer.ErrNotHolder.
func (b *publication) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnation, b.until, b.collecting = "", time.Time{}, false
	b.wakeAll()
}

// extend sets until when orders may be sent.
func (b *publication) extend(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = until
}

// mayOrder reports whether an order under a fence may be sent at now.
func (b *publication) mayOrder(fence uint64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incarnation != "" && b.fence == fence && now.Before(b.until)
}

// update publishes what the planner knows of the engines, and assumed for engines that the planner knows nothing of.
// It returns the engines whose pools changed; changed also covers the expected ready times.
func (b *publication) update(p *placement.Planner, assumed map[string][]string, nodes int, now time.Time) (engines []string, changed bool) {
	serving := p.Serving(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	news := make(map[string]bool)
	next := b.version + 1
	for id, units := range serving {
		if old, ok := b.serving[id]; ok && old.units != nil && slices.Equal(old.units, units) {
			continue
		}
		pools := make([]string, 0, len(units))
		for _, u := range units {
			pools = append(pools, u.Pool())
		}
		engines = b.setServing(engines, id, servingEntry{units, pools, next}, news)
	}
	for id, pools := range assumed {
		if _, known := serving[id]; !known {
			engines = b.setServing(engines, id, servingEntry{nil, pools, next}, news)
		}
	}
	for id := range b.serving {
		if _, ok := serving[id]; ok {
			continue
		}
		if _, ok := assumed[id]; !ok {
			delete(b.serving, id)
			b.removedAt[id] = next
			engines = append(engines, id)
		}
	}
	if b.setReadyAt(p.ReadyAt()) {
		b.readyVersion = next
		changed = true
		for pool := range b.readyAt {
			news[pool] = true
		}
	}
	b.nodes = nodes
	changed = changed || len(engines) > 0
	if changed {
		b.wake(news)
	}
	return engines, changed
}

// setServing sets what an engine serves. If its pools changed, it appends the engine to engines and the pools to
// news. The caller holds b.mu.
func (b *publication) setServing(engines []string, id string, sh servingEntry, news map[string]bool) []string {
	old, ok := b.serving[id]
	if ok && slices.Equal(old.pools, sh.pools) {
		sh.version = old.version
		b.serving[id] = sh
		return engines
	}
	for _, pool := range sh.pools {
		news[pool] = true
	}
	b.serving[id] = sh
	delete(b.removedAt, id)
	return append(engines, id)
}

// readySlack is by how much an expected ready time must move to be published again.
const readySlack = 150 * time.Millisecond

func (b *publication) setReadyAt(ready map[placement.Unit]time.Time) bool {
	news := len(ready) != len(b.readyAt)
	for u, at := range ready {
		old, ok := b.readyAt[u.Pool()]
		if d := at.Sub(old); !ok || d > readySlack || d < -readySlack {
			news = true
		}
	}
	if news {
		b.readyAt = make(map[string]time.Time, len(ready))
		for u, at := range ready {
			b.readyAt[u.Pool()] = at
		}
	}
	return news
}

// setSuccessor sets which node should take the lease next.
func (b *publication) setSuccessor(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.successor = node
}

// setPeers sets the addresses of nodes that followers may ask for the lease holder.
func (b *publication) setPeers(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(b.peers, addresses) {
		return
	}
	b.wake(nil)
	b.peers, b.peersVersion = addresses, b.version
}

// setHolderLostStore sets whether the store does not answer the lease holder.
func (b *publication) setHolderLostStore(doubt bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holderLostStore != doubt {
		b.holderLostStore = doubt
		b.wakeAll()
	}
}

// setSuspects wakes all followers if version is newer than the records of suspected requests published so far.
func (b *publication) setSuspects(version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.raise(&b.suspects, version)
}

// setSignals wakes all followers if version is newer than the endpoints' signals published so far.
func (b *publication) setSignals(version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.raise(&b.signals, version)
}

// raise advances *of to version and wakes all followers. The caller holds b.mu.
func (b *publication) raise(of *uint64, version uint64) {
	if version > *of && b.incarnation != "" {
		*of = version
		b.wakeAll()
	}
}

// setInterest records the pools for which a node's requests wait, so that their changes are sent to it at once.
func (b *publication) setInterest(node string, uses []peer.Use) {
	pools := make(map[string]bool)
	for _, u := range uses {
		if u.Waiting > 0 {
			pools[u.Pool] = true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation != "" {
		b.interest[node] = pools
	}
}
