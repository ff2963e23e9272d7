package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"olivetiller/core/demand"
	"olivetiller/core/ledger"
	"olivetiller/core/membership"
	"olivetiller/core/plan"
	"olivetiller/core/policy"
	"olivetiller/core/view"
	"olivetiller/internal/inbox"
	"olivetiller/internal/traffic"
	"olivetiller/io/engine"
	"olivetiller/io/instancelist"
	"olivetiller/io/logservice"
	"olivetiller/io/node"
	pb "olivetiller/proto/olivetiller/v1"
)

// Streams of the log service: the records, and the snapshots of the state.
const (
	ControlStream  = "control"
	SnapshotStream = "snapshots"
)

// Options are the settings and clients of a controller.
type Options struct {
	// Self is the incarnation of this node.
	Self ledger.NodeRef
	// Hall is the node's data hall.
	Hall   string
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Log is the client of ControlStream.
	Log *logservice.Client
	// Snapshots is the client of SnapshotStream.
	Snapshots  *logservice.Client
	List       *instancelist.Client
	Engines    *engine.Client
	Peers      *node.Client
	Dispatcher *traffic.Dispatcher
	// AppendPause is the minimum time between two appends of this node.
	AppendPause time.Duration
	// SnapshotEvery is the number of log entries between two snapshots.
	SnapshotEvery uint64
	// Policy decides which idle replicas stay loaded; nil means [policy.Costed] with
	// the default weights.
	Policy plan.Policy
}

// Controller runs the control plane of a node. Its exported methods are safe for
// concurrent use.
type Controller struct {
	Options
	inbox    *inbox.Inbox[message]
	view     atomic.Pointer[view.View]
	appender *logservice.Appender
	// lastContact is when the log or a peer last reported its offset, in Unix
	// nanoseconds.
	lastContact atomic.Int64
	// next is the offset at which the log tail reads next.
	next atomic.Uint64
	// tailsLog is true if this node reads the log itself. feederAckedAt is when its
	// feeder last answered a probe, in Unix nanoseconds.
	tailsLog      atomic.Bool
	feederAckedAt atomic.Int64
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
	watchers watchers
	// demandWake makes demandLoop report demand at once.
	demandWake chan struct{}
	Metrics    *Metrics

	// The fields below belong to the control goroutine.

	state *ledger.State
	// booted is true once state holds a decided state.
	booted bool
	// catchUpTarget is the offset up to which the log must be applied before
	// caughtUp is set.
	catchUpTarget uint64
	caughtUp      bool
	// diverged is true if the state hash differs from that of the other nodes.
	diverged bool
	planner  *plan.Planner
	members  *membership.Table
	demand   *demand.Table
	// engines holds the observed state of the engines by name.
	engines map[string]*plan.Engine
	// instances is the latest instance list; listRead is true once there is one.
	instances []instancelist.Instance
	listRead  bool
	// waiters holds the reply channels of proposals by sequence number.
	waiters map[uint64]chan ledger.Outcome
	// resolved holds the outcomes to send once the view is published.
	resolved []resolvedProposal
	// earlyEntries holds log entries by offset that cannot be applied before those
	// below them have arrived.
	earlyEntries map[uint64][]byte
	// sentOrders holds the fence of the last order sent for each placement.
	sentOrders map[ledger.Key]uint64
	// homeAcked holds when each home last acknowledged a demand report.
	homeAcked map[string]time.Time
	// leaving holds the instances announced to stop, and when that was last reported.
	leaving map[string]time.Time
	snap    snapshots
	feed    membership.Feed
	// probeRound counts the rounds of probes.
	probeRound int
	builder    *view.Builder
	// live holds the names of the live nodes in the view.
	live []string
	// lastServices holds the plain services in the view.
	lastServices []view.Service
	// viewStale is true if the view must be published again.
	viewStale bool
}

// message is an event or a query that the control goroutine handles.
type message interface {
	handle(c *Controller)
}

// inboxSize bounds the messages that wait for the control goroutine. Senders block
// while the inbox is full.
const inboxSize = 4096

// tickInterval is the longest time between two plans.
const tickInterval = 100 * time.Millisecond

