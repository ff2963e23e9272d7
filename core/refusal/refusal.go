// Package refusal defines the errors with which callers are refused.
//
// A refused caller must know whether its request ran, what to do about the refusal and when to repeat the request.
// Each [Kind] has one HTTP status, one statement on whether the request ran, and one remedy; an [Error] adds the
// details of the individual request. If [Error.NotRun] returns true, that is a promise: no endpoint started the
// request, and the caller may safely repeat it.
//
// All packages that process requests return these errors; package caller and the platform's protocol write them to
// the caller.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is the type of a refusal. Its value is the name on the wire and in logs and metrics.
type Kind string

// The kinds of refusals. See Error.Remedy for what a caller can do about each.
const (
	// BadRequest means that the body or the path of the request is malformed.
	BadRequest Kind = "badRequest"
	// BodyTooLarge means that the body exceeds the size limit.
	BodyTooLarge Kind = "bodyTooLarge"
	// HeaderInvalid means that a header of the request is malformed.
	HeaderInvalid Kind = "headerInvalid"
	// Unauthorized means that the request has no valid token or key.
	Unauthorized Kind = "unauthorized"
	// KeysUnknown means that this node's configuration may be too old to tell whether the customer's key is valid.
	KeysUnknown Kind = "keysUnknown"
	// LimitUnknown means that this node does not know how much of the customer's rate limit is left.
	LimitUnknown Kind = "limitUnknown"
	// UnknownModel means that no model has the requested name.
	UnknownModel Kind = "unknownModel"
	// UnknownService means that no service has the requested name.
	UnknownService Kind = "unknownService"
	// ModelBanned means that operators have banned the model.
	ModelBanned Kind = "modelBanned"
	// DeadlinePast means that the timeout that the caller sent is not positive.
	DeadlinePast Kind = "deadlinePast"
	// CannotMakeDeadline means that no endpoint can serve the request before its deadline or before its caller gives
	// up.
	CannotMakeDeadline Kind = "cannotMakeDeadline"
	// QueueFull means that this node holds too many waiting requests or too many bytes of bodies.
	QueueFull Kind = "queueFull"
	// RateExceeded means that the caller or customer has exceeded its rate limit.
	RateExceeded Kind = "rateExceeded"
	// TooManyRequests means that the caller has too many concurrent requests at this node.
	TooManyRequests Kind = "tooManyRequests"
	// WaitedTooLong means that no endpoint had a free slot before the request's wait ended.
	WaitedTooLong Kind = "waitedTooLong"
	// NoEndpoint means that no endpoint may serve the request or started it, or the retry budget is used up.
	NoEndpoint Kind = "noEndpoint"
	// Stopping means that this node is shutting down.
	Stopping Kind = "stopping"
	// NotReady means that this node has not read the current state, or its state has diverged from other nodes'.
	NotReady Kind = "notReady"
	// LogUnavailable means that the decision log did not accept the claim of the request key in time.
	LogUnavailable Kind = "logUnavailable"
	// KeyMissing means that a request that must run at most once has no request key.
	KeyMissing Kind = "keyMissing"
	// KeyInvalid means that the request key is not a UUID version 7.
	KeyInvalid Kind = "keyInvalid"
	// KeyExpired means that the request key is older than the period for which keys are stored.
	KeyExpired Kind = "keyExpired"
	// KeyReused means that the request key was used for a different request before.
	KeyReused Kind = "keyReused"
	// AlreadyRan means that the request ran before, and its answer is no longer stored.
	AlreadyRan Kind = "alreadyRan"
	// OutcomeUnknown means that a request that must run at most once may have run.
	OutcomeUnknown Kind = "outcomeUnknown"
	// StillRunning means that a request with the same key is running.
	StillRunning Kind = "stillRunning"
	// EndpointFailed means that the endpoints that were tried failed, and the request may have run.
	EndpointFailed Kind = "endpointFailed"
	// StreamUnknown means that nobody knows at which software version the stream began that the caller takes up.
	StreamUnknown Kind = "streamUnknown"
	// BuildGone means that no endpoint of the software version at which the stream began takes requests, so that it cannot
	// go on.
	BuildGone Kind = "buildGone"
	// Quarantined means that the request is withheld from engines because it is suspected of crashing them.
	Quarantined Kind = "quarantined"
	// TimedOut means that the deadline passed during an attempt.
	TimedOut Kind = "timedOut"
	// Internal marks an error that is not a refusal.
	Internal Kind = "internal"
)

// kindInfo holds the properties common to all refusals of a kind.
type kindInfo struct {
	status int
	// notRun is true if the request certainly did not run. It is false if the request ran or may have run.
	notRun bool
	remedy string
	// retry is the default retry hint; 0 means that repeating does not help.
	retry time.Duration
}

