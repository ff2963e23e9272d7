package placer

import (
	"context"
	"errors"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"olivetiller/core/customer"
	"olivetiller/core/quota"
	"olivetiller/core/signal"
	"olivetiller/core/view"
	"olivetiller/io/peer"
)

// probeEvery is the interval at which a node that is partitioned from the lease holder calls it again, and so the
// longest delay until it notices that it can reach the holder.
const probeEvery = 200 * time.Millisecond

// forgetEvery is the interval at which idle accounts are dropped.
const forgetEvery = time.Minute

// quotas enforces the limits of customers and endpoints: as the lease holder it grants amounts to all nodes, and at
// every node it charges the node's own requests. It is safe for concurrent use.
type quotas struct {
	mu sync.Mutex
	// granter is set while this node holds the lease.
	granter   *quota.Granter
	allowance *quota.Allowance
	tolerance quota.Tolerance
	probed    time.Time
	probing   bool
	// idleDroppedAt is when idle accounts were last dropped.
	idleDroppedAt time.Time
}

// dropIdle drops the accounts that are no longer used, once per forgetEvery. The caller holds q.mu.
func (q *quotas) dropIdle(now time.Time) {
	if now.Sub(q.idleDroppedAt) < forgetEvery {
		return
	}
	q.idleDroppedAt = now
	q.allowance.ForgetIdle(now)
	if q.granter != nil {
		q.granter.ForgetIdle(now)
	}
}

func (q *quotas) init(incarnation string, tolerance quota.Tolerance) {
	q.tolerance, q.allowance = tolerance, quota.NewAllowance(incarnation, tolerance)
}

// begin makes this node the granter. known is the number of nodes under the previous lease holder, as far as this
// node knows.
func (q *quotas) begin(known int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.granter = quota.NewGranter(q.tolerance, max(known, q.allowance.Members()), now)
}

// extend records that this node is the only granter until its lease ends.
func (q *quotas) extend(until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.granter != nil {
		q.granter.Exclusive(until)
	}
}

// end stops granting at this node.
func (q *quotas) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.granter = nil
}

// noteReport records a node's report to this lease holder. partitioned is true if the node spends its
// own share of the limits.
func (q *quotas) noteReport(node string, partitioned bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.granter != nil {
		q.granter.Observe(node, partitioned, now)
	}
}

// partitioned reports whether this node gets no answers from the lease holder and spends its own share of the limits.
func (q *quotas) partitioned() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.allowance.Partitioned()
}

// members returns over how many nodes the limits are divided, as far as this node knows.
func (q *quotas) members(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.granter != nil {
		return q.granter.Members(now)
	}
	return q.allowance.Members()
}

// dropRemovedCustomers drops the accounts of customers that the configuration no longer contains. customer reports
// whether it contains one.
func (q *quotas) dropRemovedCustomers(customer func(name string) bool) {
	keep := func(account string) bool { return strings.HasPrefix(account, endpointPrefix) || customer(account) }
	q.mu.Lock()
	defer q.mu.Unlock()
	q.allowance.Forget(keep)
	if q.granter != nil {
		q.granter.Forget(keep)
	}
}

// HandleGrant implements [peer.Holder]: it grants an amount of a customer's or an endpoint's limit to another node. It
// returns peer.ErrNotHolder if this node does not hold the lease.
func (c *Controller) HandleGrant(q *peer.GrantRequest) (*peer.Grant, error) {
	if err := q.Check(); err != nil {
		return nil, err
	}
	qs, now := &c.quotas, c.o.Clock.Now()
	qs.mu.Lock()
	defer qs.mu.Unlock()
	if qs.granter == nil {
		return nil, peer.ErrNotHolder
	}
	// The node stops spending its own share when it receives this answer.
	qs.granter.Observe(q.Node, false, now)
	a := &peer.Grant{Nodes: qs.granter.Members(now)}
	switch {
	case q.Endpoint != "":
		incarnation := signal.Incarnation{Endpoint: q.Endpoint, Start: q.Born}
		account, bound := endpointAccount(incarnation), quota.EndpointBound(q.Limit, a.Nodes)
		if q.Cold {
			account, bound = coldAccount(incarnation), c.o.ColdTolerance.Bound(q.Limit, a.Nodes)
		}
		answer := qs.granter.GrantBound(account, bound, q.Need, q.Prefetch, now)
		a.Granted, a.AfterMs = answer.Granted, roundUp(answer.RetryAfter)
		return a, nil
	case q.Retry != "" && c.pooledRetries > 0:
		answer := qs.granter.GrantRetry(retryAccount(q.Retry), c.retryBound(a.Nodes), q.Need, q.Urgent, now)
		a.Granted, a.AfterMs = answer.Granted, roundUp(answer.RetryAfter)
		return a, nil
	case q.Customer == "":
		return a, nil
	}
	t := c.Table()
	if t == nil || t.Customer(q.Customer) == nil {
		a.Unknown = true
		return a, nil
	}
	answer := qs.granter.Grant(q.Customer, t.Customer(q.Customer).Limit, q.Need, q.Prefetch, now)
	a.Granted, a.AfterMs = answer.Granted, roundUp(answer.RetryAfter)
	return a, nil
}

