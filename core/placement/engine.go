package placement

import (
	"slices"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/pace"
	"olivetiller/core/route"
)

// engine is the planner's state of one engine.
type engine struct {
	id, address, service string
	build                directory.Build
	draining             bool
	// config is the engine configuration of the service; nil if it has none.
	config *route.Engine
	// start identifies the engine's incarnation, 0 if the engine does not tell it; startAt is
	// when the planner learned of it.
	start   directory.Start
	startAt time.Time
	// rateLimit is the engine's own request limit, in requests a second; 0 if it names none.
	rateLimit float64
	// known is false while the engine's state is unknown (phase doubtful).
	known bool
	// reportedAt is when a report was last accepted; zero if none was.
	reportedAt time.Time
	// invalidSince is when the state became unknown; a report requested before then does not
	// make it known again.
	invalidSince time.Time
	// taken is the number of orders that the engine has taken, and takenAt when it last
	// changed.
	taken   int64
	takenAt time.Time
	models  map[string]*heldModel
	// warm and onDisk are the copies in the engine's host memory and on its disk.
	warm, onDisk copySet
	// copies are the models whose list of copies includes this engine; copiesChanged is set
	// when warm or onDisk has changed since that index was updated.
	copies        []*modelState
	copiesChanged bool
	// capacities caches the engine's capacity during one plan: index 1 allows evicting models
	// with running requests, index 0 does not. Sending an order resets both to nil.
	capacities [2]*capacity
	// running counts the running requests for the models that the engine holds, as of the start
	// of the plan, and reading averages the tokens of long prompts being read.
	running int
	reading average
	// load averages the load of all requests that run there, in concurrent requests.
	load average
	// pace is how long the engine takes for the same work, 1 for the median of its service; 0 if
	// unknown.
	pace float64
	// pending is the order whose reply has not come yet.
	pending *Order
	// work is the load or unload of a model in progress.
	work *work
	// unconfirmed is the last load or unload if it is assumed to have ended and no reply or
	// report has confirmed that; nil otherwise.
	unconfirmed *work
	// reserved is the model that capacity is reserved for while others are evicted; its Model
	// is empty if there is none.
	reserved Unit
	// recheckAt is when to request a report although no work is in progress; zero for never.
	recheckAt time.Time
	// probing is set while a requested report has not come; nextProbe is the earliest time of
	// the next probe.
	probing   bool
	nextProbe time.Time
	// backoffUntil is the earliest time of the next order after a refused one, and notBefore that of any order; see
	// SetNotBefore.
	backoffUntil, notBefore time.Time
}

// heldModel is a model that an engine holds, with its adapters.
type heldModel struct {
	// since is when the planner learned that the engine holds the model.
	since    time.Time
	adapters map[string]*adapter
}

// adapter is an adapter that an engine holds or is loading.
type adapter struct {
	// readyAt is when the adapter can serve requests.
	readyAt time.Time
	lastUse time.Time
	// unloading is set once the engine has taken an order to drop the adapter while requests
	// used it. The adapter occupies its slot until a report no longer names it.
	unloading bool
}

// newHeldModel returns a model without adapters that is held since now.
func newHeldModel(now time.Time) *heldModel {
	return &heldModel{since: now, adapters: make(map[string]*adapter)}
}

// newEngine returns an engine of unknown state.
func newEngine(e *directory.Entry, now time.Time) *engine {
	return &engine{
		id: e.ID, address: e.Address, service: e.Service, start: e.Start, startAt: now, invalidSince: now,
		models: make(map[string]*heldModel), warm: make(copySet), onDisk: make(copySet),
	}
}

// setAdapter records an adapter that the engine holds from readyAt on.
func (e *engine) setAdapter(u Unit, readyAt, now time.Time) {
	if h := e.models[u.Model]; h != nil {
		h.adapters[u.Adapter] = &adapter{readyAt: readyAt, lastUse: now}
	}
}

// markAdapterUnloading records that the engine will drop an adapter when no request uses it any
// more, and schedules a report.
func (e *engine) markAdapterUnloading(u Unit, now time.Time) {
	if h := e.models[u.Model]; h != nil && h.adapters[u.Adapter] != nil {
		h.adapters[u.Adapter].unloading = true
		e.recheckAt = now.Add(reportAge + adapterLoadTime)
	}
}

// dropAdapter records that the engine no longer holds an adapter.
func (e *engine) dropAdapter(u Unit) {
	if h := e.models[u.Model]; h != nil {
		delete(h.adapters, u.Adapter)
	}
}

// speed returns how much work the engine does at a time, 1 for an engine of the median pace.
func (e *engine) speed() float64 { return 1 / pace.Effective(e.pace) }

// idle reports whether the engine can take an order for a model now.
func (e *engine) idle(now time.Time) bool {
	return e.takesAdapters(now) && e.work == nil
}

// takesAdapters reports whether the engine can take an order for an adapter now.
func (e *engine) takesAdapters(now time.Time) bool {
	return e.known && e.pending == nil && !e.draining && e.config != nil && !now.Before(e.orderableAt())
}

// orderableAt returns the earliest time of the next order, whatever the engine does until then.
func (e *engine) orderableAt() time.Time { return latest(e.backoffUntil, e.notBefore) }

// serves reports whether the engine holds a model and is not unloading it.
func (e *engine) serves(model string) bool {
	return e.models[model] != nil && !e.isUnloading(model)
}

// isUnloading reports whether the engine is unloading a model or an order to do so is pending.
func (e *engine) isUnloading(model string) bool {
	if e.work != nil && e.work.unload && e.work.unit.Model == model {
		return true
	}
	return e.pending != nil && e.pending.Unload && e.pending.Unit.Adapter == "" && e.pending.Unit.Model == model
}

