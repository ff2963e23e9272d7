package lease

import (
	"slices"
	"time"
)

// Times of an outage.
const (
	// FollowFresh is how lately a node must have spoken to count as following.
	FollowFresh = 1500 * time.Millisecond
	// AwayKept is how long after a failed call the store counts as away: longer than the
	// pauses between two calls of a node that gets no answer.
	AwayKept = 2 * time.Second
	// VouchFresh is how lately a node must have spoken to vouch for the holder: longer
	// than the pause between two reports, and shorter, by the time that a takeover needs,
	// than the time after which a node that hears nothing of the holder no longer waits
	// for it.
	VouchFresh = 1200 * time.Millisecond
	// vouchWait is how long a holder whose lease ran out waits for the others' word
	// before it gives up: less than Margin, so that it has when another takes over.
	vouchWait = 500 * time.Millisecond
	// doubtAfter is how long an append may be without an answer before the others are
	// asked whether they reach the store: longer than a slow store takes (350 ms at most
	// on the deployments known).
	doubtAfter = 400 * time.Millisecond
	// doubtFresh is how long a failed call counts as the store's present state.
	doubtFresh = time.Second
	// wordKept is how long a silent node counts as one that may take the lease: it may be
	// cut off from the holder only. A node that lives on unheard for longer, and is the
	// first to reach the store again, is the risk that is left.
	wordKept = AwayLimit
	// FirstSettled is how long the first holder ever waits for the word of all others,
	// which start with it: several reports.
	FirstSettled = 3 * time.Second
)

// Word is what a node last told the holder.
type Word struct {
	At time.Time
	// StoreAway is true where the node gets no answer of the store either, and no append
	// of its own may be carried out later.
	StoreAway bool
	// Stopping is true once the node ends; it takes no lease any more.
	Stopping bool
}

// Verdict is what a holder does when its lease has run out.
type Verdict int

const (
	// GiveUp is the verdict where another node may have taken the lease.
	GiveUp Verdict = iota
	// Pause is the verdict while the others' word may still come.
	Pause
	// GoOn is the verdict where nobody else can have taken the lease.
	GoOn
)

// Outage decides whether a holder goes on ordering engines although its lease ran out,
// because the store is away. Engines that check fences refuse the holder once they have
// seen another's, so that it is enough that half of the nodes still follow. Otherwise
// every node must say that it gets no answer of the store either. It is not safe for
// concurrent use.
type Outage struct {
	fenced bool
	self   string
	// words are what the nodes last said, and known when each was last heard of, by its
	// own word or by the former holder's record.
	words map[string]Word
	known map[string]time.Time
	// completeAt is when all nodes that may take the lease are known: at once where the
	// former holder named them, else once each had time to speak.
	completeAt time.Time
	// actedAt is when this node last acted as the holder.
	actedAt time.Time
	// heard is how many nodes followed when this node last had the lease.
	heard int
	// failedAt is when a call to the store last failed.
	failedAt time.Time
	// vouchedAt is when all others last said that the store is away.
	vouchedAt time.Time
}

// NewOutage returns what a node knows that has heard of nobody. Fenced is true where
// engines check fences.
func NewOutage(self string, fenced bool) *Outage {
	return &Outage{self: self, fenced: fenced, words: make(map[string]Word), known: make(map[string]time.Time)}
}

// Gained notes that this node has taken the lease.
func (o *Outage) Gained(l *Lease, now time.Time) {
	switch {
	case l.fence == FirstFence:
		o.completeAt = now.Add(FirstSettled)
	case l.former.Nodes == nil:
		o.completeAt = now.Add(wordKept)
	default:
		o.completeAt = now
	}
	for _, n := range l.former.Nodes {
		o.learn(n, now)
	}
	// The former holder was last heard of by its record, unless nobody could write.
	lastWord := now.Add(-2 * TTL)
	if l.formerAt.After(lastWord) {
		lastWord = l.formerAt
	}
	o.learn(l.former.Holder, lastWord)
	o.Acting(now)
	o.Renewed(now)
}

