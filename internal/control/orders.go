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

// Retry delay and timeout of an order.
const (
	orderRetryDelay = 200 * time.Millisecond
	orderTimeout    = plan.OrderLimit
)

// orderResult is the result of sending an order to its engine; err is nil if the
// engine confirmed it.
type orderResult struct {
	order *plan.Order
	err   error
	// unsure is true if an earlier attempt got no answer and may still take effect.
	unsure bool
}

// errLeaseExpired is the result of an order whose lease expired before the engine
// confirmed it.
var errLeaseExpired = errors.New("the lease of the order expired")

// execute sends an order to its engine repeatedly until the engine confirms or
// refuses it.
//
// The lease is checked on the monotonic clock immediately before each attempt. A
// node that was paused for longer than the lease therefore does not send the old
// order; it takes the order over with a new fence.
func (c *Controller) execute(ctx context.Context, o *plan.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	unsure := false
	for {
		if c.Clock.Now().After(o.LeaseEnd) {
			c.inbox.Send(ctx, orderResult{order: o, err: errLeaseExpired, unsure: unsure})
			return
		}
		err := c.send(ctx, o)
		if !errors.Is(err, engine.ErrUnknown) {
			c.inbox.Send(ctx, orderResult{order: o, err: err, unsure: unsure})
			return
		}
		if ctx.Err() != nil {
			return
		}
		unsure = true
		c.Metrics.OrderRetries.Add(1)
		c.pause(ctx, orderRetryDelay/2+rand.N(orderRetryDelay))
	}
}

func (c *Controller) send(ctx context.Context, o *plan.Order) error {
	eo := engine.Order{
		Unit: o.Unit, Version: o.Version, Base: o.Base, Bytes: o.Bytes, Fence: o.Fence, Incarnation: o.Incarnation,
	}
	if o.Unload {
		return c.Engines.Unload(ctx, o.Address, eo)
	}
	return c.Engines.Load(ctx, o.Address, eo)
}

func (m orderResult) handle(c *Controller) {
	o := m.order
	if c.sentOrders[o.Key] == o.Fence {
		delete(c.sentOrders, o.Key)
	}
	p := c.state.Find(o.Key)
	if p == nil || p.Fence != o.Fence {
		// The order was replaced; the executor of the new one reports the outcome.
		return
	}
	log := c.Logger.With("unit", o.Unit, "version", o.Version, "engine", o.Engine, "fence", o.Fence)
	switch {
	case o.Cleanup:
		c.handleCleanup(o, m.err, m.unsure)
		return
	case m.err == nil && o.Unload:
		log.Info("unloaded")
		c.Submit(unloadDone(o, m.unsure))
	case m.err == nil:
		log.Info("loaded")
		c.Submit(loadDone(o, m.unsure))
	case errors.Is(m.err, errLeaseExpired), errors.Is(m.err, engine.ErrStaleFence):
		log.Warn("order expired or has a stale fence; taking it over", "cause", m.err.Error())
		c.planner.ExpireLease(o.Key)
	case errors.Is(m.err, engine.ErrReplaced):
		log.Warn("engine was replaced during an order")
	case o.Unload:
		log.Warn("unload refused; retrying", "cause", m.err.Error())
		c.planner.ExpireLease(o.Key)
	default:
		log.Warn("load failed", "cause", m.err.Error())
		c.Submit(loadFailed(o, m.err, m.unsure))
	}
	// Keep the fence, so that the order is not started again before its outcome is
	// applied from the log.
	c.sentOrders[o.Key] = o.Fence
}

// handleCleanup ends a quarantine if the engine confirmed that it does not hold the
// replica. The quarantine continues after a failure, and after an unanswered
// attempt, because that may still reach the engine and unload a later replica.
func (c *Controller) handleCleanup(o *plan.Order, err error, unsure bool) {
	c.sentOrders[o.Key] = o.Fence
	if err != nil || unsure {
		c.Logger.Warn("quarantine continues: the engine did not confirm the unload", "unit", o.Unit, "engine", o.Engine, "unsure", unsure)
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

// deleteStaleOrders deletes the fences of orders that are finished or replaced.
func (c *Controller) deleteStaleOrders() {
	for k, fence := range c.sentOrders {
		if p := c.state.Open[k]; p == nil || p.Fence != fence {
			delete(c.sentOrders, k)
		}
	}
}
