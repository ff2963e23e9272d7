package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/feedtree"
	"olivetiller/core/lease"
	"olivetiller/core/placement"
	"olivetiller/core/region"
	"olivetiller/core/route"
	"olivetiller/io/peer"
)

// holderState is the lease holder's latest state as received by this node, from the holder itself or through a
// feeder. The watcher goroutine uses only holder, under mu; the other fields belong to the owner.
type holderState struct {
	mu     sync.Mutex
	holder lease.Record

	incarnation string
	version     uint64
	// seenAt is when the lease holder had sent the latest state received here; zero if none was received.
	seenAt time.Time
	// fresh is whether seenAt was within holderTTL at the last check.
	fresh   bool
	serving map[string][]string
	readyAt map[string]time.Time
	// takers are the nodes named in the lease holder's records, which may take the lease over.
	takers []string
}

// follow sets the lease holder to ask for snapshots.
func (h *holderState) follow(holder lease.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder = holder
}

func (h *holderState) target() lease.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder
}

// expired reports whether the lease holder's state has become older than holderTTL since the last check.
func (h *holderState) expired(now time.Time) bool {
	fresh := !h.seenAt.IsZero() && now.Sub(h.seenAt) <= holderTTL
	was := h.fresh
	h.fresh = fresh
	return was && !fresh
}

// watch asks the lease holder, or a feeder, for snapshots until ctx ends.
func (c *Controller) watch(ctx context.Context) {
	w := watchState{avoid: make(map[string]time.Time), connected: true}
	for ctx.Err() == nil {
		h := c.holderState.target()
		if h.Holder == "" || h.Incarnation == c.o.Self.Incarnation {
			c.pause(ctx, tickEvery)
			c.askPeerForHolder(ctx)
			continue
		}
		if !c.watchOnce(ctx, &w, h) {
			return
		}
	}
}

// watchState is what the watcher has received so far, and from whom.
type watchState struct {
	incarnation                    string
	version, suspectsTo, signalsTo uint64
	// fence is the highest fence received: an answer with a lower one comes from a previous lease holder's term.
	fence uint64
	// address is the node that answered last, and avoid holds, by address, until when a feeder is not asked.
	address string
	avoid   map[string]time.Time
	// connected is false between the loss of the lease holder and the next answer.
	connected bool
}

// nextRequest returns the next watch request to a source, which is a long poll for a snapshot.
func (w *watchState) nextRequest(c *Controller, from source) peer.WatchRequest {
	if from.address != w.address {
		// suspectsTo and signalsTo are versions of the node that answered, and mean nothing to another one.
		w.address, w.suspectsTo, w.signalsTo = from.address, 0, 0
	}
	q := peer.WatchRequest{
		Node: c.o.Self.Holder, Life: w.incarnation, Version: w.version, SuspectsTo: w.suspectsTo, SignalsTo: w.signalsTo, Wait: c.timing.watchWait,
		Address: c.o.Self.Address, Hall: c.o.Hall, Strength: c.o.Strength, Feeder: from.feeder, Orphan: from.noFeeder,
	}
	if c.isFeeder() {
		q.Wait = c.timing.feederWatchWait
	}
	q.Config = c.config.Load().version()
	return q
}

