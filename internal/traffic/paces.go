package traffic

import (
	"time"

	"olivetiller/core/choose"
	"olivetiller/core/pace"
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
// counts only where long prompts are most of what the service reads: more replicas keep them apart from streams.
func (s *Slot) ObserveLate() {
	s.dispatcher.mu.Lock()
	defer s.dispatcher.mu.Unlock()
	if s.pool.mix != nil && s.pool.mix.Long() {
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

// SetPaces sets the paces of endpoints and their loads in concurrent requests of all nodes, by name. Endpoints without a pace
// count as the median of their service, those without a load as idle.
func (d *Dispatcher) SetPaces(paces map[string]float64, loads map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.paces)
	for endpoint, p := range paces {
		if p = pace.Effective(p); p != 1 {
			d.paces[endpoint] = p
		}
	}
	for name, ep := range d.endpointStates {
		ep.pace, ep.load = d.paceOf(name), loads[name]
	}
}

// countPrompt counts the prompt of a request that arrives in the mix of its service. The caller holds d.mu.
func (d *Dispatcher) countPrompt(p *pool, req *SlotRequest, now time.Time) {
	if req.Prompt <= 0 || req.Resend {
		return
	}
	if p.mix == nil {
		if p.mix = d.mixes[req.Service]; p.mix == nil {
			p.mix = new(choose.Mix)
			d.mixes[req.Service] = p.mix
		}
	}
	p.mix.Add(req.Prompt, now)
}

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
