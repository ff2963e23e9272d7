// Package pace estimates how fast each endpoint of a service works, compared with the others.
//
// Endpoints of one service may run on different machines, and an endpoint may turn slow. Their answers show it: the time
// between two events of a stream is the time of as many steps, and it grows with the work of other requests, but at an
// undisturbed moment it depends only on the endpoint and the model. Each node collects the gaps of its own streams
// ([Gaps]) and reports one [Sample] for each stream. The lease holder's [Estimator] separates the effect of the endpoint
// from that of the model, since larger models are slower everywhere, and publishes a pace for each endpoint: 1 for the
// median of its service, 2 for one that takes twice as long.
//
// Nothing is stored. A new lease holder begins with the paces that it has received, and every stream adds to them. The
// pace of an endpoint of which no stream tells any more returns to 1, so that an endpoint that was slow is tried again.
package pace

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Sample is the undisturbed gap between two events of one stream.
type Sample struct {
	// Endpoint names the endpoint, Service its service and Model the model that it ran.
	Endpoint string
	Service  string
	Model    string
	Gap      time.Duration
}

const (
	// maxGaps bounds the gaps that are kept of one stream.
	maxGaps = 32
	// minGaps is the least number of gaps from which an undisturbed one is told.
	minGaps = 6
	// minGap excludes events that were read together, between which no step took place.
	minGap = time.Millisecond
)

// Gaps collects the times between the events of one stream. The zero value is empty.
type Gaps struct {
	gaps    [maxGaps]time.Duration
	n       int
	longest time.Duration
}

// Add records the time between two events.
func (g *Gaps) Add(d time.Duration) {
	g.longest = max(g.longest, d)
	if d < minGap {
		return
	}
	g.gaps[g.n%maxGaps] = d
	g.n++
}

// Longest returns the longest gap.
func (g *Gaps) Longest() time.Duration { return g.longest }

// Undisturbed returns the lower quartile of the gaps: prompts of other requests that were read meanwhile lengthen single
// gaps. ok is false if there are too few.
func (g *Gaps) Undisturbed() (gap time.Duration, ok bool) {
	if g.n < minGaps {
		return 0, false
	}
	sorted := slices.Clone(g.gaps[:min(g.n, maxGaps)])
	slices.Sort(sorted)
	return sorted[len(sorted)/4], true
}

const (
	// newest is the least weight of a new sample against the earlier ones of its endpoint and model.
	newest = 0.2
	// sampleTTL is how long the samples of an endpoint and a model are used after the last of them.
	sampleTTL = time.Minute
	// returnTime is the time constant with which a pace without samples returns to 1.
	returnTime = 30 * time.Second
	// prior is the weight, in samples, of what is assumed of an endpoint before: that it is as fast as the median, or what
	// another estimator has published.
	prior = 1
	// maxWeight bounds the weight of the samples of one endpoint and model.
	maxWeight = 10
	// rounds is the number of alternations between estimating endpoints and models.
	rounds = 12
	// maxPace bounds a pace, and 1/maxPace is its least value.
	maxPace = 16
)

// Estimator estimates the paces of endpoints. It is not safe for concurrent use.
type Estimator struct {
	observed map[pair]*observation
	// known holds the latest estimates by endpoint, and seeds the logarithms of paces that another estimator has published.
	known map[string]estimate
	seeds map[string]float64
}

type pair struct{ endpoint, service, model string }

// observation is what the samples of one endpoint and model tell.
type observation struct {
	// log is the mean logarithm of the gap in seconds, and n the weight of the samples.
	log, n float64
	at     time.Time
}

// estimate is a pace and when the last sample of its endpoint came.
type estimate struct {
	pace float64
	at   time.Time
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{observed: make(map[pair]*observation), known: make(map[string]estimate), seeds: make(map[string]float64)}
}

// Seed records paces that another estimator has published, as of now.
func (e *Estimator) Seed(paces map[string]float64, now time.Time) {
	for endpoint, p := range paces {
		if p > 0 && !math.IsInf(p, 0) {
			e.known[endpoint], e.seeds[endpoint] = estimate{clamp(p), now}, math.Log(clamp(p))
		}
	}
}

// Add records a sample. Samples without a positive gap are ignored.
func (e *Estimator) Add(s Sample, now time.Time) {
	if s.Gap <= 0 {
		return
	}
	k, log := pair{s.Endpoint, s.Service, s.Model}, math.Log(s.Gap.Seconds())
	o := e.observed[k]
	if o == nil {
		o = &observation{}
		e.observed[k] = o
	}
	o.n = min(maxWeight, o.n+1)
	o.log += (log - o.log) * max(newest, 1/o.n)
	o.at = now
}

// Keep drops what is known of endpoints that are not live.
func (e *Estimator) Keep(live func(endpoint string) bool) {
	maps.DeleteFunc(e.observed, func(k pair, _ *observation) bool { return !live(k.endpoint) })
	maps.DeleteFunc(e.known, func(endpoint string, _ estimate) bool { return !live(endpoint) })
	maps.DeleteFunc(e.seeds, func(endpoint string, _ float64) bool { return !live(endpoint) })
}

