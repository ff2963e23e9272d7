package placer

import (
	"time"

	"olivetiller/core/feedtree"
)

// timing holds the intervals and timeouts derived from the bound, the time within which the platform requires a changed
// configuration or a draining endpoint to take effect.
type timing struct {
	// bound is the bound itself, within its limits.
	bound time.Duration
	// holderWait is how long the store holds a read of the lease holder open, and ownWait that of a node that reads
	// for itself. holderWait is short, so that the relayed state is known to be fresh. Both bound how long a reader
	// receives nothing after its connection has failed silently.
	holderWait, ownWait time.Duration
	// instancesEvery is the least time between two reads of the list of endpoints by the lease holder, and
	// ownInstancesEvery by a node that reads for itself. Engines rewrite their entries all the time, and the list is
	// behind by more than these intervals anyway.
	instancesEvery, ownInstancesEvery time.Duration
	// watchWait is how long a follower's watch request is held open, and feederWatchWait that of a feeder, which adds to
	// the age of what its followers receive.
	watchWait, feederWatchWait time.Duration
	// relayTTL is how old relayed store state may be before a node reads the store itself: more than the lease
	// holder's reads and the waits of a feeder and its follower add up to, and less than the bound by the duration of a
	// read.
	relayTTL time.Duration
	// configSpread is the time over which the nodes of a large fleet that are no longer fed begin to read the
	// configuration.
	configSpread time.Duration
	// maxRetryPause is the longest pause after a failed read.
	maxRetryPause time.Duration
	// silenceTimeout is how long a full read may receive no data at first. A node whose relayed state is outdated
	// receives no changes meanwhile, so that the sum of relayTTL and silenceTimeout must be within the bound. The
	// timeout doubles with each failure up to maxSilenceTimeout, for slow stores.
	silenceTimeout, maxSilenceTimeout time.Duration
}

const (
	// defaultBound is used if the platform states none. It is the bound of the first deployments.
	defaultBound = 2 * time.Second
	// minBound and maxBound limit the bound: with a shorter one the store's rate limits would not suffice, with a
	// longer one failures would go unnoticed.
	minBound = 500 * time.Millisecond
	maxBound = 4 * time.Second
)

// timingFor returns the intervals and timeouts for a bound; 0 or less selects defaultBound.
func timingFor(bound time.Duration) timing {
	if bound <= 0 {
		bound = defaultBound
	}
	bound = max(minBound, min(maxBound, bound))
	return timing{
		bound:      bound,
		holderWait: bound / 8, ownWait: bound / 4, instancesEvery: bound * 3 / 20, ownInstancesEvery: bound * 3 / 10,
		watchWait: bound / 4, feederWatchWait: bound / 8, relayTTL: bound * 13 / 20, configSpread: bound / 25, maxRetryPause: bound / 2,
		silenceTimeout: bound / 5, maxSilenceTimeout: bound,
	}
}

// unfed returns how old the configuration and the list of endpoints may become at a node of a fleet that is no longer fed
// and whose first read fails.
func (t timing) unfed(nodes, endpoints int) (config, list time.Duration) {
	config = t.relayTTL + tickEvery + t.silenceTimeout
	list = config + feedtree.ReadDelay(max(1, nodes), endpoints, 1)
	if nodes > feedtree.FanOut {
		config += t.configSpread
	}
	return config, list
}

// logUnheldBound logs, whenever the answer changes, whether a node of this fleet may miss the platform's bound when it is
// no longer fed.
func (c *Controller) logUnheldBound() {
	nodes, endpoints := int(c.feeding.nodes.Load()), int(c.feeding.endpoints.Load())
	config, list := c.timing.unfed(nodes, endpoints)
	if unheld := c.o.Bound > 0 && max(config, list) > c.o.Bound; unheld != c.boundUnheld {
		c.boundUnheld = unheld
		c.o.Logger.Warn("bound on changes may be missed by nodes that are no longer fed", "missed", unheld, "boundMs", c.o.Bound.Milliseconds(),
			"configurationMs", config.Milliseconds(), "endpointsMs", list.Milliseconds(), "nodes", nodes, "endpoints", endpoints)
	}
}
