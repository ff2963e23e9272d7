package lease

import (
	"slices"
	"time"
)

// Durations of an outage of the store.
const (
	// FollowFresh is the maximum age of a node's latest report for it to count as a follower.
	FollowFresh = 1500 * time.Millisecond
	// UnreachableTTL is how long after a failed call the store counts as unreachable: longer than the
	// interval between two calls of a node that gets no answer.
	UnreachableTTL = 2 * time.Second
	// ReportFresh is the maximum age of a report that the store is unreachable. It is longer than the
	// interval between two reports. It is shorter than the time after which a node that receives
	// nothing from the holder stops deferring to it, by the time that a takeover takes.
	ReportFresh = 1200 * time.Millisecond
	// reportWait is how long a holder whose lease expired waits for the other nodes' reports before it
	// steps down. It is shorter than Margin, so that the holder has stopped before another node
	// takes over.
	reportWait = 500 * time.Millisecond
	// appendSlowAfter is how long an append may wait for its answer before the holder asks the other nodes
	// whether they reach the store. It is longer than a slow store takes (350 ms at most on the
	// known deployments).
	appendSlowAfter = 400 * time.Millisecond
	// failureFresh is how long a failed call counts as the store's current state.
	failureFresh = time.Second
	// silenceLimit is how long a node without reports still counts as one that may take the lease, since it
	// may be partitioned from the holder only. The remaining risk is a node that runs without a report for
	// longer and is the first to reach the store again.
	silenceLimit = MaxOutage
	// FirstReportWait is how long the first holder of a new log waits for reports of all other nodes,
	// which start at the same time. It covers several report intervals.
	FirstReportWait = 3 * time.Second
)

// Report is a node's latest report to the holder about its own access to the store.
type Report struct {
	// At is when the report was received.
	At time.Time
	// StoreUnreachable is true if the node gets no answer from the store either, and no append of its own may
	// still take effect.
	StoreUnreachable bool
	// Stopping is true if the node is shutting down; it takes the lease no more.
	Stopping bool
}

// Decision is the decision of a holder whose lease has expired.
type Decision int

const (
	// StepDown means to step down: another node may have taken the lease.
	StepDown Decision = iota
	// Wait means to send no orders while reports of other nodes may still arrive.
	Wait
	// Continue means to continue sending orders: no other node can have taken the lease.
	Continue
)

// Outage decides whether a holder continues to send orders after its lease expired because the store is
// unreachable. Engines that check fencing numbers refuse a holder once they have seen a higher number,
// so with them it is enough that half of the nodes still follow. Without them every node that may take
// the lease must report that it gets no answer from the store either. It is not safe for concurrent use.
type Outage struct {
	fenced bool
	self   string
	// latestReports holds the latest report of each node. lastSeen holds when each node was last known to run, by
	// its own report or by the previous holder's record.
	latestReports map[string]Report
	lastSeen      map[string]time.Time
	// completeAt is when all nodes that may take the lease are known: immediately if the previous
	// holder named them, else once each has had time to report.
	completeAt time.Time
	// actedAt is when this node last acted as the holder.
	actedAt time.Time
	// followers is the number of followers when this node last renewed its lease.
	followers int
	// failedAt is when a call to the store last failed; zero if none did.
	failedAt time.Time
	// confirmedAt is when the reports last showed that no node reaches the store.
	confirmedAt time.Time
}

// NewOutage returns the state of a node that has received no reports. Fenced is true if engines check
// fencing numbers.
func NewOutage(self string, fenced bool) *Outage {
	return &Outage{self: self, fenced: fenced, latestReports: make(map[string]Report), lastSeen: make(map[string]time.Time)}
}

// Acquired records that this node has taken the lease.
func (o *Outage) Acquired(l *Lease, now time.Time) {
	switch {
	case l.fence == FirstFence:
		o.completeAt = now.Add(FirstReportWait)
	case l.former.Nodes == nil:
		o.completeAt = now.Add(silenceLimit)
	default:
		o.completeAt = now
	}
	for _, n := range l.former.Nodes {
		o.markSeen(n, now)
	}
	// The previous holder was last known to run when its record was read. If that was more than twice
	// the TTL ago, nobody could write in between, and it may have run for longer.
	lastKnown := now.Add(-2 * TTL)
	if l.formerAt.After(lastKnown) {
		lastKnown = l.formerAt
	}
	o.markSeen(l.former.Holder, lastKnown)
	o.Acting(now)
	o.Renewed(now)
}

