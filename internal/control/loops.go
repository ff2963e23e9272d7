package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"olivetiller/core/demand"
	"olivetiller/core/ledger"
	"olivetiller/core/membership"
	"olivetiller/core/plan"
	"olivetiller/io/engine"
	"olivetiller/io/instancelist"
	pb "olivetiller/proto/olivetiller/v1"
)

// Times of the loops.
const (
	listEvery     = time.Second
	listTimeout   = 2 * time.Second
	engineEvery   = time.Second
	engineTimeout = 900 * time.Millisecond
	demandEvery   = 100 * time.Millisecond
	// demandRenew is the least time in which unchanged demand is told again.
	demandRenew = demand.Life / 3
	// homeAckLife is how long a home counts as listening.
	homeAckLife = 2 * demandRenew
	// engineMisses is how many status calls in a row an engine may miss.
	engineMisses = 3
	// leavingLife is how long a leaving notice outlives its last evidence.
	leavingLife = 10 * time.Minute
)

// listLoop reads the instance list.
func (c *Controller) listLoop(ctx context.Context) {
	for ctx.Err() == nil {
		lctx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := c.List.List(lctx)
		cancel()
		if err == nil {
			c.inbox.Send(ctx, listSeen{list: list})
		}
		c.pause(ctx, listEvery)
	}
}

// listSeen is the list as it showed.
type listSeen struct{ list []instancelist.Instance }

func (m listSeen) handle(c *Controller) {
	c.listed = m.list
	c.listRead = true
	now := c.Clock.Now()
	var nodes []membership.Member
	engines := make(map[string]instancelist.Instance)
	var leaving []string
	for _, in := range m.list {
		if in.State == instancelist.StateLeaving && in.ID != c.Self.Node {
			leaving = append(leaving, in.ID)
		}
		switch in.Kind {
		case instancelist.KindNode:
			nodes = append(nodes, membership.Member{
				NodeRef: ledger.NodeRef{Node: in.ID}, Address: in.Address, Hall: in.Hall,
				Leaving: in.State == instancelist.StateLeaving,
			})
		case instancelist.KindEngine:
			engines[in.ID] = in
		}
	}
	c.members.Listed(nodes)
	c.members.Forget(now)
	c.refeed(now)
	c.markLeaving(leaving, now)
	if c.seeEngines(engines) || c.seeServices() {
		c.builder.TouchAll()
		c.dirty = true
	}
}

// seeServices reports whether the plain services in the list have changed.
func (c *Controller) seeServices() bool {
	now := c.services()
	same := slices.Equal(now, c.lastServices)
	c.lastServices = now
	return !same
}

// seeEngines keeps the soft state in step with the list and the ledger; it
// reports whether an engine has become usable or ceased to be.
func (c *Controller) seeEngines(listed map[string]instancelist.Instance) (changed bool) {
	for id := range listed {
		if c.engines[id] == nil {
			c.engines[id] = &plan.Engine{}
			changed = true
		}
	}
	for id := range c.state.Engines {
		if c.engines[id] == nil {
			c.engines[id] = &plan.Engine{}
		}
	}
	many := len(listed) > askAllEngines
	for id, e := range c.engines {
		if known := c.state.Engines[id]; many && known != nil && c.planner.Home(id) != c.Self.Node {
			changed = changed || !e.Reachable
			e.Reachable = true
			if e.Up == nil || e.Up.GetIncarnation() != known.Incarnation {
				e.Up = &pb.EngineUp{Engine: id, Incarnation: known.Incarnation}
			}
		}
		_, e.Listed = listed[id]
		if !e.Listed && c.state.Engines[id] == nil {
			delete(c.engines, id)
		}
	}
	return changed
}

