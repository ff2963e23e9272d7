package placement

import (
	"math"
	"time"

	"olivetiller/core/queue"
)

// Times of the reports of use.
const (
	// reportAtMost is the longest time between two reports of a node.
	reportAtMost = time.Second
	// useLife is how long a node's report counts unless renewed: a few of the
	// intervals at which nodes report.
	useLife = 3 * time.Second
	// rateTime is the time constant of the rate of requests: long enough to
	// smooth a rare model's requests, short enough to follow a shift of demand
	// within seconds.
	rateTime = 6 * time.Second
)

// use is the use of one unit over all nodes.
type use struct {
	model *modelState
	// nodes holds the latest report of each node that names the unit.
	nodes map[string]Use
	// waiting counts the waiting requests of these, at the running ones by engine.
	waiting int
	at      map[string]int
	// rate is in requests a second, as of rateAt.
	rate    float64
	rateAt  time.Time
	lastUse time.Time
	// sentAwayAt is when a caller was last told to come back.
	sentAwayAt time.Time
	// objective is the least objective among the requests of the latest report that
	// told one; 0 if none did.
	objective time.Duration
}

// nodeReport is one node's latest report, and the uses that it names.
type nodeReport struct {
	at   time.Time
	uses []*use
}

// withdraw takes the report of a node back.
func (n *nodeReport) withdraw(node string) {
	for _, u := range n.uses {
		u.remove(node)
	}
	n.uses = n.uses[:0]
}

func (u *use) add(node string, r Use, now time.Time) {
	u.remove(node)
	u.nodes[node] = r
	u.count(r, 1)
	u.rate = u.rateNow(now) + float64(r.Arrivals)/rateTime.Seconds()
	u.rateAt = now
	if r.Arrivals > 0 || r.Waiting > 0 {
		u.lastUse = now
	}
	if r.Objective > 0 {
		u.objective = r.Objective
	}
	if r.SentAway > 0 {
		u.sentAwayAt = now
	}
}

// remove takes what a node reported back.
func (u *use) remove(node string) {
	if r, ok := u.nodes[node]; ok {
		u.count(r, -1)
		delete(u.nodes, node)
	}
}

// count adds a report to the sums, or takes it from them if sign is -1.
func (u *use) count(r Use, sign int) {
	u.waiting += sign * r.Waiting
	u.model.waiting += sign * r.Waiting
	for engine, k := range r.RunningAt {
		u.model.running += sign * k
		shift(u.at, engine, sign*k)
		shift(u.model.at, engine, sign*k)
	}
}

// shift adds to a count, which ends when it is 0.
func shift(counts map[string]int, key string, by int) {
	if n := counts[key] + by; n != 0 {
		counts[key] = n
	} else {
		delete(counts, key)
	}
}

func (u *use) rateNow(now time.Time) float64 {
	return u.rate * math.Exp(-now.Sub(u.rateAt).Seconds()/rateTime.Seconds())
}

// dueAt returns when the waiting requests want their places.
func (u *use) dueAt(now time.Time) due {
	var d due
	for _, r := range u.nodes {
		if r.Waiting > 0 {
			d.add(due{r.Urgent, r.Last}, now)
		}
	}
	return d
}

// due is when waiting requests want their places: the next time, a past one if all
// are late, and the last. Both are zero if none waits.
type due struct{ urgent, last time.Time }

// add takes other waiting requests in.
func (d *due) add(o due, now time.Time) {
	if d.urgent.IsZero() || queue.Sooner(o.urgent, d.urgent, now) {
		d.urgent = o.urgent
	}
	if o.last.After(d.last) {
		d.last = o.last
	}
}

// peak is the most of a figure of the last moments, which is forgotten with peakTime.
type peak struct {
	value float64
	at    time.Time
}

// note takes the present value in and returns the peak.
func (p *peak) note(value float64, now time.Time) float64 {
	p.value = max(value, p.value*math.Exp(-now.Sub(p.at).Seconds()/peakTime.Seconds()))
	p.at = now
	return p.value
}

// Use takes a node's report of use in. It is whole: units that it does not name
// are not in use there.
func (p *Planner) Use(node string, reports []Use, now time.Time) {
	n := p.nodes[node]
	if n == nil {
		n = &nodeReport{}
		p.nodes[node] = n
	}
	n.withdraw(node)
	n.at = now
	for _, r := range reports {
		u := p.use(r.Unit, now)
		u.add(node, r, now)
		n.uses = append(n.uses, u)
		p.touchAdapter(r, now)
	}
}

// use returns the use of a unit, which begins with the first report of it.
func (p *Planner) use(unit Unit, now time.Time) *use {
	u := p.uses[unit]
	if u == nil {
		m := p.model(unit.Base())
		if len(m.uses) == 0 {
			m.peak.at = now
		}
		u = &use{model: m, nodes: make(map[string]Use), at: make(map[string]int), rateAt: now}
		p.uses[unit] = u
		m.uses = append(m.uses, u)
	}
	return u
}

// expireUses drops the reports of nodes that are no longer heard of.
func (p *Planner) expireUses(now time.Time) {
	for node, n := range p.nodes {
		if now.Sub(n.at) > useLife {
			n.withdraw(node)
			delete(p.nodes, node)
		}
	}
}

// touchAdapter notes the use of an adapter where it is held.
func (p *Planner) touchAdapter(r Use, now time.Time) {
	if r.Unit.Adapter == "" {
		return
	}
	for id := range r.RunningAt {
		if e := p.engines[id]; e != nil && e.models[r.Unit.Model] != nil {
			if a := e.models[r.Unit.Model].adapters[r.Unit.Adapter]; a != nil {
				a.lastUse = now
			}
		}
	}
}
