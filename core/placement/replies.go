package placement

import (
	"time"
)

// Missing notes that an engine said that it does not hold a unit.
func (p *Planner) Missing(engine string, now time.Time) {
	if e := p.engines[engine]; e != nil && e.known {
		e.doubt(now, reportLag)
	}
}

// Replied takes the reply to an order in.
func (p *Planner) Replied(o *Order, r Reply, now time.Time) {
	e := p.engines[o.Engine]
	if e == nil || e.sent != o {
		return
	}
	e.sent = nil
	switch r {
	case Accepted:
		e.took(o, now)
		// A report that came in meanwhile may have taken work up again that has ended: begun
		// work would replace it, and what it loaded would take up no room.
		p.workOver(e, now)
		if o.Unit.Adapter == "" || e.ended != nil && !e.ended.unload {
			// The engine carries out one order for a model at a time, and takes no
			// adapter while it loads one.
			p.confirm(e, now)
		}
		p.began(e, o, now)
	case Holds:
		if o.Unload && o.Unit.Adapter != "" {
			// An adapter that nothing uses is dropped at once, and that counts as an
			// order taken.
			e.took(o, now)
		}
		p.workOver(e, now)
		p.done(e, o, now)
	case Conflict:
		if e.refusedEarly(o, now) {
			return
		}
		e.restUntil = now.Add(refusedRest)
		if o.Unit.Adapter != "" && e.work != nil {
			// The engine is busy with a model, and may well have taken no other order.
			return
		}
		e.doubt(now, reportLag)
	default:
		if r == Lost {
			p.noteLate(o, now)
		}
		p.fenced = p.fenced || r == Fenced
		e.doubt(now, reportLag)
		e.restUntil = now.Add(refusedRest)
	}
}

// took counts an order that the engine took. A report that came in meanwhile may have counted
// it before.
func (e *engine) took(o *Order, now time.Time) {
	e.taken, e.takenAt = max(e.taken, o.Taken+1), now
}

// began notes that an engine carries an order out.
func (p *Planner) began(e *engine, o *Order, now time.Time) {
	switch {
	case o.Unit.Adapter == "":
		p.begin(e, o, now)
	case o.Unload:
		e.leaveAdapter(o.Unit, now)
	default:
		e.setAdapter(o.Unit, now.Add(adapterTime), now)
	}
}

// done notes that there was nothing left to be carried out.
func (p *Planner) done(e *engine, o *Order, now time.Time) {
	name := o.Unit.Model
	switch {
	case o.Unit.Adapter != "" && o.Unload:
		e.dropAdapter(o.Unit)
	case o.Unit.Adapter != "":
		e.setAdapter(o.Unit, now, now)
	case o.Unload:
		delete(e.models, name)
	default:
		if e.models[name] == nil {
			e.models[name] = newHeld(now)
		}
	}
}
