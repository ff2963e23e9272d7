package placement

import (
	"time"

	"olivetiller/core/directory"
)

// lateOrders is how long an order that got no answer may still be carried out: up to 12 s
// were seen, and a former holder may give orders for up to 3 s before it knows that it is
// one.
const lateOrders = 15 * time.Second

// history is what is remembered of an engine's id beyond one start and beyond its entry.
type history struct {
	start directory.Start
	// lives counts the starts seen, and againAt is when the last one was seen after
	// another; zero for an engine that was not seen to start again.
	lives   int
	againAt time.Time
	// late are the loads ordered here that got no answer.
	late []lateLoad
	// seenAt is when the engine was last listed.
	seenAt time.Time
}

// lateLoad is a load without an answer.
type lateLoad struct {
	unit Unit
	// taken is the count of orders at which the engine carries it out, and life that of
	// its start.
	taken int64
	life  int
	at    time.Time
}

// history returns what is remembered of an id.
func (p *Planner) history(id string) *history {
	h := p.histories[id]
	if h == nil {
		h = &history{}
		p.histories[id] = h
	}
	return h
}

// forgetHistories drops what can have no effect any more.
func (p *Planner) forgetHistories(now time.Time) {
	for id, h := range p.histories {
		for len(h.late) > 0 && now.Sub(h.late[0].at) > lateOrders {
			h.late = h.late[1:]
		}
		if p.engines[id] == nil && now.Sub(h.seenAt) > lateOrders {
			delete(p.histories, id)
		}
	}
}

// noteLate remembers a load that got no answer.
func (p *Planner) noteLate(o *Order, now time.Time) {
	if o == nil || o.Unload {
		return
	}
	h := p.history(o.Engine)
	h.late = append(h.late, lateLoad{unit: o.Unit, taken: o.Taken, life: h.lives, at: now})
}

// startAgain notes that an engine started again under its id: it holds nothing and counts
// its orders from 0. Reports that were asked for at a moment or later tell of the new start.
func (p *Planner) startAgain(e *engine, s directory.Start, heard, now time.Time) {
	p.noteFall(e, now)
	// The order that awaits its reply is one of the start before.
	p.noteLate(e.sent, now)
	h := p.history(e.id)
	h.lives++
	h.start, h.againAt = s, now
	e.start, e.startAt = s, now
	e.sent, e.work, e.probing, e.reserved = nil, nil, false, Unit{}
	e.models, e.taken, e.recheckAt = make(map[string]*held), 0, time.Time{}
	e.doubt(now, 0)
	e.doubtSince = heard
	p.again = append(p.again, StartedAgain{Engine: e.id, Start: s, Late: len(h.late)})
}

// StartedAgain is a start of an engine under a known id. It ends what was believed of it.
type StartedAgain struct {
	Engine string
	// Start is 0 where the engine does not tell it.
	Start directory.Start
	// Late counts the loads without an answer that may still be carried out.
	Late int
}

// StartedAgain returns the starts seen since the last call.
func (p *Planner) StartedAgain() []StartedAgain {
	out := p.again
	p.again = nil
	return out
}

// formerStart reports whether a report is of a start before the one known, and takes a new
// start in that it is the first to tell.
func (p *Planner) formerStart(e *engine, r *Report, askedAt, now time.Time) bool {
	// What is asked for that long after the last news of a start was told by that start or a
	// later one, whatever the engine's clock says of it.
	settled := !askedAt.Before(e.startAt.Add(reportLag))
	switch {
	case r.Start == e.start && r.Start != 0:
		return false
	case r.Start != 0 && e.start == 0:
		e.start, p.history(e.id).start = r.Start, r.Start
		return false
	case r.Start.Newer(e.start), r.Start.Older(e.start) && settled:
		p.startAgain(e, r.Start, askedAt, now)
		return false
	case r.Start.Older(e.start):
		return true
	}
	if e.countWentBack(r) && !askedAt.Before(e.takenAt.Add(reportLag)) {
		p.startAgain(e, 0, askedAt, now)
	}
	return false
}

// countWentBack reports whether a report of a moment after the last order tells of a new
// start by its count. A count short by one may be ours at fault: an engine that had nothing to
// drop counts no order, and says just what it says when it dropped something.
func (e *engine) countWentBack(r *Report) bool {
	return r.Taken < e.taken-1 || r.Taken < e.taken && len(r.Models) == 0 && len(e.models) > 0
}

// lateNeeds returns the room that late loads of a former start may take at an engine which
// has taken a number of orders: the engine carries each of them out if it has taken just as
// many orders as the load names.
func (g *planning) lateNeeds(e *engine, taken int64) (mb float64, places int) {
	h := g.histories[e.id]
	if h == nil || h.againAt.IsZero() || g.now.Sub(h.againAt) > lateOrders {
		return 0, 0
	}
	if e.start != 0 && g.now.Before(g.foreignUntil) {
		// A former holder's late orders are not known here.
		mb, places = g.largestLoad(e), 1
	}
	knownMB, knownPlaces := g.knownLate(h, taken)
	return max(mb, knownMB), max(places, knownPlaces)
}

// knownLate returns what the known late loads of a former start take that an engine may carry
// out one after the other, from a count of orders taken on.
func (g *planning) knownLate(h *history, taken int64) (mb float64, places int) {
	for found := true; found; taken++ {
		found = false
		for _, l := range h.late {
			if l.life == h.lives || l.taken != taken {
				continue
			}
			found = true
			if l.unit.Adapter != "" {
				places++
			}
			mb += g.loadMB(l.unit)
		}
	}
	return mb, places
}

// loadMB is the memory that a unit takes.
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

// largestLoad is the memory that the largest model takes with an adapter.
func (g *planning) largestLoad(e *engine) float64 {
	most := 0.0
	for i := range e.shape.Models {
		most = max(most, e.shape.Models[i].WeightsMB+e.shape.Models[i].AdapterMB)
	}
	return most
}

// change is what some orders do to an engine in the end.
type change struct {
	// orders is how many they are.
	orders int
	// mb and places are what they take up; below 0 what they free.
	mb     float64
	places int
}

// leavesRoom reports whether an engine that has carried out some orders has room left for
// what may be late.
func (g *planning) leavesRoom(e *engine, c change) bool {
	mb, places := g.lateNeeds(e, e.taken+int64(c.orders))
	if mb == 0 && places == 0 {
		return true
	}
	if e.surelyFree(g.table)-c.mb >= mb && e.shape.AdapterSlots-e.adapters()-c.places >= places {
		return true
	}
	g.wake(g.histories[e.id].againAt.Add(lateOrders))
	return false
}