// watchOnce asks once for a snapshot. It returns false when the controller ends.
func (c *Controller) watchOnce(ctx context.Context, w *watchState, h lease.Record) bool {
	asked := c.o.Clock.Now()
	from := c.sourceOf(h, w.avoid, asked)
	s, err := c.o.Peers.Watch(ctx, from.address, w.nextRequest(c, from))
	now := c.o.Clock.Now()
	switch {
	case err == nil && s.Fence >= w.fence:
	case from.feeder:
		w.avoid[from.address] = now.Add(avoidFor)
		c.o.Logger.Info("feeder lost", "address", from.address, "error", errText(err))
		return true
	default:
		if w.connected {
			c.o.Logger.Info("lease holder lost", "holder", h.Holder, "address", h.Address, "error", errText(err))
		}
		w.connected = false
		c.pause(ctx, tickEvery)
		c.askPeerForHolder(ctx)
		return true
	}
	if s.Redirect {
		c.inbox.Send(ctx, redirected{s.Feeders, s.Nodes})
		switch {
		case from.noFeeder:
			// The lease holder serves no more nodes without a feeder, and no feeder answers yet.
			c.pause(ctx, redirectPause)
		case now.Sub(asked) < quickRedirectPause:
			c.pause(ctx, quickRedirectPause)
		}
		return true
	}
	if !w.connected {
		c.o.Logger.Info("lease holder regained", "holder", h.Holder, "fence", s.Fence)
	}
	w.connected = true
	w.incarnation, w.version, w.suspectsTo, w.signalsTo, w.fence = s.Term, s.Version, s.SuspectsTo, s.SignalsTo, s.Fence
	took := now.Sub(asked)
	c.o.Logger.Trace("heard", "version", s.Version, "tookMs", took.Milliseconds())
	// The duration of the call minus the time that the request was held is the round trip. How much of it the answer
	// took is unknown, so that all of it counts towards the snapshot's age.
	transit := max(0, took-time.Duration(s.HeldMs)*time.Millisecond)
	if from.feeder && time.Duration(s.HolderAgeMs)*time.Millisecond+transit > c.timing.watchWait+holderTTL/2 {
		// The feeder is slow or has lost the lease holder; another one may have newer state.
		w.avoid[from.address] = now.Add(avoidFor)
	}
	return c.inbox.Send(ctx, snapshotReceived{s, transit, asked.Add(took - transit)})
}

// errText returns the error of an answer, or that it has an outdated fence if err is nil.
func errText(err error) string {
	if err == nil {
		return "the answer has the fence of an earlier lease holder"
	}
	return err.Error()
}

// redirected is the lease holder's answer that names the feeders to ask.
type redirected struct {
	feeders []feedtree.Node
	nodes   int
}

func (m redirected) handle(c *Controller) {
	if len(m.feeders) == 0 {
		return
	}
	c.feeding.nodes.Store(max(c.feeding.nodes.Load(), int64(m.nodes)))
	c.applyFeedPlan(m.feeders)
}

// snapshotReceived is a snapshot from the lease holder or a feeder.
type snapshotReceived struct {
	s *peer.Snapshot
	// transit is by how much more the snapshot may have aged than it states.
	transit time.Duration
	// madeAt is the earliest time at which the snapshot was made. It is not derived from the time of handling, since
	// this node may have been suspended in between.
	madeAt time.Time
}

// asOf returns a time at which the ages that the snapshot states may have been true, for one that is handled at now. It is the
// earliest such time.
func (m snapshotReceived) asOf(now time.Time) time.Time {
	if at := now.Add(-m.transit); at.Before(m.madeAt) {
		return at
	}
	return m.madeAt
}

// storeReadAt returns when the store had been read to its end, for a snapshot that is handled at now.
func (m snapshotReceived) storeReadAt(now time.Time) time.Time {
	return m.asOf(now).Add(-time.Duration(m.s.AgeMs) * time.Millisecond)
}

func (m snapshotReceived) handle(c *Controller) {
	r, s, now := &c.holderState, m.s, c.o.Clock.Now()
	if s.Term != r.incarnation || s.Full {
		r.incarnation, r.serving, r.takers = s.Term, make(map[string][]string, len(s.Serving)), nil
		c.uneven.clear()
		c.touchAll()
	}
	if !r.fresh {
		c.touchAll()
	}
	c.viewStale = c.viewStale || s.Version != r.version
	r.version, r.seenAt = s.Version, m.asOf(now).Add(-time.Duration(s.HolderAgeMs)*time.Millisecond)
	seenAt := r.seenAt
	c.holderSeenAt.Store(&seenAt)
	r.fresh = now.Sub(r.seenAt) <= holderTTL
	c.holderLostStore.Store(s.StoreUnconfirmed)
	for engine, pools := range s.Serving {
		r.serving[engine] = c.names.pools(pools)
		c.touch(engine)
	}
	for _, engine := range s.Removed {
		delete(r.serving, engine)
		c.touch(engine)
	}
	r.readyAt = make(map[string]time.Time, len(s.ReadyInMs))
	for pool, ms := range s.ReadyInMs {
		r.readyAt[pool] = now.Add(time.Duration(ms) * time.Millisecond)
	}
	c.setNodes(s.Nodes, now)
	c.peers.setPeers(s.Peers)
	c.gateways.setGateways(s.Gateways)
	if s.Feeders != nil {
		c.applyFeedPlan(s.Feeders)
	}
	c.setTakeoverDelay(s.Successor)
	c.mergeHolderSuspects(s, now)
	c.mergeSignals(s.Signals, "holder", now)
	c.applyRelayed(s, now, m)
	c.receiveUneven(s, now)
	c.updateRelay(s, m, now)
}

