package caller

import (
	"context"
	"net/http"
	"time"

	"olivetiller/core/view"
	pb "olivetiller/proto/olivetiller/v1"
)

// Headers of the callers' protocol.
const (
	// HeaderTimeout is how many milliseconds the caller allows for the answer
	// to begin and, of a whole answer, to end.
	HeaderTimeout = "Olivetiller-Timeout-Ms"
	// HeaderOnce says "true" of a request that may not be repeated.
	HeaderOnce = "Olivetiller-Once"
	// HeaderRequestKey names a request that may not be repeated, a UUID version 7.
	HeaderRequestKey = "Olivetiller-Request-Key"
	// HeaderPriority is passed on to the engine.
	HeaderPriority = "Olivetiller-Priority"
	// HeaderRequestID names the request in logs and refusals.
	HeaderRequestID = "Olivetiller-Request-Id"
	// HeaderNotRun is "true" on a refusal of a request that did not run.
	HeaderNotRun = "Olivetiller-Not-Run"
)

// Exchange is one request on its way through the filters.
type Exchange struct {
	W http.ResponseWriter
	R *http.Request
	// ID names the request in logs.
	ID string
	// Start is when the request arrived.
	Start time.Time
	// View is the view that the request is judged by.
	View *view.View
	// Caller is set by identify.
	Caller *pb.Caller
	// Deadline is when the caller must have its answer or refusal.
	Deadline time.Time
	// Body is set by readBody and bounded by the settings.
	Body []byte
	// Target is set by resolve.
	Target Target
	// Began is true once something of an answer was written.
	Began bool
}

// Target is what a request is for.
type Target struct {
	// Pool names the unit or service.
	Pool string
	// Path is the path at the endpoint, with its query.
	Path string
	// Model is true for a request to an engine.
	Model bool
	// Stream is true when the answer is to be streamed token by token.
	Stream bool
	// OnceOnly requests run at most once.
	OnceOnly bool
	// Cost is the share of an endpoint that the request takes; at least 1.
	Cost float64
}

// Handler answers an exchange, or returns why it did not.
type Handler func(ctx context.Context, x *Exchange) error

// Filter wraps a handler.
type Filter func(next Handler) Handler

// Chain joins filters; the first sees the request first.
func Chain(h Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}
