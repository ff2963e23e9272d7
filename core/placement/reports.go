package placement

import (
	"time"
)

// Reported takes an engine's report in, asked for at a time.
func (p *Planner) Reported(id string, r *Report, askedAt, now time.Time) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.probing = false
	e.nextProbe = now.Add(probeEvery)
	if p.formerStart(e, r, askedAt, now) {
		return
	}
	if !e.known {
		// The report may be of a moment before the doubt began.
		if !e.doubtSince.IsZero() && askedAt.Before(e.doubtSince) {
			return
		}
		e.known = true
		p.resume(e, r, now)
		return
	}
	if r.Taken < e.taken {
		return
	}
	if r.Busy && e.work != nil {
		e.nextProbe = now.Add(e.work.probePause())
		return
	}
	if r.Busy && e.ended != nil {
		if !askedAt.Before(e.ended.expected.Add(reportLag)) {
			e.reopen(false, now)
		}
		return
	}
	p.resume(e, r, now)
}

// resume takes a report over as the engine's state.
func (p *Planner) resume(e *engine, r *Report, now time.Time) {
	e.adopt(r, now)
	p.loaded(e)
	switch {
	case !r.Busy:
		if e.work != nil && e.work.unload {
			p.waited(e.work, now.Add(-reportAge))
		}
		if e.work != nil && e.work.fromStore {
			p.storeEnded(e.work, now.Add(-reportAge))
		}
		e.work = nil
	case e.work == nil:
		// An order of somebody else is in progress; what it is for is not told.
		e.doubt(now, probeEvery)
	}
}

// ProbeFailed notes that a report did not come.
func (p *Planner) ProbeFailed(id string, now time.Time) {
	if e := p.engines[id]; e != nil {
		e.probing = false
		e.nextProbe = now.Add(reportLag)
	}
}
