package traffic

import (
	"olivetiller/core/origin"
	"olivetiller/core/refusal"
	"olivetiller/core/signal"
	"olivetiller/core/view"
)

// keyOf returns the key of the pool for a request to the named pool.
func (d *Dispatcher) keyOf(name string, req *SlotRequest) poolKey {
	if req.Origin == nil || d.view.Builds == nil {
		return poolKey{name: name}
	}
	return poolKey{name: name, bound: true, build: req.Origin.Build}
}

// checkBuild returns a refusal if no endpoint of the build at which the request has to go on takes requests, whatever
// model it holds.
func (d *Dispatcher) checkBuild(name string, req *SlotRequest) error {
	if req.Origin == nil || d.view.Builds == nil || d.view.Builds[*req.Origin] > 0 {
		return nil
	}
	return buildGone(name, *req.Origin)
}

func buildGone(pool string, o origin.Origin) error {
	return refusal.New(refusal.BuildGone, "the stream of %s began at %s, of which no endpoint takes requests", pool, o)
}

// refuseGone refuses the queued requests of a pool that is restricted to a build of which no endpoint is left.
func (d *Dispatcher) refuseGone(p *pool) {
	if !p.bound {
		return
	}
	for _, it := range p.queue.Items() {
		w := it.Value.(*waiter)
		if err := d.checkBuild(p.name, &w.request); err != nil {
			p.refuse(it, err)
		}
	}
}

// dropIdle removes a pool that is restricted to a build once nothing uses it: builds come and go, and each would leave a
// pool for each unit.
func (d *Dispatcher) dropIdle(p *pool) {
	if !p.bound || p.acquiring > 0 || p.running > 0 || p.queue.Len() > 0 {
		return
	}
	d.drop(p)
}

// drop removes a pool that nothing uses.
func (d *Dispatcher) drop(p *pool) {
	for _, cand := range p.endpoints {
		delete(cand.endpointState.pools, p)
	}
	delete(d.pools, p.poolKey)
}

// enter and leave mark a call of Acquire, which keeps its pool while it does not hold d.mu. The caller of enter holds it.
func (p *pool) enter() { p.acquiring++ }

func (d *Dispatcher) leave(p *pool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.acquiring--
}

// SameProcess reports whether an endpoint that was chosen by an earlier view is still the incarnation that it was then, as
// far as this node knows.
func (d *Dispatcher) SameProcess(e view.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.signals.Superseded(incarnationOf(&e)) {
		return false
	}
	ep := d.endpointStates[e.Name]
	return ep == nil || ep.incarnation == e.Incarnation && ep.build == e.Build
}

// NoteStart records when the process of an endpoint started, as it says itself, in Unix milliseconds. Requests for an
// earlier process are not sent any more.
func (d *Dispatcher) NoteStart(name string, start int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := signal.Incarnation{Endpoint: name, Start: start}
	if ep := d.endpointStates[name]; ep == nil || start <= ep.incarnationID.Start {
		return
	}
	d.signals.NoteStart(l, d.clock.Now())
	d.applySignals(l, d.clock.Now())
}
