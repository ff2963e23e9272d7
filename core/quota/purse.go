package quota

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/customer"
)

// Times of a purse.
const (
	// creditLife is how long a node may hold what it was granted: what it spends later
	// than granted adds this much of the rate to what a window counts.
	creditLife = 200 * time.Millisecond
	// aheadFor is the time for which a node asks ahead by its own use, so that many
	// requests of one customer at one node cost some questions a second.
	aheadFor = 100 * time.Millisecond
	// aheadFrom is from how many requests on that is done: fewer are too uncertain.
	aheadFrom = 4
	// useOver is the time over which a node's use is averaged.
	useOver = time.Second
	// closedAtMost is how long a node refuses by itself after a refusal, so that what is
	// over a limit costs no question.
	closedAtMost = 100 * time.Millisecond
	// aloneBurst is the time for whose part a node that begins to spend alone has.
	aloneBurst = 200 * time.Millisecond
	// unknownAfter is when to come back where nobody knows what is left.
	unknownAfter = 500 * time.Millisecond
)

// Step is what to do with a request.
type Step uint8

// The steps.
const (
	// Pass requests are charged.
	Pass Step = iota
	// AskFor requests need a grant.
	AskFor
	// Over requests are over the limit.
	Over
	// Unknown requests come where nobody knows what is left.
	Unknown
)

// Decision is a step with its figures.
type Decision struct {
	Step Step
	// Ahead is what to ask for beyond the request's need, in units.
	Ahead float64
	// After is when to come back.
	After time.Duration
}

// Purse is what one node holds of the customers' limits. It is not safe for concurrent
// use.
type Purse struct {
	// life tells the node's draws from those of others.
	life      string
	tolerance Tolerance
	accounts  map[string]*account
	// members is how many nodes the limits are parted over; 0 before the first answer.
	members int
	// heardAt is when the latest answered question was sent.
	heardAt time.Time
	// aloneSince is when the node began to spend its own part; zero while it is in touch.
	aloneSince time.Time
}

// account is a node's own of one customer, in units.
type account struct {
	held    float64
	expires time.Time
	// use is what is spent a second, as of usedAt.
	use    float64
	usedAt time.Time
	// closed is until when requests that need closedNeed or more are refused here.
	closed     time.Time
	closedNeed float64
	after      time.Duration
	// part is the node's own part as of partAt, begun anew whenever it is alone, and
	// draw what part of a request it must hold to let it pass.
	part   float64
	partAt time.Time
	draw   float64
}

// NewPurse returns the purse of one life of a node, which has heard of nobody.
func NewPurse(life string, tolerance Tolerance) *Purse {
	return &Purse{life: life, tolerance: tolerance, accounts: make(map[string]*account)}
}

// Members returns over how many nodes the limits were parted by the latest answer.
func (p *Purse) Members() int { return p.members }

// Alone reports whether the node spends its own part.
func (p *Purse) Alone() bool { return !p.aloneSince.IsZero() }

// Heard notes an answer to a question that was sent at a moment.
func (p *Purse) Heard(sent time.Time, members int) {
	p.members, p.aloneSince = members, time.Time{}
	if sent.After(p.heardAt) {
		p.heardAt = sent
	}
}

// Lost notes that a question got no answer. It counts only if none was answered that
// was sent later.
func (p *Purse) Lost(sent, now time.Time) {
	if p.Alone() || sent.Before(p.heardAt) {
		return
	}
	p.aloneSince = now
}

// account returns a customer's account.
func (p *Purse) account(name string) *account {
	a := p.accounts[name]
	if a == nil {
		a = &account{}
		p.accounts[name] = a
	}
	return a
}

// Take decides on a request, and charges it where it may pass by what is here.
func (p *Purse) Take(name string, l customer.Limit, need float64, now time.Time) Decision {
	if !l.Limited() {
		return Decision{}
	}
	return p.TakeBound(name, p.tolerance.Bound(l), need, now)
}