// relayMark records the age of the relayed store state.
type relayMark struct {
	// at is when the lease holder had read the store to its end.
	at time.Time
}

// relayFresh reports whether the relayed store state is recent enough that this node need not read the store itself.
// It is always false at the lease holder.
func (c *Controller) relayFresh() bool {
	m := c.relayed.Load()
	return m != nil && !c.leading.Load() && c.o.Clock.Now().Sub(m.at) <= c.timing.relayTTL
}

// relayAgeMs returns the age of the relayed store state in milliseconds, for metrics; -1 if none was received.
func (c *Controller) relayAgeMs() int64 {
	m := c.relayed.Load()
	if m == nil {
		return -1
	}
	return c.o.Clock.Now().Sub(m.at).Milliseconds()
}

// holderAgeMs returns the age of the lease holder's latest state in milliseconds, for metrics; -1 if none was
// received.
func (c *Controller) holderAgeMs() int64 {
	at := c.holderSeenAt.Load()
	if at == nil {
		return -1
	}
	return c.o.Clock.Now().Sub(*at).Milliseconds()
}

// applyRelayed applies the store state that a snapshot relays: lease record, configuration, evacuations and list of
// endpoints.
func (c *Controller) applyRelayed(s *peer.Snapshot, now time.Time, m snapshotReceived) {
	if s.Lease.Holder != "" {
		// It matters only that the record is in the log. Its age is counted from now, which can only delay a takeover
		// by this node.
		if len(s.Takers) > 0 {
			c.holderState.takers = s.Takers
		}
		s.Lease.Nodes = c.holderState.takers
		before, _ := c.lease.Holder()
		c.lease.Apply(s.LeaseOffset, s.Lease, now)
		c.watchNewHolder(before, "feed")
	}
	if s.Config != nil {
		if t, err := route.New(s.Config); err != nil {
			c.o.Logger.Error("relayed configuration rejected", "error", err.Error())
		} else {
			c.configure(t, "feed")
		}
	}
	c.applyHolderEvacuations(s.Evacuations)
	changed := false
	if s.Full && !c.listed {
		// The lease holder has read the list; a node that cannot read the store itself may rely on it.
		c.listed, changed = true, true
	}
	changes := &listChanges{source: "feed"}
	for i := range s.Instances {
		s.Instances[i].Relayed = true
		c.names.record(&s.Instances[i])
	}
	if s.Full {
		// The first snapshot of an incarnation contains the full list: endpoints that are not in it are gone.
		c.directory.ReplaceRelayed(s.Instances, s.DirectoryVersion, now, changes.add)
	} else {
		for _, r := range s.Instances {
			if change := c.directory.Apply(r, now); change != directory.Unchanged {
				changes.add(r, change)
			}
		}
	}
	c.listedTo = max(c.listedTo, s.DirectoryVersion)
	c.applyListChanges(changes)
	if changed || len(changes.changes) > 0 {
		c.listChanged(now)
	}
	if c.config.Load().version() < s.ConfigVersion || s.Config != nil && c.config.Load().version() < s.Config.Version {
		// A newer configuration is known but cannot be used: the relayed state does not count as fresh, so that this
		// node reads the configuration itself.
		return
	}
	if s.ConfigAgeMs != nil {
		c.confirmConfig(s.ConfigVersion, m.madeAt.Add(-time.Duration(*s.ConfigAgeMs)*time.Millisecond))
	}
	if s.ConfigVersion > 0 {
		c.recordReadTo(s.ConfigReadTo)
	}
	at := m.storeReadAt(now)
	c.lapses.ListRelayed(at)
	c.relayed.Store(&relayMark{at: at})
}

// setNodes records how many nodes share the traffic, as counted by the lease holder.
func (c *Controller) setNodes(n int, now time.Time) {
	if n <= 0 {
		return
	}
	c.nodeCount = n
	c.feeding.nodes.Store(int64(n))
	c.allowance.ObserveNodes(n, now)
	c.memberCount.Store(int64(c.allowance.Nodes(now)))
	c.o.Dispatcher.SetNodeCount(c.allowance.Nodes(now))
	c.limitRetries(now)
}

