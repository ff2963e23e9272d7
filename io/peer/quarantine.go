package peer

import (
	"context"
	"net/http"
	"time"

	"olivetiller/core/quarantine"
)

// Suspect is the evidence of a node against a request suspected of crashing engines. Times are sent as ages because
// the clocks of nodes differ.
type Suspect struct {
	Request    quarantine.Fingerprint `json:"request"`
	Epoch      uint32                 `json:"epoch,omitempty"`
	AgeMs      int64                  `json:"ageMs"`
	Suspicions []Suspicion            `json:"blames,omitempty"`
	Disproofs  []Disproof             `json:"disproofs,omitempty"`
	Verdict    *Verdict               `json:"verdict,omitempty"`
}

// Disproof says that an engine that was taken for crashed was alive AgeMs ago.
type Disproof struct {
	quarantine.CrashID
	AgeMs int64 `json:"ageMs"`
}

// Suspicion is the suspicion that a request caused one engine crash. RanMs is how long the request ran, and Begun is
// true if its answer had begun.
type Suspicion struct {
	quarantine.CrashID
	RanMs int64 `json:"ranMs"`
	Begun bool  `json:"begun,omitempty"`
	AgeMs int64 `json:"ageMs"`
	// DelayMs is how long before that the connection of the request had broken.
	DelayMs int64 `json:"delayMs,omitempty"`
}

// Verdict is a quarantine decision: the request is kept from engines, except for trials.
type Verdict struct {
	AgeMs  int64 `json:"ageMs"`
	Trials int   `json:"trials,omitempty"`
}

// EncodeSuspects encodes registry entries, with ages relative to now.
func EncodeSuspects(entries []quarantine.Entry, now time.Time) []Suspect {
	out := make([]Suspect, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		s := Suspect{Request: e.Request, Epoch: e.Epoch, AgeMs: now.Sub(e.At).Milliseconds()}
		for _, c := range e.Suspicions {
			s.Suspicions = append(s.Suspicions, Suspicion{CrashID: c.Crash, RanMs: c.Elapsed.Milliseconds(), Begun: c.Begun, AgeMs: now.Sub(c.At).Milliseconds(), DelayMs: c.Delay.Milliseconds()})
		}
		for _, d := range e.Disproofs {
			s.Disproofs = append(s.Disproofs, Disproof{CrashID: d.Crash, AgeMs: now.Sub(d.At).Milliseconds()})
		}
		if e.Verdict != nil {
			s.Verdict = &Verdict{AgeMs: now.Sub(e.Verdict.At).Milliseconds(), Trials: e.Verdict.Trials}
		}
		out = append(out, s)
	}
	return out
}

// DecodeSuspects decodes suspects received at now.
func DecodeSuspects(suspects []Suspect, now time.Time) []quarantine.Entry {
	out := make([]quarantine.Entry, 0, len(suspects))
	for i := range suspects {
		s := &suspects[i]
		e := quarantine.Entry{Request: s.Request, Epoch: s.Epoch, At: timeFromAge(now, s.AgeMs)}
		for _, c := range s.Suspicions {
			e.Suspicions = append(e.Suspicions, quarantine.Suspicion{Crash: c.CrashID, Elapsed: clampMs(c.RanMs), Begun: c.Begun, At: timeFromAge(now, c.AgeMs), Delay: clampMs(c.DelayMs)})
		}
		for _, d := range s.Disproofs {
			e.Disproofs = append(e.Disproofs, quarantine.Disproof{Crash: d.CrashID, At: timeFromAge(now, d.AgeMs)})
		}
		if s.Verdict != nil {
			e.Verdict = &quarantine.Verdict{At: timeFromAge(now, s.Verdict.AgeMs), Trials: max(0, s.Verdict.Trials)}
		}
		out = append(out, e)
	}
	return out
}

// maxAge bounds the ages and durations of a message; entries that old have expired anyway.
const maxAge = 48 * time.Hour

// clampMs converts milliseconds from a message to a duration between 0 and maxAge.
func clampMs(ms int64) time.Duration {
	return time.Duration(max(0, min(maxAge.Milliseconds(), ms))) * time.Millisecond
}

func timeFromAge(now time.Time, ms int64) time.Time { return now.Add(-clampMs(ms)) }

// Exchange is the quarantine state that two nodes send each other while no lease holder merges it for all.
type Exchange struct {
	// Node is the sender, and Incarnation identifies the incarnation of its process.
	Node        string `json:"node"`
	Incarnation string `json:"life"`
	// Since is the version of the receiver's state, in its incarnation ReceiverIncarnation, that the sender has merged.
	Since               uint64 `json:"since,omitempty"`
	ReceiverIncarnation string `json:"of,omitempty"`
	// Version is the version of the sender's state that the receiver has once it has merged Suspects.
	Version  uint64    `json:"version"`
	Suspects []Suspect `json:"suspects,omitempty"`
	// Signals are all endpoint signals that the sender knows.
	Signals []Signal `json:"signals,omitempty"`
}

// Exchanger is the server side of exchanges.
type Exchanger interface {
	// Exchange merges another node's state and returns the local state.
	Exchange(e *Exchange) *Exchange
}

const pathExchange = "/peer/quarantine"

// handleExchange serves exchanges of other nodes.
func handleExchange(x Exchanger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e, ok := readJSON[Exchange](w, r, maxMessageBytes)
		if !ok {
			return
		}
		writeJSON(w, r, x.Exchange(&e))
	}
}

// Exchange sends the local state to the node at an address and returns that node's state.
func (c *Client) Exchange(ctx context.Context, address string, e *Exchange) (*Exchange, error) {
	var answer Exchange
	if err := c.post(ctx, lookupTimeout, address+pathExchange, e, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}
