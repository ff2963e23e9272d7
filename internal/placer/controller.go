package placer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/lease"
	"olivetiller/core/logstore"
	"olivetiller/core/placement"
	"olivetiller/core/quarantine"
	"olivetiller/core/quota"
	"olivetiller/core/retry"
	"olivetiller/core/view"
	"olivetiller/internal/inbox"
	"olivetiller/internal/isolation"
	"olivetiller/internal/traffic"
	"olivetiller/io/peer"
)

// Store is the platform's log store. Lease, Configs, Instances and Verdicts return the page of a topic that begins at
// a position, and wait up to wait for a first record. The Newest methods return the latest record of every key, and
// fail if no data arrives for the duration silence. Append writes a lease record if the lease topic ends at the
// offset at, and KeepVerdict writes a verdict on a quarantined request. Reads that fail because of the position
// return a [logstore.Error].
type Store interface {
	Append(ctx context.Context, at uint64, record []byte) (offset uint64, err error)
	Lease(ctx context.Context, from uint64, wait time.Duration) (logstore.Page[[]byte], error)
	Configs(ctx context.Context, from uint64, wait time.Duration) (logstore.Page[logstore.Config], error)
	Instances(ctx context.Context, from uint64, wait time.Duration) (logstore.Page[logstore.Instance], error)
	NewestConfig(ctx context.Context, silence time.Duration) (logstore.Page[logstore.Config], error)
	NewestInstances(ctx context.Context, silence time.Duration) (logstore.Page[logstore.Instance], error)
	Verdicts(ctx context.Context, from uint64, wait time.Duration) (logstore.Page[logstore.Verdict], error)
	NewestVerdicts(ctx context.Context, silence time.Duration) (logstore.Page[logstore.Verdict], error)
	KeepVerdict(ctx context.Context, v logstore.Verdict) error
}

// Engines sends orders to engines and fetches their reports.
type Engines interface {
	Order(ctx context.Context, o placement.Order) (placement.Reply, error)
	Report(ctx context.Context, engine, address string) (placement.Report, error)
}

// Peers calls other nodes by address. Report, Watch, RequestGrant and RequestRunLock are answered by the lease holder,
// Watch also by feeders, and Lease and Exchange by any node.
type Peers interface {
	Report(ctx context.Context, address string, r *peer.Report) error
	Watch(ctx context.Context, address string, q peer.WatchRequest) (*peer.Snapshot, error)
	Lease(ctx context.Context, address string) (*peer.LeaseMark, error)
	Exchange(ctx context.Context, address string, e *peer.Exchange) (*peer.Exchange, error)
	RequestGrant(ctx context.Context, address string, q *peer.GrantRequest) (*peer.Grant, error)
	RequestRunLock(ctx context.Context, address string, q *peer.RunLockRequest) (*peer.RunLock, error)
}

// Options configure a [Controller].
type Options struct {
	// Self is the record that this node appends to take the lease.
	Self    lease.Record
	Clock   clockwork.Clock
	Logger  hclog.Logger
	Store   Store
	Engines Engines
	Peers   Peers
	// Paths tells which endpoints this node reaches; nil if it reaches all that any node does.
	Paths      Paths
	Dispatcher *traffic.Dispatcher
	// Isolation tracks requests suspected of crashing engines and keeps them from healthy ones. If nil, New creates a
	// guard that no dispatcher reports to.
	Isolation *isolation.Guard
	Limits    placement.Limits
	// TakeoverDelay is how much longer than other nodes this node waits before it takes a free lease; weak machines
	// wait longer.
	TakeoverDelay time.Duration
	// Hall is the data hall of this node. Regions maps each data hall to its region.
	Hall    string
	Regions map[string]string
	// Strength ranks machines (cores times link speed); a strong machine is preferred as lease holder, since the
	// holder works for all nodes. 0 means unknown.
	Strength float64
	// Bound is the shortest time within which the platform requires a change to take effect; 0 selects a default.
	Bound time.Duration
	// Fenced is true if engines check the fence of an order.
	Fenced bool
	// TurnBound is the time within which orders of two nodes must not alternate at an engine; see [lease.Turns]. It is 0 if
	// engines check the fence.
	TurnBound time.Duration
	// Heartbeat is the interval at which endpoints write their entries, and Contact how long after a disruption of a node the
	// platform's bounds hold for it again; 0 selects a default.
	Heartbeat, Contact time.Duration
	// FirstStart is true if the whole fleet is started for the first time, so that an empty lease topic has lost nothing.
	FirstStart bool
	// Tolerance is by how much requests may exceed customers' limits.
	Tolerance quota.Tolerance
	// ColdTolerance is by how much requests may exceed the rate that a cold endpoint accepts.
	ColdTolerance quota.ColdTolerance
	// Own holds the addresses on which this node listens. An endpoint entry with one of them is rejected, since this
	// node would forward requests to itself.
	Own []string
	// Retries limit the retries of all nodes together.
	Retries retry.Limits
}