// askForGrant asks the lease holder, which may be this node, and records in the allowance whether it answered. ok is
// false if it did not.
func (c *Controller) askForGrant(ctx context.Context, q *peer.GrantRequest) (*peer.Grant, bool) {
	qs := &c.quotas
	sent := c.o.Clock.Now()
	a, err := askHolder(ctx, c, q, c.HandleGrant, c.o.Peers.RequestGrant)
	now := c.o.Clock.Now()
	qs.mu.Lock()
	defer qs.mu.Unlock()
	if err != nil {
		if ctx.Err() != nil {
			// The caller cancelled the request, which says nothing about the lease holder.
			return nil, false
		}
		if !qs.allowance.Partitioned() {
			c.o.Logger.Info("no answer on customers' limits, this node spends its own share", "holder", c.holderState.target().Holder, "error", err.Error())
		}
		qs.allowance.Unanswered(sent, now)
		return nil, false
	}
	if qs.allowance.Partitioned() {
		c.o.Logger.Info("answers on customers' limits regained", "nodes", a.Nodes)
	}
	qs.allowance.Answered(sent, a.Nodes)
	return a, true
}

// errNoHolderKnown is returned instead of a call if this node knows of no lease holder to ask.
var errNoHolderKnown = errors.New("no lease holder is known")

// askHolder sends the request q to the lease holder: local answers it if this node is the holder, otherwise remote
// sends it to the holder's address.
func askHolder[Q, A any](ctx context.Context, c *Controller, q *Q, local func(*Q) (*A, error), remote func(context.Context, string, *Q) (*A, error)) (*A, error) {
	if c.leading.Load() {
		return local(q)
	}
	h := c.holderState.target()
	if h.Holder == "" || h.Incarnation == c.o.Self.Incarnation {
		return nil, errNoHolderKnown
	}
	return remote(ctx, h.Address, q)
}

// Charge charges need, in units of the limit, to a customer. It asks the lease holder for a grant if the amount held
// by this node does not suffice. The decision says whether the request may pass, and otherwise when to retry.
func (c *Controller) Charge(ctx context.Context, to *customer.Customer, need float64) quota.Decision {
	if !to.Limit.Limited() {
		return quota.Decision{}
	}
	return c.charge(ctx, to.Name, c.quotas.tolerance.Bound(to.Limit), need, peer.GrantRequest{Customer: to.Name})
}

// ChargeEndpoint charges one request to an endpoint that accepts a limited rate, because it reported a capacity or
// because it is cold. limit is the reported capacity in requests per second. It returns 0 if the request may be sent,
// otherwise the time after which to ask again.
func (c *Controller) ChargeEndpoint(ctx context.Context, e view.Endpoint, limit float64) time.Duration {
	incarnation, nodes := signal.Incarnation{Endpoint: e.Name, Start: e.Start}, int(c.memberCount.Load())
	if asked := c.o.Clock.Now(); e.Cold(asked) {
		d := c.charge(ctx, coldAccount(incarnation), c.o.ColdTolerance.Bound(e.ColdRate, nodes), 1, peer.GrantRequest{Endpoint: e.Name, Born: e.Start, Limit: e.ColdRate, Cold: true})
		if d.Step != quota.Admitted {
			return max(time.Millisecond, d.RetryAfter)
		}
		if c.o.Clock.Now().Sub(asked) > quota.ColdGrantTTL {
			// The machine was suspended meanwhile, and the grant was for an interval that has passed.
			return time.Millisecond
		}
		if limit >= e.ColdRate {
			return 0
		}
	}
	d := c.charge(ctx, endpointAccount(incarnation), quota.EndpointBound(limit, nodes), 1, peer.GrantRequest{Endpoint: e.Name, Born: e.Start, Limit: limit})
	if d.Step == quota.Admitted {
		return 0
	}
	return max(time.Millisecond, d.RetryAfter)
}

// GrantRetry asks for need retries, at most 1, for a service from the pool of all nodes. It returns 0 if they are
// granted, otherwise the time after which to ask again.
func (c *Controller) GrantRetry(ctx context.Context, service string, need float64, urgent bool) time.Duration {
	if c.pooledRetries <= 0 {
		return maxRetryWait
	}
	account, bound := retryAccount(service), c.retryBound(int(c.memberCount.Load()))
	take := func(now time.Time) quota.Decision {
		return c.quotas.allowance.TakeRetry(account, bound, need, urgent, now)
	}
	d := c.chargeWith(ctx, account, take, need, peer.GrantRequest{Retry: service, Urgent: urgent})
	if d.Step == quota.Admitted {
		return 0
	}
	return max(minRetryWait, d.RetryAfter)
}

