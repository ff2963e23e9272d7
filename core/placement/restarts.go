package placement

import (
	"time"

	"olivetiller/core/directory"
)

// maxOrderDelay is how long an unanswered order may still be carried out. Delays of up to 12 s
// were observed, and a former lease holder may give orders for up to 3 s before it learns that
// it has lost the lease.
const maxOrderDelay = 15 * time.Second

// history is the state of an engine id that outlasts an incarnation of the engine and its
// directory entry.
type history struct {
	start directory.Start
	// incarnation counts the restarts seen, and restartedAt is when the last one was seen; zero
	// if there was none.
	incarnation int
	restartedAt time.Time
	// unanswered lists the loads ordered under this id that got no answer, oldest first.
	unanswered []unansweredLoad
	// seenAt is when the engine was last listed.
	seenAt time.Time
}

// unansweredLoad is a load whose order got no answer and may still be carried out.
type unansweredLoad struct {
	unit Unit
	// taken is the count of orders at which the engine accepts the load. incarnation is the
	// history's incarnation when the order was sent, and at is when it went unanswered.
	taken       int64
	incarnation int
	at          time.Time
}

// history returns the history of an engine id and creates it on first use.
func (p *Planner) history(id string) *history {
	h := p.histories[id]
	if h == nil {
		h = &history{}
		p.histories[id] = h
	}
	return h
}

// expireHistories removes the loads and ids that are too old to have an effect.
func (p *Planner) expireHistories(now time.Time) {
	for id, h := range p.histories {
		for len(h.unanswered) > 0 && now.Sub(h.unanswered[0].at) > maxOrderDelay {
			h.unanswered = h.unanswered[1:]
		}
		if p.engines[id] == nil && now.Sub(h.seenAt) > maxOrderDelay {
			delete(p.histories, id)
		}
	}
}

// recordUnanswered records a load that got no answer.
func (p *Planner) recordUnanswered(o *Order, now time.Time) {
	if o == nil || o.Unload {
		return
	}
	h := p.history(o.Engine)
	h.unanswered = append(h.unanswered, unansweredLoad{unit: o.Unit, taken: o.Taken, incarnation: h.incarnation, at: now})
}

// handleRestart records that an engine restarted under its id: it holds nothing and counts its
// orders from 0. Reports requested at since or later are from the new incarnation.
func (p *Planner) handleRestart(e *engine, start directory.Start, since, now time.Time) {
	p.recordCrash(e, now)
	// The pending order was sent to the former incarnation.
	p.recordUnanswered(e.pending, now)
	h := p.history(e.id)
	h.incarnation++
	h.start, h.restartedAt = start, now
	e.start, e.startAt = start, now
	e.pending, e.work, e.probing, e.reserved = nil, nil, false, Unit{}
	e.models, e.taken, e.recheckAt = make(map[string]*heldModel), 0, time.Time{}
	e.invalidate(now, 0)
	e.invalidSince = since
	p.restarts = append(p.restarts, Restart{Engine: e.id, Start: start, UnansweredLoads: len(h.unanswered)})
}

// Restart is a new incarnation of an engine under a known id. It invalidates what the planner
// knew of the engine.
type Restart struct {
	Engine string
	// Start identifies the new incarnation; 0 if the engine does not tell it.
	Start directory.Start
	// UnansweredLoads counts the unanswered loads that may still be carried out.
	UnansweredLoads int
}

// Restarts returns the restarts seen since the last call.
func (p *Planner) Restarts() []Restart {
	out := p.restarts
	p.restarts = nil
	return out
}

