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

// Intervals and timeouts of the loops.
const (
	listInterval   = time.Second
	listTimeout    = 2 * time.Second
	engineInterval = time.Second
	engineTimeout  = 900 * time.Millisecond
	demandInterval = 100 * time.Millisecond
	// demandRenewInterval is the time after which unchanged demand is reported again,
	// well before the TTL of a report.
	demandRenewInterval = demand.ReportTTL / 3
	// homeAckTTL is how long a home counts as responsive after it acknowledged a
	// demand report.
	homeAckTTL = 2 * demandRenewInterval
	// maxEngineMisses is the number of consecutive failed status calls after which an
	// engine counts as unreachable.
	maxEngineMisses = 3
	// leavingTTL is how long an instance counts as leaving after the last report.
	leavingTTL = 10 * time.Minute
)

// listLoop reads the platform's instance list every listInterval.
func (c *Controller) listLoop(ctx context.Context) {
	for ctx.Err() == nil {
		lctx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := c.List.List(lctx)
		cancel()
		if err == nil {
			c.inbox.Send(ctx, instanceList{list: list})
		}
		c.pause(ctx, listInterval)
	}
}

// instanceList is an instance list that was read from the platform.
type instanceList struct{ list []instancelist.Instance }

func (m instanceList) handle(c *Controller) {
	c.instances = m.list
	c.listRead = true
	now := c.Clock.Now()
	var nodes []membership.Member
	engines := make(map[string]instancelist.Instance)
	var leaving []string
	for _, in := range m.list {
		if in.State == instancelist.StateDraining && in.ID != c.Self.Node {
			leaving = append(leaving, in.ID)
		}
		switch in.Kind {
		case instancelist.KindNode:
			nodes = append(nodes, membership.Member{
				NodeRef: ledger.NodeRef{Node: in.ID}, Address: in.Address, Hall: in.Hall,
				Leaving: in.State == instancelist.StateDraining,
			})
		case instancelist.KindEngine:
			engines[in.ID] = in
		}
	}
	c.members.UpdateListed(nodes)
	c.members.DeleteStale(now)
	c.updateFeed(now)
	c.markLeaving(leaving, now)
	if c.updateEngines(engines) || c.updateServices() {
		c.builder.TouchAll()
		c.viewStale = true
	}
}

// updateServices updates the plain services from the instance list and reports
// whether they have changed.
func (c *Controller) updateServices() bool {
	now := c.services()
	same := slices.Equal(now, c.lastServices)
	c.lastServices = now
	return !same
}

