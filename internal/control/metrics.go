package control

import (
	"expvar"

	"olivetiller/internal/metric"
)

// Metrics are the metrics of the control plane: the counts of appends by this node,
// of applied records, accepted loads, failed log reads, repeated attempts of orders
// and written snapshots.
type Metrics struct {
	Appends, AppliedRecords, AcceptedLoads, LogErrors, OrderRetries, Snapshots expvar.Int
	// Rejected counts rejected records by reason.
	Rejected expvar.Map
	// ConfigSpread is the time in milliseconds from the proposal of a configuration
	// change until this node applied it.
	ConfigSpread *metric.Histogram
}

func newMetrics() *Metrics {
	m := &Metrics{ConfigSpread: metric.NewHistogram()}
	m.Rejected.Init()
	return m
}

// Tree returns the metrics as a map by published name.
func (m *Metrics) Tree() *expvar.Map {
	t := new(expvar.Map).Init()
	t.Set("appends", &m.Appends)
	t.Set("folds", &m.AppliedRecords)
	t.Set("loadsDecided", &m.AcceptedLoads)
	t.Set("logErrors", &m.LogErrors)
	t.Set("orderRetries", &m.OrderRetries)
	t.Set("snapshots", &m.Snapshots)
	t.Set("rejected", &m.Rejected)
	t.Set("configSpread", m.ConfigSpread)
	return t
}
