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

// Streams of the log.
const (
	ControlStream  = "control"
	SnapshotStream = "snapshots"
)

// Options are what a controller is made of.
type Options struct {
	Self ledger.NodeRef
	// Hall is the node's data hall.
	Hall   string
	Clock  clockwork.Clock
	Logger hclog.Logger
	Log    *logservice.Client
	// Snapshots is the stream that keeps snapshots.
	Snapshots  *logservice.Client
	List       *instancelist.Client
	Engines    *engine.Client
	Peers      *node.Client
	Dispatcher *traffic.Dispatcher
	// AppendPause is the least time between two appends of this node.
	AppendPause time.Duration
	// SnapshotEvery is how many entries of the log lie between two snapshots.
	SnapshotEvery uint64
	// Policy decides about keeping; nil takes the product's own.
	Policy plan.Policy
}

// Controller owns the control state of a node.
type Controller struct {
	Options
	inbox    *inbox.Inbox[message]
	view     atomic.Pointer[view.View]
	appender *logservice.Appender
	// heard is when the log or a peer last said how far it is, in Unix nanoseconds.
	heard atomic.Int64
	next  atomic.Uint64
	// tails is true while this node reads the log itself; fedAt is when its
	// feeder last answered, in Unix nanoseconds.
	tails atomic.Bool
	fedAt atomic.Int64
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
	watchers watchers
	// demandWake is told when a request begins to wait.
	demandWake chan struct{}
	Metrics    *Metrics

	// The fields below belong to the control goroutine.
	state     *ledger.State
	booted    bool
	target    uint64
	caughtUp  bool
	diverged  bool
	planner   *plan.Planner
	members   *membership.Table
	demand    *demand.Table
	engines   map[string]*plan.Engine
	listed    []instancelist.Instance
	listRead  bool
	waiters   map[uint64]chan ledger.Outcome
	settled   []settled
	early     map[uint64][]byte
	orders    map[ledger.Key]uint64
	homeAcked map[string]time.Time
	leaving   map[string]time.Time
	snap      snapshots
	feed      membership.Feed
	round     int
	builder   *view.Builder
	live      []string
	// lastServices are the plain services in the view.
	lastServices []view.Service
	dirty        bool
}

// message is something that happened, handled by the control goroutine.
type message interface {
	handle(c *Controller)
}

// inboxSize bounds the messages that wait for the control goroutine; senders
// wait when it is full.
const inboxSize = 4096

// tick is the longest time between two plans.
const tick = 100 * time.Millisecond

// New returns a controller that has not begun.
func New(o Options) *Controller {
	c := &Controller{
		Options: o, inbox: inbox.New[message](inboxSize), Metrics: newMetrics(), demandWake: make(chan struct{}, 1),
		state: ledger.NewState(), members: membership.NewTable(o.Self), demand: demand.NewTable(),
		engines: make(map[string]*plan.Engine), waiters: make(map[uint64]chan ledger.Outcome),
		early: make(map[uint64][]byte), orders: make(map[ledger.Key]uint64),
		homeAcked: make(map[string]time.Time), leaving: make(map[string]time.Time),
	}
	if c.Policy == nil {
		c.Policy = policy.NewCosted(policy.DefaultWeights)
	}
	c.planner = plan.New(o.Self, c.Policy, rand.Float64())
	c.appender = logservice.NewAppender(o.Self.Node, o.Self.Incarnation, o.Log, o.Clock, o.AppendPause, c.onAppended)
	c.snap = newSnapshots()
	c.builder = view.NewBuilder()
	first, _ := c.builder.Build(&view.Input{Ledger: c.state})
	c.view.Store(first)
	return c
}

// View returns the view in force.
func (c *Controller) View() *view.View { return c.view.Load() }

// Heard returns when the node last heard from the log or a peer.
func (c *Controller) Heard() time.Time { return time.Unix(0, c.heard.Load()) }

// Stopping reports whether a planned stop has begun.
func (c *Controller) Stopping() bool { return c.stopping.Load() }

// Run runs the controller and its loops until the context ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		c.own, c.appender.Run, c.listLoop, c.engineLoop, c.probeLoop, c.demandLoop, c.bootAndTail,
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
}

// own is the control goroutine.
func (c *Controller) own(ctx context.Context) {
	defer c.inbox.End()
	ticker := c.Clock.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox.C:
			m.handle(c)
			c.inbox.Drain(func(m message) { m.handle(c) })
		case <-ticker.Chan():
			c.forgetOrders()
			c.noticeLive()
			c.healGap()
		}
		c.step(ctx)
	}
}

// noticeLive marks the view out of date when the live nodes have changed.
func (c *Controller) noticeLive() {
	live := c.members.Live(c.Clock.Now(), false)
	if !slices.Equal(live, c.live) {
		c.live = live
		c.dirty = true
	}
}

