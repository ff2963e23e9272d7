package traffic

import (
	"maps"

	"olivetiller/core/choose"
	"olivetiller/core/pace"
	"olivetiller/core/placement"
)

// maxUnreportedGaps bounds the samples that are kept until TakeGaps; newer ones are dropped.
const maxUnreportedGaps = 256

// ObserveGaps records the gaps between the events of a stream that an endpoint has sent for a request of the slot's pool.
func (s *Slot) ObserveGaps(g *pace.Gaps) {
	gap, ok := g.Undisturbed()
	if !ok {
		return
	}
	d := s.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.gaps) < maxUnreportedGaps {
		d.gaps = append(d.gaps, pace.Sample{Endpoint: s.Endpoint.Name, Model: s.pool.basePool, Gap: gap})
	}
}

// ObserveLate records that the answer to a request, which had its slot in time, came later than its caller accepts. It
// counts only for models with lanes: more replicas keep their long prompts apart from streams.
func (s *Slot) ObserveLate() {
	s.dispatcher.mu.Lock()
	defer s.dispatcher.mu.Unlock()
	if s.pool.lanes {
		s.pool.late++
	}
}

// TakeGaps returns the samples since the last call. Their models are pool names.
func (d *Dispatcher) TakeGaps() []pace.Sample {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.gaps
	d.gaps = nil
	return out
}

// Uneven is what the lease holder has published of endpoints that differ.
type Uneven struct {
	// Paces holds how long endpoints take for the same work, 1 for the median of the service, by name. An endpoint without
	// one counts as the median.
	Paces map[string]float64
	// Loads holds the recent loads of endpoints in concurrent requests of all nodes, by name. An endpoint without one counts
	// as idle.
	Loads map[string]int
	// Lanes holds the pools of the models whose requests are spread by [choose.Lanes].
	Lanes map[string]bool
}

// SetUneven puts what the lease holder has published in force.
func (d *Dispatcher) SetUneven(u Uneven) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.paces)
	for endpoint, p := range u.Paces {
		if p = pace.Effective(p); p != 1 {
			d.paces[endpoint] = p
		}
	}
	d.loads, d.lanes = maps.Clone(u.Loads), maps.Clone(u.Lanes)
	for name, ep := range d.endpointStates {
		ep.pace, ep.load = d.paceOf(name), d.loads[name]
	}
	for _, p := range d.pools {
		p.lanes = d.lanes[p.modelPool()]
	}
}

// modelPool returns the pool of the model itself, without the adapter; the pool's own for a plain service.
func (p *pool) modelPool() string {
	if u, ok := placement.ParsePool(p.basePool); ok {
		return u.Base().Pool()
	}
	return p.basePool
}

// countPrompt counts the prompt of a request that arrives.
func (p *pool) countPrompt(prompt int) {
	p.tokens += prompt
	if prompt >= choose.LongPrompt {
		p.longTokens += prompt
	}
}

// maxPrompt bounds the length of a prompt, in tokens, that decisions count with: callers state any number.
const maxPrompt = 100_000

// boundPrompt keeps the length of the request's prompt from 0 to maxPrompt.
func (req *SlotRequest) boundPrompt() { req.Prompt = max(0, min(req.Prompt, maxPrompt)) }

// countHome counts whether a request went to its home.
func (d *Dispatcher) countHome(cand *candidate) {
	switch cand.choice.Home {
	case "":
	case cand.Name:
		d.atHome.Add(1)
	default:
		d.awayFromHome.Add(1)
	}
}

// paceOf returns the pace of an endpoint. The caller holds d.mu.
func (d *Dispatcher) paceOf(endpoint string) float64 {
	if p, ok := d.paces[endpoint]; ok {
		return p
	}
	return 1
}
