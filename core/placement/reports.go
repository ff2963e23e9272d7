package placement

import (
	"time"
)

// HandleReport handles an engine's report that was requested at askedAt.
func (p *Planner) HandleReport(id string, r *Report, askedAt, now time.Time) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.probing = false
	e.nextProbe = now.Add(probeInterval)
	if p.fromFormerIncarnation(e, r, askedAt, now) {
		return
	}
	if !e.known {
		// The report may describe a moment before the state became unknown.
		if !e.invalidSince.IsZero() && askedAt.Before(e.invalidSince) {
			return
		}
		e.known = true
		p.acceptReport(e, r, now)
		return
	}
	if r.Taken < e.taken {
		return
	}
	if r.Busy && e.work != nil {
		e.nextProbe = now.Add(e.work.probeInterval())
		return
	}
	if r.Busy && e.unconfirmed != nil {
		if !askedAt.Before(e.unconfirmed.expected.Add(maxReportAge)) {
			e.reopen(false, now)
		}
		return
	}
	p.acceptReport(e, r, now)
}

// acceptReport replaces the engine's state by a report.
func (p *Planner) acceptReport(e *engine, r *Report, now time.Time) {
	e.applyReport(r, now)
	p.clearCrashes(e)
	switch {
	case !r.Busy:
		if e.work != nil && e.work.unload {
			p.learnDrainTime(e.work, now.Add(-reportAge))
		}
		if e.work != nil && e.work.fromStore {
			p.observeStoreLoadEnd(e.work, now.Add(-reportAge))
		}
		e.work = nil
	case e.work == nil:
		// The engine is busy with an order that this planner did not send. The report does not
		// say which.
		e.invalidate(now, probeInterval)
	}
}

// HandleProbeFailure records that a probe got no report.
func (p *Planner) HandleProbeFailure(id string, now time.Time) {
	if e := p.engines[id]; e != nil {
		e.probing = false
		e.nextProbe = now.Add(maxReportAge)
	}
}
