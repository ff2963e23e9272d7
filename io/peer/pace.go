package peer

import (
	"time"

	"olivetiller/core/pace"
)

// Gap is a [pace.Sample] in a message.
type Gap struct {
	Endpoint string `json:"endpoint"`
	Model    string `json:"model"`
	// Micros is the gap in microseconds.
	Micros int64 `json:"micros"`
}

// EncodeGaps converts samples for a message.
func EncodeGaps(samples []pace.Sample) []Gap {
	var out []Gap
	for _, s := range samples {
		out = append(out, Gap{s.Endpoint, s.Model, s.Gap.Microseconds()})
	}
	return out
}

// DecodeGaps converts the gaps of a message. Negative and zero gaps stay as they are; an estimator ignores them.
func DecodeGaps(gaps []Gap) []pace.Sample {
	var out []pace.Sample
	for _, g := range gaps {
		out = append(out, pace.Sample{Endpoint: g.Endpoint, Model: g.Model, Gap: time.Duration(g.Micros) * time.Microsecond})
	}
	return out
}