// New returns a controller. It does nothing until Run is called.
func New(o Options) *Controller {
	c := &Controller{
		Options: o, inbox: inbox.New[message](inboxSize), Metrics: newMetrics(), demandWake: make(chan struct{}, 1),
		state: ledger.NewState(), members: membership.NewTable(o.Self), demand: demand.NewTable(),
		engines: make(map[string]*plan.Engine), waiters: make(map[uint64]chan ledger.Outcome),
		earlyEntries: make(map[uint64][]byte), sentOrders: make(map[ledger.Key]uint64),
		homeAcked: make(map[string]time.Time), leaving: make(map[string]time.Time),
	}
	if c.Policy == nil {
		c.Policy = policy.NewCosted(policy.DefaultWeights)
	}
	c.planner = plan.New(o.Self, c.Policy, rand.Float64())
	c.appender = logservice.NewAppender(o.Self.Node, o.Self.Incarnation, o.Log, o.Clock, o.AppendPause, c.entryAppended)
	c.snap = newSnapshots()
	c.builder = view.NewBuilder()
	first, _ := c.builder.Build(&view.Input{Ledger: c.state})
	c.view.Store(first)
	return c
}

// View returns the latest published view; never nil.
func (c *Controller) View() *view.View { return c.view.Load() }

// LastContact returns when the log or a peer last reported its offset to this node.
func (c *Controller) LastContact() time.Time { return time.Unix(0, c.lastContact.Load()) }

// Stopping reports whether a planned stop has begun.
func (c *Controller) Stopping() bool { return c.stopping.Load() }

// Run runs the controller and its loops until the context ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		c.controlLoop, c.appender.Run, c.listLoop, c.engineLoop, c.probeLoop, c.demandLoop, c.bootAndTail,
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
}

// controlLoop is the control goroutine: it handles messages and ticks, and plans
// after each.
func (c *Controller) controlLoop(ctx context.Context) {
	defer c.inbox.End()
	ticker := c.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox.C:
			m.handle(c)
			c.inbox.Drain(func(m message) { m.handle(c) })
		case <-ticker.Chan():
			c.deleteStaleOrders()
			c.updateLive()
			c.rereadGap()
		}
		c.planAndPublish(ctx)
	}
}

// updateLive marks the view stale if the set of live nodes has changed.
func (c *Controller) updateLive() {
	live := c.members.Live(c.Clock.Now(), false)
	if !slices.Equal(live, c.live) {
		c.live = live
		c.viewStale = true
	}
}

// pause sleeps for d or until the context ends.
func (c *Controller) pause(ctx context.Context, d time.Duration) {
	select {
	case <-c.Clock.After(d):
	case <-ctx.Done():
	}
}

// planAndPublish performs the next plan if the node has caught up with the log,
// publishes the view if it is stale, and then replies to proposers.
func (c *Controller) planAndPublish(ctx context.Context) {
	now := c.Clock.Now()
	if c.booted && c.caughtUp && !c.diverged {
		for _, a := range c.planner.Plan(c.planInput(now)) {
			c.perform(ctx, a, now)
		}
		c.proposeMark()
	}
	if c.viewStale {
		c.viewStale = false
		c.publish()
	}
	c.resolveWaiters()
}

func (c *Controller) planInput(now time.Time) *plan.Input {
	return &plan.Input{
		Now: now, Live: c.members.Live(now, c.stopping.Load()), Ledger: c.state, Demand: c.demand, Engines: c.engines,
		Alive:     func(ref ledger.NodeRef) bool { return c.members.Alive(ref, now) },
		HomeAcked: func(home string) bool { return now.Sub(c.homeAcked[home]) < homeAckTTL },
	}
}

// perform submits a proposal or starts sending an order, unless the order with
// this fence was started before.
func (c *Controller) perform(ctx context.Context, a plan.Action, now time.Time) {
	if a.Propose != nil {
		if _, err := c.appender.Submit(a.Propose); err != nil {
			c.Logger.Warn("proposal dropped", "error", err.Error())
		}
		return
	}
	o := a.Order
	if c.sentOrders[o.Key] == o.Fence {
		return
	}
	if now.After(o.LeaseEnd) {
		c.planner.ExpireLease(o.Key)
		return
	}
	c.sentOrders[o.Key] = o.Fence
	go c.execute(ctx, o)
}

