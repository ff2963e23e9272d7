package quota

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/customer"
)

// Durations that an allowance uses.
const (
	// creditTTL is how long a node may hold granted units. They are spent up to this much later than they are granted,
	// so a window of time may also contain units that were granted up to this long before it.
	creditTTL = 200 * time.Millisecond
	// prefetchWindow is the time for which a node requests units in advance, by its own usage, so that many requests
	// of one customer at one node cost only a few grant requests per second.
	prefetchWindow = 100 * time.Millisecond
	// prefetchMinRequests is the least number of requests expected within prefetchWindow for which units are
	// prefetched. A prediction of fewer is too uncertain.
	prefetchMinRequests = 4
	// usageWindow is the time over which a node's usage is averaged.
	usageWindow = time.Second
	// maxLocalRefusal is how long after a granter's refusal a node refuses by itself, so that a customer over its
	// limit causes no grant requests.
	maxLocalRefusal = 100 * time.Millisecond
	// partitionedBurstTime is the time whose share of the rate a node may spend at once when it becomes partitioned.
	partitionedBurstTime = 200 * time.Millisecond
	// shareTTL is how long a partitioned node keeps what it does not spend of its share.
	shareTTL = time.Second
	// unknownRetryAfter is the retry delay where the number of nodes is not known, so that no share can be computed.
	unknownRetryAfter = 500 * time.Millisecond
)

// Step is what to do next with a request.
type Step uint8

// Possible steps.
const (
	// Admitted: the request was charged and may run.
	Admitted Step = iota
	// NeedsGrant: the request needs a grant from the granter.
	NeedsGrant
	// OverLimit: the request exceeds the limit and is refused.
	OverLimit
	// ShareUnknown: the request is refused because the node's share is not known: it is partitioned and has had no
	// answer from a granter for PartitionedTTL.
	ShareUnknown
)

// Decision is a step with its parameters.
type Decision struct {
	Step Step
	// Prefetch is how many units to request beyond the request's need; set with NeedsGrant.
	Prefetch float64
	// RetryAfter is the delay after which to retry; set with OverLimit and ShareUnknown.
	RetryAfter time.Duration
}

// Allowance holds the units that one node may spend, by customer or endpoint: credit from a granter, or the node's own
// share while it is partitioned. It is not safe for concurrent use.
type Allowance struct {
	// incarnation identifies the node's process; it seeds the random thresholds, so that nodes draw different ones.
	incarnation string
	tolerance   Tolerance
	accounts    map[string]*account
	// members is the number of nodes over which limits are divided; 0 before the first answer.
	members int
	// answeredAt is when the latest answered grant request was sent.
	answeredAt time.Time
	// partitionedSince is when the node became partitioned; zero while it is attached to a granter.
	partitionedSince time.Time
}

// account holds a node's units for one customer or endpoint.
type account struct {
	credit  float64
	expires time.Time
	// usageRate is the usage in units per second as of usageAt.
	usageRate float64
	usageAt   time.Time
	// Until refuseUntil, requests that need refuseNeed units or more are refused without a grant request.
	refuseUntil time.Time
	refuseNeed  float64
	retryAfter  time.Duration
	// share is the level as of shareAt of the bucket that holds the node's own share; it is reset whenever the node
	// becomes partitioned. threshold is the random fraction, from 0 to 1, of a request's need that the bucket must
	// hold to let it pass. After shareUntil, what the bucket gained before the latest shareTTL is lost.
	share      float64
	shareAt    time.Time
	shareUntil time.Time
	threshold  float64
}

// NewAllowance returns the allowance of a node's process, which has had no answer yet. The incarnation identifies the
// process.
func NewAllowance(incarnation string, tolerance Tolerance) *Allowance {
	return &Allowance{incarnation: incarnation, tolerance: tolerance, accounts: make(map[string]*account)}
}

// Members returns the number of nodes over which limits are divided by the latest answer.
func (p *Allowance) Members() int { return p.members }

// Partitioned reports whether the node is partitioned from the granter and spends its own share.
func (p *Allowance) Partitioned() bool { return !p.partitionedSince.IsZero() }

// Answered records an answer, with the number of nodes that it stated, to a grant request that was sent at the given
// time.
func (p *Allowance) Answered(sent time.Time, members int) {
	p.members, p.partitionedSince = members, time.Time{}
	if sent.After(p.answeredAt) {
		p.answeredAt = sent
	}
}

// Unanswered records that a grant request got no answer. It is ignored if a request that was sent later was answered.
func (p *Allowance) Unanswered(sent, now time.Time) {
	if p.Partitioned() || sent.Before(p.answeredAt) {
		return
	}
	p.partitionedSince = now
}

// account returns the account of a name, creating it if needed.
func (p *Allowance) account(name string) *account {
	a := p.accounts[name]
	if a == nil {
		a = &account{}
		p.accounts[name] = a
	}
	return a
}

// Take decides on a customer's request of need units, and charges it if the units held here suffice.
func (p *Allowance) Take(name string, l customer.Limit, need float64, now time.Time) Decision {
	if !l.Limited() {
		return Decision{}
	}
	return p.TakeBound(name, p.tolerance.Bound(l), need, now)
}

// TakeBound is like Take, for any bound; name is that of its account.
func (p *Allowance) TakeBound(name string, of Bound, need float64, now time.Time) Decision {
	a := p.account(name)
	a.recordUsage(need, now)
	switch {
	case now.Before(a.expires) && a.credit >= need:
		a.credit -= need
		return Decision{}
	case p.Partitioned():
		return p.takePartitioned(a, name, of, need, now)
	case now.Before(a.refuseUntil) && need >= a.refuseNeed:
		return Decision{Step: OverLimit, RetryAfter: a.retryAfter}
	}
	return Decision{Step: NeedsGrant, Prefetch: a.prefetch(need)}
}

