package control

import (
	"context"
	"sort"
	"time"

	"olivetiller/core/ledger"
	"olivetiller/core/plan"
	pb "olivetiller/proto/olivetiller/v1"
)

// Status returns the status of the node for operators: the units, the endpoints and
// the node's position in the log. It holds just the node's name if the context ends
// first.
func (c *Controller) Status(ctx context.Context) *pb.StatusResponse {
	st, ok := ask(ctx, c, func(c *Controller) *pb.StatusResponse { return c.status(c.Clock.Now()) })
	if !ok {
		return &pb.StatusResponse{Node: c.Self.Node}
	}
	return st
}

func (c *Controller) status(now time.Time) *pb.StatusResponse {
	st := &pb.StatusResponse{
		Node: c.Self.Node, Ready: c.booted && c.caughtUp && !c.diverged, Stopping: c.stopping.Load(),
		ConfigRevision: c.state.Revision, NextOffset: c.state.NextOffset,
		LogAgeMs: now.Sub(c.LastContact()).Milliseconds(), Diverged: c.diverged,
		LiveNodes: c.members.Live(now, c.stopping.Load()), Claims: uint32(len(c.state.Claims)),
	}
	for name := range c.state.Catalog.Units {
		st.Units = append(st.Units, c.unitStatus(name))
	}
	for name, e := range c.state.Engines {
		es := &pb.EndpointStatus{
			Name: name, Hall: e.Hall, Address: e.Address, MemoryBytes: e.MemoryBytes, UsedBytes: e.Used, Draining: e.Draining,
		}
		if observed := c.engines[name]; observed != nil {
			es.Leaving = observed.Leaving
		}
		st.Endpoints = append(st.Endpoints, es)
	}
	sort.Slice(st.Units, func(i, j int) bool { return st.Units[i].Unit < st.Units[j].Unit })
	sort.Slice(st.Endpoints, func(i, j int) bool { return st.Endpoints[i].Name < st.Endpoints[j].Name })
	return st
}

func (c *Controller) unitStatus(name string) *pb.UnitStatus {
	u := c.state.Catalog.Units[name]
	waiting, running := c.Dispatcher.Load(name)
	us := &pb.UnitStatus{
		Unit: name, Home: c.planner.Home(plan.HomeKey(u)),
		Waiting: uint32(waiting), Running: uint32(running), Reason: c.planner.Reason(name),
	}
	for version := range u.Versions {
		for _, p := range c.state.Replicas[ledger.UnitVersion{Unit: name, Version: version}] {
			us.Replicas = append(us.Replicas, &pb.ReplicaStatus{
				Engine: p.Engine, Version: p.Version, Phase: p.Phase.String(), Fence: p.Fence,
			})
		}
	}
	sort.Slice(us.Replicas, func(i, j int) bool { return us.Replicas[i].Engine < us.Replicas[j].Engine })
	return us
}
