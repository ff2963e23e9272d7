package placer

import "time"

// pace holds the times that follow from how soon the platform wants a changed
// configuration, or an endpoint that leaves, heeded. The shares are those with which
// two seconds, the bound of the first deployments, were kept over some 800 days.
type pace struct {
	// holderWait is how long the store keeps a read of the holder open, and ownWait
	// that of a node that reads for itself. The holder's is short, so that what it
	// relays is known to be fresh; both bound how long a reader is blind when its
	// connection died without a sign.
	holderWait, ownWait time.Duration
	// instancesEvery is the least time between two reads of the list by the holder,
	// and ownInstancesEvery by a node that reads for itself: engines record
	// themselves all the time, and the list lags by more than that.
	instancesEvery, ownInstancesEvery time.Duration
	// watch is how long the holder keeps a node's question open.
	watch time.Duration
	// feedFresh is how old the relayed word of the store may be before a node reads
	// for itself: more than the holder's reads and the pauses of its answers take
	// together, and less than the bound, by a read of one's own.
	feedFresh time.Duration
	// retryAtMost is the longest pause after a failed read.
	retryAtMost time.Duration
	// silence is how long nothing of a whole list may come at first. A node that the
	// holder no longer feeds is blind meanwhile, so that with feedFresh it must fit into the
	// bound. After a failure the time doubles up to silenceAtMost, for stores that are slow.
	silence, silenceAtMost time.Duration
}

const (
	// defaultBound is taken where the platform tells none.
	defaultBound = 2 * time.Second
	// leastBound and mostBound keep the times sensible whatever the platform tells:
	// below, the store's rates would not suffice; above, faults would go unnoticed.
	leastBound = 500 * time.Millisecond
	mostBound  = 4 * time.Second
)

// paceOf returns the times for a bound.
func paceOf(bound time.Duration) pace {
	if bound <= 0 {
		bound = defaultBound
	}
	bound = max(leastBound, min(mostBound, bound))
	return pace{
		holderWait: bound / 8, ownWait: bound / 4, instancesEvery: bound * 3 / 20, ownInstancesEvery: bound * 3 / 10,
		watch: bound / 4, feedFresh: bound * 13 / 20, retryAtMost: bound / 2,
		silence: bound / 5, silenceAtMost: bound,
	}
}
