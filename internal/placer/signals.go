package placer

import (
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/placement"
	"olivetiller/core/signal"
	"olivetiller/core/view"
	"olivetiller/io/peer"
)

// SignalsChanged sends a change of the endpoints' signals, their reported capacity or draining, to the other nodes.
// It may be called from any goroutine.
func (c *Controller) SignalsChanged() {
	c.RequestReport()
	c.publishSignals()
}

// publishSignals wakes the followers that wait for a snapshot if the endpoints' signals have changed.
func (c *Controller) publishSignals() {
	c.published.setSignals(c.o.Dispatcher.SignalsVersion())
	c.relay.wakeFollowers()
}

// limitEngines sets the planner's limits on engines, in requests per second: the smaller one of the reported capacity
// and the rate while cold.
func (c *Controller) limitEngines() {
	capacities := c.o.Dispatcher.Capacities()
	c.planner.SetRateLimits(func(engine string, start directory.Start) float64 {
		reported, cold := capacities.Of(signal.Incarnation{Endpoint: engine, Start: int64(start)}), c.halls.coldRates[engine]
		if reported > 0 && cold > 0 {
			return min(reported, cold)
		}
		return max(reported, cold)
	})
}

// applyDraining drains the list entries of the endpoints that have signalled that they are draining, including
// entries that were added after the signal.
func (c *Controller) applyDraining(now time.Time) {
	changed := false
	for _, l := range c.o.Dispatcher.DrainingEndpoints() {
		if c.directory.DrainIncarnation(l.Endpoint, directory.Start(l.Start)) {
			c.o.Logger.Info("endpoint signalled that it is draining", "endpoint", l.Endpoint, "born", l.Start)
			c.touch(l.Endpoint)
			changed = true
		}
	}
	if changed {
		c.listChanged(now)
	}
}

// applyReportedSignals applies the signals that an engine's report contains.
func (c *Controller) applyReportedSignals(engine string, r *placement.Report, asked time.Time) {
	ch := c.o.Dispatcher.ObserveSignals(view.Endpoint{Name: engine, Start: int64(r.Start)}, r.Signals, asked)
	if ch.Changed() {
		c.logSignal(&ch, "report")
	}
}

// mergeSignals merges endpoints' signals received from another node, and reports whether any was new.
func (c *Controller) mergeSignals(signals []peer.Signal, by string, now time.Time) bool {
	if len(signals) == 0 {
		return false
	}
	entries := peer.DecodeSignals(signals, now)
	for i := range entries {
		entries[i].By = by
	}
	changes := c.o.Dispatcher.MergeSignals(entries)
	for i := range changes {
		c.logSignal(&changes[i], by)
	}
	return len(changes) > 0
}

// logSignal logs a change of an endpoint's signals that came with a report or from another node.
func (c *Controller) logSignal(ch *signal.Change, by string) {
	c.o.Logger.Info("endpoint signals changed", append(ch.Fields(), "by", by)...)
}

// reportSignals adds the signals that the lease holder lacks to a report, and returns the version that they reach.
// incarnation is the lease holder's.
func (c *Controller) reportSignals(r *peer.Report, incarnation string, now time.Time) uint64 {
	signals, to := c.o.Dispatcher.SignalsSince(c.reportAcked.of(incarnation).signals)
	r.Signals = peer.EncodeSignals(signals, now)
	return to
}

// allSignals returns all endpoints' signals known here.
func (c *Controller) allSignals(now time.Time) []peer.Signal {
	signals, _ := c.o.Dispatcher.SignalsSince(0)
	return peer.EncodeSignals(signals, now)
}

// addSignals adds the signals that are new to the requester, and reports whether there are any.
func (c *Controller) addSignals(s *peer.Snapshot, q peer.WatchRequest, now time.Time) bool {
	after := q.SignalsTo
	if s.Full {
		after = 0
	}
	signals, to := c.o.Dispatcher.SignalsSince(after)
	s.Signals, s.SignalsTo = peer.EncodeSignals(signals, now), to
	return len(signals) > 0
}
