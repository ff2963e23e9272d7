package peer

import (
	"time"

	"olivetiller/core/signal"
)

// Signal is what an endpoint said of itself to some node. Moments are told as ages, since nodes' clocks differ.
type Signal struct {
	Endpoint string `json:"endpoint"`
	Born     int64  `json:"born,omitempty"`
	// Limit is how many requests a second it takes from all nodes; 0 where it no longer names a limit.
	Limit float64 `json:"limit,omitempty"`
	AgeMs int64   `json:"ageMs"`
	// Leaving is true where it has said that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// RestMs is for how much longer it wants nothing from some node.
	RestMs int64 `json:"restMs,omitempty"`
}

// Signals encodes what endpoints said at a moment.
func Signals(words []signal.Word, now time.Time) []Signal {
	out := make([]Signal, 0, len(words))
	for _, w := range words {
		out = append(out, Signal{Endpoint: w.Endpoint, Born: w.Start, Limit: w.Limit, AgeMs: now.Sub(w.At).Milliseconds(), Leaving: w.Leaving, RestMs: max(0, w.RestUntil.Sub(now).Milliseconds())})
	}
	return out
}

// Words decodes signals that were received at a moment. What no endpoint can have said is left out.
func Words(signals []Signal, now time.Time) []signal.Word {
	out := make([]signal.Word, 0, len(signals))
	for _, s := range signals {
		w := signal.Word{Life: signal.Life{Endpoint: s.Endpoint, Start: s.Born}, Limit: s.Limit, At: before(now, s.AgeMs), Leaving: s.Leaving, RestUntil: now.Add(span(s.RestMs))}
		if w.Check() == nil {
			out = append(out, w)
		}
	}
	return out
}
