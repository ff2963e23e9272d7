package peer

import (
	"context"
	"net/http"
	"time"

	"olivetiller/core/quarantine"
)

const (
	pathRunLock = "/peer/turn"
	// runLockTimeout bounds a request for a run lock, because an isolated request waits for its answer.
	runLockTimeout = 250 * time.Millisecond
)

// RunLockRequest acquires or releases the run lock of an isolated request, of which one copy runs at a time.
type RunLockRequest struct {
	Request quarantine.Fingerprint `json:"request"`
	// Run identifies the run among all runs of all nodes and of their incarnations.
	Run string `json:"run"`
	// Release releases the lock. Answered is true if an engine has answered the run.
	Release  bool `json:"release,omitempty"`
	Answered bool `json:"well,omitempty"`
}

// RunLock is the lease holder's answer to a RunLockRequest.
type RunLock struct {
	// AfterMs is the time after which to ask again, in milliseconds; 0 if the lock was acquired.
	AfterMs int64 `json:"afterMs,omitempty"`
}

// handleRunLock serves run lock requests of nodes.
func handleRunLock(h Holder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, ok := readJSON[RunLockRequest](w, r, maxRequestBytes)
		if !ok {
			return
		}
		answer, err := h.HandleRunLock(&q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		writeJSON(w, r, answer)
	}
}

// RequestRunLock acquires or releases a run lock at the lease holder at an address.
func (c *Client) RequestRunLock(ctx context.Context, address string, q *RunLockRequest) (*RunLock, error) {
	var a RunLock
	if err := c.post(ctx, runLockTimeout, address+pathRunLock, q, &a); err != nil {
		return nil, err
	}
	return &a, nil
}