// limitRetries puts this node's share of the retry limits in force.
func (c *Controller) limitRetries(now time.Time) {
	l := c.allowance.Limits(now)
	if l == c.retries {
		return
	}
	c.retries = l
	c.o.Dispatcher.LimitRetries(l)
	c.o.Logger.Info("retry limits in force", "reserve", l.Reserve, "share", l.Share, "nodes", c.allowance.Nodes(now), "nodesTold", c.nodeCount)
}

// RequestReport requests that this node's demand be reported at once. It may be called from any goroutine.
func (c *Controller) RequestReport() {
	// If the inbox is full, the owner reports at a later tick.
	c.inbox.Offer(reportNow{})
}

type reportNow struct{}

func (reportNow) handle(c *Controller) { c.dirty = true }

// EndpointDraining records that an endpoint refused work because it is draining, or because its address now belongs to
// another endpoint.
func (c *Controller) EndpointDraining(id string) {
	c.inbox.Send(context.Background(), endpointDraining{id})
}

type endpointDraining struct{ id string }

func (m endpointDraining) handle(c *Controller) {
	if c.directory.Drain(m.id) {
		c.o.Logger.Info("endpoint refused work because it is draining or gone", "endpoint", m.id)
		c.touch(m.id)
		c.listChanged(c.o.Clock.Now())
	}
}

// UnitMissing records that an engine refused a request because it does not hold the pool's unit.
func (c *Controller) UnitMissing(engine, pool string) {
	c.inbox.Send(context.Background(), unitMissing{engine, pool})
}

type unitMissing struct{ engine, pool string }

func (m unitMissing) handle(c *Controller) {
	now := c.o.Clock.Now()
	c.o.Logger.Info("engine lacks a unit that it was expected to hold", "engine", m.engine, "pool", m.pool)
	c.misses[missKey(m)] = now.Add(missTTL)
	c.touch(m.engine)
	c.dirty = true
	if c.held {
		c.planner.HandleMissing(m.engine, now)
		return
	}
	c.unreportedMisses = append(c.unreportedMisses, peer.Miss{Engine: m.engine, Pool: m.pool})
}

// sendReport reports this node's use to the lease holder: periodically, and at once if dirty is set.
func (c *Controller) sendReport(ctx context.Context, now time.Time) {
	due := now.Sub(c.reportedAt) >= min(maxReportInterval, reportEvery+time.Duration(c.nodeCount)*reportPerNode)
	if !c.dirty && !due || c.reporting {
		return
	}
	if c.held {
		c.dirty, c.reportedAt = false, now
		c.planner.RecordUsage(c.o.Self.Holder, c.uses(now), now)
		return
	}
	h := c.holderState.target()
	if h.Holder == "" || h.Incarnation == c.o.Self.Incarnation {
		return
	}
	c.dirty, c.reportedAt, c.reporting = false, now, true
	r := &peer.Report{Node: c.o.Self.Holder, Address: c.o.Self.Address, Hall: c.o.Hall, Strength: c.o.Strength, StoreUnreachable: c.storeUnavailable(now), Stopping: c.stopping.Load(), CutOff: c.cutOff(), Partitioned: c.quotas.partitioned(), Use: c.wireUses(now), Misses: c.unreportedMisses, Gaps: peer.EncodeGaps(c.o.Dispatcher.TakeGaps())}
	c.unreportedMisses = nil
	to := c.reportSuspects(r, h.Incarnation, now)
	signalsTo := c.reportSignals(r, h.Incarnation, now)
	go func() {
		err := c.o.Peers.Report(ctx, h.Address, r)
		c.inbox.Send(ctx, reportSent{h.Incarnation, to, signalsTo, err})
	}()
}

// storeUnavailable reports whether the last read of the lease topic has just failed and no append of this node is
// under way, which might give it the lease.
func (c *Controller) storeUnavailable(now time.Time) bool {
	return !c.leaseReadFailedAt.IsZero() && !c.lease.TakeoverPending() && now.Sub(c.leaseReadFailedAt) <= lease.ReportFresh
}

