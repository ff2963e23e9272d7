package caller

import (
	"net/http"
	"strconv"
	"time"

	"olivetiller/core/refusal"
	"olivetiller/core/view"
	"olivetiller/io/endpoint"
)

// Protocol is a wire protocol between callers, this node and endpoints. Filters, queueing and retries are the same
// for all protocols.
type Protocol interface {
	// Patience returns how long the caller of a request waits for its answer; 0 if the request does not say.
	Patience(r *http.Request) time.Duration
	// Accept reads the request's head and sets the exchange's id, deadline and target. The default protocol uses
	// filters instead.
	Accept(x *Exchange) error
	// Refuse writes a refusal. If an answer has begun, it ends the answer in a way that the caller recognizes as
	// incomplete.
	Refuse(x *Exchange, e *refusal.Error)
	// Request builds the request to an endpoint. left is the time until the deadline. position is where an
	// interrupted stream resumes; "" to start from the beginning.
	Request(x *Exchange, ep view.Endpoint, left time.Duration, position string) *endpoint.Request
	// Head copies those headers of an endpoint's answer that the caller may see.
	Head(dst, src http.Header)
	// Events returns the reader for the events of an exchange's stream.
	Events(x *Exchange) EventReader
}

// EventReader tracks the events of one stream over all attempts.
type EventReader interface {
	// Note records one complete event and reports whether it is the last of the stream.
	Note(event []byte) (last bool)
	// Position returns the position at which to resume the stream after the recorded events; "" for the beginning.
	Position() string
	// EndsWithBody reports whether the stream is complete when its body ends, without a final event.
	EndsWithBody() bool
}

// defaultProtocol is the protocol of this product, with problem+json refusals and token events.
type defaultProtocol struct{}

// Patience implements Protocol.
func (defaultProtocol) Patience(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// Accept implements Protocol. It does nothing, since the filters identify, deadline and resolve do this.
func (defaultProtocol) Accept(*Exchange) error { return nil }

// Refuse implements Protocol.
func (defaultProtocol) Refuse(x *Exchange, e *refusal.Error) {
	if x.Began {
		writeErrorEvent(x, e)
		return
	}
	writeProblem(x.W, e, x.ID)
}

// Request implements Protocol.
func (defaultProtocol) Request(x *Exchange, ep view.Endpoint, _ time.Duration, position string) *endpoint.Request {
	r := &endpoint.Request{
		Address: ep.Address, Method: x.R.Method, Path: x.Target.Path,
		Header: forwarded(x), Body: x.Body, OnceOnly: x.Target.OnceOnly,
	}
	r.Header.Set(endpoint.HeaderRequestID, x.ID)
	if x.Target.OnceOnly {
		r.Header.Set(endpoint.HeaderRequestKey, x.R.Header.Get(HeaderRequestKey))
	}
	if x.Target.Model {
		r.Header.Set(endpoint.HeaderVersion, ep.Version)
		if position != "" {
			r.Header.Set(endpoint.HeaderResumeFrom, position)
		}
	}
	if p := x.R.Header.Get(HeaderPriority); p != "" {
		r.Header.Set(endpoint.HeaderPriority, p)
	}
	return r
}

// Head implements Protocol.
func (defaultProtocol) Head(dst, src http.Header) {
	if t := src.Get("Content-Type"); t != "" {
		dst.Set("Content-Type", t)
	}
}

// Events implements Protocol.
func (defaultProtocol) Events(*Exchange) EventReader { return new(tokenEvents) }

// forwardedHeaders are the request headers that are forwarded to an endpoint. All others are dropped, above all those
// of the engines' own protocol.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Traceparent"}

// forwarded returns the headers of the request to forward.
func forwarded(x *Exchange) http.Header {
	h := make(http.Header, len(forwardedHeaders)+4)
	for _, name := range forwardedHeaders {
		if v := x.R.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	return h
}

// tokenEvents counts the token events of a stream up to its final marker.
type tokenEvents struct{ tokens int }

// Note implements EventReader.
func (t *tokenEvents) Note(event []byte) bool {
	switch {
	case string(event) == doneMarker:
		return true
	case len(event) > len(dataPrefix) && string(event[:len(dataPrefix)]) == dataPrefix:
		t.tokens++
	}
	return false
}

// Position implements EventReader.
func (t *tokenEvents) Position() string {
	if t.tokens == 0 {
		return ""
	}
	return strconv.Itoa(t.tokens)
}

// EndsWithBody implements EventReader. It returns false, since the final marker ends the stream.
func (t *tokenEvents) EndsWithBody() bool { return false }
