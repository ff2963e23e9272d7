package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"olivetiller/core/plan"
	"olivetiller/io/engine"
	pb "olivetiller/proto/olivetiller/v1"
)

// Times of carrying an order out.
const (
	orderRetry   = 200 * time.Millisecond
	orderTimeout = plan.OrderLimit
)

// orderEnd is how an order ended.
type orderEnd struct {
	order *plan.Order
	err   error
	// unsure is true when an attempt before the last got no answer.
	unsure bool
}

// errLapsed ends an order whose lease ran out before it was confirmed.
var errLapsed = errors.New("the lease ran out")

// execute gives an order to its engine until the engine confirms or refuses it.
//
// The lease is read on the monotonic clock right before each write: a node that
// was paused longer than the lease finds that out here, and takes the order
// over under a new fence instead of writing the old one.
func (c *Controller) execute(ctx context.Context, o *plan.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	unsure := false
	for {
		if c.Clock.Now().After(o.LeaseEnd) {
			c.inbox.Send(ctx, orderEnd{order: o, err: errLapsed, unsure: unsure})
			return
		}
		err := c.write(ctx, o)
		if !errors.Is(err, engine.ErrUnknown) {
			c.inbox.Send(ctx, orderEnd{order: o, err: err, unsure: unsure})
			return
		}
		if ctx.Err() != nil {
			return
		}
		unsure = true
		c.Metrics.OrderRetries.Add(1)
		c.pause(ctx, orderRetry/2+rand.N(orderRetry))
	}
}

func (c *Controller) write(ctx context.Context, o *plan.Order) error {
	eo := engine.Order{
		Unit: o.Unit, Version: o.Version, Base: o.Base, Bytes: o.Bytes, Fence: o.Fence, Incarnation: o.Incarnation,
	}
	if o.Unload {
		return c.Engines.Unload(ctx, o.Address, eo)
	}
	return c.Engines.Load(ctx, o.Address, eo)
}

func (m orderEnd) handle(c *Controller) {
	o := m.order
	if c.orders[o.Key] == o.Fence {
		delete(c.orders, o.Key)
	}
	p := c.state.Find(o.Key)
	if p == nil || p.Fence != o.Fence {
		// Another order has replaced this one; its executor speaks for it.
		return
	}
	log := c.Logger.With("unit", o.Unit, "version", o.Version, "engine", o.Engine, "fence", o.Fence)
	switch {
	case o.Cleanup:
		c.cleanedUp(o, m.err, m.unsure)
		return
	case m.err == nil && o.Unload:
		log.Info("unloaded")
		c.Submit(unloadDone(o, m.unsure))
	case m.err == nil:
		log.Info("loaded")
		c.Submit(loadDone(o, m.unsure))
	case errors.Is(m.err, errLapsed), errors.Is(m.err, engine.ErrStaleFence):
		log.Warn("order lapsed; taking it over", "cause", m.err.Error())
		c.planner.ExpireLease(o.Key)
	case errors.Is(m.err, engine.ErrReplaced):
		log.Warn("engine was replaced during an order")
	case o.Unload:
		log.Warn("unload refused; repeating", "cause", m.err.Error())
		c.planner.ExpireLease(o.Key)
	default:
		log.Warn("load failed", "cause", m.err.Error())
		c.Submit(loadFailed(o, m.err, m.unsure))
	}
	// Keep the fence so that the same order is not begun again while its
	// outcome is on its way to the log.
	c.orders[o.Key] = o.Fence
}

// cleanedUp ends a quarantine once the engine has confirmed that it does not
// hold the replica. After a failure, or an attempt without an answer, which may
// still arrive and unload a later replica, the quarantine simply goes on.
func (c *Controller) cleanedUp(o *plan.Order, err error, unsure bool) {
	c.orders[o.Key] = o.Fence
	if err != nil || unsure {
		c.Logger.Warn("quarantine goes on: the engine did not confirm", "unit", o.Unit, "engine", o.Engine, "unsure", unsure)
		return
	}
	c.Logger.Info("quarantine ends", "unit", o.Unit, "engine", o.Engine)
	c.Submit(&pb.Record{Body: &pb.Record_QuarantineEnd{QuarantineEnd: &pb.QuarantineEnd{
		Unit: o.Unit, Version: o.Version, Engine: o.Engine, Fence: o.Fence,
	}}})
}

func loadDone(o *plan.Order, unsure bool) *pb.Record {
	return &pb.Record{Body: &pb.Record_LoadDone{LoadDone: &pb.LoadDone{
		Unit: o.Unit, Version: o.Version, Engine: o.Engine, Fence: o.Fence, Unsure: unsure,
	}}}
}

func loadFailed(o *plan.Order, cause error, unsure bool) *pb.Record {
	return &pb.Record{Body: &pb.Record_LoadFailed{LoadFailed: &pb.LoadFailed{
		Unit: o.Unit, Version: o.Version, Engine: o.Engine, Fence: o.Fence, Cause: cause.Error(), Unsure: unsure,
	}}}
}

func unloadDone(o *plan.Order, unsure bool) *pb.Record {
	return &pb.Record{Body: &pb.Record_UnloadDone{UnloadDone: &pb.UnloadDone{
		Unit: o.Unit, Version: o.Version, Engine: o.Engine, Fence: o.Fence, Unsure: unsure,
	}}}
}

// forgetOrders drops orders whose placement is settled.
func (c *Controller) forgetOrders() {
	for k, fence := range c.orders {
		if p := c.state.Open[k]; p == nil || p.Fence != fence {
			delete(c.orders, k)
		}
	}
}
