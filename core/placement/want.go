package placement

import (
	"slices"
	"sort"
	"time"
)

// wanted returns the models that have waiting requests or recently deferred callers and no
// replica, neither serving nor pending. Models with waiting requests come first, and among them
// the most urgent.
func (g *planning) wanted() []*modelState {
	var out []*modelState
	for _, m := range g.modelList {
		needed := m.waiting > 0 || g.recentlyDeferred(m.deferredAt)
		if needed && m.effectiveReplicas() == 0 && m.pendingReplicas == 0 && m.spec != nil && !g.inBackoff(m) {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if (a.waiting > 0) != (b.waiting > 0) {
			return a.waiting > 0
		}
		if c := a.urgency().compare(b.urgency()); c != 0 {
			return c < 0
		}
		return a.unit.compare(b.unit) < 0
	})
	return out
}

// recentlyDeferred reports whether callers deferred at a time may still come back; false for
// the zero time.
func (g *planning) recentlyDeferred(at time.Time) bool {
	return !at.IsZero() && g.now.Sub(at) < retryWindow
}

// placeWanted places models with waiting or deferred requests. Models for which a request can
// still meet its deadline go first, and so do busy ones, whose later requests benefit. If the
// engines cannot keep up, serving the late models first would make all of them late.
func (g *planning) placeWanted(wanted []*modelState) {
	late := make(map[*modelState]bool)
	byTurns(g, &g.modelTurns, wanted, (*modelState).urgency, func(m *modelState) {
		c, ok := g.bestCandidate(m)
		if m.waiting > 0 && !(m.rate >= busyRate && g.loadExceedsObjective(m)) && (!ok || c.ready.After(m.lastDue)) {
			late[m] = true
			return
		}
		g.commit(m, c, ok, "requests wait")
	})
	wanted = slices.DeleteFunc(wanted, func(m *modelState) bool { return !late[m] })
	byTurns(g, &g.modelTurns, wanted, (*modelState).urgency, func(m *modelState) { g.place(m, "late requests wait") })
}

// scaleUp is a busy model that would gain by one more replica.
type scaleUp struct {
	*modelState
	// gain is the number of late requests a second that the replica avoids, and lateGain is modelState.lateGain.
	gain, lateGain float64
}

// scaleUps returns the models that gain by one more replica, those of the greatest gain first.
func (g *planning) scaleUps() []scaleUp {
	var out []scaleUp
	for _, m := range g.modelList {
		n := m.effectiveReplicas() + m.readySoon
		if n == 0 || m.spec == nil || n >= g.engineCounts[m.unit.Service] || g.now.Before(m.backoffUntil) {
			continue
		}
		capacity := max(minCapacity, m.capacity+float64(n-m.replicaCount()))
		if gain := g.gain(m, capacity, 1); gain > minGain {
			out = append(out, scaleUp{m, gain, m.lateGain(capacity, 1)})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].gain != out[j].gain {
			return out[i].gain > out[j].gain
		}
		return out[i].unit.compare(out[j].unit) < 0
	})
	return out
}

// Gains of a further replica, in late requests a second.
const (
	// minGain is the least gain for which a replica is loaded: over replicaUseTime it makes up
	// for the cost of the load.
	minGain = swapLoss / replicaUseTime
	// replicaUseTime is how long a replica is expected to be useful, in seconds: demand shifts
	// within a few.
	replicaUseTime = 4
	// urgentGain is the gain from which a replica is loaded before the models that single
	// requests wait for.
	urgentGain = 1
)

// replicate adds a replica to each model that gains by it, if the loss of the evicted models is
// small enough. urgent selects the models with a gain of at least urgentGain, otherwise those
// with less.
func (g *planning) replicate(urgent bool) {
	for _, r := range g.scaleUps() {
		if (r.gain >= urgentGain) == urgent {
			o := replicaOptions{maxLoss: max((r.gain-minGain)/gainFactor, r.lateGain-minGain), urgent: urgent, fromStore: r.pendingReplicas == 0}
			g.addReplica(r.modelState, o, "more replicas for a busy model")
		}
	}
}

// replicaOptions restrict how a further replica of a model may be loaded.
type replicaOptions struct {
	// maxLoss is the greatest loss of the evicted models, in late requests a second.
	maxLoss float64
	// urgent allows evicting models with running requests.
	urgent bool
	// fromStore allows loads from the weight store.
	fromStore bool
}

// addReplica loads one more replica of a model at the idle engine where it costs least, and
// reports whether there is one.
func (g *planning) addReplica(m *modelState, o replicaOptions, why string) bool {
	var best candidate
	found := false
	for _, e := range g.candidateEngines(m, o.urgent, o.fromStore) {
		if !e.idle(g.now) || e.reserved.Model != "" {
			continue
		}
		c, ok := g.candidate(e, m, o.urgent)
		c.loss -= g.paceGain(m, e)
		if !ok || c.loss > o.maxLoss || c.fromStore && !o.fromStore {
			continue
		}
		if !found || c.better(&best) {
			best, found = c, true
		}
	}
	if !found {
		return false
	}
	g.orderLoad(&best, m.unit, why)
	return true
}