// Intervals, timeouts and limits of the controller.
const (
	// tickEvery is the interval of checks that depend on time alone.
	tickEvery = 100 * time.Millisecond
	// reportEvery is the interval of this node's reports while no request waits. It grows by reportPerNode for each
	// node, up to maxReportInterval, so that the lease holder's load stays bounded.
	reportEvery       = 200 * time.Millisecond
	reportPerNode     = 8 * time.Millisecond
	maxReportInterval = time.Second
	// holderTTL is how long the lease holder's latest state of the engines is used.
	holderTTL = 2 * time.Second
	// missTTL is how long an engine's reply that it lacks a unit is used. The lease holder has asked the engine for a
	// report by then.
	missTTL = time.Second
	// orderTimeout bounds an order and a request for a report; engines answer both at once.
	orderTimeout = time.Second
	// appendTimeout bounds an append to the store.
	appendTimeout = 1500 * time.Millisecond
	// inboxSize is the capacity of the owner's inbox, in messages.
	inboxSize = 256
)

// message is an event for the owner of the controller. handle runs on the owner's goroutine.
type message interface{ handle(c *Controller) }

// Controller is the control side of a node. The atomic fields and the types that lock themselves may be used from any
// goroutine. The fields from eras on belong to the goroutine of Run.
type Controller struct {
	o      Options
	timing timing
	inbox  *inbox.Inbox[message]
	view   atomic.Pointer[view.View]
	// config is the configuration in force; never nil. Only the owner replaces it.
	config    atomic.Pointer[confirmedConfig]
	stopping  atomic.Bool
	published publication
	// relay is what this node, as a feeder, publishes to its followers.
	relay   publication
	feeding feedState
	// holderSeenAt is when the lease holder had sent the latest state received here, for metrics.
	holderSeenAt atomic.Pointer[time.Time]
	// startedAt is when this controller was created.
	startedAt time.Time
	// firstReady is closed when the first view that is ready is in force, which wasReady records.
	firstReady chan struct{}
	wasReady   bool
	// relayed is the age mark of the latest relayed store state; nil if none was received.
	relayed  atomic.Pointer[relayMark]
	gateways gatewayState
	// latestLease is the latest lease record known here; nil if there is none.
	latestLease atomic.Pointer[peer.LeaseMark]
	// leaseRead is up to where the lease topic is known; nil if nothing is.
	leaseRead atomic.Pointer[leaseRead]
	// listedAsOf is a time at which the list of endpoints had nothing that the view in force does not show; nil before the
	// first read.
	listedAsOf atomic.Pointer[time.Time]
	// newest reads what the store has now.
	newest sharedRead[newestState]
	peers  peerList
	// leading is set while this node holds the lease. leaseUncertain is set until the lease topic was read, and again
	// after a failed append, a handover or a restore of the store. The lease reader is idle while leading is set and
	// leaseUncertain is not, since a holder knows the end of the topic from its own appends.
	leading, leaseUncertain atomic.Bool
	// storeHealth tracks whether the store answers reads of and appends to the lease topic.
	storeHealth storeHealth
	// storeLoads is how many loads from the weight store the planner allows at once; 0 before this node first held
	// the lease.
	storeLoads atomic.Int64
	// faults counts the store's records that were skipped.
	faults faults
	// engineRestarts counts the engines that were seen to restart under the same id.
	engineRestarts atomic.Int64
	// holderLostStore is set while the lease holder reports that the store does not answer it.
	holderLostStore atomic.Bool
	// configsOverdue counts how often the configuration went unconfirmed for longer than the bound.
	configsOverdue atomic.Int64
	// restores counts how often the store was restored from an older backup.
	restores atomic.Int64
	quotas   quotas
	// memberCount is the number of nodes over which limits are divided while this node is partitioned from the lease
	// holder; 0 if unknown.
	memberCount atomic.Int64

	eras      eras
	lease     *lease.Lease
	turns     *lease.Turns
	planner   *placement.Planner
	directory *directory.Directory
	// lapses decides for how long removals of entries are held back after an outage of the store, and removalHeld is true if one
	// was at the last read. listReadAt is when this node last sent a read of the list that reached its end.
	lapses      *directory.Lapses
	removalHeld bool
	listReadAt  time.Time
	// held is true while this node orders engines as the lease holder.
	held bool
	// listed is set once the list of endpoints was read or received, and listedTo is the version up to which it was
	// read.
	listed   bool
	listedTo uint64
	// terms counts how often this process has published as the lease holder.
	terms int
	// termPublished is true once this term's publication has begun, which requires the list of endpoints. inherited
	// is what the previous lease holder had published of each engine, by engine id.
	termPublished bool
	inherited     map[string][]string
	// heldSince is when this node last gained the lease.
	heldSince        time.Time
	holderState      holderState
	misses           map[missKey]time.Time
	unreportedMisses []peer.Miss
	// reporting is true while a report is being sent; dirty requests another one without waiting for the interval.
	reporting, dirty bool
	reportedAt       time.Time
	nodes            map[string]follower
	// peersChosenAt is when this node, as the lease holder, last chose the peers and gateways to publish.
	peersChosenAt time.Time
	// viewStale requests a new view: of the endpoints in touched, or of all endpoints if rebuildAll is set. index holds
	// the endpoints of the latest view, and startsRecorded is what directory.StartsPublished returned when it was
	// built.
	viewStale, rebuildAll bool
	touched               map[string]bool
	names                 interner
	index                 *index
	startsRecorded        bool
	// outage decides whether this node continues as the lease holder after its lease has expired while the store does
	// not answer.
	outage *lease.Outage
	// paused is set while this node, a holder with an expired lease, awaits the other nodes' reports on the store. It
	// sends no orders meanwhile.
	paused bool
	// leaseReadFailedAt is when the lease reader last got no answer; zero after a successful read.
	leaseReadFailedAt time.Time
	// planAt is the earliest time of the next plan; planDue is set if a plan waits for it.
	planAt  time.Time
	planDue bool
	// nodeCount is the number of nodes that share the traffic, by the lease holder's latest count.
	nodeCount int
	// allowance computes this node's share of the retry limits, and retries is the share in force.
	allowance *retry.Allowance
	retries   retry.Limits
	// pooledRetries is how many retries for one service the lease holder may grant to all nodes within a window.
	pooledRetries float64
	suspects      suspects
	reportAcked   reportMark
	halls         hallState
	runLocks      runLocks
	// overdueConfig tracks whether the configuration is confirmed in time.
	overdueConfig overdueConfig
	builds        builds
	uneven        uneven
	// boundUnheld is true if a node of this fleet may miss the platform's bound.
	boundUnheld bool
}

