package quota

import (
	"maps"
	"math"
	"time"

	"olivetiller/core/customer"
)

// Times of the parts.
const (
	// HeardLife is how long after its latest question a granter counts a node's part as
	// its own: longer than the pause between two reports of 300 nodes.
	HeardLife = 1150 * time.Millisecond
	// memberLife is how long a silent node keeps its part, which it may be spending:
	// longer than it does, by the longest time for which it does not notice.
	memberLife = WordLife + 2*time.Second
	// WordLife is how long a node that gets no answer spends its part: longer than it takes
	// until there is another granter, 3.5 s at most on the deployments known, and an outage
	// of a few nodes.
	WordLife = 8 * time.Second
)

// longestHint bounds when a refused request is told to come back: by then its caller
// has left.
const longestHint = 8 * time.Second

// Tolerance is what the platform bears above a limit.
type Tolerance struct {
	// Share is the part of what a window allows, from 0 up.
	Share float64
	// Slack is in units, over all nodes, in any window.
	Slack float64
}

// Parts of the tolerance that are used; the rest is left for questions on their way and
// nodes on their way from one granter to another.
const (
	// burstShare of the share lets buckets hold more than the burst, and burstSlack of the
	// slack: what is charged and does not run, or is held for a moment at a node, would
	// else be refused to customers beneath their limits.
	burstShare = 0.25
	burstSlack = 0.125
	// aloneSlack of the slack is parted over nodes that spend alone.
	aloneSlack = 0.5
)

// full returns what a bucket of a limit holds at most.
func (t Tolerance) full(l customer.Limit) float64 {
	return l.Burst*(1+burstShare*t.Share) + burstSlack*t.Slack
}

// Granter grants what customers may spend, for all nodes that ask it. It is not safe
// for concurrent use.
type Granter struct {
	tolerance Tolerance
	// members holds when each node last asked, and following when it last did without
	// spending its part by itself.
	members, following map[string]time.Time
	// least is how many nodes there were when it began, for memberLife.
	least   int
	begun   time.Time
	buckets map[string]*bucket
}

// bucket holds what one customer may spend, in units.
type bucket struct {
	level float64
	at    time.Time
	// owed is what refused requests were told to come back for; it is worked off as the
	// bucket fills, so that they return one after the other.
	owed float64
}

// NewGranter returns a granter that begins at a moment, where members nodes were known;
// 0 if it knows of none.
func NewGranter(tolerance Tolerance, members int, now time.Time) *Granter {
	return &Granter{tolerance: tolerance, members: make(map[string]time.Time), following: make(map[string]time.Time), least: members, begun: now, buckets: make(map[string]*bucket)}
}

// Heard notes a node's message. A node that is alone spends its own part.
func (g *Granter) Heard(node string, alone bool, now time.Time) {
	g.members[node] = now
	if alone {
		delete(g.following, node)
		return
	}
	g.following[node] = now
}

// Members returns how many nodes the limits are parted over.
func (g *Granter) Members(now time.Time) int {
	maps.DeleteFunc(g.members, func(_ string, at time.Time) bool { return now.Sub(at) > memberLife })
	n := len(g.members)
	if now.Sub(g.begun) <= memberLife {
		n = max(n, g.least)
	}
	return max(1, n)
}

// part returns the part of every limit that is the granter's to spend, from 0 to 1.
func (g *Granter) part(now time.Time) float64 {
	maps.DeleteFunc(g.following, func(_ string, at time.Time) bool { return now.Sub(at) > HeardLife })
	return min(1, float64(len(g.following))/float64(g.Members(now)))
}

// Answer is what a granter says to a question.
type Answer struct {
	// Granted is what may be spent, in units: at least what was needed, or 0.
	Granted float64
	// After is when there will be room for what was needed, after all who were told so
	// before; only where nothing is granted.
	After time.Duration
}

// Ask grants what one request needs, with what is asked for ahead if there is enough.
// A request that needs more than the burst is granted where the bucket is full, and paid
// for afterwards.
func (g *Granter) Ask(name string, l customer.Limit, need, ahead float64, now time.Time) Answer {
	if !l.Limited() {
		return Answer{Granted: max(0, need) + max(0, ahead)}
	}
	return g.AskBound(name, g.tolerance.Bound(l), need, ahead, now)
}

// AskBound is Ask of any bound.
func (g *Granter) AskBound(name string, of Bound, need, ahead float64, now time.Time) Answer {
	need, ahead = max(0, need), max(0, ahead)
	part := g.part(now)
	b := g.fill(name, of, part, now)
	switch full := of.Full * part; {
	case b.level >= need+ahead:
		b.level -= need + ahead
		return Answer{Granted: need + ahead}
	case b.level >= min(need, full):
		b.level -= need
		return Answer{Granted: need}
	default:
		return Answer{After: b.after(min(need, full), of.Rate*part, need)}
	}
}

// fill returns a bucket as it is at a moment.
func (g *Granter) fill(name string, of Bound, part float64, now time.Time) *bucket {
	b := g.buckets[name]
	if b == nil {
		b = &bucket{at: g.begun}
		g.buckets[name] = b
	}
	gained := of.Rate * part * max(0, now.Sub(b.at).Seconds())
	b.level = min(b.level+gained, of.Full*part)
	b.owed = max(0, b.owed-gained)
	b.at = now
	return b
}

// after returns when the bucket will have room, and puts the request in the order of
// return.
func (b *bucket) after(room, rate, need float64) time.Duration {
	if rate <= 0 {
		return longestHint
	}
	seconds := (room - b.level + b.owed) / rate
	if seconds >= longestHint.Seconds() {
		return longestHint
	}
	b.owed += need
	// Rounded up: a moment under a nanosecond would be none, and its caller back at once.
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// idleLife is how long a bucket or an account is kept that nobody asks for.
const idleLife = 10 * time.Minute

// ForgetIdle drops the buckets that nobody asked for lately.
func (g *Granter) ForgetIdle(now time.Time) {
	maps.DeleteFunc(g.buckets, func(_ string, b *bucket) bool { return now.Sub(b.at) > idleLife })
}

// Forget drops the buckets of customers that there are no more.
func (g *Granter) Forget(known func(name string) bool) {
	maps.DeleteFunc(g.buckets, func(name string, _ *bucket) bool { return !known(name) })
}
