package placer

import (
	"context"
	"errors"
	"math"
	"time"

	"olivetiller/core/placement"
	"olivetiller/io/endpoint"
)

// planShare bounds the processor time that the lease holder spends on planning: it pauses planShare times as long as
// the last plan took.
const planShare = 8

// sendOrders runs the planner, sends the orders and report requests that are due, and publishes the result.
func (c *Controller) sendOrders(ctx context.Context, now time.Time) {
	if now.Before(c.planAt) {
		c.planDue = true
		return
	}
	defer func() {
		end := c.o.Clock.Now()
		c.planDue, c.planAt = false, end.Add(planShare*end.Sub(now))
	}()
	_, fence := c.lease.Holder()
	c.limitEngines()
	c.limitTurns(now)
	for _, a := range c.planner.Plan(now, fence) {
		switch {
		case a.Order != nil:
			c.turns.Sent(a.Order.Engine, now)
			go c.order(ctx, a.Order)
		case a.Probe != nil:
			go c.probe(ctx, a.Probe, now)
		}
	}
	c.recordStoreLoads()
	if !c.termPublished {
		return
	}
	engines, changed := c.published.update(c.planner, c.assumed(now), c.allowance.Nodes(now), now)
	for _, id := range engines {
		c.touch(id)
	}
	c.viewStale = c.viewStale || changed
}

// limitTurns sets from when the planner may order each engine.
func (c *Controller) limitTurns(now time.Time) {
	if !c.turns.Limited(c.lease, now) {
		c.planner.SetNotBefore(nil)
		return
	}
	c.planner.SetNotBefore(func(engine string) time.Time { return c.turns.NotBefore(c.lease, engine, now) })
}

// assumed returns the pools of engines that the planner does not know yet, by engine: those of the engine's entry,
// otherwise those that the previous lease holder had published. Without them the followers of a new lease holder
// could serve nothing until every engine has sent its report.
func (c *Controller) assumed(now time.Time) map[string][]string {
	out := make(map[string][]string)
	for _, id := range c.planner.Unknown() {
		e := c.directory.Find(id, now)
		switch {
		case e == nil:
		case e.HoldingsKnown:
			out[id] = poolsOf(e)
		case c.inherited[id] != nil:
			out[id] = c.inherited[id]
		}
	}
	return out
}

// recordStoreLoads stores how many loads from the weight store the planner allows at once, for metrics, and logs
// changes.
func (c *Controller) recordStoreLoads() {
	n := int64(c.planner.StoreConcurrency())
	if old := c.storeLoads.Swap(n); old != n {
		c.o.Logger.Info("concurrent loads from the weight store changed", "atOnce", n, "before", old)
	}
}

// logRestarts logs the engines that restarted under the same id, and the models whose loads are in backoff because
// engines crashed during them.
func (c *Controller) logRestarts() {
	for _, s := range c.planner.Restarts() {
		c.engineRestarts.Add(1)
		c.o.Logger.Info("engine restarted, its previous state is discarded", "engine", s.Engine, "born", int64(s.Start), "lateLoads", s.UnansweredLoads)
	}
	for _, r := range c.planner.LoadBackoffs() {
		c.o.Logger.Warn("loads of a model in backoff, engines crashed during them", "unit", r.Unit.Pool(), "enginesEnded", r.Crashes, "restMs", r.Backoff.Milliseconds())
	}
}

// order sends one order, unless the lease under which it was planned has ended.
func (c *Controller) order(ctx context.Context, o *placement.Order) {
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	// The check runs again right before the order is written to the connection: the machine may have been suspended
	// since the plan, and another node may be sending orders by then.
	octx, checked := endpoint.WithCheck(octx, func() error { return c.mayOrder(o.Fence) })
	defer checked()
	reply, err := placement.Conflict, c.mayOrder(o.Fence)
	if err == nil {
		reply, err = c.o.Engines.Order(octx, *o)
	}
	args := []any{
		"engine", o.Engine, "unit", o.Unit.Pool(), "unload", o.Unload, "fence", o.Fence, "taken", o.Taken,
		"fromStore", o.FromStore, "why", o.Reason, "reply", reply.String(),
		"rate", round(o.ModelStats.Rate), "waiting", o.ModelStats.Waiting, "running", o.ModelStats.Running, "peak", round(o.ModelStats.Peak),
		"replicas", o.ModelStats.Replicas, "loss", round(o.ModelStats.Loss),
		"phase", o.EngineStats.Phase, "freeMb", round(o.EngineStats.FreeMB), "models", o.EngineStats.Models, "adapters", o.EngineStats.Adapters,
		"ageMs", o.EngineStats.ReportAge.Milliseconds(), "unconfirmed", o.EngineStats.Unconfirmed,
	}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	if reply == placement.Unanswered {
		c.checkPath(o.Address)
	}
	c.o.Logger.Info("order", args...)
	c.inbox.Send(ctx, orderDone{o, reply})
}

// errLeaseEnded is returned for an order that is not sent because its lease has ended.
var errLeaseEnded = errors.New("the lease under which the order was planned has ended")

// mayOrder returns an error if an order under a fence must not be sent now.
func (c *Controller) mayOrder(fence uint64) error {
	if !c.published.mayOrder(fence, c.o.Clock.Now()) {
		return errLeaseEnded
	}
	return nil
}

// round rounds a figure to two decimals for the log.
func round(v float64) float64 { return math.Round(v*100) / 100 }

type orderDone struct {
	order *placement.Order
	reply placement.Reply
}

// probe asks an engine for its report.
func (c *Controller) probe(ctx context.Context, p *placement.Probe, asked time.Time) {
	pctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := c.o.Engines.Report(pctx, p.Engine, p.Address)
	if err != nil {
		c.o.Logger.Info("request for an engine's report failed", "engine", p.Engine, "error", err.Error())
		c.checkPath(p.Address)
	}
	c.inbox.Send(ctx, probeDone{p.Engine, r, err, asked})
}

// checkPath checks the path to an endpoint that did not answer.
func (c *Controller) checkPath(address string) {
	if c.o.Paths != nil {
		c.o.Paths.Check(address)
	}
}

type probeDone struct {
	engine string
	report placement.Report
	err    error
	asked  time.Time
}

func (m orderDone) handle(c *Controller) {
	now := c.o.Clock.Now()
	c.turns.Ended(m.order.Engine, m.reply != placement.Unanswered, now)
	c.planner.HandleReply(m.order, m.reply, now)
}

func (m probeDone) handle(c *Controller) {
	now := c.o.Clock.Now()
	if m.err != nil {
		c.planner.HandleProbeFailure(m.engine, now)
		return
	}
	c.applyReportedSignals(m.engine, &m.report, m.asked)
	c.o.Logger.Info("report", "engine", m.engine, "born", int64(m.report.Start), "taken", m.report.Taken, "busy", m.report.Busy, "running", m.report.Running,
		"models", len(m.report.Models), "adapters", m.report.Adapters(), "coming", len(m.report.LoadingAdapters), "askedMsAgo", now.Sub(m.asked).Milliseconds(), "onDisk", len(m.report.OnDisk), "warm", len(m.report.Warm))
	c.planner.HandleReport(m.engine, &m.report, m.asked, now)
}