// markLeaving notes leaving instances and tells the peers of those that are
// news, so that a notice reaches every node whoever hears of it first.
func (c *Controller) markLeaving(ids []string, now time.Time) {
	var news []string
	for _, id := range ids {
		if _, known := c.leaving[id]; !known {
			news = append(news, id)
			c.Logger.Info("instance is leaving", "instance", id)
		}
		c.leaving[id] = now
		c.members.SetLeaving(id)
		if e := c.engines[id]; e != nil {
			e.Leaving = true
		}
	}
	for id, at := range c.leaving {
		if now.Sub(at) > leavingLife {
			delete(c.leaving, id)
		}
	}
	if len(news) == 0 {
		return
	}
	c.builder.TouchAll()
	c.dirty = true
	c.toNeighbours(&pb.PeerRequest{Body: &pb.PeerRequest_Leaving{Leaving: &pb.Leaving{Instances: news}}})
}

// leavingTold is a notice from a peer or an endpoint's own answer. What is news
// here is passed on, so that it reaches nodes that the teller does not talk to.
type leavingTold struct{ ids []string }

func (m leavingTold) handle(c *Controller) { c.markLeaving(m.ids, c.Clock.Now()) }

// EndpointLeaving notes that an endpoint told this node that it is leaving.
func (c *Controller) EndpointLeaving(id string) {
	c.inbox.Send(context.Background(), leavingTold{ids: []string{id}})
}

// engineLoop asks the engines for their status.
func (c *Controller) engineLoop(ctx context.Context) {
	misses := make(map[string]int)
	for ctx.Err() == nil {
		targets, _ := ask(ctx, c, (*Controller).enginesToAsk)
		results := make([]engineSeen, len(targets))
		var wg sync.WaitGroup
		for i, in := range targets {
			wg.Add(1)
			go func() {
				defer wg.Done()
				results[i] = c.askEngine(ctx, in)
			}()
		}
		wg.Wait()
		for i := range results {
			if results[i].ok {
				misses[results[i].id] = 0
			} else {
				misses[results[i].id]++
			}
			results[i].lost = misses[results[i].id] >= engineMisses
			c.inbox.Send(ctx, results[i])
		}
		every := engineEvery
		if len(targets) > manyOwnEngines {
			every *= 3
		}
		c.pause(ctx, every)
	}
}

// enginesToAsk returns whom the engine loop asks.
func (c *Controller) enginesToAsk() []instancelist.Instance {
	var all, own []instancelist.Instance
	for _, in := range c.listed {
		if in.Kind != instancelist.KindEngine {
			continue
		}
		all = append(all, in)
		if c.planner.Home(in.ID) == c.Self.Node {
			own = append(own, in)
		}
	}
	if len(all) <= askAllEngines {
		own = all
	}
	return own
}

// askAllEngines is the number of engines up to which every node asks each one;
// of more, it asks those whose home it is, and believes the ledger of the rest.
const askAllEngines = 64

// manyOwnEngines is the number of engines from which on a node asks each only
// every third time: their load rides on their answers anyway.
const manyOwnEngines = 16

func (c *Controller) askEngine(ctx context.Context, in instancelist.Instance) engineSeen {
	ectx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	st, err := c.Engines.Status(ectx, in.Address)
	return engineSeen{id: in.ID, address: in.Address, status: st, ok: err == nil}
}

// engineSeen is an engine's status, or its silence.
type engineSeen struct {
	id      string
	address string
	status  engine.Status
	ok      bool
	// lost is true after several silences in a row.
	lost bool
}