// TakeBound is Take of any bound.
func (p *Purse) TakeBound(name string, of Bound, need float64, now time.Time) Decision {
	a := p.account(name)
	a.note(need, now)
	switch {
	case now.Before(a.expires) && a.held >= need:
		a.held -= need
		return Decision{}
	case p.Alone():
		return p.takeAlone(a, name, of, need, now)
	case now.Before(a.closed) && need >= a.closedNeed:
		return Decision{Step: Over, After: a.after}
	}
	return Decision{Step: AskFor, Ahead: a.ahead(need)}
}

// ahead returns what to ask for beyond a request's need: nothing where few would come in
// time, since what is not spent is lost to the others.
func (a *account) ahead(need float64) float64 {
	x := a.use * aheadFor.Seconds()
	if x < aheadFrom*need {
		return 0
	}
	return x
}

// note takes a request into the account's use.
func (a *account) note(need float64, now time.Time) {
	a.use *= max(0, 1-now.Sub(a.usedAt).Seconds()/useOver.Seconds())
	a.use += need / useOver.Seconds()
	a.usedAt = now
}

// takeAlone spends the node's own part. A part is mostly less than a request: which nodes
// let the next one pass is drawn, so that all together let as much pass as their parts
// come to.
func (p *Purse) takeAlone(a *account, name string, of Bound, need float64, now time.Time) Decision {
	nodes := p.nodes(of, now)
	if nodes == 0 {
		return Decision{Step: Unknown, After: unknownAfter}
	}
	rate := of.AloneRate / float64(nodes)
	if a.partAt.Before(p.aloneSince) {
		a.part, a.partAt = of.AloneStart/float64(nodes), p.aloneSince
		a.redraw(p.life, name, now)
	}
	a.part += rate * now.Sub(a.partAt).Seconds()
	a.partAt = now
	if short := a.draw*need - a.part; short > 0 {
		return Decision{Step: Over, After: min(longestHint, time.Duration(short/rate*float64(time.Second)))}
	}
	a.part -= need
	a.redraw(p.life, name, now)
	return Decision{}
}

// nodes returns over how many nodes a node that is alone parts a bound; 0 where that is not known.
func (p *Purse) nodes(of Bound, now time.Time) int {
	switch {
	case of.Nodes > 0:
		return max(of.Nodes, p.members)
	case now.Sub(p.heardAt) > WordLife:
		return 0
	}
	return p.members
}

// ForgetIdle drops the accounts that nothing was charged to lately.
func (p *Purse) ForgetIdle(now time.Time) {
	for name, a := range p.accounts {
		if now.Sub(a.usedAt) > idleLife {
			delete(p.accounts, name)
		}
	}
}

// redraw draws which part of the next request must be there, from 0 to 1.
func (a *account) redraw(life, name string, now time.Time) {
	h := xxhash.Sum64String(life + "\x00" + name + "\x00" + strconv.FormatInt(now.UnixNano(), 10))
	a.draw = float64(h>>11) / (1 << 53)
}

// Granted takes in the answer to a question that was sent at a moment, and charges its
// request.
func (p *Purse) Granted(name string, granted, need float64, sent time.Time) {
	a := p.account(name)
	if !sent.Before(a.expires) {
		a.held = 0
	}
	a.held += max(0, granted-need)
	a.expires = sent.Add(creditLife)
	a.closed = time.Time{}
}

// Refused takes in that a question found no room.
func (p *Purse) Refused(name string, need float64, after time.Duration, now time.Time) {
	a := p.account(name)
	a.closed, a.closedNeed, a.after = now.Add(min(after, closedAtMost)), need, after
}

// GiveBack takes back what a request was charged that has certainly not run, if it was
// charged so lately that it counts to the same time.
func (p *Purse) GiveBack(name string, amount float64, charged, now time.Time) {
	a := p.accounts[name]
	if a == nil || now.Sub(charged) > creditLife {
		return
	}
	if !now.Before(a.expires) {
		a.held = 0
	}
	a.held += amount
	if until := charged.Add(creditLife); until.After(a.expires) {
		a.expires = until
	}
}

// Forget drops the accounts of customers that there are no more.
func (p *Purse) Forget(known func(name string) bool) {
	for name := range p.accounts {
		if !known(name) {
			delete(p.accounts, name)
		}
	}
}