// updateEngines updates the observed state of engines from the instance list and
// the ledger. It reports whether an engine was added or became reachable. In a
// large fleet, engines whose home is another node count as reachable with the
// incarnation in the ledger, because this node does not poll them.
func (c *Controller) updateEngines(listed map[string]instancelist.Instance) (changed bool) {
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
	many := len(listed) > pollAllEnginesMax
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

// markLeaving records that instances are leaving and forwards those not known
// before to the neighbours, so that a notice received by any node reaches all.
func (c *Controller) markLeaving(ids []string, now time.Time) {
	var added []string
	for _, id := range ids {
		if _, known := c.leaving[id]; !known {
			added = append(added, id)
			c.Logger.Info("instance is leaving", "instance", id)
		}
		c.leaving[id] = now
		c.members.SetLeaving(id)
		if e := c.engines[id]; e != nil {
			e.Leaving = true
		}
	}
	for id, at := range c.leaving {
		if now.Sub(at) > leavingTTL {
			delete(c.leaving, id)
		}
	}
	if len(added) == 0 {
		return
	}
	c.builder.TouchAll()
	c.viewStale = true
	c.sendToNeighbours(&pb.PeerRequest{Body: &pb.PeerRequest_Leaving{Leaving: &pb.Leaving{Instances: added}}})
}

// leavingReported is a notice that instances are leaving, from a peer or from an
// endpoint's response. Instances not known before are forwarded, so that the notice
// reaches nodes to which its sender does not talk.
type leavingReported struct{ ids []string }

func (m leavingReported) handle(c *Controller) { c.markLeaving(m.ids, c.Clock.Now()) }

// EndpointLeaving records that an endpoint announced in a response that it is
// leaving.
func (c *Controller) EndpointLeaving(id string) {
	c.inbox.Send(context.Background(), leavingReported{ids: []string{id}})
}

// engineLoop polls the status of the engines.
func (c *Controller) engineLoop(ctx context.Context) {
	misses := make(map[string]int)
	for ctx.Err() == nil {
		targets, _ := ask(ctx, c, (*Controller).enginesToPoll)
		results := make([]engineResult, len(targets))
		var wg sync.WaitGroup
		for i, in := range targets {
			wg.Add(1)
			go func() {
				defer wg.Done()
				results[i] = c.pollEngine(ctx, in)
			}()
		}
		wg.Wait()
		for i := range results {
			if results[i].ok {
				misses[results[i].id] = 0
			} else {
				misses[results[i].id]++
			}
			results[i].unreachable = misses[results[i].id] >= maxEngineMisses
			c.inbox.Send(ctx, results[i])
		}
		every := engineInterval
		if len(targets) > frequentPollMax {
			every *= 3
		}
		c.pause(ctx, every)
	}
}

// enginesToPoll returns the engines whose status this node polls.
func (c *Controller) enginesToPoll() []instancelist.Instance {
	var all, own []instancelist.Instance
	for _, in := range c.instances {
		if in.Kind != instancelist.KindEngine {
			continue
		}
		all = append(all, in)
		if c.planner.Home(in.ID) == c.Self.Node {
			own = append(own, in)
		}
	}
	if len(all) <= pollAllEnginesMax {
		own = all
	}
	return own
}

// pollAllEnginesMax is the number of engines up to which every node polls all of
// them. With more, a node polls those whose home it is and relies on the ledger for
// the others.
const pollAllEnginesMax = 64

// frequentPollMax is the number of polled engines up to which a node polls each
// every engineInterval; with more, every third interval. That is enough, because
// engines also report their load in their responses to requests.
const frequentPollMax = 16

func (c *Controller) pollEngine(ctx context.Context, in instancelist.Instance) engineResult {
	ectx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	st, err := c.Engines.Status(ectx, in.Address)
	return engineResult{id: in.ID, address: in.Address, status: st, ok: err == nil}
}

// engineResult is the result of a status call to an engine.
type engineResult struct {
	id      string
	address string
	status  engine.Status
	ok      bool
	// unreachable is true after maxEngineMisses or more consecutive failures.
	unreachable bool
}

func (m engineResult) handle(c *Controller) {
	e := c.engines[m.id]
	if e == nil {
		return
	}
	if !m.ok {
		if m.unreachable && e.Reachable {
			e.Reachable = false
			c.builder.TouchAll()
			c.viewStale = true
			c.Logger.Warn("engine does not answer", "engine", m.id)
		}
		return
	}
	st := m.status
	if !e.Reachable {
		e.Reachable = true
		c.builder.TouchAll()
		c.viewStale = true
	}
	if e.Up == nil || e.Up.GetIncarnation() != st.Incarnation {
		// A leaving notice does not apply to a new incarnation.
		delete(c.leaving, m.id)
		e.Leaving = false
		c.builder.TouchAll()
		c.viewStale = true
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

// demandLoop collects the demand for units at this node every demandInterval and
// passes it to the control goroutine, which sends it to the homes of the units.
func (c *Controller) demandLoop(ctx context.Context) {
	last := c.Clock.Now()
	for ctx.Err() == nil {
		now := c.Clock.Now()
		all := now.Sub(last) >= demandRenewInterval
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
		case <-c.Clock.After(demandInterval):
		}
	}
}

// ownDemand is the demand for units at this node.
type ownDemand struct{ reports []demand.Report }

func (m ownDemand) handle(c *Controller) {
	now := c.Clock.Now()
	byHome := make(map[string][]*pb.UnitDemand)
	for _, r := range m.reports {
		u := c.state.Catalog.Units[r.Unit]
		if u == nil {
			continue
		}
		c.recordDemand(c.Self.Node, r, now)
		home := c.planner.Home(plan.HomeKey(u))
		if home != c.Self.Node && home != "" {
			byHome[home] = append(byHome[home], demandToProto(r, now))
		}
	}
	for home, units := range byHome {
		c.sendToHome(home, units)
	}
}

// recordDemand stores a demand report of a node and reports the use to the policy.
// The use of an adapter counts as a use of its base model.
func (c *Controller) recordDemand(node string, r demand.Report, now time.Time) {
	c.demand.Put(node, r, now)
	if r.Waiting+r.Running+r.Arrivals == 0 {
		return
	}
	c.Policy.Used(r.Unit, now)
	if u := c.state.Catalog.Units[r.Unit]; u != nil && u.Base != "" {
		c.Policy.Used(u.Base, now)
		c.demand.MarkUsed(u.Base, now)
	}
}

func demandToProto(r demand.Report, now time.Time) *pb.UnitDemand {
	d := &pb.UnitDemand{Unit: r.Unit, Waiting: uint32(r.Waiting), Running: uint32(r.Running), Arrivals: uint32(r.Arrivals)}
	if !r.Deadline.IsZero() {
		d.DeadlineMs = max(1, r.Deadline.Sub(now).Milliseconds())
	}
	return d
}

func demandFromProto(d *pb.UnitDemand, now time.Time) demand.Report {
	r := demand.Report{Unit: d.GetUnit(), Waiting: int(d.GetWaiting()), Running: int(d.GetRunning()), Arrivals: int(d.GetArrivals())}
	if d.GetDeadlineMs() > 0 {
		r.Deadline = now.Add(time.Duration(d.GetDeadlineMs()) * time.Millisecond)
	}
	return r
}

// peerDemand is the demand at a peer for units whose home is this node. done is
// closed once it is stored.
type peerDemand struct {
	node  string
	units []*pb.UnitDemand
	done  chan struct{}
}

func (m peerDemand) handle(c *Controller) {
	now := c.Clock.Now()
	for _, d := range m.units {
		c.recordDemand(m.node, demandFromProto(d, now), now)
	}
	// The report is acknowledged only now, so that the acknowledgement proves that
	// the control goroutine is running.
	close(m.done)
}

// homeAck reports that a home acknowledged a demand report of this node.
type homeAck struct{ home string }

func (m homeAck) handle(c *Controller) { c.homeAcked[m.home] = c.Clock.Now() }
