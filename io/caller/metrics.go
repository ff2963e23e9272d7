package caller

import (
	"expvar"

	"olivetiller/internal/metric"
)

// Metrics are the metrics of the caller-facing server.
type Metrics struct {
	// Answered counts answered requests, and Resumed streams that were continued at another endpoint.
	Answered, Resumed expvar.Int
	// AwaitedReady counts the requests that were held until the node had read the current state.
	AwaitedReady expvar.Int
	// ConnectionsClosed counts the new connections that were closed unread because the node was overloaded.
	ConnectionsClosed expvar.Int
	// ConnectionsRefused counts those that were closed unread because all others had requests.
	ConnectionsRefused expvar.Int
	// Refused counts refusals by kind. Retries counts further attempts by the outcome of the attempt before.
	Refused, Retries expvar.Map
	// StandbysDiscarded counts the second attempts beside a silent endpoint that were not needed or failed.
	StandbysDiscarded expvar.Int
	// ExtraOpened, ExtraWon and ExtraLost count the extra attempts beside late ones by route, and ExtraDenied those that were
	// not opened by reason.
	ExtraOpened, ExtraWon, ExtraLost, ExtraDenied expvar.Map
	// AnswersTooLong counts, by answerlimit.Part, the attempts whose endpoint sent more than an answer may have.
	// AnswersWithoutRoom counts those given up because other answers took the room of this node.
	AnswersTooLong     expvar.Map
	AnswersWithoutRoom expvar.Int
	// Closed counts, by CloseCause, the requests that ended without a complete answer or a refusal.
	Closed expvar.Map
	// Histograms of times in milliseconds. Wait is the wait for a slot, and ColdStart the same for requests that
	// found no endpoint ready.
	Wait, ColdStart, FirstToken, BetweenTokens *metric.Histogram
	// WaitByRank is Wait by the rank of the request, and RefusedByRank counts refusals by it, where ranks differ.
	WaitByRank    *metric.Family
	RefusedByRank expvar.Map
	// ForecastError is the difference between the first predicted and the actual wait for a model, in milliseconds.
	ForecastError *metric.Histogram
	// Signals counts the answers that changed the recorded signals of their endpoint, and DamagedSignals the signals
	// that could not be parsed.
	Signals, DamagedSignals expvar.Int
}

// NewMetrics returns metrics that are all zero.
func NewMetrics() *Metrics {
	m := &Metrics{
		Wait: metric.NewHistogram(), ColdStart: metric.NewHistogram(),
		FirstToken: metric.NewHistogram(), BetweenTokens: metric.NewHistogram(),
		ForecastError: metric.NewHistogram(), WaitByRank: metric.NewFamily(),
	}
	m.Refused.Init()
	m.Retries.Init()
	m.RefusedByRank.Init()
	m.Closed.Init()
	for _, c := range []*expvar.Map{&m.ExtraOpened, &m.ExtraWon, &m.ExtraLost, &m.ExtraDenied} {
		c.Init()
	}
	m.AnswersTooLong.Init()
	return m
}

// Tree returns the metrics by their published names.
func (m *Metrics) Tree() *expvar.Map {
	t := new(expvar.Map).Init()
	t.Set("answered", &m.Answered)
	t.Set("resumed", &m.Resumed)
	t.Set("awaitedReady", &m.AwaitedReady)
	t.Set("connectionsClosed", &m.ConnectionsClosed)
	t.Set("connectionsRefused", &m.ConnectionsRefused)
	t.Set("refused", &m.Refused)
	t.Set("retries", &m.Retries)
	t.Set("standbysDiscarded", &m.StandbysDiscarded)
	t.Set("closed", &m.Closed)
	t.Set("extraOpened", &m.ExtraOpened)
	t.Set("extraWon", &m.ExtraWon)
	t.Set("extraLost", &m.ExtraLost)
	t.Set("extraDenied", &m.ExtraDenied)
	t.Set("answersTooLong", &m.AnswersTooLong)
	t.Set("answersWithoutRoom", &m.AnswersWithoutRoom)
	t.Set("signals", &m.Signals)
	t.Set("damagedSignals", &m.DamagedSignals)
	t.Set("wait", m.Wait)
	t.Set("waitByRank", m.WaitByRank)
	t.Set("refusedByRank", &m.RefusedByRank)
	t.Set("coldStart", m.ColdStart)
	t.Set("forecastError", m.ForecastError)
	t.Set("firstToken", m.FirstToken)
	t.Set("betweenTokens", m.BetweenTokens)
	return t
}
