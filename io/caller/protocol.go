package caller

import (
	"net/http"
	"strconv"
	"time"

	"olivetiller/core/refusal"
	"olivetiller/core/view"
	"olivetiller/io/endpoint"
)

// Protocol is the form in which callers and endpoints speak. The filters, the
// queues and the attempts are the same in all of them.
type Protocol interface {
	// Accept reads the head of a request into the exchange: its id, deadline and
	// target. It is called by servers with a foreign protocol only.
	Accept(x *Exchange) error
	// Refuse writes a refusal, or ends an answer that has begun so that it does
	// not look whole.
	Refuse(x *Exchange, e *refusal.Error)
	// Request makes the request to an endpoint. left is the time until the
	// deadline; position is where a broken stream goes on, "" at its beginning.
	Request(x *Exchange, ep view.Endpoint, left time.Duration, position string) *endpoint.Request
	// Head copies what a caller gets to see of an answer's header.
	Head(dst, src http.Header)
	// Events returns a reader for the events of one request's stream.
	Events(x *Exchange) EventReader
}

// EventReader follows one stream, over all its attempts.
type EventReader interface {
	// Note takes one whole event in and reports whether it is the last.
	Note(event []byte) (last bool)
	// Position is where the stream goes on after the events noted; "" at its
	// beginning.
	Position() string
	// EndsWithBody is true where a stream is whole when its body is.
	EndsWithBody() bool
}

// ownProtocol is the product's own interface.
type ownProtocol struct{}

// Accept implements Protocol; the product's own filters do its work.
func (ownProtocol) Accept(*Exchange) error { return nil }

// Refuse implements Protocol.
func (ownProtocol) Refuse(x *Exchange, e *refusal.Error) {
	if x.Began {
		writeErrorEvent(x, e)
		return
	}
	writeProblem(x.W, e, x.ID)
}

// Request implements Protocol.
func (ownProtocol) Request(x *Exchange, ep view.Endpoint, _ time.Duration, position string) *endpoint.Request {
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
func (ownProtocol) Head(dst, src http.Header) {
	if t := src.Get("Content-Type"); t != "" {
		dst.Set("Content-Type", t)
	}
}

// Events implements Protocol.
func (ownProtocol) Events(*Exchange) EventReader { return new(tokenEvents) }

// forwardedHeaders are the callers' headers that reach an endpoint. All others,
// those of the engines' own protocol above all, stay here.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Traceparent"}

func forwarded(x *Exchange) http.Header {
	h := make(http.Header, len(forwardedHeaders)+4)
	for _, name := range forwardedHeaders {
		if v := x.R.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	return h
}

// tokenEvents counts token events up to the final marker.
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

// EndsWithBody implements EventReader: the final marker ends the stream.
func (t *tokenEvents) EndsWithBody() bool { return false }
