package peer

import (
	"context"
	"net/http"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/origin"
)

const (
	pathOrigins = "/peer/origins"
	pathOrigin  = "/peer/origin"
	// findTimeout bounds the question for a stream's record, because its caller waits for the answer.
	findTimeout = 250 * time.Millisecond
	// MaxOrigins is how many records are sent in one call.
	MaxOrigins = 500
)

// Origin is the record of where a stream began. Its expiry is sent as a duration because the clocks of nodes differ.
type Origin struct {
	Key       origin.Key      `json:"key"`
	Service   string          `json:"service"`
	Build     directory.Build `json:"build,omitzero"`
	Owner     origin.Owner    `json:"owner,omitempty"`
	ExpiresMs int64           `json:"expiresMs"`
	Ambiguous bool            `json:"ambiguous,omitempty"`
}

// EncodeOrigin encodes a record.
func EncodeOrigin(r origin.Record, now time.Time) Origin {
	return Origin{Key: r.Key, Service: r.Service, Build: r.Build, Owner: r.Owner, ExpiresMs: r.Expires.Sub(now).Milliseconds(), Ambiguous: r.Ambiguous}
}

// Decode decodes the record.
func (o *Origin) Decode(now time.Time) origin.Record {
	return origin.Record{
		Key: o.Key, Origin: origin.Origin{Service: o.Service, Build: o.Build}, Owner: o.Owner,
		Expires: now.Add(time.Duration(o.ExpiresMs) * time.Millisecond), Ambiguous: o.Ambiguous,
	}
}

// OriginQuestion asks for the record of a stream.
type OriginQuestion struct {
	Key origin.Key `json:"key"`
}

// OriginAnswer is the answer to an OriginQuestion; Record is nil if the node has none.
type OriginAnswer struct {
	Record *Origin `json:"record,omitempty"`
}

// OriginKeeper is the server side of the calls about where streams began, which every node implements.
type OriginKeeper interface {
	// KeepOrigins keeps copies of records of other nodes.
	KeepOrigins(records []Origin)
	// OriginOf returns the record of a stream, nil if the node has none.
	OriginOf(k origin.Key) *Origin
}

// handleOrigins serves the copies of records that nodes send.
func handleOrigins(k OriginKeeper) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		records, ok := readJSON[[]Origin](w, r, maxMessageBytes)
		if !ok {
			return
		}
		k.KeepOrigins(records)
		w.WriteHeader(http.StatusNoContent)
	}
}

// handleOrigin serves questions for the record of a stream.
func handleOrigin(k OriginKeeper) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, ok := readJSON[OriginQuestion](w, r, maxRequestBytes)
		if !ok {
			return
		}
		writeJSON(w, r, &OriginAnswer{Record: k.OriginOf(q.Key)})
	}
}

// KeepOrigins sends at most MaxOrigins records to the node at an address.
func (c *Client) KeepOrigins(ctx context.Context, address string, records []Origin) error {
	return c.post(ctx, callTimeout, address+pathOrigins, records, nil)
}

// FindOrigin asks the node at an address for the record of a stream; nil if it has none.
func (c *Client) FindOrigin(ctx context.Context, address string, k origin.Key) (*Origin, error) {
	var a OriginAnswer
	if err := c.post(ctx, findTimeout, address+pathOrigin, &OriginQuestion{k}, &a); err != nil {
		return nil, err
	}
	return a.Record, nil
}