func (m engineSeen) handle(c *Controller) {
	e := c.engines[m.id]
	if e == nil {
		return
	}
	if !m.ok {
		if m.lost && e.Reachable {
			e.Reachable = false
			c.builder.TouchAll()
			c.dirty = true
			c.Logger.Warn("engine does not answer", "engine", m.id)
		}
		return
	}
	st := m.status
	if !e.Reachable {
		e.Reachable = true
		c.builder.TouchAll()
		c.dirty = true
	}
	if e.Up == nil || e.Up.GetIncarnation() != st.Incarnation {
		// A new incarnation is not bound by the old one's leaving.
		delete(c.leaving, m.id)
		e.Leaving = false
		c.builder.TouchAll()
		c.dirty = true
	}
	e.Up = &pb.EngineUp{
		Engine: m.id, Incarnation: st.Incarnation, Address: m.address, Hall: st.Hall,
		MemoryBytes: st.MemoryBytes, ChecksFences: st.ChecksFences,
	}
	e.OnDisk = make(map[string]bool, len(st.OnDisk))
	for _, d := range st.OnDisk {
		e.OnDisk[d] = true
	}
	if st.Leaving && !e.Leaving {
		c.markLeaving([]string{m.id}, c.Clock.Now())
	}
}

// demandLoop gathers this node's demand and tells it to the homes.
func (c *Controller) demandLoop(ctx context.Context) {
	last := c.Clock.Now()
	for ctx.Err() == nil {
		now := c.Clock.Now()
		all := now.Sub(last) >= demandRenew
		if all {
			last = now
		}
		if reports := c.Dispatcher.Reports(all); len(reports) > 0 {
			c.inbox.Send(ctx, ownDemand{reports: reports})
		}
		select {
		case <-ctx.Done():
			return
		case <-c.demandWake:
		case <-c.Clock.After(demandEvery):
		}
	}
}

// ownDemand is this node's demand.
type ownDemand struct{ reports []demand.Report }

func (m ownDemand) handle(c *Controller) {
	now := c.Clock.Now()
	byHome := make(map[string][]*pb.UnitDemand)
	for _, r := range m.reports {
		u := c.state.Catalog.Units[r.Unit]
		if u == nil {
			continue
		}
		c.takeDemand(c.Self.Node, r, now)
		home := c.planner.Home(plan.HomeKey(u))
		if home != c.Self.Node && home != "" {
			byHome[home] = append(byHome[home], toWire(r, now))
		}
	}
	for home, units := range byHome {
		c.tellHome(home, units)
	}
}

// takeDemand enters a report and teaches the policy of the use.
func (c *Controller) takeDemand(node string, r demand.Report, now time.Time) {
	c.demand.Put(node, r, now)
	if r.Waiting+r.Running+r.Arrivals == 0 {
		return
	}
	c.Policy.Used(r.Unit, now)
	if u := c.state.Catalog.Units[r.Unit]; u != nil && u.Base != "" {
		c.Policy.Used(u.Base, now)
		c.demand.Used(u.Base, now)
	}
}

func toWire(r demand.Report, now time.Time) *pb.UnitDemand {
	d := &pb.UnitDemand{Unit: r.Unit, Waiting: uint32(r.Waiting), Running: uint32(r.Running), Arrivals: uint32(r.Arrivals)}
	if !r.Deadline.IsZero() {
		d.DeadlineMs = max(1, r.Deadline.Sub(now).Milliseconds())
	}
	return d
}

func fromWire(d *pb.UnitDemand, now time.Time) demand.Report {
	r := demand.Report{Unit: d.GetUnit(), Waiting: int(d.GetWaiting()), Running: int(d.GetRunning()), Arrivals: int(d.GetArrivals())}
	if d.GetDeadlineMs() > 0 {
		r.Deadline = now.Add(time.Duration(d.GetDeadlineMs()) * time.Millisecond)
	}
	return r
}

// peerDemand is a peer's demand, told to this node as a home.
type peerDemand struct {
	node  string
	units []*pb.UnitDemand
	done  chan struct{}
}

func (m peerDemand) handle(c *Controller) {
	now := c.Clock.Now()
	for _, d := range m.units {
		c.takeDemand(m.node, fromWire(d, now), now)
	}
	// The answer comes from here, so that it proves that this goroutine lives.
	close(m.done)
}

// homeAck notes that a home took demand.
type homeAck struct{ home string }

func (m homeAck) handle(c *Controller) { c.homeAcked[m.home] = c.Clock.Now() }
