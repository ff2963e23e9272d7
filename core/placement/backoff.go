package placement

import "time"

// Backoff of the loads of a model under which engines crash.
const (
	// crashesBeforeBackoff is how many engines in a row may crash while they load a model before
	// its loads are delayed. Three by coincidence are rare, and with each engine its other
	// models become unavailable.
	crashesBeforeBackoff = 3
	// crashDetectionTime is how long after the end of a load the crash of its engine may be
	// noticed: directory entries expire after three missed heartbeats, which takes some
	// seconds.
	crashDetectionTime = 6 * time.Second
	// initialBackoff is the first delay; it doubles with each further crash, up to maxBackoff.
	initialBackoff = 5 * time.Second
	maxBackoff     = 10 * time.Minute
)

// recordCrash records that an engine crashed: it ended without draining. If it was loading a model, the
// load may be the cause. Without a backoff the load was ordered at one engine after the other and
// crashed all eight within a second (TestLoadBackoff).
func (p *Planner) recordCrash(e *engine, now time.Time) {
	w := e.work
	if w == nil {
		w = e.unconfirmed
	}
	if e.draining || w == nil || w.unload || now.Sub(w.expected) > crashDetectionTime {
		return
	}
	m := p.modelAt(e, w.unit.Model)
	m.loadCrashes++
	if m.loadCrashes >= crashesBeforeBackoff {
		backoff := min(maxBackoff, initialBackoff<<min(m.loadCrashes-crashesBeforeBackoff, 10))
		m.backoffUntil = now.Add(backoff)
		p.backoffs = append(p.backoffs, LoadBackoff{Unit: m.unit, Crashes: m.loadCrashes, Backoff: backoff})
	}
}

// LoadBackoff is a model whose loads are delayed because engines crashed under them.
type LoadBackoff struct {
	Unit Unit
	// Crashes counts the engines that crashed in a row while they loaded the model.
	Crashes int
	// Backoff is the length of the backoff.
	Backoff time.Duration
}

// LoadBackoffs returns the backoffs that began since the last call.
func (p *Planner) LoadBackoffs() []LoadBackoff {
	out := p.backoffs
	p.backoffs = nil
	return out
}

// clearCrashes resets the crash counts of the models that an engine holds: it survived their
// loads.
func (p *Planner) clearCrashes(e *engine) {
	for name := range e.models {
		m := p.modelAt(e, name)
		m.loadCrashes, m.backoffUntil = 0, time.Time{}
	}
}

// inBackoff reports whether loads of the model are delayed. If so, it schedules a plan for the
// end of the backoff and sets the expected ready time accordingly.
func (g *planning) inBackoff(m *modelState) bool {
	if !g.now.Before(m.backoffUntil) {
		return false
	}
	g.wake(m.backoffUntil)
	g.setReadyAt(m.unit, m.backoffUntil.Add(g.reloadTime(m)))
	return true
}