// The delay after which to ask for a retry again: at least minRetryWait, as a holder of an older release names none, and
// maxRetryWait where no retries are pooled.
const (
	minRetryWait = 10 * time.Millisecond
	maxRetryWait = time.Minute
)

// retryBound returns the bound on the pooled retries for one service.
func (c *Controller) retryBound(nodes int) quota.Bound {
	return quota.RetryBound(c.pooledRetries, c.o.Retries.Window, nodes)
}

// retryAccount returns the account name of the retries for a service. Like endpointAccount, it begins with a NUL.
func retryAccount(service string) string { return retryPrefix + service }

// endpointAccount returns the account name of an endpoint's incarnation. It begins with a NUL, which no customer's
// name contains.
func endpointAccount(l signal.Incarnation) string {
	return endpointPrefix + l.Endpoint + "@" + strconv.FormatInt(l.Start, 10)
}

// coldAccount returns the account name of an endpoint's incarnation while it is cold.
func coldAccount(l signal.Incarnation) string { return endpointAccount(l) + coldSuffix }

const (
	endpointPrefix = "\x00"
	coldSuffix     = "\x00cold"
	retryPrefix    = endpointPrefix + "\x00retry\x00"
)

// roundUp returns d in milliseconds, rounded up: a caller that retries a fraction of a millisecond too early is
// refused again.
func roundUp(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}

// charge charges need to an account under a bound, from the amount held by this node or by a grant that it asks the
// lease holder for with q.
func (c *Controller) charge(ctx context.Context, account string, bound quota.Bound, need float64, q peer.GrantRequest) quota.Decision {
	take := func(now time.Time) quota.Decision { return c.quotas.allowance.TakeBound(account, bound, need, now) }
	return c.chargeWith(ctx, account, take, need, q)
}

// chargeWith is like charge. take decides by what this node holds, and is called with the lock of the quotas held.
func (c *Controller) chargeWith(ctx context.Context, account string, take func(now time.Time) quota.Decision, need float64, q peer.GrantRequest) quota.Decision {
	qs := &c.quotas
	sent := c.o.Clock.Now()
	qs.mu.Lock()
	d := take(sent)
	q.Node, q.Partitioned, q.Need, q.Prefetch = c.o.Self.Holder, qs.allowance.Partitioned(), need, d.Prefetch
	qs.mu.Unlock()
	if d.Step != quota.NeedsGrant {
		return d
	}
	a, ok := c.askForGrant(ctx, &q)
	qs.mu.Lock()
	defer qs.mu.Unlock()
	now := c.o.Clock.Now()
	switch {
	case !ok:
		d = take(now)
	case a.Unknown:
		// This node and the lease holder have different configurations, one of which is about to change.
		d = quota.Decision{Step: quota.ShareUnknown, RetryAfter: probeEvery}
	case a.Granted < need:
		d = quota.Decision{Step: quota.OverLimit, RetryAfter: time.Duration(a.AfterMs) * time.Millisecond}
		qs.allowance.Refused(account, need, d.RetryAfter, now)
	default:
		qs.allowance.Granted(account, a.Granted, need, sent)
		return quota.Decision{}
	}
	if d.Step == quota.NeedsGrant {
		d = quota.Decision{Step: quota.ShareUnknown, RetryAfter: probeEvery}
	}
	return d
}

// Refund refunds an amount that was charged at a time to an account, for a request that certainly has not run.
func (c *Controller) Refund(name string, amount float64, charged time.Time) {
	qs, now := &c.quotas, c.o.Clock.Now()
	qs.mu.Lock()
	defer qs.mu.Unlock()
	qs.allowance.Refund(name, amount, charged, now)
}

// probeQuotaHolder asks the lease holder, once per probeEvery, whether it answers while this node spends its own
// share of the limits, and while it does not yet know the number of nodes.
func (c *Controller) probeQuotaHolder(ctx context.Context, now time.Time) {
	qs := &c.quotas
	if c.held {
		qs.noteReport(c.o.Self.Holder, false, now)
	}
	t := c.Table()
	limited := t != nil && t.Keyed()
	qs.mu.Lock()
	defer qs.mu.Unlock()
	qs.dropIdle(now)
	if !limited && !qs.allowance.Partitioned() {
		// Without customers' limits, nothing needs to be known in advance: limits of endpoints are asked for with
		// each request.
		return
	}
	if qs.probing || !qs.allowance.Partitioned() && qs.allowance.Members() > 0 || now.Sub(qs.probed) < probeEvery {
		return
	}
	qs.probed, qs.probing = now, true
	q := &peer.GrantRequest{Node: c.o.Self.Holder, Partitioned: true}
	go func() {
		_, _ = c.askForGrant(ctx, q)
		qs.mu.Lock()
		defer qs.mu.Unlock()
		qs.probing = false
	}()
}
