package placement

import (
	"math"
	"time"

	"olivetiller/core/queue"
)

// Times of usage reports.
const (
	// maxReportInterval is the longest time between two usage reports of a node.
	maxReportInterval = time.Second
	// usageTTL is how long a usage report counts unless renewed. It spans a few report
	// intervals.
	usageTTL = 3 * time.Second
	// rateTimeConstant is the time constant of the exponential average of request rates: long
	// enough to smooth a rare model's requests, short enough to follow a shift of demand within
	// seconds.
	rateTimeConstant = 6 * time.Second
)

// usage is the usage of one unit summed over all nodes.
type usage struct {
	model *modelState
	// bound is true for requests that are bound to a build. They do not count as waiting for the model as such.
	bound bool
	// nodes holds the latest report of each node that has one for the unit, by node.
	nodes map[string]Usage
	// waiting counts the waiting requests in these reports, and runningAt the running ones by
	// engine id.
	waiting   int
	runningAt map[string]int
	// rate is an exponential average in requests a second, as of rateAt.
	rate   float64
	rateAt time.Time
	// lateRate is the exponential average of late answers in a second, as of rateAt, and tokenRate and longTokenRate are those
	// of the tokens of prompts and of long ones.
	lateRate, tokenRate, longTokenRate float64
	// lastUse is when a report last named an arrival or a waiting request.
	lastUse time.Time
	// deferredAt is when a report last counted callers refused with a retry hint; zero if none
	// did.
	deferredAt time.Time
	// objective is the least latency objective in the latest report that had one; 0 if none
	// had.
	objective time.Duration
	// waitingSince is since when requests wait without a break, as of the last plan; zero if none waits.
	waitingSince time.Time
}

// nodeReport is the time of a node's latest usage report and the units that it names.
type nodeReport struct {
	at     time.Time
	usages []*usage
}

// withdraw removes the node's report from all sums.
func (n *nodeReport) withdraw(node string) {
	for _, u := range n.usages {
		u.remove(node)
	}
	n.usages = n.usages[:0]
}

// add replaces the node's latest report and updates the rate.
func (u *usage) add(node string, r Usage, now time.Time) {
	u.remove(node)
	u.nodes[node] = r
	u.count(r, 1)
	u.lateRate = u.decayed(u.lateRate, now) + float64(r.Late)/rateTimeConstant.Seconds()
	u.tokenRate = u.decayed(u.tokenRate, now) + float64(r.Tokens)/rateTimeConstant.Seconds()
	u.longTokenRate = u.decayed(u.longTokenRate, now) + float64(r.LongTokens)/rateTimeConstant.Seconds()
	u.rate = u.rateNow(now) + float64(r.Arrivals)/rateTimeConstant.Seconds()
	u.rateAt = now
	if r.Arrivals > 0 || r.Waiting > 0 {
		u.lastUse = now
	}
	if r.Objective > 0 {
		u.objective = r.Objective
	}
	if r.Deferred > 0 {
		u.deferredAt = now
	}
}

// remove subtracts the node's latest report from the sums.
func (u *usage) remove(node string) {
	if r, ok := u.nodes[node]; ok {
		u.count(r, -1)
		delete(u.nodes, node)
	}
}

// count adds a report to the sums of the unit and its model, or subtracts it if sign is -1.
func (u *usage) count(r Usage, sign int) {
	u.waiting += sign * r.Waiting
	if !u.bound {
		u.model.waiting += sign * r.Waiting
	}
	for engine, k := range r.ReadingAt {
		u.model.reading += sign * k
		addCount(u.model.readingAt, engine, sign*k)
	}
	for engine, k := range r.RunningAt {
		u.model.running += sign * k
		addCount(u.runningAt, engine, sign*k)
		addCount(u.model.runningAt, engine, sign*k)
	}
}