// reportMark holds the versions up to which one lease holder has received this node's reports.
type reportMark struct {
	// incarnation is that of the lease holder.
	incarnation string
	// suspects is the version of the suspected requests, and signals is the version of the endpoints' signals.
	suspects, signals uint64
}

// of returns the versions that a lease holder has received; zero versions for another holder than the recorded one.
func (r reportMark) of(incarnation string) reportMark {
	if r.incarnation != incarnation {
		return reportMark{incarnation: incarnation}
	}
	return r
}

type reportSent struct {
	// incarnation is that of the lease holder, and suspectsTo and signalsTo are the versions that the report
	// reached.
	incarnation           string
	suspectsTo, signalsTo uint64
	err                   error
}

func (m reportSent) handle(c *Controller) {
	c.reporting = false
	if m.err != nil {
		c.o.Logger.Debug("report to the lease holder failed", "error", m.err.Error())
		return
	}
	c.reportAcked = reportMark{incarnation: m.incarnation, suspects: m.suspectsTo, signals: m.signalsTo}
}

// uses returns this node's use of each unit. The regions of a pool are added up.
func (c *Controller) uses(now time.Time) []placement.Usage {
	var out []placement.Usage
	for _, u := range c.o.Dispatcher.Usage() {
		pool, _ := region.SplitPool(u.Pool)
		unit, ok := placement.ParsePool(pool)
		if !ok {
			continue
		}
		out = addUse(out, placement.Usage{Unit: unit, Bound: u.Bound, Build: u.Build, Waiting: u.Waiting, Arrivals: u.Arrivals, Deferred: u.Deferred, Late: u.Late, Tokens: u.Tokens, LongTokens: u.LongTokens, Objective: u.Objective, NextDue: u.Urgent, LastDue: u.Last, Rank: u.Rank, RunningAt: u.RunningAt, ReadingAt: u.ReadingAt})
	}
	return out
}

// addUse adds u to the use of its unit, since several regions of a pool have the same unit. The earliest urgent time,
// the latest last time, the smallest objective and the most urgent rank apply to the sum.
func addUse(uses []placement.Usage, u placement.Usage) []placement.Usage {
	i := slices.IndexFunc(uses, func(o placement.Usage) bool { return o.Unit == u.Unit && o.Bound == u.Bound && o.Build == u.Build })
	if i < 0 {
		return append(uses, u)
	}
	o := &uses[i]
	if o.Waiting == 0 || u.Waiting > 0 && u.Rank < o.Rank {
		o.Rank = u.Rank
	}
	o.Waiting, o.Arrivals, o.Deferred, o.Late = o.Waiting+u.Waiting, o.Arrivals+u.Arrivals, o.Deferred+u.Deferred, o.Late+u.Late
	o.Tokens, o.LongTokens = o.Tokens+u.Tokens, o.LongTokens+u.LongTokens
	if o.Objective == 0 || u.Objective > 0 && u.Objective < o.Objective {
		o.Objective = u.Objective
	}
	if o.NextDue.IsZero() || !u.NextDue.IsZero() && u.NextDue.Before(o.NextDue) {
		o.NextDue = u.NextDue
	}
	if u.LastDue.After(o.LastDue) {
		o.LastDue = u.LastDue
	}
	for endpoint, n := range u.ReadingAt {
		o.ReadingAt[endpoint] += n
	}
	for endpoint, n := range u.RunningAt {
		o.RunningAt[endpoint] += n
	}
	return uses
}

func (c *Controller) wireUses(now time.Time) []peer.PoolUsage {
	var out []peer.PoolUsage
	for _, u := range c.uses(now) {
		w := peer.PoolUsage{Pool: u.Unit.Pool(), Bound: u.Bound, Build: u.Build, Waiting: u.Waiting, Arrivals: u.Arrivals, Deferred: u.Deferred, Late: u.Late, Tokens: u.Tokens, LongTokens: u.LongTokens, ObjectiveMs: u.Objective.Milliseconds(), RunningAt: u.RunningAt, ReadingAt: u.ReadingAt}
		if !u.NextDue.IsZero() {
			w.Rank = u.Rank
			w.UrgentInMs, w.LastInMs = u.NextDue.Sub(now).Milliseconds(), u.LastDue.Sub(now).Milliseconds()
		}
		out = append(out, w)
	}
	return out
}