type missKey struct{ engine, pool string }

// New returns a controller for o. It does nothing until Run is called.
func New(o Options) *Controller {
	c := &Controller{
		o: o, inbox: inbox.New[message](inboxSize),
		lease: lease.New(o.Self, o.TakeoverDelay), planner: placement.New(o.Limits), directory: directory.New(),
		misses: make(map[missKey]time.Time), touched: make(map[string]bool), names: make(interner), index: newIndex(), rebuildAll: true, nodes: make(map[string]follower), outage: lease.NewOutage(o.Self.Holder, o.Fenced), timing: timingFor(o.Bound),
	}
	c.startedAt, c.firstReady = o.Clock.Now(), make(chan struct{})
	c.turns = lease.NewTurns(o.TurnBound, c.startedAt)
	c.lapses = directory.NewLapses(o.Heartbeat, o.Contact)
	c.peers.init(o.Self.Incarnation)
	c.gateways.reset()
	c.published.init()
	c.relay.init()
	c.quotas.init(o.Self.Incarnation, o.Tolerance)
	c.suspects.init(&c.o)
	c.runLocks.locks = quarantine.NewRunLocks()
	c.uneven.init()
	c.leaseUncertain.Store(true)
	divided, pooled := o.Retries.Split()
	c.allowance, c.pooledRetries = retry.NewAllowance(divided), pooled
	c.limitRetries(o.Clock.Now())
	c.view.Store(&view.View{})
	c.config.Store(&confirmedConfig{})
	return c
}

