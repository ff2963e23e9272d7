package placement

import "time"

// Rests of a model under whose loads engines end.
const (
	// fallsAllowed is how many engines may end in a row while they load one model before its
	// loads rest: three by chance are rare, and each engine takes its other models with it.
	fallsAllowed = 3
	// fallNoticed is how long after the end of a load its engine's end may be noticed: entries go after
	// three heartbeats of silence, some seconds.
	fallNoticed = 6 * time.Second
	// firstRest is the first rest; it doubles with each further fall, up to lastRest.
	firstRest = 5 * time.Second
	lastRest  = 10 * time.Minute
)

// noteFall notes that an engine ended without notice. If it was loading a model, that
// may be why: without a bound the load was ordered at one engine after the other, and
// each ended, all eight within a second (TestLoadThatEndsEngines).
func (p *Planner) noteFall(e *engine, now time.Time) {
	w := e.work
	if w == nil {
		w = e.ended
	}
	if e.draining || w == nil || w.unload || now.Sub(w.expected) > fallNoticed {
		return
	}
	m := p.modelAt(e, w.unit.Model)
	m.falls++
	if m.falls >= fallsAllowed {
		rest := min(lastRest, firstRest<<min(m.falls-fallsAllowed, 10))
		m.restUntil = now.Add(rest)
		p.resting = append(p.resting, Resting{Unit: m.unit, Ended: m.falls, Rest: rest})
	}
}

// Resting is a model whose loads rest because engines ended under them.
type Resting struct {
	Unit Unit
	// Ended counts the engines that ended in a row while they loaded it.
	Ended int
	Rest  time.Duration
}

// Resting returns the models that came to rest since the last call.
func (p *Planner) Resting() []Resting {
	out := p.resting
	p.resting = nil
	return out
}

// loaded notes that an engine holds models: no load of them ends engines.
func (p *Planner) loaded(e *engine) {
	for name := range e.models {
		m := p.modelAt(e, name)
		m.falls, m.restUntil = 0, time.Time{}
	}
}

// rests reports whether no load of the model is to be ordered now, and wakes the planner when one is
// again. Requests that wait are told when it is expected.
func (g *planning) rests(m *modelState) bool {
	if !g.now.Before(m.restUntil) {
		return false
	}
	g.wake(m.restUntil)
	g.expect(m.unit, m.restUntil.Add(g.reload(m)))
	return true
}