// isLoading reports whether the engine is loading a model or an order to do so is pending.
func (e *engine) isLoading(model string) bool {
	if e.work != nil && !e.work.unload && e.work.unit.Model == model {
		return true
	}
	return e.pending != nil && !e.pending.Unload && e.pending.Unit.Adapter == "" && e.pending.Unit.Model == model
}

// adapters returns the number of adapters that the engine holds or is loading. It includes
// those of a model whose unload is unconfirmed, since engines accept adapters for a model while
// it unloads.
func (e *engine) adapters() int {
	n := 0
	for _, h := range e.models {
		n += len(h.adapters)
	}
	if h := e.unconfirmedUnload(); h != nil {
		n += len(h.adapters)
	}
	return n
}

// unconfirmedUnload returns the model of an unload that is assumed to have ended but is not
// confirmed; nil if there is none.
func (e *engine) unconfirmedUnload() *heldModel {
	if e.unconfirmed == nil || !e.unconfirmed.unload {
		return nil
	}
	return e.unconfirmed.saved
}

// loadingAdapters returns the number of adapters that are not ready yet.
func (e *engine) loadingAdapters(now time.Time) int {
	n := 0
	for _, h := range e.models {
		for _, a := range h.adapters {
			if a.readyAt.After(now) {
				n++
			}
		}
	}
	return n
}

// freeMB returns the memory for weights, in MB, that is neither used nor reserved for a load in
// progress.
func (e *engine) freeMB(t *route.Table) float64 {
	free := e.config.WeightsMB
	for name, h := range e.models {
		free -= e.sizeMB(t, name, h)
	}
	if e.work != nil && !e.work.unload && e.models[e.work.unit.Model] == nil {
		if m := t.Model(e.service, e.work.unit.Model); m != nil {
			free -= m.WeightsMB
		}
	}
	return free
}

// confirmedFreeMB is freeMB without the memory that an unconfirmed unload is assumed to have
// freed.
func (e *engine) confirmedFreeMB(t *route.Table) float64 {
	free := e.freeMB(t)
	if h := e.unconfirmedUnload(); h != nil {
		free -= e.sizeMB(t, e.unconfirmed.unit.Model, h)
	}
	return free
}

// stats returns the engine's state for the log of an order.
func (e *engine) stats(t *route.Table, now time.Time) EngineStats {
	b := EngineStats{Phase: e.phase().String(), FreeMB: e.freeMB(t), Models: len(e.models), Adapters: e.adapters(), ReportAge: -1}
	if !e.reportedAt.IsZero() {
		b.ReportAge = now.Sub(e.reportedAt)
	}
	if w := e.unconfirmed; w != nil {
		b.Unconfirmed = w.String()
	}
	return b
}

// sizeMB returns the memory that a model takes with its adapters, in MB; 0 if the configuration
// does not have the model.
func (e *engine) sizeMB(t *route.Table, name string, h *heldModel) float64 {
	m := t.Model(e.service, name)
	if m == nil {
		return 0
	}
	return m.WeightsMB + float64(len(h.adapters))*m.AdapterMB
}

// unknownWeights reports whether the engine holds a model whose size is unknown because the
// configuration does not have it.
func (e *engine) unknownWeights(t *route.Table) bool {
	for name := range e.models {
		if t.Model(e.service, name) == nil {
			return true
		}
	}
	return false
}

// invalidate makes the engine's state unknown until it sends a report that was requested after
// now. The next probe is sent after wait.
func (e *engine) invalidate(now time.Time, wait time.Duration) {
	e.known, e.unconfirmed = false, nil
	e.invalidSince = now
	e.nextProbe = now.Add(wait)
}

// applyReport replaces what is known of the engine by a report, keeping the times of models and
// adapters that were known already.
func (e *engine) applyReport(r *Report, now time.Time) {
	if e.taken != r.Taken {
		e.takenAt = now
	}
	e.taken, e.unconfirmed, e.recheckAt, e.reportedAt = r.Taken, nil, time.Time{}, now
	for name := range e.models {
		if !slices.ContainsFunc(r.Models, func(h directory.Held) bool { return h.Model == name }) {
			delete(e.models, name)
		}
	}
	for _, reported := range r.Models {
		h := e.models[reported.Model]
		if h == nil {
			h = newHeldModel(now)
			e.models[reported.Model] = h
		}
		e.applyAdapters(h, reported, r.LoadingAdapters, now)
	}
	warm, onDisk := e.warm.sync(r.Warm), e.onDisk.sync(r.OnDisk)
	e.copiesChanged = e.copiesChanged || warm || onDisk
}

// applyAdapters replaces the adapters of a model by those reported as loaded or loading. The
// report counts all orders that the engine has taken, so adapters that it does not name are
// gone.
func (e *engine) applyAdapters(h *heldModel, reported directory.Held, loading []directory.Held, now time.Time) {
	known := h.adapters
	h.adapters = make(map[string]*adapter, len(reported.Adapters))
	add := func(name string, readyAt time.Time) {
		a := known[name]
		if a == nil {
			a = &adapter{readyAt: readyAt, lastUse: now}
		}
		h.adapters[name] = a
		if a.unloading {
			e.recheckAt = now.Add(probeInterval)
		}
	}
	for _, name := range reported.Adapters {
		add(name, time.Time{})
	}
	for _, c := range loading {
		if c.Model == reported.Model {
			add(c.Adapters[0], now.Add(adapterLoadTime))
		}
	}
}