// pause sleeps, or less if the context ends.
func (c *Controller) pause(ctx context.Context, d time.Duration) {
	select {
	case <-c.Clock.After(d):
	case <-ctx.Done():
	}
}

// step plans and publishes.
func (c *Controller) step(ctx context.Context) {
	now := c.Clock.Now()
	if c.booted && c.caughtUp && !c.diverged {
		for _, a := range c.planner.Plan(c.planInput(now)) {
			c.act(ctx, a, now)
		}
		c.maybeMark()
	}
	if c.dirty {
		c.dirty = false
		c.publish()
	}
	c.answerWaiters()
}

func (c *Controller) planInput(now time.Time) *plan.Input {
	return &plan.Input{
		Now: now, Live: c.members.Live(now, c.stopping.Load()), Ledger: c.state, Demand: c.demand, Engines: c.engines,
		Alive:     func(ref ledger.NodeRef) bool { return c.members.Alive(ref, now) },
		HomeAcked: func(home string) bool { return now.Sub(c.homeAcked[home]) < homeAckLife },
	}
}

func (c *Controller) act(ctx context.Context, a plan.Action, now time.Time) {
	if a.Propose != nil {
		if _, err := c.appender.Submit(a.Propose); err != nil {
			c.Logger.Warn("proposal dropped", "error", err.Error())
		}
		return
	}
	o := a.Order
	if c.orders[o.Key] == o.Fence {
		return
	}
	if now.After(o.LeaseEnd) {
		c.planner.ExpireLease(o.Key)
		return
	}
	c.orders[o.Key] = o.Fence
	go c.execute(ctx, o)
}

// publish makes a new view and gives it to traffic.
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
	for _, in := range c.listed {
		if in.Kind != instancelist.KindService {
			continue
		}
		out = append(out, view.Service{
			Service:  in.Service,
			Endpoint: view.Endpoint{Name: in.ID, Address: in.Address, Hall: in.Hall},
			Leaving:  c.isLeaving(in),
		})
	}
	return out
}

func (c *Controller) isLeaving(in instancelist.Instance) bool {
	_, told := c.leaving[in.ID]
	return told || in.State == instancelist.StateLeaving
}

// watchers are channels closed at the next change of configuration.
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

// Changed returns a channel that is closed when another configuration comes
// into force.
func (c *Controller) Changed() <-chan struct{} { return c.watchers.wait() }

// WakeDemand makes the demand loop look at once.
func (c *Controller) WakeDemand() {
	select {
	case c.demandWake <- struct{}{}:
	default:
	}
}

// Stop begins a planned stop: the node gives up its homes and tells its peers
// and the platform, and goes on serving.
func (c *Controller) Stop(ctx context.Context) {
	if c.stopping.Swap(true) {
		return
	}
	c.Logger.Info("planned stop begins")
	c.inbox.Send(ctx, sayLeaving{})
	if err := c.List.SayLeaving(ctx, c.Self.Node); err != nil {
		c.Logger.Warn("the platform was not told of the stop", "error", err.Error())
	}
}

// sayLeaving tells the peers that this node is leaving.
type sayLeaving struct{}

func (sayLeaving) handle(c *Controller) {
	c.toNeighbours(&pb.PeerRequest{Body: &pb.PeerRequest_Leaving{Leaving: &pb.Leaving{Instances: []string{c.Self.Node}}}})
}

// quiesceTimeout bounds the wait for own orders and records at a planned stop.
const quiesceTimeout = 10 * time.Second

// ErrUnsettled is returned when a planned stop left orders or records behind.
var ErrUnsettled = eris.New("orders or records were not settled in time; the next home takes them over")

// Quiesce waits until this node carries out no order and has nothing to append.
func (c *Controller) Quiesce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	for {
		quiet, ok := ask(ctx, c, (*Controller).quiet)
		if !ok {
			return ErrUnsettled
		}
		if quiet {
			return nil
		}
		select {
		case <-c.Clock.After(tick):
		case <-ctx.Done():
			return ErrUnsettled
		}
	}
}

// quiet reports whether nothing of this node's is open.
func (c *Controller) quiet() bool {
	for _, p := range c.state.Open {
		if p.Executor == c.Self && p.Phase != ledger.Quarantined {
			return false
		}
	}
	return c.appender.Quiet()
}

// freeze stops the control goroutine, as a paused process would.
type freeze struct{ until <-chan time.Time }

func (m freeze) handle(*Controller) { <-m.until }

// Freeze holds the control goroutine for a time. Only experiments call it.
func (c *Controller) Freeze(ctx context.Context, d time.Duration) {
	c.inbox.Send(ctx, freeze{until: c.Clock.After(d)})
}
