package quotalab

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"olivetiller/core/customer"
	"olivetiller/core/quota"
)

// Design is a way to keep limits over nodes.
type Design string

// The designs.
const (
	// Parts is the product's: a granter, and each node's own part where it does not answer.
	Parts Design = "parts"
	// Shares gives each node its share for good; nobody is asked.
	Shares Design = "shares"
	// AskOnly has a granter, and refuses where it does not answer.
	AskOnly Design = "askOnly"
)

// Designs are all of them.
var Designs = []Design{Parts, Shares, AskOnly}

// Load is what is played.
type Load struct {
	Nodes, Customers int
	// Tokens is what all customers use together a second, without the hot one's excess.
	Tokens float64
	// Hot is how many times its usual the hottest customer but HotRank sends from HotFrom on.
	Hot     float64
	HotRank int
	HotFrom time.Duration
	For     time.Duration
	// LostFrom and LostFor are when the granter is killed, and how long until another begins.
	LostFrom, LostFor time.Duration
	// CutShare of the nodes do not reach the granter from CutFrom on, for CutFor.
	CutShare        float64
	CutFrom, CutFor time.Duration
	Seed            uint64
}

// Rule is what the platform asks of a limit.
type Rule struct {
	quota.Tolerance
	Window   time.Duration
	LimitPer float64
}

// Shifted is the rule of the deployment of 71 nodes; a limit is LimitPer times a
// customer's usual.
var Shifted = Rule{Tolerance: quota.Tolerance{Share: 0.1, Slack: 17000}, Window: 8 * time.Second, LimitPer: 1.8}

// Sizes of requests, in tokens, and their frequency on that deployment.
var sizes = []struct{ tokens, perSecond float64 }{{1114, 231}, {2392, 58}, {200, 111}}

const (
	// leastRate is the least limit, in tokens a second.
	leastRate = 4200
	// noAnswer is how long a question without an answer takes, reportEvery and probeEvery the
	// pauses of a node in touch and of one that is alone.
	noAnswer    = 250 * time.Millisecond
	reportEvery = 770 * time.Millisecond
	probeEvery  = 200 * time.Millisecond
	step        = 10 * time.Millisecond
	// settled is from when refusals count: traffic begins after the nodes.
	settled = 2 * time.Second
)

// Result is what came of a load.
type Result struct {
	Design Design
	Load   Load
	// Worst is the most that any customer had in a window, in parts of what the rule
	// allows: above 1 the rule is broken. Over counts such customers.
	Worst float64
	Over  int
	// Refused is the share of tokens of all but the hot customer that were refused although
	// one exact bucket for all nodes would have let them pass, from 0 to 1.
	Refused float64
	// Questions is how many questions a second all nodes sent together.
	Questions float64
}

// spent is one request that passed.
type spent struct {
	at     time.Time
	tokens float64
}

// sender is one customer in the lab.
type sender struct {
	name   string
	usual  float64
	limit  customer.Limit
	passed []spent
	// room is what one bucket for all nodes would hold as of roomAt, charged with what passed.
	room   float64
	roomAt time.Time
}

// lab is one play.
type lab struct {
	design  Design
	load    Load
	r       *rand.Rand
	start   time.Time
	granter *quota.Granter
	purses  []*quota.Purse
	probed  []time.Time
	senders []*sender
	// shares are the nodes' own buckets where each has its share for good.
	shares    map[int]*quota.Granter
	questions int
	asked     float64
	refused   float64
}

// Play plays a load with a design.
func Play(d Design, l Load) Result {
	p := &lab{design: d, load: l, r: rand.New(rand.NewPCG(l.Seed, 1)), start: time.Unix(1000, 0), probed: make([]time.Time, l.Nodes)}
	p.granter = quota.NewGranter(Shifted.Tolerance, l.Nodes, p.start)
	for i := range l.Nodes {
		p.purses = append(p.purses, quota.NewPurse(strconv.Itoa(i), Shifted.Tolerance))
	}
	p.addSenders()
	for d := time.Duration(0); d < l.For; d += step {
		p.keepUp(p.start.Add(d))
		p.arrive(p.start.Add(d))
	}
	return p.result()
}

// addSenders makes customers whose sizes follow a power law.
func (p *lab) addSenders() {
	sum := 0.0
	for i := range p.load.Customers {
		sum += 1 / float64(i+1)
	}
	for i := range p.load.Customers {
		usual := p.load.Tokens / float64(i+1) / sum
		rate := max(leastRate, Shifted.LimitPer*usual)
		p.senders = append(p.senders, &sender{
			name: "c" + strconv.Itoa(i), usual: usual, limit: customer.Limit{Rate: rate, Burst: rate, Unit: customer.Tokens}, roomAt: p.start,
		})
	}
}

// reached reports whether a node reaches a granter at a moment.
func (p *lab) reached(node int, now time.Time) bool {
	d, l := now.Sub(p.start), &p.load
	lost := l.LostFor > 0 && d >= l.LostFrom && d < l.LostFrom+l.LostFor
	cut := float64(node) < l.CutShare*float64(l.Nodes) && d >= l.CutFrom && d < l.CutFrom+l.CutFor
	return !lost && !cut
}