// kinds holds the properties of every kind.
var kinds = map[Kind]kindInfo{
	BadRequest:         {http.StatusBadRequest, true, "correct the request body or path", 0},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, true, "send a shorter body", 0},
	HeaderInvalid:      {http.StatusBadRequest, true, "correct the header", 0},
	Unauthorized:       {http.StatusUnauthorized, true, "send a valid bearer token in Authorization", 0},
	KeysUnknown:        {http.StatusServiceUnavailable, true, "send the request again; another node will know which keys are good", time.Second},
	LimitUnknown:       {http.StatusServiceUnavailable, true, "send the request again; another node will know what is left of the limit", 500 * time.Millisecond},
	UnknownModel:       {http.StatusNotFound, true, "list the models at /v1/models", 0},
	UnknownService:     {http.StatusNotFound, true, "ask the operators for the services' names", 0},
	ModelBanned:        {http.StatusForbidden, true, "ask the operators to lift the ban", 0},
	DeadlinePast:       {http.StatusBadRequest, true, "send a positive Olivetiller-Timeout-Ms", 0},
	CannotMakeDeadline: {http.StatusServiceUnavailable, true, "allow more time, or come back after the hint when the model may be loaded", time.Second},
	QueueFull:          {http.StatusServiceUnavailable, true, "come back after the hint", time.Second},
	RateExceeded:       {http.StatusTooManyRequests, true, "send fewer requests a second", time.Second},
	TooManyRequests:    {http.StatusTooManyRequests, true, "wait for requests to end before sending more", time.Second},
	WaitedTooLong:      {http.StatusServiceUnavailable, true, "allow more time, or come back after the hint", 2 * time.Second},
	NoEndpoint:         {http.StatusServiceUnavailable, true, "come back after the hint; operators see why in status", 2 * time.Second},
	Stopping:           {http.StatusServiceUnavailable, true, "send the request again; another node will take it", 100 * time.Millisecond},
	NotReady:           {http.StatusServiceUnavailable, true, "send the request again; another node will take it", time.Second},
	LogUnavailable:     {http.StatusServiceUnavailable, true, "come back after the hint; the decision log cannot be written now", 2 * time.Second},
	KeyMissing:         {http.StatusBadRequest, true, "send a new UUID version 7 in Olivetiller-Request-Key with a request that may not be repeated", 0},
	KeyInvalid:         {http.StatusBadRequest, true, "use a UUID version 7 made when the request is first sent", 0},
	KeyExpired:         {http.StatusConflict, true, "make a new request with a new key; this one is older than the window", 0},
	KeyReused:          {http.StatusConflict, true, "use a new key for each different request", 0},
	AlreadyRan:         {http.StatusConflict, false, "do not repeat it: the request ran, and its answer is no longer held", 0},
	OutcomeUnknown:     {http.StatusConflict, false, "check at the service whether the request ran before making a new one", 0},
	StillRunning:       {http.StatusConflict, false, "ask again with the same key after the hint", time.Second},
	EndpointFailed:     {http.StatusBadGateway, false, "repeat the request if it may run twice", time.Second},
	StreamUnknown:      {http.StatusServiceUnavailable, true, "begin a new stream, without the events that you have; if there is a hint, this one may go on after it", 0},
	BuildGone:          {http.StatusServiceUnavailable, true, "begin a new stream, without the events that you have", 0},
	Quarantined:        {http.StatusServiceUnavailable, true, "do not send it again as it is: engines end under it; operators can release it", 10 * time.Minute},
	TimedOut:           {http.StatusGatewayTimeout, false, "allow more time; repeat the request if it may run twice", 0},
	Internal:           {http.StatusInternalServerError, false, "report the request id to the operators", 0},
}

// Error is the refusal of one request.
type Error struct {
	Kind Kind
	// Detail says what happened to this request. It is sent to the caller and must not contain secrets.
	Detail string
	// RetryAfter replaces the retry hint of the kind if it is positive.
	RetryAfter time.Duration
}

// New returns a refusal of the given kind, with a detail formatted as by fmt.Sprintf.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the retry hint to d and returns e. If d is not positive, the hint of the kind applies.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error. The text has the kind, the detail and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Detail, e.Remedy())
}

// Status returns the HTTP status of the kind.
func (e *Error) Status() int { return kinds[e.Kind].status }

// NotRun reports whether the request certainly did not run. If it returns false, the request may have run.
func (e *Error) NotRun() bool { return kinds[e.Kind].notRun }

// Remedy returns what the caller can do, as a sentence fragment.
func (e *Error) Remedy() string { return kinds[e.Kind].remedy }

// RetryHint returns after which time the caller may repeat the request; 0 means that repeating does not help.
func (e *Error) RetryHint() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return kinds[e.Kind].retry
}

// As returns the *Error in err's chain, or a refusal of kind Internal if there is none.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

// Kinds returns all kinds, in no particular order.
func Kinds() []Kind {
	out := make([]Kind, 0, len(kinds))
	for k := range kinds {
		out = append(out, k)
	}
	return out
}