// View returns the view in force; never nil.
func (c *Controller) View() *view.View { return c.view.Load() }

// Stopping reports whether a planned stop has begun.
func (c *Controller) Stopping() bool { return c.stopping.Load() }

// Ready reports whether the platform's load balancer may send traffic to this node.
func (c *Controller) Ready() bool { return c.View().Ready && !c.Stopping() }

// startupTime is how long after its start a node is expected to be ready within moments.
const startupTime = 5 * time.Second

// AwaitReady implements caller.Starting.
func (c *Controller) AwaitReady() (ready <-chan struct{}, soon bool) {
	soon = !c.storeHealth.unavailable() && c.o.Clock.Now().Sub(c.startedAt) < startupTime
	return c.firstReady, soon
}

// HoldsLease reports whether this node orders the engines now.
func (c *Controller) HoldsLease() bool { return c.leading.Load() }

// Run runs the controller until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	defer c.inbox.End()
	c.startReaders(ctx)
	tick := c.o.Clock.NewTicker(tickEvery)
	defer tick.Stop()
	wake := c.o.Clock.NewTimer(tickEvery)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox.C:
			m.handle(c)
			c.inbox.Drain(func(m message) { m.handle(c) })
		case <-tick.Chan():
			c.tick()
		case <-wake.Chan():
		}
		c.step(ctx)
		if at, ok := c.wakeAt(); ok {
			wake.Reset(max(time.Millisecond, at.Sub(c.o.Clock.Now())))
		}
	}
}

// wakeAt returns when the planner next needs to run; ok is false if nothing is scheduled.
func (c *Controller) wakeAt() (at time.Time, ok bool) {
	switch {
	case !c.held:
		return time.Time{}, false
	case c.planDue:
		return c.planAt, true
	}
	at = c.planner.WakeAt()
	return at, !at.IsZero()
}

// tick runs the checks that depend on time alone.
func (c *Controller) tick() {
	now := c.o.Clock.Now()
	c.dropExpired(now)
	if c.holderState.expired(now) || c.halls.becameWarm(now) {
		c.touchAll()
	}
	if c.held {
		c.dropSilentNodes(now)
		c.planTree(now)
	}
	c.checkSuspects(now)
	c.checkConfigAge(now)
	c.logUnheldBound()
	c.limitRetries(now)
	for k, until := range c.misses {
		if now.After(until) {
			delete(c.misses, k)
			c.touch(k.engine)
		}
	}
}

// dropExpired updates the endpoints whose entries have expired from the directory since the last check.
func (c *Controller) dropExpired(now time.Time) {
	expired := false
	for _, id := range c.directory.Gone() {
		if c.index.has(id) && c.directory.Find(id, now) == nil {
			c.touch(id)
			expired = true
		}
	}
	if expired {
		c.listChanged(now)
	}
}

