package quotalab

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"olivetiller/core/customer"
	"olivetiller/core/quota"
)

// Design is a way of keeping limits over several nodes.
type Design string

// The designs that can be simulated.
const (
	// GranterOrShare is the product's design: nodes ask a granter, and use their own share of the
	// limit while it does not answer.
	GranterOrShare Design = "parts"
	// FixedShares gives each node a fixed share of the limit; there is no granter.
	FixedShares Design = "shares"
	// GranterOnly lets nodes ask a granter, and refuses requests while it does not answer.
	GranterOnly Design = "askOnly"
)

// Designs lists all designs.
var Designs = []Design{GranterOrShare, FixedShares, GranterOnly}

// Load describes the traffic and the faults of a run. Moments are times from the start of the run.
type Load struct {
	Nodes, Customers int
	// Tokens is what all customers use together, in tokens per second, without the excess of the
	// hot one.
	Tokens float64
	// Hot multiplies the traffic of one customer from HotFrom on; 0 for no hot customer. HotRank is
	// that customer's rank by size, 0 for the largest.
	Hot     float64
	HotRank int
	HotFrom time.Duration
	// For is the length of the run.
	For time.Duration
	// LostFrom is when the granter is killed, and LostFor how long it takes until a new one starts;
	// 0 for no loss.
	LostFrom, LostFor time.Duration
	// CutShare is the share of the nodes that are partitioned from the granter from CutFrom on, for
	// CutFor.
	CutShare        float64
	CutFrom, CutFor time.Duration
	Seed            uint64
}

// Rule is the platform's requirement on limits: a customer may exceed its limit by the tolerance in
// any window.
type Rule struct {
	quota.Tolerance
	// Window is the length of the window in which usage is counted.
	Window time.Duration
	// LimitFactor is the ratio of a customer's limit to its usual traffic.
	LimitFactor float64
}

// Shifted is the rule of the deployment of 71 nodes.
var Shifted = Rule{Tolerance: quota.Tolerance{Share: 0.1, Slack: 17000}, Window: 8 * time.Second, LimitFactor: 1.8}

// requestSizes holds the sizes of requests in the deployment of 71 nodes, in tokens, and how many
// of each arrive per second.
var requestSizes = []struct{ tokens, perSecond float64 }{{1114, 231}, {2392, 58}, {200, 111}}

const (
	// minRate is the lowest limit, in tokens per second.
	minRate = 4200
	// grantTimeout is how long a node waits for the answer to a grant request. reportEvery and
	// probeEvery are the intervals at which a node contacts the granter while it is attached and
	// while it is partitioned.
	grantTimeout = 250 * time.Millisecond
	reportEvery  = 770 * time.Millisecond
	probeEvery   = 200 * time.Millisecond
	// step is the time resolution of the simulation.
	step = 10 * time.Millisecond
	// warmUp is the time before which refusals are not counted: in a deployment, traffic starts
	// later than the nodes.
	warmUp = 2 * time.Second
)

// Result holds the figures of a run.
type Result struct {
	Design Design
	Load   Load
	// Worst is the most that any customer used in a window, as a ratio to what the rule allows:
	// above 1 the rule is broken. Over counts the customers that broke it.
	Worst float64
	Over  int
	// Refused is the share of tokens, from 0 to 1, that were refused although a single exact token
	// bucket for all nodes would have admitted them; the hot customer is left out.
	Refused float64
	// Questions is the number of grant requests per second from all nodes.
	Questions float64
}

// admittedRequest is a request that was admitted, and when.
type admittedRequest struct {
	at     time.Time
	tokens float64
}

// customerState is one customer in the simulation.
type customerState struct {
	name string
	// usual is the usual traffic, in tokens per second.
	usual    float64
	limit    customer.Limit
	admitted []admittedRequest
	// level is the content that a single token bucket for all nodes would have at levelAt, charged
	// with the admitted requests.
	level   float64
	levelAt time.Time
}

// simulation is the state of one run.
type simulation struct {
	design     Design
	load       Load
	rnd        *rand.Rand
	start      time.Time
	granter    *quota.Granter
	allowances []*quota.Allowance
	// reportedAt is when each node last tried to contact the granter.
	reportedAt []time.Time
	customers  []*customerState
	// fixedShares holds each node's own bucket in the design FixedShares.
	fixedShares   map[int]*quota.Granter
	grantRequests int
	// offeredTokens and refusedTokens count the tokens within the limits, as for Result.Refused.
	offeredTokens float64
	refusedTokens float64
}