// TakeRetry decides on need units for a retry under a bound from [RetryBound]; name is that of its account. An urgent
// retry asks the granter also where that has refused another one a moment ago.
func (p *Allowance) TakeRetry(name string, of Bound, need float64, urgent bool, now time.Time) Decision {
	a := p.account(name)
	a.usageAt = now
	switch {
	case p.Partitioned():
		return p.takePartitioned(a, name, of, need, now)
	case !urgent && now.Before(a.refuseUntil):
		return Decision{Step: OverLimit, RetryAfter: a.retryAfter}
	}
	return Decision{Step: NeedsGrant}
}

// prefetch returns how many units to request beyond a request's need. It is 0 where few requests are expected, since
// units that are not spent in time are lost to other nodes.
func (a *account) prefetch(need float64) float64 {
	x := a.usageRate * prefetchWindow.Seconds()
	if x < prefetchMinRequests*need {
		return 0
	}
	return x
}

// recordUsage adds a request to the account's average usage.
func (a *account) recordUsage(need float64, now time.Time) {
	a.usageRate *= max(0, 1-now.Sub(a.usageAt).Seconds()/usageWindow.Seconds())
	a.usageRate += need / usageWindow.Seconds()
	a.usageAt = now
}

// takePartitioned spends the node's own share. A share is mostly smaller than one request. Each node therefore draws
// a random threshold for its next request, so that all nodes together admit as much as the sum of their shares.
//
// A node that was suspended, or had no requests, has not spent its share meanwhile. It loses what is older than
// shareTTL: nodes that resume together would otherwise spend the shares of all that time at once. A node that waited
// as long as its latest refusal told it to loses nothing. Without MinNodes, PartitionedTTL bounds what a node saves.
func (p *Allowance) takePartitioned(a *account, name string, of Bound, need float64, now time.Time) Decision {
	nodes := p.nodes(of, now)
	if nodes == 0 {
		return Decision{Step: ShareUnknown, RetryAfter: unknownRetryAfter}
	}
	rate := of.PartitionedRate / float64(nodes)
	if a.shareAt.Before(p.partitionedSince) {
		a.share, a.shareAt, a.shareUntil = of.PartitionedBurst/float64(nodes), p.partitionedSince, p.partitionedSince.Add(shareTTL)
		a.drawThreshold(p.incarnation, name, now)
	}
	a.share += rate * now.Sub(a.shareAt).Seconds()
	a.shareAt = now
	if of.MinNodes > 0 && now.After(a.shareUntil) {
		a.share = min(a.share, rate*shareTTL.Seconds())
		a.drawThreshold(p.incarnation, name, now)
	}
	if short := a.threshold*need - a.share; short > 0 {
		wait := min(maxRetryAfter, time.Duration(short/rate*float64(time.Second)))
		a.shareUntil = now.Add(wait + shareTTL)
		return Decision{Step: OverLimit, RetryAfter: wait}
	}
	a.share -= need
	a.shareUntil = now.Add(shareTTL)
	a.drawThreshold(p.incarnation, name, now)
	return Decision{}
}

// nodes returns the number of nodes over which a partitioned node divides a bound; 0 if it is not known.
func (p *Allowance) nodes(of Bound, now time.Time) int {
	switch {
	case of.MinNodes > 0:
		return max(of.MinNodes, p.members)
	case now.Sub(p.answeredAt) > PartitionedTTL:
		return 0
	}
	return p.members
}

// ForgetIdle drops the accounts that no request used for idleTTL.
func (p *Allowance) ForgetIdle(now time.Time) {
	for name, a := range p.accounts {
		if now.Sub(a.usageAt) > idleTTL {
			delete(p.accounts, name)
		}
	}
}

// drawThreshold draws the fraction, from 0 to 1, of the next request's need that the node's share must hold.
func (a *account) drawThreshold(incarnation, name string, now time.Time) {
	h := xxhash.Sum64String(incarnation + "\x00" + name + "\x00" + strconv.FormatInt(now.UnixNano(), 10))
	a.threshold = float64(h>>11) / (1 << 53)
}

// Granted records the units granted by an answer to a grant request that was sent at the given time, and charges the
// need of the request that caused it. Credit expires creditTTL after sent.
func (p *Allowance) Granted(name string, granted, need float64, sent time.Time) {
	a := p.account(name)
	if !sent.Before(a.expires) {
		a.credit = 0
	}
	a.credit += max(0, granted-need)
	a.expires = sent.Add(creditTTL)
	a.refuseUntil = time.Time{}
}

// Refused records that the granter refused need units; after is the delay until they will be available.
func (p *Allowance) Refused(name string, need float64, after time.Duration, now time.Time) {
	a := p.account(name)
	a.refuseUntil, a.refuseNeed, a.retryAfter = now.Add(min(after, maxLocalRefusal)), need, after
}

// Refund refunds the charge of a request that certainly did not run. Refunds later than creditTTL after the charge
// are ignored, since the units would count towards another time.
func (p *Allowance) Refund(name string, amount float64, charged, now time.Time) {
	a := p.accounts[name]
	if a == nil || now.Sub(charged) > creditTTL {
		return
	}
	if !now.Before(a.expires) {
		a.credit = 0
	}
	a.credit += amount
	if until := charged.Add(creditTTL); until.After(a.expires) {
		a.expires = until
	}
}

// Forget drops the accounts whose names are not known, such as those of deleted customers.
func (p *Allowance) Forget(known func(name string) bool) {
	for name := range p.accounts {
		if !known(name) {
			delete(p.accounts, name)
		}
	}
}
