package placement

import (
	"time"
)

// Times of loads and unloads.
const (
	// unloadTime is the duration of an unload of a model without running requests.
	unloadTime = 70 * time.Millisecond
	// endSlack is added to a known duration. The engine starts before its reply arrives, but
	// its clock runs at a different rate than ours.
	endSlack = 10 * time.Millisecond
	// retryAfter is the pause before the next order to an engine that refused one because its
	// work lasted longer than expected. It doubles with each refusal, up to maxRetryAfter.
	retryAfter    = 60 * time.Millisecond
	maxRetryAfter = 250 * time.Millisecond
	// maxEarlyRefusals is how many such refusals make the engine's state unknown, so that only
	// a report ends the wait. They take about 1.5 s, in which most requests end that an unload
	// may wait for.
	maxEarlyRefusals = 8
	// defaultRunTime is the assumed delay of an unload by one running request before any was
	// observed: about half of a stream of some seconds.
	defaultRunTime = time.Second
)

// work is a load or unload of a model in progress at an engine.
type work struct {
	unit      Unit
	unload    bool
	fromStore bool
	expected  time.Time
	// timed work is assumed to have ended at its expected time; for other work a report must
	// confirm that. Reports are some hundred milliseconds old, which is as long as a load from host
	// memory takes.
	timed bool
	// refused counts the orders that the engine refused since the work was assumed to have
	// ended.
	refused int
	// saved is the model that an unload dropped or a load brought. It is restored if the work
	// turns out to go on, or to end after all.
	saved *heldModel
	// startedAt is when the order was taken. awaitsRuns is true for an unload that waits for
	// running requests, and runs is how many there were at the start.
	startedAt  time.Time
	awaitsRuns bool
	runs       int
	// fullSpeedTime is how long a load from the store takes when it shares the store with no
	// other. The engine is probed from then on, whatever end is expected.
	fullSpeedTime time.Duration
	// storeIntegral is the integral of the store's concurrent loads over time at the start, see
	// storeConcurrency.integral.
	storeIntegral float64
}

// String implements fmt.Stringer.
func (w *work) String() string {
	if w.unload {
		return "unload of " + w.unit.Model
	}
	return "load of " + w.unit.Model
}

// startWork records that an engine carries out an order for a model.
func (p *Planner) startWork(e *engine, o *Order, now time.Time) {
	w := &work{unit: o.Unit, unload: o.Unload, fromStore: o.FromStore, startedAt: now, expected: now.Add(o.Expected)}
	switch {
	case o.Unload:
		// The unload waits for the running requests of the model, whose end is unknown.
		w.runs = p.modelAt(e, o.Unit.Model).runningAt[e.id]
		w.awaitsRuns = w.runs > 0
		w.timed = !w.awaitsRuns
	default:
		// The store slows its loads down when many run.
		w.timed = !o.FromStore
	}
	if w.fromStore {
		w.fullSpeedTime, w.storeIntegral = p.fullSpeedLoadTime(w.unit), p.store.integral(now)
	}
	e.work = w
}

// endDueWork assumes that timed work has ended whose expected time has passed.
func (p *Planner) endDueWork(now time.Time) {
	for _, e := range p.engineList {
		w := e.work
		if w == nil || !e.known {
			continue
		}
		if w.awaitsRuns && p.modelAt(e, w.unit.Model).runningAt[e.id] == 0 {
			// The nodes' usage reports are newer than the engine's report.
			w.awaitsRuns, w.timed = false, true
		}
		if !w.timed {
			continue
		}
		if end := w.expected.Add(endSlack); now.Before(end) {
			p.wake(end)
			continue
		}
		p.assumeEnded(e, now)
	}
}

// assumeEnded moves the engine's work to unconfirmed and updates its models as if the work had
// ended. A later reply or report confirms or reverts that.
func (p *Planner) assumeEnded(e *engine, now time.Time) {
	w := e.work
	e.work, e.unconfirmed = nil, w
	if w.unload {
		w.saved = e.models[w.unit.Model]
		delete(e.models, w.unit.Model)
		return
	}
	e.recordCopy(p.table, w.unit.Model, now)
	switch {
	case e.models[w.unit.Model] != nil:
	case w.saved != nil:
		e.models[w.unit.Model] = w.saved
	default:
		e.models[w.unit.Model] = newHeldModel(now)
	}
}

// endCurrentWork assumes that the work in progress, if any, has ended, since the engine took
// another order.
func (p *Planner) endCurrentWork(e *engine, now time.Time) {
	if e.work != nil {
		p.assumeEnded(e, now)
	}
}

// confirm clears the unconfirmed work: it has ended by now.
func (p *Planner) confirm(e *engine, now time.Time) {
	if e.unconfirmed != nil && e.unconfirmed.unload {
		p.learnDrainTime(e.unconfirmed, now)
	}
	e.unconfirmed = nil
}

// reopen reverts assumeEnded because the work goes on. timed tells whether its end is assumed
// again after a pause; otherwise a report must confirm it.
func (e *engine) reopen(timed bool, now time.Time) {
	w := e.unconfirmed
	e.work, e.unconfirmed = w, nil
	w.timed, w.expected = timed, now.Add(min(maxRetryAfter, retryAfter<<max(0, w.refused-1)))
	switch {
	case !w.unload:
		w.saved = e.models[w.unit.Model]
		delete(e.models, w.unit.Model)
	case w.saved != nil:
		e.models[w.unit.Model] = w.saved
	}
}

// handleEarlyRefusal reopens the unconfirmed work after the engine refused an order, presumably
// because the work goes on. It reports whether there was such work. A refused load keeps its
// capacity reserved.
func (e *engine) handleEarlyRefusal(o *Order, now time.Time) bool {
	if e.unconfirmed == nil {
		return false
	}
	e.unconfirmed.refused++
	again := e.unconfirmed.refused < maxEarlyRefusals
	e.reopen(again, now)
	if !again {
		e.invalidate(now, maxReportAge)
	}
	if !o.Unload && o.Unit.Adapter == "" {
		e.reserved = o.Unit
	}
	return true
}

// confirmAt returns the earliest time at which a report can tell whether the work has ended;
// earlier reports describe a moment before the expected end.
func (w *work) confirmAt() time.Time {
	if w.fromStore {
		return w.startedAt.Add(w.fullSpeedTime + reportAge)
	}
	return w.expected.Add(reportAge)
}

// probeInterval returns the time between two probes of an engine that carries the work out. A
// load from the store may last many times its full-speed time, and one probe in each fiftieth
// of that is accurate enough.
func (w *work) probeInterval() time.Duration { return max(probeInterval, w.fullSpeedTime/50) }