// markSeen records that a node was known to run at a time.
func (o *Outage) markSeen(node string, at time.Time) {
	if node != "" && node != o.self && o.lastSeen[node].Before(at) {
		o.lastSeen[node] = at
	}
}

// Others returns the sorted names of the other nodes that may take the lease, for [Lease.Begin]. It
// returns nil if not all are known yet, or if engines check fencing numbers.
func (o *Outage) Others(now time.Time) []string {
	if o.fenced || o.completeAt.IsZero() || now.Before(o.completeAt) {
		return nil
	}
	out := []string{}
	for n, at := range o.lastSeen {
		if now.Sub(at) <= silenceLimit && !o.latestReports[n].Stopping {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// ReportReceived records a report of a node.
func (o *Outage) ReportReceived(node string, w Report) {
	o.latestReports[node], o.lastSeen[node] = w, w.At
}

// Failed records that a call to the store got no answer.
func (o *Outage) Failed(now time.Time) { o.failedAt = now }

// FailedRecently reports whether a call to the store failed within UnreachableTTL.
func (o *Outage) FailedRecently(now time.Time) bool {
	return !o.failedAt.IsZero() && now.Sub(o.failedAt) <= UnreachableTTL
}

// Acting records that this node acts as the holder. Decide uses it to detect that the process was suspended.
func (o *Outage) Acting(now time.Time) { o.actedAt = now }

// Renewed records that this node renewed its lease, and removes nodes that have been silent for longer
// than silenceLimit.
func (o *Outage) Renewed(now time.Time) {
	o.followers = o.following(now)
	for n, at := range o.lastSeen {
		if now.Sub(at) > silenceLimit {
			delete(o.lastSeen, n)
			delete(o.latestReports, n)
		}
	}
}

// SuspectsStore reports whether this node currently gets no answer from the store, so that it must ask the
// other nodes whether they do.
func (o *Outage) SuspectsStore(l *Lease, now time.Time) bool {
	return l.appendAge(now) > appendSlowAfter || !o.failedAt.IsZero() && now.Sub(o.failedAt) < failureFresh
}

// Decide returns what the holder does after its lease has expired, and the reason for the log. It has to
// be called continuously: after a gap of more than ReportFresh the process was suspended and cannot know
// for how long the other nodes were silent, so it steps down unless engines check fencing numbers.
func (o *Outage) Decide(l *Lease, now time.Time) (v Decision, why string) {
	suspended := now.Sub(o.actedAt) > ReportFresh
	o.actedAt = now
	switch {
	case !l.mayOutlast(now):
		return StepDown, "the lease ran out long ago, or another holder is known"
	case !o.FailedRecently(now) && (o.fenced || !o.SuspectsStore(l, now)):
		return StepDown, "the store answers"
	case o.fenced && 2*o.following(now) >= o.followers:
		return Continue, "half of the nodes follow"
	case o.fenced:
		return StepDown, "fewer than half of the nodes follow"
	case suspended:
		return StepDown, "this node stood still"
	case now.Before(o.completeAt):
		return StepDown, "not all nodes that may take the lease are known"
	}
	unconfirmed := o.unconfirmed(now)
	switch {
	case !o.FailedRecently(now):
		unconfirmed = o.self
	case unconfirmed == "":
		o.confirmedAt = now
		return Continue, "no node reaches the store"
	}
	since := l.heldUntil
	if o.confirmedAt.After(since) {
		since = o.confirmedAt
	}
	if o.SuspectsStore(l, now) && now.Sub(since) < reportWait {
		return Wait, unconfirmed + " has not said that it does not reach the store"
	}
	return StepDown, unconfirmed + " may have reached the store"
}

// following returns the number of nodes with a recent report.
func (o *Outage) following(now time.Time) int {
	n := 0
	for _, w := range o.latestReports {
		if !w.Stopping && now.Sub(w.At) <= FollowFresh {
			n++
		}
	}
	return n
}

// unconfirmed returns the name of a node that may have taken the lease; "" if none can have, because every
// node that was known to run recently has reported that it gets no answer from the store. A node
// without a recent report may have reached the store.
func (o *Outage) unconfirmed(now time.Time) string {
	for node, at := range o.lastSeen {
		w := o.latestReports[node]
		confirmed := w.Stopping || w.StoreUnreachable && now.Sub(w.At) <= ReportFresh
		if !confirmed && now.Sub(at) <= silenceLimit {
			return node
		}
	}
	return ""
}