// Simulate runs a load with a design and returns its figures.
func Simulate(d Design, l Load) Result {
	sim := &simulation{design: d, load: l, rnd: rand.New(rand.NewPCG(l.Seed, 1)), start: time.Unix(1000, 0), reportedAt: make([]time.Time, l.Nodes)}
	sim.newGranter(sim.start)
	for i := range l.Nodes {
		sim.allowances = append(sim.allowances, quota.NewAllowance(strconv.Itoa(i), Shifted.Tolerance))
	}
	sim.addCustomers()
	for d := time.Duration(0); d < l.For; d += step {
		sim.maintain(sim.start.Add(d))
		sim.arrive(sim.start.Add(d))
	}
	return sim.result()
}

// newGranter starts a granter, the only one until the end of the run or its loss.
func (sim *simulation) newGranter(now time.Time) {
	sim.granter = quota.NewGranter(Shifted.Tolerance, sim.load.Nodes, now)
	sim.granter.Exclusive(sim.start.Add(sim.load.For))
}

// addCustomers creates customers whose usual traffic follows a power law.
func (sim *simulation) addCustomers() {
	sum := 0.0
	for i := range sim.load.Customers {
		sum += 1 / float64(i+1)
	}
	for i := range sim.load.Customers {
		usual := sim.load.Tokens / float64(i+1) / sum
		rate := max(minRate, Shifted.LimitFactor*usual)
		sim.customers = append(sim.customers, &customerState{
			name: "c" + strconv.Itoa(i), usual: usual, limit: customer.Limit{Rate: rate, Burst: rate, Unit: customer.Tokens}, levelAt: sim.start,
		})
	}
}

// granterReachable reports whether a node can reach a granter at a moment.
func (sim *simulation) granterReachable(node int, now time.Time) bool {
	d, l := now.Sub(sim.start), &sim.load
	lost := l.LostFor > 0 && d >= l.LostFrom && d < l.LostFrom+l.LostFor
	cut := float64(node) < l.CutShare*float64(l.Nodes) && d >= l.CutFrom && d < l.CutFrom+l.CutFor
	return !lost && !cut
}

// maintain sends the reports and probes of the nodes that are due, and starts a new granter after a
// loss.
func (sim *simulation) maintain(now time.Time) {
	d, l := now.Sub(sim.start), &sim.load
	if l.LostFor > 0 && d <= l.LostFrom+l.LostFor && d+step > l.LostFrom+l.LostFor {
		sim.newGranter(now)
	}
	if sim.design == FixedShares {
		return
	}
	for i, allowance := range sim.allowances {
		every := reportEvery
		if allowance.Partitioned() || allowance.Members() == 0 {
			every = probeEvery
		}
		if now.Sub(sim.reportedAt[i]) < every {
			continue
		}
		sim.reportedAt[i] = now
		if sim.granterReachable(i, now) {
			sim.granter.Observe(strconv.Itoa(i), false, now)
			allowance.Answered(now, sim.granter.Members(now))
		}
	}
}

// arrive sends the requests of one step.
func (sim *simulation) arrive(now time.Time) {
	mean := 0.0
	total := 0.0
	for _, s := range requestSizes {
		mean += s.tokens * s.perSecond
		total += s.perSecond
	}
	mean /= total
	for i, c := range sim.customers {
		rate := c.usual / mean
		if i == sim.load.HotRank && sim.load.Hot > 0 && now.Sub(sim.start) >= sim.load.HotFrom {
			rate *= sim.load.Hot
		}
		for n := sim.poisson(rate * step.Seconds()); n > 0; n-- {
			sim.request(c, i, sim.size(total), now)
		}
	}
}

// poisson draws a number of requests from a Poisson distribution.
func (sim *simulation) poisson(mean float64) int {
	n := 0
	for left := mean - sim.rnd.ExpFloat64(); left > 0; left -= sim.rnd.ExpFloat64() {
		n++
	}
	return n
}

// size draws the size of a request, in tokens; total is the sum of the rates of all sizes.
func (sim *simulation) size(total float64) float64 {
	x := sim.rnd.Float64() * total
	for _, s := range requestSizes {
		if x -= s.perSecond; x < 0 {
			return s.tokens
		}
	}
	return requestSizes[0].tokens
}

