package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"olivetiller/core/quarantine"
)

const (
	pathTurn = "/peer/turn"
	// turnTime bounds a question for a turn: a request waits for it.
	turnTime = 250 * time.Millisecond
)

// TurnQuestion asks for the turn of an isolated request, or gives it back.
type TurnQuestion struct {
	Request quarantine.Fingerprint `json:"request"`
	// Run tells the run from those of all nodes' lives.
	Run string `json:"run"`
	// Release gives the turn back; Well is true where an engine has answered the run.
	Release bool `json:"release,omitempty"`
	Well    bool `json:"well,omitempty"`
}

// Turn is the holder's answer.
type Turn struct {
	// AfterMs is when to ask again; 0 where the turn is taken.
	AfterMs int64 `json:"afterMs,omitempty"`
}

// handleTurn answers nodes that ask for turns.
func handleTurn(h Holder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q TurnQuestion
		if err := json.NewDecoder(io.LimitReader(r.Body, maxQuestion)).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := h.Turn(&q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		writeJSON(w, r, answer)
	}
}

// Turn asks the holder at an address for a turn, or gives it back.
func (c *Client) Turn(ctx context.Context, address string, q *TurnQuestion) (*Turn, error) {
	var a Turn
	if err := c.post(ctx, turnTime, address+pathTurn, q, &a); err != nil {
		return nil, err
	}
	return &a, nil
}
