package caller

import (
	"context"
	"net/http"
	"time"

	"olivetiller/core/customer"
	"olivetiller/core/directory"
	"olivetiller/core/origin"
	"olivetiller/core/quarantine"
	"olivetiller/core/queue"
	"olivetiller/core/view"
	"olivetiller/internal/traffic"
	pb "olivetiller/proto/olivetiller/v1"
)

// Headers of the callers' default protocol.
const (
	// HeaderTimeout is how many milliseconds the caller allows until a streamed answer begins or any other answer is
	// complete.
	HeaderTimeout = "Olivetiller-Timeout-Ms"
	// HeaderOnce is "true" on a request that must run at most once.
	HeaderOnce = "Olivetiller-Once"
	// HeaderRequestKey is the idempotency key of a request that must run at most once, a UUID version 7.
	HeaderRequestKey = "Olivetiller-Request-Key"
	// HeaderPriority is passed to the engine unchanged.
	HeaderPriority = "Olivetiller-Priority"
	// HeaderRequestID is the request's id in logs and refusals; the server sets it on every answer.
	HeaderRequestID = "Olivetiller-Request-Id"
	// HeaderNotRun is on refusals: "true" if the request certainly did not run, or "false".
	HeaderNotRun = "Olivetiller-Not-Run"
)

// Exchange is one request and the state of its processing, as the filters fill it in.
type Exchange struct {
	W http.ResponseWriter
	R *http.Request
	// ID names the request in logs.
	ID string
	// Start is when the request arrived.
	Start time.Time
	// View is the view at arrival, which all decisions on the request use.
	View *view.View
	// Caller is set by identify.
	Caller *pb.Caller
	// Customer is set by Protocol.Accept if the request has a valid key.
	Customer *customer.Customer
	// Keyed is true if the configuration has customers. Their keys are not forwarded to endpoints then.
	Keyed bool
	// KeyCheck checks the customer's key again and returns why it is no longer valid; nil if there is no key.
	KeyCheck func() error
	// Allowed is the time that the caller allows for the answer; 0 if it did not say.
	Allowed time.Duration
	// Deadline is when the caller must have its answer or refusal.
	Deadline time.Time
	// BodyLimit limits the body in bytes, in place of Limits.BodyBytes; 0 if the protocol states no limit.
	BodyLimit int64
	// Body is set by readBody, and nil before. incomplete is true if it did not arrive as a whole.
	Body       []byte
	incomplete bool
	// Digest identifies what is requested, and Fingerprint that together with the caller. dispatch sets both.
	Digest      quarantine.Digest
	Fingerprint quarantine.Fingerprint
	// subjects are what the request may be suspected of crashing engines by: Fingerprint, then the parts of its prompt.
	subjects []quarantine.Fingerprint
	// Target is set by the resolve filters or Protocol.Accept.
	Target Target
	// Resumes is set by Protocol.Accept if the caller takes up a stream that an earlier request of it began.
	Resumes Resumption
	// Retarget changes the target to another service of the request's route, and reports false if the route does not lead
	// there. Protocol.Accept sets it for streams that callers may take up.
	Retarget func(service string) bool
	// origin is where the stream began: at the first event of this answer, or of the one that is taken up; nil before.
	origin *origin.Origin
	// held counts what is held of answers.
	held holding
	// Began is true once part of an answer was written to the caller.
	Began bool
	// Progress is what has happened to the request so far, for logs.
	Progress Progress
	// trial is true if this is the trial run of a quarantined request.
	trial bool
	// ran counts the attempts that have ended and may have run. During an attempt it is guarded by stall.mu.
	ran int
	// canceled counts the standbys that were canceled before they had sent anything. It is guarded like ran.
	canceled int
	// standby is the next attempt, which has been sent already; nil for none. It is set when the attempt beside which it ran
	// has ended.
	standby *standby
	// standbyFailure is the failure with which a discarded standby answered; nil for none. It is guarded like ran.
	standbyFailure *answer
	// attemptErr is the error of the latest attempt that failed, and tried names the endpoints of all that did. slotErr is why
	// no further attempt was made; nil if the error of the latest one was the reason.
	attemptErr, slotErr error
	tried               []string
}

// Resumption is a caller's statement that it takes up a stream that broke off.
type Resumption struct {
	// Of is the id of the request that brought the first event of the stream; "" if the caller did not say.
	Of string
	// Position is the id of the last event that the caller has; "" if the caller did not say.
	Position string
}