// request sends a request of need tokens to a random node and records whether it is admitted.
func (sim *simulation) request(c *customerState, rank int, need float64, now time.Time) {
	node := sim.rnd.IntN(sim.load.Nodes)
	admitted, at := sim.charge(node, c, need, now)
	within := c.withinLimit(need, now) && now.Sub(sim.start) >= warmUp && (sim.load.Hot == 0 || rank != sim.load.HotRank)
	if within {
		sim.offeredTokens += need
	}
	if within && !admitted {
		sim.refusedTokens += need
	}
	if admitted {
		c.level -= need
		c.admitted = append(c.admitted, admittedRequest{at, need})
	}
}

// withinLimit reports whether a single exact token bucket for all nodes would admit the request.
func (c *customerState) withinLimit(need float64, now time.Time) bool {
	c.level = min(c.limit.Burst, c.level+c.limit.Rate*now.Sub(c.levelAt).Seconds())
	c.levelAt = now
	return c.level >= need
}

// charge reports whether the design admits a request, and when the decision is made.
func (sim *simulation) charge(node int, c *customerState, need float64, now time.Time) (admitted bool, at time.Time) {
	allowance := sim.allowances[node]
	if sim.design == FixedShares {
		return sim.chargeFixedShare(node, c, need, now), now
	}
	d := allowance.Take(c.name, c.limit, need, now)
	if d.Step != quota.NeedsGrant {
		return d.Step == quota.Admitted, now
	}
	sim.grantRequests++
	if !sim.granterReachable(node, now) {
		if sim.design == GranterOrShare {
			allowance.Unanswered(now, now.Add(grantTimeout))
			return allowance.Take(c.name, c.limit, need, now.Add(grantTimeout)).Step == quota.Admitted, now.Add(grantTimeout)
		}
		return false, now
	}
	sim.granter.Observe(strconv.Itoa(node), false, now)
	a := sim.granter.Grant(c.name, c.limit, need, d.Prefetch, now)
	if a.Granted < need {
		allowance.Refused(c.name, need, a.RetryAfter, now)
		return false, now
	}
	allowance.Granted(c.name, a.Granted, need, now)
	return true, now
}

// chargeFixedShare charges the node's own bucket, whose burst is at least one whole request.
func (sim *simulation) chargeFixedShare(node int, c *customerState, need float64, now time.Time) bool {
	n := float64(sim.load.Nodes)
	l := customer.Limit{Rate: c.limit.Rate / n, Burst: max(need, c.limit.Burst/n)}
	if sim.fixedShares == nil {
		sim.fixedShares = make(map[int]*quota.Granter)
	}
	g := sim.fixedShares[node]
	if g == nil {
		g = quota.NewGranter(quota.Tolerance{}, 0, sim.start)
		sim.fixedShares[node] = g
	}
	g.Observe("itself", false, now)
	return g.Grant(c.name, l, need, 0, now).Granted > 0
}

// result returns the figures, from the tokens admitted in each window.
func (sim *simulation) result() Result {
	r := Result{Design: sim.design, Load: sim.load, Questions: float64(sim.grantRequests) / sim.load.For.Seconds()}
	if sim.offeredTokens > 0 {
		r.Refused = sim.refusedTokens / sim.offeredTokens
	}
	for _, c := range sim.customers {
		allowed := (c.limit.Rate*Shifted.Window.Seconds()+c.limit.Burst)*(1+Shifted.Share) + Shifted.Slack
		x := maxInWindow(c.admitted, Shifted.Window) / allowed
		r.Worst = max(r.Worst, x)
		if x > 1 {
			r.Over++
		}
	}
	return r
}

// maxInWindow returns the most tokens admitted in any window. It sorts its argument.
func maxInWindow(admitted []admittedRequest, window time.Duration) float64 {
	slices.SortFunc(admitted, func(a, b admittedRequest) int { return a.at.Compare(b.at) })
	most, sum, first := 0.0, 0.0, 0
	for _, s := range admitted {
		sum += s.tokens
		for ; s.at.Sub(admitted[first].at) > window; first++ {
			sum -= admitted[first].tokens
		}
		most = max(most, sum)
	}
	return most
}
