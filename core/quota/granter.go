package quota

import (
	"maps"
	"math"
	"time"

	"olivetiller/core/customer"
)

// How long shares stay with a granter or a node.
const (
	// AttachmentTTL is how long after a node's latest message its share belongs to the granter. It is longer than the
	// interval between two reports of a node in a deployment of 300 nodes.
	AttachmentTTL = 1150 * time.Millisecond
	// memberTTL is how long a silent node keeps its share, which it may be spending by itself. It exceeds
	// PartitionedTTL by the longest time in which a node may fail to notice that it is partitioned.
	memberTTL = PartitionedTTL + 2*time.Second
	// PartitionedTTL is how long after the latest answer a partitioned node may spend its share. It covers an outage
	// of a few nodes and the election of another granter, which takes at most 3.5 s on known deployments.
	PartitionedTTL = 8 * time.Second
)

// maxRetryAfter bounds the retry delay of a refused request; its caller has given up by then.
const maxRetryAfter = 8 * time.Second

// Tolerance is by how much the requests of a customer may exceed its limit in any window of time.
type Tolerance struct {
	// Share is a fraction, from 0 up, of what the limit allows in the window.
	Share float64
	// Slack is an absolute number of units over all nodes, in any window.
	Slack float64
}

// Fractions of the tolerance that are spent on purpose. The rest covers grant requests in flight and nodes that move
// from one granter to another.
const (
	// A bucket may exceed the burst by burstShare of Share and burstSlack of Slack. Units that are charged for
	// requests that do not run, or that a node holds as credit for a moment, would otherwise be refused to customers
	// below their limits.
	burstShare = 0.25
	burstSlack = 0.125
	// partitionedSlack is the fraction of Slack that is divided over partitioned nodes.
	partitionedSlack = 0.5
)

// capacity returns the size of a limit's bucket in units.
func (t Tolerance) capacity(l customer.Limit) float64 {
	return l.Burst*(1+burstShare*t.Share) + burstSlack*t.Slack
}

// Granter grants units to the nodes that request them, from one token bucket per customer or endpoint. Normally one
// node of a deployment runs the granter. It is not safe for concurrent use.
type Granter struct {
	tolerance Tolerance
	// seenAt is when each node's latest message came, and attachedAt when its latest message came that did not report
	// it as partitioned.
	seenAt, attachedAt map[string]time.Time
	// initialMembers is how many nodes were known at the start; it is a lower bound for the first memberTTL.
	initialMembers int
	startedAt      time.Time
	// exclusiveUntil is until when no other node is known to hold the role; see Exclusive.
	exclusiveUntil time.Time
	buckets        map[string]*bucket
}

// bucket is the token bucket of one customer or endpoint, in units.
type bucket struct {
	level float64
	at    time.Time
	// deferred is the total of refused requests that got a retry delay. It decreases as the bucket fills, so
	// that they return one after the other.
	deferred float64
}

// NewGranter returns a granter with empty buckets that starts now, when members nodes were known; 0 if none were.
func NewGranter(tolerance Tolerance, members int, now time.Time) *Granter {
	return &Granter{tolerance: tolerance, seenAt: make(map[string]time.Time), attachedAt: make(map[string]time.Time), initialMembers: members, startedAt: now, buckets: make(map[string]*bucket)}
}

// Observe records a message from a node. A partitioned node spends its own share, so the granter does not.
func (g *Granter) Observe(node string, partitioned bool, now time.Time) {
	g.seenAt[node] = now
	if partitioned {
		delete(g.attachedAt, node)
		return
	}
	g.attachedAt[node] = now
}

// Exclusive records that this node alone holds the granter's role until the given time.
func (g *Granter) Exclusive(until time.Time) { g.exclusiveUntil = until }

// Members returns the number of nodes over which limits are divided, at least 1. A node that is silent for memberTTL
// stops counting only while the granter is exclusive: otherwise it may have moved to another granter, which spends its
// share.
func (g *Granter) Members(now time.Time) int {
	if now.Before(g.exclusiveUntil) {
		maps.DeleteFunc(g.seenAt, func(_ string, at time.Time) bool { return now.Sub(at) > memberTTL })
		if now.Sub(g.startedAt) > memberTTL {
			g.initialMembers = 0
		}
	}
	return max(1, len(g.seenAt), g.initialMembers)
}

// share returns the fraction of every limit that belongs to the granter, from 0 to 1.
func (g *Granter) share(now time.Time) float64 {
	maps.DeleteFunc(g.attachedAt, func(_ string, at time.Time) bool { return now.Sub(at) > AttachmentTTL })
	return min(1, float64(len(g.attachedAt))/float64(g.Members(now)))
}

