package traffic

import (
	"time"

	"olivetiller/core/origin"
	"olivetiller/core/quarantine"
	"olivetiller/core/queue"
	"olivetiller/core/view"
)

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	// Caller is the account or customer among which the pool's queue shares capacity fairly.
	Caller string
	// Ranked is true if requests of several ranks compete. Rank is then the rank, 0 for the most urgent, and 0 otherwise.
	Ranked bool
	Rank   int
	// Ahead receives the queued requests that go before this one when it is queued; nil if nobody asks.
	Ahead *queue.Ahead
	// Deadline is when the caller must have its answer or refusal.
	Deadline time.Time
	// Bytes is the memory the request holds while it waits.
	Bytes int64
	// Cost is the share of capacity that the request takes, for fair queueing; at least 1.
	Cost float64
	// Origin is where the stream that the request goes on with began: only endpoints of that build may serve it. It is nil
	// for other requests.
	Origin *origin.Origin
	// Resumable is true for a stream that may go on later. It does not begin at a build that is not in the ledger of
	// package origin yet. Service is the service of the pool, by which builds are looked up.
	Resumable bool
	Service   string
	// Avoid names the endpoints at which earlier attempts failed. They are picked last.
	Avoid []string
	// RequestFingerprint identifies the request, and State is its quarantine state. Requests that may crash engines are
	// spread over different endpoints.
	RequestFingerprint quarantine.Fingerprint
	State              quarantine.State
	// Retry marks a further attempt that the retry budget must allow.
	Retry bool
	// Began is true if the caller has received a part of the answer. A retry then waits for the retry budget: refused, the
	// caller would be left with a truncated answer.
	Began bool
	// Resend marks an attempt after one of which nothing was sent. It is admitted without a deadline check and not
	// counted as an arrival or retry again.
	Resend bool
	// SkipLimited leaves out endpoints with a rate limit.
	SkipLimited bool
	// Budget names the retry budget; "" selects that of the pool.
	Budget string
	// Objective is the latency objective, counted from now; 0 for none. Queued requests of one caller are served in
	// the order of objective or deadline, whichever is earlier.
	Objective time.Duration
	// AbandonAt is when the caller gives up if no part of the answer has come; zero if it waits until Deadline.
	AbandonAt time.Time
	// Affinity is equal for requests whose prompts share a prefix; 0 for none.
	Affinity uint64
	// Prompt is the length of the prompt in tokens; 0 if there is none.
	Prompt int
}

// mayCrashEngine reports whether the request is suspected of crashing the engines that run it.
func (req *SlotRequest) mayCrashEngine() bool {
	return req.State == quarantine.Suspected || req.State == quarantine.Isolated || req.State == quarantine.OnTrial
}

// queueDeadline returns the deadline by which the queue orders the request that arrived at now: the end of its
// latency objective if that is before its deadline, or else the deadline.
func (req *SlotRequest) queueDeadline(now time.Time) time.Time {
	if at := now.Add(req.Objective); req.Objective > 0 && at.Before(req.Deadline) {
		return at
	}
	return req.Deadline
}

// item returns the queue's item for the request, which arrived at start.
func (req *SlotRequest) item(start time.Time) *queue.Item {
	return &queue.Item{
		Caller:    req.Caller,
		Rank:      req.Rank,
		LateLast:  req.Ranked,
		Arrived:   start,
		Deadline:  req.queueDeadline(start),
		GivesUpAt: req.waitDeadline(),
		// Refused, the caller would be left with a truncated answer.
		Keep:  req.Began,
		Cost:  req.Cost,
		Bytes: req.Bytes,
	}
}

// waitDeadline returns when the request stops waiting. The caller should be refused by the time it gives up, as a
// longer wait would only delay its next attempt.
func (req *SlotRequest) waitDeadline() time.Time {
	if !req.AbandonAt.IsZero() && req.AbandonAt.Before(req.Deadline) {
		return req.AbandonAt
	}
	return req.Deadline
}

// Slot is permission to run one request at an endpoint. It must be released.
type Slot struct {
	Endpoint view.Endpoint
	// Waited is how long the request waited for the slot.
	Waited time.Duration
	// Cold is true if the pool had no endpoint when the request arrived.
	Cold bool
	// Expected is when the model was first predicted to be ready, for a request that waited for it; zero if there was
	// no prediction.
	Expected time.Time
	// OtherEndpoints is the number of other endpoints that the pool had when the slot was granted.
	OtherEndpoints int

	// Choice is what the endpoint was chosen by.
	Choice Choice

	dispatcher    *Dispatcher
	pool          *pool
	endpointState *endpointState
	grantedAt     time.Time
	// prompt is the length of the prompt in tokens, or 0 once the endpoint has read it.
	prompt int
	// mayCrashEngine is SlotRequest.mayCrashEngine.
	mayCrashEngine bool
	// limit is the endpoint's rate limit, in requests a second, to which the request is charged; 0 for none.
	limit float64
}

// Choice holds the inputs of the choice of an endpoint beside this node's own requests there.
type Choice struct {
	// Home is the endpoint to which requests of this kind go, see [choose.Lanes]; "" if the request was sent by load alone.
	Home string
	// Pace and Load are those of the chosen endpoint: how long it takes for the same work, 1 for the median of its service, and
	// its recent requests of all nodes.
	Pace float64
	Load int
}

// Result is the outcome of a request at its endpoint.
type Result struct {
	// Err is nil when the endpoint answered.
	Err error
	// Full is true when the endpoint refused the request because it has no capacity.
	Full bool
	// NotStarted is true when the endpoint did not start the request, but is healthy.
	NotStarted bool
	// Ended is true when the endpoint's process has crashed.
	Ended bool
	// Silent is true when the endpoint could not be reached or sent nothing in time.
	Silent bool
	// Missing is true when the engine does not hold the model of the request.
	Missing bool
	// Running is the load that the endpoint reported, in running requests; negative if it reported none.
	Running int
	// Draining is true when the endpoint reported that it is draining and takes no new requests.
	Draining bool
}

// GrantedAt returns when the slot was granted.
func (s *Slot) GrantedAt() time.Time { return s.grantedAt }

// PromptRead records that the answer has begun, so the endpoint has read the prompt.
func (s *Slot) PromptRead() { s.dispatcher.promptRead(s) }

// Release returns the slot with the outcome of its request and grants it to the next one.
func (s *Slot) Release(r Result) { s.dispatcher.release(s, r) }