// fromFormerIncarnation reports whether a report is from an incarnation before the known one.
// If the report is the first to show a new incarnation, it handles the restart.
func (p *Planner) fromFormerIncarnation(e *engine, r *Report, askedAt, now time.Time) bool {
	// A report requested this long after the known start was learned is from that incarnation
	// or a later one, even if the engine's clock was set back.
	settled := !askedAt.Before(e.startAt.Add(maxReportAge))
	switch {
	case r.Start == e.start && r.Start != 0:
		return false
	case r.Start != 0 && e.start == 0:
		e.start, p.history(e.id).start = r.Start, r.Start
		return false
	case r.Start.Newer(e.start), r.Start.Older(e.start) && settled:
		p.handleRestart(e, r.Start, askedAt, now)
		return false
	case r.Start.Older(e.start):
		return true
	}
	if e.countDecreased(r) && !askedAt.Before(e.takenAt.Add(maxReportAge)) {
		p.handleRestart(e, 0, askedAt, now)
	}
	return false
}

// countDecreased reports whether the count of orders in a report shows a restart. The caller
// ensures that the report is newer than the last order. A count that is short by one may be the
// planner's fault: an engine with nothing to drop counts no order and sends the same reply as
// one that dropped something.
func (e *engine) countDecreased(r *Report) bool {
	return r.Taken < e.taken-1 || r.Taken < e.taken && len(r.Models) == 0 && len(e.models) > 0
}

// lateLoadNeeds returns the memory in MB and the adapter slots that late loads to a former
// incarnation may take at an engine that has taken a number of orders. An engine accepts a late
// load if its count of orders equals the count that the load names.
func (g *planning) lateLoadNeeds(e *engine, taken int64) (mb float64, slots int) {
	h := g.histories[e.id]
	if h == nil || h.restartedAt.IsZero() || g.now.Sub(h.restartedAt) > maxOrderDelay {
		return 0, 0
	}
	if e.start != 0 && g.now.Before(g.formerHolderUntil) {
		// The late orders of a former lease holder are unknown here.
		mb, slots = g.largestLoad(e), 1
	}
	knownMB, knownSlots := g.unansweredNeeds(h, taken)
	return max(mb, knownMB), max(slots, knownSlots)
}

// unansweredNeeds returns what the unanswered loads to former incarnations may take if the
// engine carries them out one after the other, starting at a count of orders taken.
func (g *planning) unansweredNeeds(h *history, taken int64) (mb float64, slots int) {
	for found := true; found; taken++ {
		found = false
		for _, l := range h.unanswered {
			if l.incarnation == h.incarnation || l.taken != taken {
				continue
			}
			found = true
			if l.unit.Adapter != "" {
				slots++
			}
			mb += g.loadMB(l.unit)
		}
	}
	return mb, slots
}

// loadMB returns the memory that a unit takes, in MB.
func (g *planning) loadMB(u Unit) float64 {
	m := g.table.Model(u.Service, u.Model)
	switch {
	case m == nil:
		return 0
	case u.Adapter != "":
		return m.AdapterMB
	}
	return m.WeightsMB
}

// largestLoad returns the memory, in MB, that the largest model takes together with one
// adapter.
func (g *planning) largestLoad(e *engine) float64 {
	most := 0.0
	for i := range e.config.Models {
		most = max(most, e.config.Models[i].WeightsMB+e.config.Models[i].AdapterMB)
	}
	return most
}

// capacityChange is the net effect of some orders on the capacity of an engine.
type capacityChange struct {
	// orders is the number of orders.
	orders int
	// mb and adapterSlots are what they take up; negative if they free more.
	mb           float64
	adapterSlots int
}

// keepsReserve reports whether an engine still has capacity for late loads after a change. If
// not, it schedules a plan for when late loads are no longer possible.
func (g *planning) keepsReserve(e *engine, c capacityChange) bool {
	mb, slots := g.lateLoadNeeds(e, e.taken+int64(c.orders))
	if mb == 0 && slots == 0 {
		return true
	}
	if e.confirmedFreeMB(g.table)-c.mb >= mb && e.config.AdapterSlots-e.adapters()-c.adapterSlots >= slots {
		return true
	}
	g.wake(g.histories[e.id].restartedAt.Add(maxOrderDelay))
	return false
}