// Answer is a granter's response to a grant request.
type Answer struct {
	// Granted is the number of units granted: at least the request's need, or 0.
	Granted float64
	// RetryAfter is the delay until the needed units will be available, behind all requests that were deferred before.
	// It is set only where nothing is granted.
	RetryAfter time.Duration
}

// Grant grants the units that one request of a customer needs, and ahead units more for later requests if the bucket
// has them. A request that needs more than the burst is granted when the bucket is full, which leaves the bucket
// negative.
func (g *Granter) Grant(name string, l customer.Limit, need, ahead float64, now time.Time) Answer {
	if !l.Limited() {
		return Answer{Granted: max(0, need) + max(0, ahead)}
	}
	return g.GrantBound(name, g.tolerance.Bound(l), need, ahead, now)
}

// GrantBound is like Grant, for any bound; name is that of its bucket.
func (g *Granter) GrantBound(name string, of Bound, need, ahead float64, now time.Time) Answer {
	need, ahead = max(0, need), max(0, ahead)
	share := g.share(now)
	b := g.fill(name, of, share, now)
	switch capacity := of.Capacity * share; {
	case b.level >= need+ahead:
		b.level -= need + ahead
		return Answer{Granted: need + ahead}
	case b.level >= min(need, capacity):
		b.level -= need
		return Answer{Granted: need}
	default:
		return Answer{RetryAfter: b.retryAfter(min(need, capacity), of.Rate*share, need)}
	}
}

// urgentShare is the fraction of a bound on retries that only urgent ones may use.
const urgentShare = 0.25

// urgentSuffix follows the name of a bucket of retries in that of the bucket for urgent ones.
const urgentSuffix = "\x00urgent"

// GrantRetry grants need units, at most 1, for one retry under a bound from [RetryBound]; name is that of its bucket.
// Urgent retries have a bucket of their own for when that of the others is empty. They wait as long as they are told to,
// so they are scheduled one after the other.
func (g *Granter) GrantRetry(name string, of Bound, need float64, urgent bool, now time.Time) Answer {
	share := g.share(now) * min(1, float64(g.Members(now))/float64(max(1, of.MinNodes)))
	need = min(max(0, need), 1)
	take := func(name string, fraction float64) Answer {
		b, capacity, rate := g.fill(name, of, share*fraction, now), of.Capacity*share*fraction, of.Rate*share*fraction
		switch room := min(need, capacity); {
		case b.level >= room:
			b.level -= need
			return Answer{Granted: need}
		case urgent:
			return Answer{RetryAfter: b.retryAfter(room, rate, need)}
		default:
			return Answer{RetryAfter: b.waitFor(room, rate)}
		}
	}
	a := take(name, 1-urgentShare)
	if a.Granted > 0 || !urgent {
		return a
	}
	own := take(name+urgentSuffix, urgentShare)
	own.RetryAfter = min(own.RetryAfter, a.RetryAfter)
	return own
}

// fill returns the named bucket after refilling it up to now.
func (g *Granter) fill(name string, of Bound, share float64, now time.Time) *bucket {
	b := g.buckets[name]
	if b == nil {
		b = &bucket{at: g.startedAt}
		g.buckets[name] = b
	}
	gained := of.Rate * share * max(0, now.Sub(b.at).Seconds())
	b.level = min(b.level+gained, of.Capacity*share)
	b.deferred = max(0, b.deferred-gained)
	b.at = now
	return b
}

// retryAfter returns the delay until the bucket holds room units beyond what earlier refused requests wait for, and
// adds need to the deferred units.
func (b *bucket) retryAfter(room, rate, need float64) time.Duration {
	wait := b.waitFor(room, rate)
	if wait < maxRetryAfter {
		b.deferred += need
	}
	return wait
}

// waitFor returns the delay until the bucket holds room units beyond what earlier refused requests wait for.
func (b *bucket) waitFor(room, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := (room - b.level + b.deferred) / rate
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	// Rounded up: a delay below one nanosecond would become 0, and the caller would retry at once.
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// idleTTL is how long an unused bucket or account is kept.
const idleTTL = 10 * time.Minute

// ForgetIdle drops the buckets that were not used for idleTTL.
func (g *Granter) ForgetIdle(now time.Time) {
	maps.DeleteFunc(g.buckets, func(_ string, b *bucket) bool { return now.Sub(b.at) > idleTTL })
}

// Forget drops the buckets whose names are not known, such as those of deleted customers.
func (g *Granter) Forget(known func(name string) bool) {
	maps.DeleteFunc(g.buckets, func(name string, _ *bucket) bool { return !known(name) })
}