// keepUp sends the nodes' reports and probes, and begins a new granter.
func (p *lab) keepUp(now time.Time) {
	d, l := now.Sub(p.start), &p.load
	if l.LostFor > 0 && d <= l.LostFrom+l.LostFor && d+step > l.LostFrom+l.LostFor {
		p.granter = quota.NewGranter(Shifted.Tolerance, l.Nodes, now)
	}
	if p.design == Shares {
		return
	}
	for i, purse := range p.purses {
		every := reportEvery
		if purse.Alone() || purse.Members() == 0 {
			every = probeEvery
		}
		if now.Sub(p.probed[i]) < every {
			continue
		}
		p.probed[i] = now
		if p.reached(i, now) {
			p.granter.Heard(strconv.Itoa(i), false, now)
			purse.Heard(now, p.granter.Members(now))
		}
	}
}

// arrive sends the requests of one step.
func (p *lab) arrive(now time.Time) {
	mean := 0.0
	total := 0.0
	for _, s := range sizes {
		mean += s.tokens * s.perSecond
		total += s.perSecond
	}
	mean /= total
	for i, t := range p.senders {
		rate := t.usual / mean
		if i == p.load.HotRank && p.load.Hot > 0 && now.Sub(p.start) >= p.load.HotFrom {
			rate *= p.load.Hot
		}
		for n := p.poisson(rate * step.Seconds()); n > 0; n-- {
			p.request(t, i, p.size(total), now)
		}
	}
}

// poisson draws how many requests come.
func (p *lab) poisson(mean float64) int {
	n := 0
	for left := mean - p.r.ExpFloat64(); left > 0; left -= p.r.ExpFloat64() {
		n++
	}
	return n
}

// size draws a request's tokens.
func (p *lab) size(total float64) float64 {
	x := p.r.Float64() * total
	for _, s := range sizes {
		if x -= s.perSecond; x < 0 {
			return s.tokens
		}
	}
	return sizes[0].tokens
}

// request has one request come at a node drawn at random.
func (p *lab) request(t *sender, rank int, need float64, now time.Time) {
	node := p.r.IntN(p.load.Nodes)
	passes, at := p.charge(node, t, need, now)
	beneath := t.beneath(need, now) && now.Sub(p.start) >= settled && (p.load.Hot == 0 || rank != p.load.HotRank)
	if beneath {
		p.asked += need
	}
	if beneath && !passes {
		p.refused += need
	}
	if passes {
		t.room -= need
		t.passed = append(t.passed, spent{at, need})
	}
}

// beneath reports whether one exact bucket has room for a request.
func (t *sender) beneath(need float64, now time.Time) bool {
	t.room = min(t.limit.Burst, t.room+t.limit.Rate*now.Sub(t.roomAt).Seconds())
	t.roomAt = now
	return t.room >= need
}

// charge asks the design whether a request passes, and when.
func (p *lab) charge(node int, t *sender, need float64, now time.Time) (passes bool, at time.Time) {
	purse := p.purses[node]
	if p.design == Shares {
		return p.share(node, t, need, now), now
	}
	d := purse.Take(t.name, t.limit, need, now)
	if d.Step != quota.AskFor {
		return d.Step == quota.Pass, now
	}
	p.questions++
	if !p.reached(node, now) {
		if p.design == Parts {
			purse.Lost(now, now.Add(noAnswer))
			return purse.Take(t.name, t.limit, need, now.Add(noAnswer)).Step == quota.Pass, now.Add(noAnswer)
		}
		return false, now
	}
	p.granter.Heard(strconv.Itoa(node), false, now)
	a := p.granter.Ask(t.name, t.limit, need, d.Ahead, now)
	if a.Granted < need {
		purse.Refused(t.name, need, a.After, now)
		return false, now
	}
	purse.Granted(t.name, a.Granted, need, now)
	return true, now
}

// share charges a node's own bucket, whose burst is a whole request at least.
func (p *lab) share(node int, t *sender, need float64, now time.Time) bool {
	n := float64(p.load.Nodes)
	l := customer.Limit{Rate: t.limit.Rate / n, Burst: max(need, t.limit.Burst/n)}
	if p.shares == nil {
		p.shares = make(map[int]*quota.Granter)
	}
	g := p.shares[node]
	if g == nil {
		g = quota.NewGranter(quota.Tolerance{}, 0, p.start)
		p.shares[node] = g
	}
	g.Heard("itself", false, now)
	return g.Ask(t.name, l, need, 0, now).Granted > 0
}

// result counts what passed in each window.
func (p *lab) result() Result {
	r := Result{Design: p.design, Load: p.load, Questions: float64(p.questions) / p.load.For.Seconds()}
	if p.asked > 0 {
		r.Refused = p.refused / p.asked
	}
	for _, t := range p.senders {
		allowed := (t.limit.Rate*Shifted.Window.Seconds()+t.limit.Burst)*(1+Shifted.Share) + Shifted.Slack
		x := mostIn(t.passed, Shifted.Window) / allowed
		r.Worst = max(r.Worst, x)
		if x > 1 {
			r.Over++
		}
	}
	return r
}

// mostIn returns the most that was spent in any window.
func mostIn(passed []spent, window time.Duration) float64 {
	slices.SortFunc(passed, func(a, b spent) int { return a.at.Compare(b.at) })
	most, sum, first := 0.0, 0.0, 0
	for _, s := range passed {
		sum += s.tokens
		for ; s.at.Sub(passed[first].at) > window; first++ {
			sum -= passed[first].tokens
		}
		most = max(most, sum)
	}
	return most
}
