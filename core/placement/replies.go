package placement

import (
	"time"
)

// HandleMissing handles an engine's refusal of a request for a unit that it does not hold: its state
// becomes unknown.
func (p *Planner) HandleMissing(engine string, now time.Time) {
	if e := p.engines[engine]; e != nil && e.known {
		e.invalidate(now, maxReportAge)
	}
}

// HandleReply handles the reply to an order. Replies to orders that are no longer pending are
// ignored.
func (p *Planner) HandleReply(o *Order, r Reply, now time.Time) {
	e := p.engines[o.Engine]
	if e == nil || e.pending != o {
		return
	}
	e.pending = nil
	switch r {
	case Accepted:
		e.countTaken(o, now)
		// A report that arrived in the meantime may have reopened work that has ended. End it
		// first: the new work would replace it, and the model that it loaded would take up no
		// memory.
		p.endCurrentWork(e, now)
		if o.Unit.Adapter == "" || e.unconfirmed != nil && !e.unconfirmed.unload {
			// The engine carries out one model order at a time and takes no adapter while it
			// loads a model, so the previous work has ended.
			p.confirm(e, now)
		}
		p.applyAccepted(e, o, now)
	case NothingToDo:
		if o.Unload && o.Unit.Adapter != "" {
			// An adapter without requests is dropped at once, and the engine counts that order
			// as taken.
			e.countTaken(o, now)
		}
		p.endCurrentWork(e, now)
		p.applyNoop(e, o, now)
	case Conflict:
		if e.handleEarlyRefusal(o, now) {
			return
		}
		e.backoffUntil = now.Add(refusalBackoff)
		if o.Unit.Adapter != "" && e.work != nil {
			// The engine is busy with a model and may have taken no other order.
			return
		}
		e.invalidate(now, maxReportAge)
	default:
		if r == Unanswered {
			p.recordUnanswered(o, now)
		}
		// A refusal of an order under an earlier fencing number may be due to this node's own later one.
		p.fenced = p.fenced || r == Fenced && o.Fence == p.fence
		e.invalidate(now, maxReportAge)
		e.backoffUntil = now.Add(refusalBackoff)
	}
}

// countTaken counts an order that the engine took. A report that arrived before the reply may
// have counted it already.
func (e *engine) countTaken(o *Order, now time.Time) {
	e.taken, e.takenAt = max(e.taken, o.Taken+1), now
}

// applyAccepted updates the engine's state after it accepted an order.
func (p *Planner) applyAccepted(e *engine, o *Order, now time.Time) {
	switch {
	case o.Unit.Adapter == "":
		p.startWork(e, o, now)
	case o.Unload:
		e.markAdapterUnloading(o.Unit, now)
	default:
		e.setAdapter(o.Unit, now.Add(adapterLoadTime), now)
	}
}

// applyNoop updates the engine's state after it replied that nothing was left to do.
func (p *Planner) applyNoop(e *engine, o *Order, now time.Time) {
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
			e.models[name] = newHeldModel(now)
		}
	}
}
