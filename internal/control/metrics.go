package control

import (
	"expvar"

	"olivetiller/internal/metric"
)

// Metrics are the counters of the control side.
type Metrics struct {
	Appends, Folds, Decided, LogErrors, OrderRetries, Snapshots expvar.Int
	// Rejected counts rejected records by reason.
	Rejected expvar.Map
	// ConfigSpread is the time from a publish to the configuration in force here.
	ConfigSpread *metric.Histogram
}

func newMetrics() *Metrics {
	m := &Metrics{ConfigSpread: metric.NewHistogram()}
	m.Rejected.Init()
	return m
}

// Tree returns the metrics under their names.
func (m *Metrics) Tree() *expvar.Map {
	t := new(expvar.Map).Init()
	t.Set("appends", &m.Appends)
	t.Set("folds", &m.Folds)
	t.Set("loadsDecided", &m.Decided)
	t.Set("logErrors", &m.LogErrors)
	t.Set("orderRetries", &m.OrderRetries)
	t.Set("snapshots", &m.Snapshots)
	t.Set("rejected", &m.Rejected)
	t.Set("configSpread", m.ConfigSpread)
	return t
}
