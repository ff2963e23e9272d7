package caller

import (
	"context"
	"time"

	"olivetiller/core/customer"
	"olivetiller/core/quota"
	"olivetiller/core/refusal"
)

// Limiter enforces the rate limits of customers over all nodes.
type Limiter interface {
	// Charge charges need units to the customer and decides whether the request may run.
	Charge(ctx context.Context, to *customer.Customer, need float64) quota.Decision
	// Refund refunds an amount that was charged to the named customer at the given time, for a request that did not
	// run.
	Refund(name string, amount float64, charged time.Time)
}

// charge charges the request to its customer's rate limit before it acquires a slot, so that requests over the limit
// cost other customers nothing. The charge is refunded if the request certainly did not run.
func (s *Server) charge(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		if x.Customer == nil || s.Limiter == nil || !x.Customer.Limit.Limited() {
			return next(ctx, x)
		}
		c, charged := x.Customer, s.Clock.Now()
		need := c.Limit.Cost(x.Target.TokensIn, x.Target.TokensOut, x.Target.Counted)
		if err := overLimit(c, need, s.Limiter.Charge(ctx, c, need)); err != nil {
			return err
		}
		err := next(ctx, x)
		if err != nil && refusal.As(err).NotRun() {
			s.Limiter.Refund(c.Name, need, charged)
		}
		return err
	}
}

// overLimit converts a decision to a refusal, or nil if the request may run.
func overLimit(c *customer.Customer, need float64, d quota.Decision) error {
	switch d.Step {
	case quota.Admitted:
		return nil
	case quota.OverLimit:
		return refusal.New(refusal.RateExceeded, "customer %s is limited to %g a second over all nodes; this request costs %g", c.Name, c.Limit.Rate, need).WithRetryAfter(max(time.Millisecond, d.RetryAfter))
	}
	return refusal.New(refusal.LimitUnknown, "this node does not know how much of the limit of customer %s is left", c.Name).WithRetryAfter(d.RetryAfter)
}
