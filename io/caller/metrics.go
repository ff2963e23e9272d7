package caller

import (
	"expvar"

	"olivetiller/internal/metric"
)

// Metrics are the counters of the traffic side.
type Metrics struct {
	Answered, Resumed expvar.Int
	// Refused counts refusals by kind; Retries further attempts by outcome.
	Refused, Retries expvar.Map
	// Wait is the time to a place at an endpoint; ColdStart the same for
	// requests that found no replica ready.
	Wait, ColdStart, FirstToken, BetweenTokens *metric.Histogram
	// ForecastError is by how much the first forecast of a wait for a model was wrong.
	ForecastError *metric.Histogram
	// Signals counts the answers that changed what is believed of their endpoint, DamagedSignals those
	// that were reported as unreadable.
	Signals, DamagedSignals expvar.Int
}

// NewMetrics returns metrics at zero.
func NewMetrics() *Metrics {
	m := &Metrics{
		Wait: metric.NewHistogram(), ColdStart: metric.NewHistogram(),
		FirstToken: metric.NewHistogram(), BetweenTokens: metric.NewHistogram(),
		ForecastError: metric.NewHistogram(),
	}
	m.Refused.Init()
	m.Retries.Init()
	return m
}

// Tree returns the metrics under their names.
func (m *Metrics) Tree() *expvar.Map {
	t := new(expvar.Map).Init()
	t.Set("answered", &m.Answered)
	t.Set("resumed", &m.Resumed)
	t.Set("refused", &m.Refused)
	t.Set("retries", &m.Retries)
	t.Set("signals", &m.Signals)
	t.Set("damagedSignals", &m.DamagedSignals)
	t.Set("wait", m.Wait)
	t.Set("coldStart", m.ColdStart)
	t.Set("forecastError", m.ForecastError)
	t.Set("firstToken", m.FirstToken)
	t.Set("betweenTokens", m.BetweenTokens)
	return t
}
