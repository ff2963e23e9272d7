package caller

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"olivetiller/core/refusal"
)

// Problem is the body of a refusal, in the format of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// NotRun is true only when the request certainly did not run.
	NotRun bool   `json:"notRun"`
	Remedy string `json:"remedy"`
	// RetryAfterMs is when to repeat the request; absent if repeating does not help.
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	RequestID    string `json:"requestId"`
}

// problemType is the prefix of the type URIs.
const problemType = "urn:olivetiller:refusal:"

// problemOf returns the problem for a refusal of the request with the given id.
func problemOf(e *refusal.Error, id string) Problem {
	return Problem{
		Type: problemType + string(e.Kind), Title: string(e.Kind), Status: e.Status(), Detail: e.Detail,
		NotRun: e.NotRun(), Remedy: e.Remedy(), RetryAfterMs: e.RetryHint().Milliseconds(), RequestID: id,
	}
}

// refuse writes the refusal that an inner handler returned, and logs and counts the end of the request, also if the caller
// got no complete answer. Once the answer has begun, its status can no longer change, so the refusal ends the stream with
// an error event instead of the final marker.
func (s *Server) refuse(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		err := next(ctx, x)
		took := s.Clock.Now().Sub(x.Start)
		if err == nil && writerOf(x.W).err != nil {
			s.logClose(ctx, x, nil)
			return nil
		}
		if err == nil {
			s.Metrics.Answered.Add(1)
			s.Logger.Info("answered", append(x.logArgs(), "tookMs", took.Milliseconds())...)
			return nil
		}
		e := refusal.As(err)
		s.Metrics.Refused.Add(string(e.Kind), 1)
		if x.Target.Ranked {
			s.Metrics.RefusedByRank.Add(strconv.Itoa(x.Target.Priority), 1)
		}
		s.Logger.Info("refused", append(x.logArgs(), "kind", string(e.Kind), "detail", e.Detail, "notRun", e.NotRun(),
			"retryAfterMs", e.RetryHint().Milliseconds(), "began", x.Began, "allowedMs", x.Allowed.Milliseconds(),
			"patienceMs", x.Target.FirstEventTimeout.Milliseconds(), "tookMs", took.Milliseconds())...)
		if x.Began {
			// Refuse may panic.
			s.logClose(ctx, x, err)
		}
		if x.Body == nil && x.R.ContentLength != 0 {
			// net/http reads the rest of the request before it writes the answer.
			setReadTimeout(x.W, discardTimeout)
		}
		s.protocol().Refuse(x, e)
		if !x.Began && !x.incomplete && s.endingOf(ctx, x, err).callerLeft() {
			s.logClose(ctx, x, err)
		}
		return nil
	}
}

// discardTimeout is how long the rest of a refused request is read, so that its connection can be used again.
const discardTimeout = 250 * time.Millisecond

// logArgs returns the log fields common to the ends of answered and refused requests.
func (x *Exchange) logArgs() []any {
	t := &x.Progress
	args := []any{
		"requestId", x.ID, "fingerprint", x.Fingerprint.String(), "customer", x.customerName(), "route", x.Target.Route, "version", x.Target.Version, "pool", x.Target.Pool, "attempts", t.Sent,
		"endpoint", t.Endpoint, "build", t.Build.String(), "status", t.Status, "cold", t.Cold, "waitedMs", t.Waited.Milliseconds(),
		"expectedMs", t.Expected.Milliseconds(), "firstEventMs", t.FirstEvent.Milliseconds(),
		"longestPauseMs", t.LongestPause.Milliseconds(),
	}
	if c := t.Choice; c.Home != "" {
		args = append(args, "home", c.Home, "pace", c.Pace, "load", c.Load)
	}
	if x.Resumes.Stated() {
		args = append(args, "resumes", x.Resumes.Of, "position", x.Resumes.Position)
	}
	if x.Target.Ranked {
		args = append(args, "rank", x.Target.Priority, "ahead", t.Ahead.String())
	}
	if t.Gateway != "" {
		args = append(args, "gateway", t.Gateway)
	}
	return args
}

// customerName returns the name of the request's customer, or "".
func (x *Exchange) customerName() string {
	if x.Customer == nil {
		return ""
	}
	return x.Customer.Name
}

// writeProblem writes a refusal as problem+json.
func writeProblem(w http.ResponseWriter, e *refusal.Error, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderNotRun, strconv.FormatBool(e.NotRun()))
	if hint := e.RetryHint(); hint > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(hint.Seconds()))))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(problemOf(e, id))
}

// writeErrorEvent writes a refusal as the last event of a stream.
func writeErrorEvent(x *Exchange, e *refusal.Error) {
	data, err := json.Marshal(problemOf(e, x.ID))
	if err != nil {
		return
	}
	_, _ = x.W.Write([]byte("event: error\ndata: "))
	_, _ = x.W.Write(data)
	_, _ = x.W.Write([]byte("\n\n"))
}