// Paces returns the pace of each endpoint of which anything is known.
func (e *Estimator) Paces(now time.Time) map[string]float64 {
	maps.DeleteFunc(e.observed, func(_ pair, o *observation) bool { return now.Sub(o.at) > sampleTTL })
	e.fit()
	out := make(map[string]float64, len(e.known))
	for endpoint, est := range e.known {
		out[endpoint] = math.Pow(est.pace, math.Exp(-now.Sub(est.at).Seconds()/returnTime.Seconds()))
	}
	return out
}

// effect is the effect of one endpoint or model on the logarithm of a gap.
type effect struct {
	log float64
	// sum and weight are the weighted sum of what the observations leave to this effect, and their weight.
	sum, weight float64
}

// fitted is an endpoint in a fit, and term an observation with the indices of its endpoint and model.
type (
	fitted struct {
		effect
		name, service string
		seed          float64
		at            time.Time
	}
	term struct {
		*observation
		endpoint, model int
	}
)

// fit separates the effects of endpoints and models: the logarithm of a gap is taken for the sum of both, and each is
// estimated in turn while the other one is held. Models at a single endpoint tell nothing of it and are left out.
func (e *Estimator) fit() {
	endpoints, models, terms := e.terms()
	for range rounds {
		for i := range models {
			models[i].sum, models[i].weight = 0, 0
		}
		for _, t := range terms {
			m := &models[t.model]
			m.sum, m.weight = m.sum+t.n*(t.log-endpoints[t.endpoint].log), m.weight+t.n
		}
		for i := range models {
			models[i].log = models[i].sum / models[i].weight
		}
		for i := range endpoints {
			ep := &endpoints[i]
			ep.sum, ep.weight = prior*ep.seed, prior
		}
		for _, t := range terms {
			ep := &endpoints[t.endpoint]
			ep.sum, ep.weight = ep.sum+t.n*(t.log-models[t.model].log), ep.weight+t.n
		}
		for i := range endpoints {
			endpoints[i].log = endpoints[i].sum / endpoints[i].weight
		}
	}
	logs := make(map[string][]float64)
	for i := range endpoints {
		logs[endpoints[i].service] = append(logs[endpoints[i].service], endpoints[i].log)
	}
	for _, l := range logs {
		slices.Sort(l)
	}
	for i := range endpoints {
		ep := &endpoints[i]
		l := logs[ep.service]
		e.known[ep.name] = estimate{clamp(math.Exp(ep.log - l[len(l)/2])), ep.at}
	}
}

// terms returns the endpoints, the models and the observations that a fit uses.
func (e *Estimator) terms() (endpoints []fitted, models []effect, terms []term) {
	type model struct{ service, name string }
	at := make(map[model]int)
	for k := range e.observed {
		at[model{k.service, k.model}]++
	}
	endpointIndex, modelIndex := make(map[string]int), make(map[model]int)
	for k, o := range e.observed {
		m := model{k.service, k.model}
		if at[m] < 2 {
			continue
		}
		j, ok := modelIndex[m]
		if !ok {
			j = len(models)
			modelIndex[m], models = j, append(models, effect{})
		}
		i, ok := endpointIndex[k.endpoint]
		if !ok {
			i = len(endpoints)
			endpointIndex[k.endpoint] = i
			endpoints = append(endpoints, fitted{name: k.endpoint, service: k.service, seed: e.seeds[k.endpoint]})
		}
		if o.at.After(endpoints[i].at) {
			endpoints[i].at = o.at
		}
		terms = append(terms, term{o, i, j})
	}
	return endpoints, models, terms
}

func clamp(p float64) float64 { return min(maxPace, max(1/float64(maxPace), p)) }

// even is the ratio up to which a pace counts as that of the median: below it, the work that an endpoint has decides when its
// answer comes, and not its speed.
const even = 1.4

// Effective returns a pace as decisions use it: 1 unless it is far from 1. An unknown pace is 0 and counts as 1.
func Effective(p float64) float64 {
	if p <= 0 || p < even && p > 1/even {
		return 1
	}
	return p
}

// Least changes of a load that is published: relative to the published one, and in concurrent requests.
const (
	loadStep    = 0.3
	minLoadStep = 3
)

// ChangedLoads returns the loads of endpoints, in concurrent requests, that differ enough from the published ones.
func ChangedLoads(published map[string]int, next map[string]float64) map[string]int {
	out := make(map[string]int)
	for endpoint, load := range next {
		old := float64(published[endpoint])
		if math.Abs(load-old) >= max(minLoadStep, loadStep*old) {
			out[endpoint] = int(math.Round(load))
		}
	}
	return out
}

// step is the least relative change of a pace that is published.
const step = 0.15

// Changed returns the entries of next that differ from published by step or more, or are new and differ from 1 by as much.
func Changed(published, next map[string]float64) map[string]float64 {
	out := make(map[string]float64)
	for endpoint, p := range next {
		old, ok := published[endpoint]
		if !ok {
			old = 1
		}
		if ratio := p / old; ratio >= 1+step || ratio <= 1/(1+step) {
			out[endpoint] = math.Round(p*100) / 100
		}
	}
	return out
}
