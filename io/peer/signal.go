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
	// Leaving is true if the endpoint has announced that it is draining.
	Leaving bool `json:"leaving,omitempty"`
	// RestMs is the remaining backoff that the endpoint asked for, in milliseconds.
	RestMs int64 `json:"restMs,omitempty"`
}

// Signals encodes endpoint reports, with ages relative to now.
func Signals(reports []signal.Word, now time.Time) []Signal {
	out := make([]Signal, 0, len(reports))
	for _, w := range reports {
		out = append(out, Signal{Endpoint: w.Endpoint, Born: w.Start, Limit: w.Limit, AgeMs: now.Sub(w.At).Milliseconds(), Leaving: w.Leaving, RestMs: max(0, w.RestUntil.Sub(now).Milliseconds())})
	}
	return out
}

// Words decodes signals received at now. It skips invalid ones.
func Words(signals []Signal, now time.Time) []signal.Word {
	out := make([]signal.Word, 0, len(signals))
	for _, s := range signals {
		w := signal.Word{Life: signal.Life{Endpoint: s.Endpoint, Start: s.Born}, Limit: s.Limit, At: timeFromAge(now, s.AgeMs), Leaving: s.Leaving, RestUntil: now.Add(clampMs(s.RestMs))}
		if w.Check() == nil {
			out = append(out, w)
		}
	}
	return out
}
