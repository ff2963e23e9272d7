package peer

import (
	"time"

	"olivetiller/core/signal"
)

// Signal is what an endpoint last signalled about itself to a node. Times are sent as ages because the clocks of nodes
// differ.
type Signal struct {
	Endpoint string `json:"endpoint"`
	Born     int64  `json:"born,omitempty"`
	// Limit is the rate that the endpoint accepts from all nodes together, in requests per second; 0 if it publishes none.
	Limit float64 `json:"limit,omitempty"`
	AgeMs int64   `json:"ageMs"`
	// Brittle is whether the endpoint is brittle, and BrittleAgeMs the age of that; nil if no answer ever stated it.
	Brittle      bool   `json:"brittle,omitempty"`
	BrittleAgeMs *int64 `json:"brittleAgeMs,omitempty"`
	// Draining is true if the endpoint has announced that it is draining.
	Draining bool `json:"leaving,omitempty"`
	// BackoffMs is the remaining backoff that the endpoint asked for, in milliseconds.
	BackoffMs int64 `json:"restMs,omitempty"`
}

// EncodeSignals encodes endpoint reports, with ages relative to now.
func EncodeSignals(reports []signal.Report, now time.Time) []Signal {
	out := make([]Signal, 0, len(reports))
	for _, r := range reports {
		s := Signal{Endpoint: r.Endpoint, Born: r.Start, Limit: r.Limit, AgeMs: now.Sub(r.At).Milliseconds(), Brittle: r.Brittle, Draining: r.Draining, BackoffMs: max(0, r.BackoffUntil.Sub(now).Milliseconds())}
		if !r.BrittleAt.IsZero() {
			ms := now.Sub(r.BrittleAt).Milliseconds()
			s.BrittleAgeMs = &ms
		}
		out = append(out, s)
	}
	return out
}

// DecodeSignals decodes signals received at now. It skips invalid ones.
func DecodeSignals(signals []Signal, now time.Time) []signal.Report {
	out := make([]signal.Report, 0, len(signals))
	for _, s := range signals {
		r := signal.Report{Incarnation: signal.Incarnation{Endpoint: s.Endpoint, Start: s.Born}, Limit: s.Limit, At: timeFromAge(now, s.AgeMs), Draining: s.Draining, BackoffUntil: now.Add(clampMs(s.BackoffMs))}
		if s.BrittleAgeMs != nil {
			r.Brittle, r.BrittleAt = s.Brittle, timeFromAge(now, *s.BrittleAgeMs)
		}
		if r.Check() == nil {
			out = append(out, r)
		}
	}
	return out
}
