package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"olivetiller/core/quarantine"
)

// Suspect is what a node knows of a request under which engines ended. Moments are told as ages,
// since nodes' clocks differ.
type Suspect struct {
	Request quarantine.Fingerprint `json:"request"`
	Epoch   uint32                 `json:"epoch,omitempty"`
	AgeMs   int64                  `json:"ageMs"`
	Blames  []Blame                `json:"blames,omitempty"`
	Verdict *Verdict               `json:"verdict,omitempty"`
}

// Blame is one engine's end that a request is blamed for.
type Blame struct {
	quarantine.EndID
	RanMs int64 `json:"ranMs"`
	Begun bool  `json:"begun,omitempty"`
	AgeMs int64 `json:"ageMs"`
}

// Verdict keeps a request from engines.
type Verdict struct {
	AgeMs  int64 `json:"ageMs"`
	Trials int   `json:"trials,omitempty"`
}

// Suspects encodes entries at a moment.
func Suspects(entries []quarantine.Entry, now time.Time) []Suspect {
	out := make([]Suspect, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		s := Suspect{Request: e.Request, Epoch: e.Epoch, AgeMs: now.Sub(e.At).Milliseconds()}
		for _, b := range e.Blames {
			s.Blames = append(s.Blames, Blame{EndID: b.End, RanMs: b.Ran.Milliseconds(), Begun: b.Begun, AgeMs: now.Sub(b.At).Milliseconds()})
		}
		if e.Verdict != nil {
			s.Verdict = &Verdict{AgeMs: now.Sub(e.Verdict.At).Milliseconds(), Trials: e.Verdict.Trials}
		}
		out = append(out, s)
	}
	return out
}

// Entries decodes suspects that were received at a moment.
func Entries(suspects []Suspect, now time.Time) []quarantine.Entry {
	out := make([]quarantine.Entry, 0, len(suspects))
	for i := range suspects {
		s := &suspects[i]
		e := quarantine.Entry{Request: s.Request, Epoch: s.Epoch, At: before(now, s.AgeMs)}
		for _, b := range s.Blames {
			e.Blames = append(e.Blames, quarantine.Blame{End: b.EndID, Ran: span(b.RanMs), Begun: b.Begun, At: before(now, b.AgeMs)})
		}
		if s.Verdict != nil {
			e.Verdict = &quarantine.Verdict{At: before(now, s.Verdict.AgeMs), Trials: max(0, s.Verdict.Trials)}
		}
		out = append(out, e)
	}
	return out
}

// longestSpan bounds the times that a message may tell: longer ones are forgotten anyway.
const longestSpan = 48 * time.Hour

// span reads a time that a message tells; less than 0 counts as none.
func span(ms int64) time.Duration {
	return time.Duration(max(0, min(longestSpan.Milliseconds(), ms))) * time.Millisecond
}

func before(now time.Time, ms int64) time.Time { return now.Add(-span(ms)) }

// Exchange is what two nodes tell each other while no holder unites what they know.
type Exchange struct {
	// Node is who sends it, Life one life of its process.
	Node string `json:"node"`
	Life string `json:"life"`
	// Since is the version up to which the sender knows what the other one knew, of the life Of.
	Since uint64 `json:"since,omitempty"`
	Of    string `json:"of,omitempty"`
	// Version is that of the sender, to which Suspects lead.
	Version  uint64    `json:"version"`
	Suspects []Suspect `json:"suspects,omitempty"`
	// Signals are what endpoints said of themselves, all that is known.
	Signals []Signal `json:"signals,omitempty"`
}

// Exchanger answers other nodes' exchanges.
type Exchanger interface {
	// Exchange takes in what another node knows, and returns what this one does.
	Exchange(e *Exchange) *Exchange
}

const pathExchange = "/peer/quarantine"

// handleExchange serves exchanges.
func handleExchange(x Exchanger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var e Exchange
		if err := json.NewDecoder(io.LimitReader(r.Body, maxMessage)).Decode(&e); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, r, x.Exchange(&e))
	}
}

// Exchange tells the node at an address what this one knows, and returns its answer.
func (c *Client) Exchange(ctx context.Context, address string, e *Exchange) (*Exchange, error) {
	var answer Exchange
	if err := c.post(ctx, lookupTime, address+pathExchange, e, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}