// addCount adds to a counter and deletes the key when the counter reaches 0.
func addCount(counts map[string]int, key string, by int) {
	if n := counts[key] + by; n != 0 {
		counts[key] = n
	} else {
		delete(counts, key)
	}
}

// rateNow returns the rate decayed until now.
func (u *usage) rateNow(now time.Time) float64 { return u.decayed(u.rate, now) }

// decayed returns a rate as of rateAt decayed until now.
func (u *usage) decayed(rate float64, now time.Time) float64 {
	return rate * math.Exp(-now.Sub(u.rateAt).Seconds()/rateTimeConstant.Seconds())
}

// deadlines returns the deadlines of the waiting requests.
func (u *usage) deadlines(now time.Time) deadlines {
	var d deadlines
	for _, r := range u.nodes {
		if r.Waiting > 0 {
			d.add(deadlines{r.NextDue, r.LastDue}, now)
		}
	}
	return d
}

// deadlines are the deadlines by which waiting requests need an engine: the next one, or a past
// one if all have passed, and the last one. Both are zero if no request waits.
type deadlines struct{ nextDue, lastDue time.Time }

// add merges the deadlines of other waiting requests.
func (d *deadlines) add(o deadlines, now time.Time) {
	if d.nextDue.IsZero() || queue.Before(o.nextDue, d.nextDue, now) {
		d.nextDue = o.nextDue
	}
	if o.lastDue.After(d.lastDue) {
		d.lastDue = o.lastDue
	}
}

// peak is a maximum that decays with the time constant peakTimeConstant.
type peak struct {
	value float64
	at    time.Time
}

// update records the current value and returns the decayed peak.
func (p *peak) update(value float64, now time.Time) float64 {
	p.value = max(value, p.value*math.Exp(-now.Sub(p.at).Seconds()/peakTimeConstant.Seconds()))
	p.at = now
	return p.value
}

// average is an exponential average with the time constant peakTimeConstant.
type average struct {
	value float64
	at    time.Time
}

// update records the current value and returns the average.
func (a *average) update(value float64, now time.Time) float64 {
	if !a.at.IsZero() {
		a.value += (value - a.value) * -math.Expm1(-now.Sub(a.at).Seconds()/peakTimeConstant.Seconds())
	}
	a.at = now
	return a.value
}

// RecordUsage records a node's usage report. A report is complete: units that it does not name have no
// requests at that node.
func (p *Planner) RecordUsage(node string, reports []Usage, now time.Time) {
	n := p.nodes[node]
	if n == nil {
		n = &nodeReport{}
		p.nodes[node] = n
	}
	n.withdraw(node)
	n.at = now
	for _, r := range reports {
		u := p.usageOf(r, now)
		u.add(node, r, now)
		n.usages = append(n.usages, u)
		p.touchAdapter(r, now)
	}
}

// usageOf returns the usage to which a report belongs.
func (p *Planner) usageOf(r Usage, now time.Time) *usage {
	if r.Bound {
		return p.boundUsage(BoundUnit{r.Unit, r.Build}, now)
	}
	return p.usage(r.Unit, now)
}

// usage returns the usage of a unit and creates it on first use.
func (p *Planner) usage(unit Unit, now time.Time) *usage {
	u := p.usages[unit]
	if u == nil {
		m := p.model(unit.Base())
		if len(m.usages) == 0 {
			m.peak.at = now
		}
		u = &usage{model: m, nodes: make(map[string]Usage), runningAt: make(map[string]int), rateAt: now}
		p.usages[unit] = u
		m.usages = append(m.usages, u)
	}
	return u
}

// expireUsages removes the reports of nodes that have sent none for usageTTL.
func (p *Planner) expireUsages(now time.Time) {
	for node, n := range p.nodes {
		if now.Sub(n.at) > usageTTL {
			n.withdraw(node)
			delete(p.nodes, node)
		}
	}
}

// touchAdapter updates the last use of an adapter at the engines where requests for it run.
func (p *Planner) touchAdapter(r Usage, now time.Time) {
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