// publish builds a new view and passes it to the dispatcher of requests.
func (c *Controller) publish() {
	v, changed := c.builder.Build(&view.Input{
		Ledger: c.state, Engines: c.engines, Services: c.services(),
		LoadingSince: c.planner.LoadingSince(), Live: c.live,
		Ready: c.booted && c.caughtUp && !c.diverged, Diverged: c.diverged,
	})
	old := c.view.Swap(v)
	c.Dispatcher.Update(v, changed)
	if old.Revision != v.Revision || old.Ready != v.Ready {
		c.watchers.notify()
	}
}

func (c *Controller) services() []view.Service {
	var out []view.Service
	for _, in := range c.instances {
		if in.Kind != instancelist.KindService {
			continue
		}
		out = append(out, view.Service{
			Service:  in.Service,
			Endpoint: view.Endpoint{Name: in.ID, Address: in.Address, Hall: in.Hall},
			Leaving:  c.instanceLeaving(in),
		})
	}
	return out
}

func (c *Controller) instanceLeaving(in instancelist.Instance) bool {
	_, announced := c.leaving[in.ID]
	return announced || in.State == instancelist.StateDraining
}

// watchers holds the channel that is closed at the next change of the configuration
// revision or of readiness.
type watchers struct {
	mu   sync.Mutex
	next chan struct{}
}

func (w *watchers) wait() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next == nil {
		w.next = make(chan struct{})
	}
	return w.next
}

func (w *watchers) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != nil {
		close(w.next)
		w.next = nil
	}
}

// Changed returns a channel that is closed when a view with another configuration
// revision or another readiness is published.
func (c *Controller) Changed() <-chan struct{} { return c.watchers.wait() }

// WakeDemand makes the demand loop report demand at once.
func (c *Controller) WakeDemand() {
	select {
	case c.demandWake <- struct{}{}:
	default:
	}
}

// Stop begins a planned stop: the node is no longer the home of any key, and it
// announces the stop to its peers and the platform. It continues to serve.
func (c *Controller) Stop(ctx context.Context) {
	if c.stopping.Swap(true) {
		return
	}
	c.Logger.Info("planned stop begins")
	c.inbox.Send(ctx, announceLeaving{})
	if err := c.List.AnnounceDraining(ctx, c.Self.Node); err != nil {
		c.Logger.Warn("cannot announce the planned stop to the platform", "error", err.Error())
	}
}

// announceLeaving makes the control goroutine notify the neighbours that this node
// is leaving.
type announceLeaving struct{}

func (announceLeaving) handle(c *Controller) {
	c.sendToNeighbours(&pb.PeerRequest{Body: &pb.PeerRequest_Leaving{Leaving: &pb.Leaving{Instances: []string{c.Self.Node}}}})
}

// quiesceTimeout bounds the wait for this node's orders and records at a planned
// stop.
const quiesceTimeout = 10 * time.Second

// ErrUnfinished is returned by [Controller.Quiesce] if orders or records of this
// node were unfinished at the timeout.
var ErrUnfinished = eris.New("orders or records of this node are unfinished; the next home takes them over")

// Quiesce waits until this node executes no order and has no record to append. It
// returns [ErrUnfinished] after quiesceTimeout or when the context ends.
func (c *Controller) Quiesce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	for {
		quiet, ok := ask(ctx, c, (*Controller).isQuiet)
		if !ok {
			return ErrUnfinished
		}
		if quiet {
			return nil
		}
		select {
		case <-c.Clock.After(tickInterval):
		case <-ctx.Done():
			return ErrUnfinished
		}
	}
}

// isQuiet reports whether this node executes no order and has no record to append.
func (c *Controller) isQuiet() bool {
	for _, p := range c.state.Open {
		if p.Executor == c.Self && p.Phase != ledger.Quarantined {
			return false
		}
	}
	return c.appender.Idle()
}

// freeze blocks the control goroutine, as a pause of the process would.
type freeze struct{ until <-chan time.Time }

func (m freeze) handle(*Controller) { <-m.until }

// Freeze blocks the control goroutine for d. Only experiments call it, to imitate
// a paused process.
func (c *Controller) Freeze(ctx context.Context, d time.Duration) {
	c.inbox.Send(ctx, freeze{until: c.Clock.After(d)})
}