// step acts on the current state: lease, draining, reports, quotas, verdicts, orders and view.
func (c *Controller) step(ctx context.Context) {
	now := c.o.Clock.Now()
	c.maintainLease(ctx, now)
	c.releaseOnceSettled(ctx, now)
	c.updateLatestLease()
	c.updateLeaseRead()
	c.followLedger()
	c.logRestarts()
	c.applyDraining(now)
	c.estimateUneven(now)
	c.sendReport(ctx, now)
	c.probeQuotaHolder(ctx, now)
	c.storeVerdicts(ctx, now)
	if c.held && !c.paused {
		c.sendOrders(ctx, now)
	}
	if c.viewStale {
		c.viewStale = false
		c.publish(now)
	}
	c.updateListedAsOf()
}

// maintainLease renews or takes the lease, and starts or ends this node's term when the lease is gained or lost.
func (c *Controller) maintainLease(ctx context.Context, now time.Time) {
	c.handOver(now)
	c.lease.SetUrgent(c.held && c.listed && !c.builds.readsHistory() && c.ledgerBehind())
	if c.lease.ShouldAppend(now) && !c.stopping.Load() && !c.defersToHolder(now) && !c.listTimedOut(now) {
		c.lease.SetMembers(c.quotas.members(now))
		c.lease.SetReturned(c.turns.Waiting(c.lease, now) > 0)
		c.lease.SetLedger(c.nextLedger(ctx, now))
		go c.append(ctx, c.lease.Begin(now, c.outage.Others(now)))
	}
	if c.planner.Fenced() {
		c.lease.Superseded()
	}
	fence, held := c.lease.Held(now)
	c.paused = false
	why := ""
	switch {
	case held:
		c.published.extend(c.lease.Until())
		c.quotas.extend(c.lease.Until())
		c.outage.Acting(now)
	case c.held:
		var verdict lease.Decision
		verdict, why = c.outage.Decide(c.lease, now)
		held, c.paused = verdict != lease.StepDown, verdict == lease.Wait
		if verdict == lease.Continue {
			c.published.extend(now.Add(unleasedOrderWindow))
		}
	}
	c.published.setHolderLostStore(held && c.outage.SuspectsStore(c.lease, now))
	if held && c.held && c.listed && !c.termPublished {
		c.beginTerm(fence, now)
	}
	if held && c.published.raiseFence(fence) {
		c.o.Logger.Info("fencing number raised, the store was restored during this term", "fence", fence)
	}
	if held == c.held {
		return
	}
	c.held = held
	c.leading.Store(held)
	if held {
		// The previous holder may have stored more verdicts; compare the store with this node's state again.
		c.suspects.storeRead.Store(false)
		c.suspects.storedTo = 0
	}
	holder, _ := c.lease.Holder()
	if held {
		c.heldSince = now
		c.o.Logger.Info("lease gained", "fence", fence, "enginesWaiting", c.turns.Waiting(c.lease, now))
		c.outage.Acquired(c.lease, now)
		c.relay.end()
		c.inherited = c.holderState.serving
		c.listChanged(now)
		c.planner.Reset(fence == lease.FirstFence, now)
		c.quotas.begin(c.lease.Members(), now)
		c.published.setConfig(*c.config.Load())
		c.published.setEvacuations(c.halls.evacuated.Halls(), c.halls.evacuated.AsOf())
		c.published.collectRequests(now, int(c.feeding.nodes.Load()), c.feeding.plan())
		c.setNodes(len(c.nodes)+1, now)
		c.termPublished = false
		if c.listed {
			c.beginTerm(fence, now)
		}
		c.published.setLease(holder, c.lease.End()-1)
	} else {
		c.o.Logger.Info("lease lost", "holder", holder.Holder, "fence", fence, "why", why)
		c.published.end()
		c.quotas.end()
	}
	c.touchAll()
}

