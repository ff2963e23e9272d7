package quota

import (
	"time"

	"olivetiller/core/customer"
)

// Bound is a rate limit over all nodes together, as the parameters of the token buckets that enforce it.
type Bound struct {
	// Rate is the refill rate of the granter's bucket in units per second, and Capacity its size in units.
	Rate, Capacity float64
	// PartitionedRate is the total rate, in units per second, at which partitioned nodes may spend their shares, and
	// PartitionedBurst the total in units with which their buckets start.
	PartitionedRate, PartitionedBurst float64
	// MinNodes is the least number of nodes over which a partitioned node divides the bound. If it is 0, only a
	// granter's answer states the number, and it must not be older than [PartitionedTTL].
	MinNodes int
}

// Bound returns the bound that enforces a customer's limit with this tolerance.
func (t Tolerance) Bound(l customer.Limit) Bound {
	return Bound{Rate: l.Rate, Capacity: t.capacity(l), PartitionedRate: l.Rate, PartitionedBurst: l.Rate*partitionedBurstTime.Seconds() + partitionedSlack*t.Slack}
}

// ColdTolerance is by how much requests to a cold endpoint may exceed its rate in any one second: Share times the
// rate plus Slack requests are allowed.
type ColdTolerance struct {
	// Share multiplies the rate; values below 1 count as 1. Slack is a number of requests.
	Share, Slack float64
}

// ColdGrantTTL is how long after its grant request was sent a grant for a cold endpoint is valid. It keeps machines
// that were suspended and resume together from sending everything that was granted before at once.
const ColdGrantTTL = 300 * time.Millisecond

// Fractions of the requests that a cold endpoint may get in one second. Two granters at once must fit: a node that
// moves from one to the other counts at both for [AttachmentTTL], which is longer than that second. The remainder
// covers credit that nodes hold and requests in flight. Partitioned nodes have no burst: a node may become partitioned
// several times within that second.
const (
	coldRate, coldCapacity = 0.3, 0.1
	coldPartitionedRate    = 0.1
)

// Bound returns the bound on requests to a cold endpoint that accepts perSecond requests per second from all nodes
// together. At least minNodes nodes share the traffic.
func (t ColdTolerance) Bound(perSecond float64, minNodes int) Bound {
	allowed := perSecond*max(1, t.Share) + t.Slack
	return Bound{
		Rate: min(perSecond, coldRate*allowed), Capacity: max(1, coldCapacity*allowed),
		PartitionedRate: coldPartitionedRate * allowed, MinNodes: minNodes,
	}
}

// Parameters of the bound on requests to an endpoint that announces a limit. Over some seconds an endpoint may get
// 1.5 times its limit and a few requests: partitioned nodes add partitionedShare of the limit to what a granter that
// they cannot reach grants.
const (
	partitionedShare = 0.5
	// A bucket holds endpointBaseCapacity requests and those of endpointBurstSeconds: nodes collect grants at
	// different moments, and what exceeds a full bucket is lost.
	endpointBaseCapacity = 2
	endpointBurstSeconds = 0.5
)

// EndpointBound returns the bound on requests to an endpoint that accepts perSecond requests per second from all nodes
// together. At least minNodes nodes share the traffic.
func EndpointBound(perSecond float64, minNodes int) Bound {
	return Bound{Rate: perSecond, Capacity: endpointBaseCapacity + endpointBurstSeconds*perSecond, PartitionedRate: partitionedShare * perSecond, PartitionedBurst: partitionedShare, MinNodes: minNodes}
}

// minRetryNodes is the least number of nodes over which retries are divided. A granter that reaches no other node
// counts only itself; with this divisor, what it grants fits beside the grants of another one.
const minRetryNodes = 3

// retryCapacity is the fraction of the retries of a window that may be granted at once. The rest is refilled during the
// window.
const retryCapacity = 0.5

// RetryBound returns the bound on the retries that all nodes together may make for one service: at most n in any
// window of the given length. At least minNodes nodes share the traffic.
func RetryBound(n float64, window time.Duration, minNodes int) Bound {
	rate := (1 - retryCapacity) * n / window.Seconds()
	return Bound{Rate: rate, Capacity: retryCapacity * n, PartitionedRate: rate, MinNodes: max(minRetryNodes, minNodes)}
}
