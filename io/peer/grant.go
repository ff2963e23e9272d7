package peer

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"
)

const (
	pathGrant = "/peer/credit"
	// grantTimeout bounds one grant request, because an admitted request waits for its answer. A busy lease holder
	// of 71 nodes answers within 5 ms; a stalled one does not answer at all.
	grantTimeout = 250 * time.Millisecond
	// maxRequestBytes bounds the body of a grant or run lock request.
	maxRequestBytes = 4 << 10
)

// Validation errors of a grant request.
var (
	// ErrBadAmount is returned for a request whose need or prefetch amount is negative, infinite or not a number.
	ErrBadAmount = errors.New("the requested amounts must be finite numbers of at least 0; request what the admitted request costs")
	// ErrBadLimit is returned for an endpoint without a positive finite limit, or for an endpoint and a customer at once.
	ErrBadLimit = errors.New("a grant request for an endpoint needs the endpoint's published limit, above 0, and no customer")
	// ErrBadRetry is returned for a retry of more than one request, or for a retry and an endpoint or customer at once.
	ErrBadRetry = errors.New("a grant request for a retry needs an amount of at most 1, and no endpoint or customer")
)

// GrantRequest is a node's request to the lease holder for a grant from the limit of a customer or of an endpoint, or
// from the retries that all nodes may make for a service.
type GrantRequest struct {
	Node string `json:"node"`
	// Partitioned is true if the node has been spending its local share of the limit until now.
	Partitioned bool `json:"alone,omitempty"`
	// Customer is the customer's name. If it, Endpoint and Retry are empty, the request only probes whether the holder
	// answers.
	Customer string `json:"customer,omitempty"`
	// Endpoint names an endpoint that limits its request rate, Born is the start of its incarnation, and Limit is the
	// rate that it published, in requests per second.
	Endpoint string  `json:"endpoint,omitempty"`
	Born     int64   `json:"born,omitempty"`
	Limit    float64 `json:"limit,omitempty"`
	// Cold is true if Limit is the rate that the endpoint accepts while it is cold.
	Cold bool `json:"cold,omitempty"`
	// Retry names the service for which a request is to be sent again. Urgent is true if its caller cannot send it again.
	Retry  string `json:"retry,omitempty"`
	Urgent bool   `json:"urgent,omitempty"`
	// Need is the cost of one request, and Prefetch the additional amount to prefetch, in the units of the limit.
	Need     float64 `json:"need,omitempty"`
	Prefetch float64 `json:"ahead,omitempty"`
}

// Check returns ErrBadAmount, ErrBadLimit or ErrBadRetry if the request is invalid.
func (q *GrantRequest) Check() error {
	for _, x := range []float64{q.Need, q.Prefetch} {
		if !(x >= 0) || math.IsInf(x, 0) {
			return ErrBadAmount
		}
	}
	if q.Endpoint != "" && (!(q.Limit > 0) || math.IsInf(q.Limit, 0) || q.Customer != "") {
		return ErrBadLimit
	}
	if q.Retry != "" && (q.Need > 1 || q.Endpoint != "" || q.Customer != "") {
		return ErrBadRetry
	}
	return nil
}

// Grant is the lease holder's answer to a GrantRequest.
type Grant struct {
	// Nodes is the number of nodes among which limits are divided.
	Nodes int `json:"members"`
	// Unknown is true if the holder's configuration has no such customer.
	Unknown bool    `json:"unknown,omitempty"`
	Granted float64 `json:"granted,omitempty"`
	// AfterMs is the time, in milliseconds, until the limit has capacity again, if nothing is granted.
	AfterMs int64 `json:"afterMs,omitempty"`
}

// handleGrant serves grant requests of nodes.
func handleGrant(h Holder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, ok := readJSON[GrantRequest](w, r, maxRequestBytes)
		if !ok {
			return
		}
		if err := q.Check(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := h.HandleGrant(&q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		writeJSON(w, r, answer)
	}
}

// RequestGrant sends a grant request to the lease holder at an address.
func (c *Client) RequestGrant(ctx context.Context, address string, q *GrantRequest) (*Grant, error) {
	var a Grant
	if err := c.post(ctx, grantTimeout, address+pathGrant, q, &a); err != nil {
		return nil, err
	}
	return &a, nil
}