// learn notes that a node was known to live at a moment.
func (o *Outage) learn(node string, at time.Time) {
	if node != "" && node != o.self && o.known[node].Before(at) {
		o.known[node] = at
	}
}

// Others returns the nodes that may take the lease, for its record; nil where not all
// are known, or engines check fences.
func (o *Outage) Others(now time.Time) []string {
	if o.fenced || o.completeAt.IsZero() || now.Before(o.completeAt) {
		return nil
	}
	out := []string{}
	for n, at := range o.known {
		if now.Sub(at) <= wordKept && !o.words[n].Stopping {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// Heard notes a node's word.
func (o *Outage) Heard(node string, w Word) {
	o.words[node], o.known[node] = w, w.At
}

// Failed notes that a call to the store got no answer.
func (o *Outage) Failed(now time.Time) { o.failedAt = now }

// FailedLately reports whether a call to the store failed a short time ago.
func (o *Outage) FailedLately(now time.Time) bool {
	return !o.failedAt.IsZero() && now.Sub(o.failedAt) <= AwayKept
}

// Acting notes that this node acts under its lease.
func (o *Outage) Acting(now time.Time) { o.actedAt = now }

// Renewed notes that this node renewed its lease.
func (o *Outage) Renewed(now time.Time) {
	o.heard = o.following(now)
	for n, at := range o.known {
		if now.Sub(at) > wordKept {
			delete(o.known, n)
			delete(o.words, n)
		}
	}
}

// Doubts reports whether this node gets no answer of the store, and asks the others
// whether they do.
func (o *Outage) Doubts(l *Lease, now time.Time) bool {
	return l.unanswered(now) > doubtAfter || !o.failedAt.IsZero() && now.Sub(o.failedAt) < doubtFresh
}

// Decide returns what the holder does whose lease has run out, and why. It is to be asked
// all the time: a node that stood still does not know for how long the others were silent.
func (o *Outage) Decide(l *Lease, now time.Time) (v Verdict, why string) {
	stood := now.Sub(o.actedAt) > VouchFresh
	o.actedAt = now
	switch {
	case !l.outlasts(now):
		return GiveUp, "the lease ran out long ago, or another holder is known"
	case !o.FailedLately(now) && (o.fenced || !o.Doubts(l, now)):
		return GiveUp, "the store answers"
	case o.fenced && 2*o.following(now) >= o.heard:
		return GoOn, "half of the nodes follow"
	case o.fenced:
		return GiveUp, "fewer than half of the nodes follow"
	case stood:
		return GiveUp, "this node stood still"
	case now.Before(o.completeAt):
		return GiveUp, "not all nodes that may take the lease are known"
	}
	doubted := o.doubted(now)
	switch {
	case !o.FailedLately(now):
		doubted = o.self
	case doubted == "":
		o.vouchedAt = now
		return GoOn, "no node reaches the store"
	}
	since := l.heldUntil
	if o.vouchedAt.After(since) {
		since = o.vouchedAt
	}
	if o.Doubts(l, now) && now.Sub(since) < vouchWait {
		return Pause, doubted + " has not said that it does not reach the store"
	}
	return GiveUp, doubted + " may have reached the store"
}

// following returns how many nodes were heard lately.
func (o *Outage) following(now time.Time) int {
	n := 0
	for _, w := range o.words {
		if !w.Stopping && now.Sub(w.At) <= FollowFresh {
			n++
		}
	}
	return n
}

// doubted returns a node that may have taken the lease; "" if none can have: every node
// that may, and that was heard of lately, gets no answer of the store. A node that is
// silent may have reached it.
func (o *Outage) doubted(now time.Time) string {
	for node, at := range o.known {
		w := o.words[node]
		says := w.Stopping || w.StoreAway && now.Sub(w.At) <= VouchFresh
		if !says && now.Sub(at) <= wordKept {
			return node
		}
	}
	return ""
}