// Stated reports whether the caller takes a stream up.
func (r Resumption) Stated() bool { return r != Resumption{} }

// parts returns the subjects that are parts of the prompt.
func (x *Exchange) parts() []quarantine.Fingerprint { return x.subjects[min(1, len(x.subjects)):] }

// checkKey returns why the customer's key is no longer valid, or nil.
func (x *Exchange) checkKey() error {
	if x.KeyCheck == nil {
		return nil
	}
	return x.KeyCheck()
}

// Progress is what has happened to a request so far.
type Progress struct {
	// Sent counts the attempts. Endpoint is the name of the latest attempt's endpoint.
	Sent     int
	Endpoint string
	// Build is the version of that endpoint's software.
	Build directory.Build
	// Choice is what the latest attempt's endpoint was chosen by.
	Choice traffic.Choice
	// Gateway is the address of the node by way of which the latest attempt went; "" if it went directly.
	Gateway string
	// Waited is the total time spent waiting for slots.
	Waited time.Duration
	// Ahead are the requests that went first when this one was queued last, if it is ranked.
	Ahead queue.Ahead
	// Cold is true if an attempt found no endpoint ready on its arrival.
	Cold bool
	// Expected is how long the wait for the model was first predicted to be; 0 without a prediction.
	Expected time.Duration
	// Events counts the stream events forwarded to the caller.
	Events int
	// Status is the HTTP status that the endpoint answered; 0 for none.
	Status int
	// FirstEvent is the time from arrival to the first event of a stream, and LongestPause the longest time between
	// two events.
	FirstEvent, LongestPause time.Duration
}

// Target is what a request is addressed to, and the rules for serving it.
type Target struct {
	// Pool is the dispatcher's pool name of the unit or service.
	Pool string
	// Host is the host name of the request if the protocol routes by host; "" otherwise.
	Host string
	// Path is the path and query to send to the endpoint.
	Path string
	// Model is true for a request to an engine.
	Model bool
	// Stream is true when the answer is to be streamed token by token.
	Stream bool
	// Service is the service that serves the request.
	Service string
	// Split is true if the route leads to several services.
	Split bool
	// Resumable is true for a stream that may go on at another endpoint, within the answer or when its caller takes it up.
	Resumable bool
	// OnceOnly is true for requests that must run at most once.
	OnceOnly bool
	// Keyed is true if a request that runs at most once has an idempotency key, under which a repeat gets the same
	// answer.
	Keyed bool
	// RetryFailures allows another attempt at another endpoint after an answer with a server error.
	RetryFailures bool
	// Attempts limits the attempts that may have run; 0 selects maxAttempts.
	Attempts int
	// Objective is the latency objective from arrival; 0 for none.
	Objective time.Duration
	// Pause is the objective for the time between two events of a stream; 0 for none.
	Pause time.Duration
	// FirstEventTimeout is how long the caller of a stream waits for the first event; 0 if it waits until its deadline.
	FirstEventTimeout time.Duration
	// Budget names the retry budget; "" selects that of the pool.
	Budget string
	// Affinity is equal for requests whose prompts share a prefix; 0 for none.
	Affinity uint64
	// PromptParts are the ids of the parts of the prompt that other requests may hold too.
	PromptParts []string
	// Route names the route that matched, and Version the version of the configuration, for logs.
	Route   string
	Version int64
	// Priority is the priority of the request; 0 is the most urgent. Ranked is true if requests for the service have several
	// priorities; they then decide who waits for whom.
	Priority int
	Ranked   bool
	// TokensIn is the length of the prompt and TokensOut the maximum length of the answer, in tokens. Both are 0, and
	// Counted is false, if the caller did not say.
	TokensIn, TokensOut int
	Counted             bool
	// Cost is the request's share of an endpoint, for fair queueing; at least 1.
	Cost float64
}

// attempts returns the limit of attempts that may have run.
func (t *Target) attempts() int {
	if t.Attempts > 0 {
		return t.Attempts
	}
	return maxAttempts
}

// identity returns what the request is addressed to, in a form that does not depend on the configuration.
func (t *Target) identity() string {
	if t.Host != "" {
		return t.Host
	}
	return t.Pool
}

// Handler processes an exchange. An error means that it was not answered; it is a *refusal.Error or becomes Internal.
type Handler func(ctx context.Context, x *Exchange) error

// Filter wraps a handler with one step of the processing.
type Filter func(next Handler) Handler

// Chain wraps h in filters; the first filter sees the request first.
func Chain(h Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}