// beginTerm publishes this node's state under an incarnation of its own. A removal between two terms of one process
// is not recorded in the publication, so that followers must replace their lists with the full one.
func (c *Controller) beginTerm(fence uint64, now time.Time) {
	c.terms++
	c.termPublished = true
	c.published.begin(fmt.Sprintf("%s/%d", c.o.Self.Incarnation, c.terms), fence, c.allowance.Nodes(now), c.directory.Records(now), c.listedTo)
	c.uneven.beginTerm(now)
	c.published.publishUneven(c.uneven.Uneven)
}

// listTimeout is how long a lease holder may take to read the list of endpoints. A holder that cannot read it stops
// renewing, so that another node takes over.
const listTimeout = 3 * time.Second

// listTimedOut reports whether this node, which has held the lease, could not read the list of endpoints within
// listTimeout. It is true for two lease periods, during which the node neither renews nor takes the lease, so that
// another node can take it.
func (c *Controller) listTimedOut(now time.Time) bool {
	if c.listed || c.heldSince.IsZero() {
		return false
	}
	since := now.Sub(c.heldSince)
	return since > listTimeout && since < listTimeout+2*lease.TTL
}

// unleasedOrderWindow is how far ahead a holder whose lease has expired permits its own orders. Together with
// [lease.ReportFresh] it is less than holderTTL.
const unleasedOrderWindow = 300 * time.Millisecond

// defersToHolder reports whether this node leaves a holder that could not renew in place: the holder still sends
// snapshots, and the store did not answer this node either.
func (c *Controller) defersToHolder(now time.Time) bool {
	return !c.held && c.holderState.fresh && c.outage.FailedRecently(now)
}

// append sends an append of a lease record, and its result to the owner.
func (c *Controller) append(ctx context.Context, a lease.Append) {
	begun := c.o.Clock.Now()
	offset, err := c.appendLease(ctx, a)
	if err != nil {
		c.inbox.Send(ctx, leaseFailed{a, err})
		return
	}
	c.inbox.Send(ctx, leaseAppended{a, offset, begun})
}

// appendLease sends an append of a lease record, and fails if the topic does not end at a.At.
func (c *Controller) appendLease(ctx context.Context, a lease.Append) (offset uint64, err error) {
	raw, err := json.Marshal(a.Record)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return c.o.Store.Append(ctx, a.At, raw)
}

type leaseAppended struct {
	append lease.Append
	offset uint64
	// begun is when the append was sent.
	begun time.Time
}

func (m leaseAppended) handle(c *Controller) {
	now := c.o.Clock.Now()
	c.lease.Acknowledged(m.append, m.offset, now)
	// A holder does not read the lease topic, so that its appends are what shows that the store answers.
	c.storeHealth.succeeded(m.begun)
	if m.append.Record.Release {
		c.o.Logger.Info("lease released", "position", m.offset)
		c.leaseReleased()
		return
	}
	c.outage.Renewed(now)
	if rec, offset, ok := c.lease.Latest(); ok && offset == m.offset {
		c.published.setLease(rec, offset)
	}
}

type leaseFailed struct {
	append lease.Append
	err    error
}

func (m leaseFailed) handle(c *Controller) {
	if m.append.Record.Release {
		// It may still take effect: a read of the topic will show.
		c.o.Logger.Info("release of the lease failed", "error", m.err.Error())
	} else {
		c.o.Logger.Debug("append of a lease record failed", "error", m.err.Error())
	}
	c.lease.Failed(m.append, c.o.Clock.Now())
	c.leaseUncertain.Store(true)
}

// BeginStop begins a planned stop: the node reports that it is stopping, orders engines no more, and releases the lease if
// it holds it or an append in flight gives it the lease.
func (c *Controller) BeginStop(ctx context.Context) {
	c.stopping.Store(true)
	c.inbox.Send(ctx, stop{})
}

type stop struct{}

func (stop) handle(c *Controller) {
	// Report the stop to the lease holder at once.
	c.dirty = true
	c.lease.Stop()
}
