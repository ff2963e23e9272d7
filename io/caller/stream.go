package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"olivetiller/core/answerlimit"
	"olivetiller/core/pace"
	"olivetiller/core/retry"
	"olivetiller/core/view"
	"olivetiller/internal/isolation"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

const (
	// relayBuffer is the initial buffer of a stream, in bytes.
	relayBuffer = 8 << 10
)

// Events of the default protocol's streams.
const (
	dataPrefix = "data: "
	doneMarker = "data: [DONE]"
)

// errTruncated is the error of a stream that ended before its last event.
var errTruncated = errors.New("the stream ended before its last event")

// relay forwards the complete events of a stream and tracks the caller's position in it. Comments before the first
// event are forwarded with it, so that a caller gets nothing of a stream that has only comments. It uses one buffer for the
// whole stream, so that forwarding a token allocates nothing.
type relay struct {
	x     *Exchange
	flush *http.ResponseController
	buf   []byte
	// buffered is the number of bytes in buf, which are comments or belong to an event that is not complete yet.
	buffered int
	scanner  eventScanner
	events   EventReader
	// relayed counts the events forwarded.
	relayed int
	done    bool
	// callerGone is set once a write to the caller has failed.
	callerGone bool
	// head is the header of the answer being forwarded. fallback is a failure answer to forward if no other endpoint
	// answers.
	head     http.Header
	fallback *answer
	// slot is the slot of the current attempt until its first event, and endpoint is that attempt's endpoint.
	slot     *traffic.Slot
	endpoint view.Endpoint
	// connectedAt is when the connection to the endpoint was opened.
	connectedAt time.Time
	// ended ends the record of the stream's origin; nil before its first event.
	ended func()
	// stall is the stall watch of the current attempt.
	stall *stall
	s     *Server
	// gaps are the times between the events of the current attempt, and first is true if it brought the first one of the
	// answer.
	gaps  pace.Gaps
	first bool
	// fresh is true until the current attempt has brought an event.
	fresh bool
	// lastEvent is when the latest event was forwarded, in Unix nanoseconds by the server's clock.
	lastEvent int64
}

// stream forwards a stream to the caller and resumes it at another endpoint if it breaks off.
func (s *Server) stream(ctx context.Context, x *Exchange) error {
	if err := s.resolveOrigin(ctx, x); err != nil {
		return err
	}
	r := &relay{x: x, flush: http.NewResponseController(x.W), buf: make([]byte, relayBuffer), events: s.protocol().Events(x), s: s}
	defer func() {
		if r.ended != nil {
			r.ended()
		}
	}()
	err := s.attempts(ctx, x, func(ctx context.Context, slot *traffic.Slot, req traffic.SlotRequest, run *isolation.Run) (traffic.Result, error) {
		callerCtx := ctx
		ctx, st := s.watchStall(ctx, x, slot, req, r.events.Position())
		// Closing the connection ends the run at this endpoint.
		defer st.end()
		r.stall = st
		resp, err := s.send(ctx, x, slot, r.events.Position())
		if err = st.withStallCause(err); err != nil {
			return failedResult(err), err
		}
		defer resp.Body.Close()
		run.Began()
		result := traffic.Result{Running: resp.Running, Draining: resp.Draining}
		if resp.StatusCode != http.StatusOK {
			return r.relayError(resp, result)
		}
		if r.relayed > 0 {
			s.Metrics.Resumed.Add(1)
		}
		r.head, r.slot, r.endpoint, r.connectedAt, r.gaps = resp.Header, slot, slot.Endpoint, resp.ConnectedAt, pace.Gaps{}
		r.first, r.fresh = r.relayed == 0, true
		defer func() { r.observe(slot) }()
		if err := r.copy(ctx, resp.Body); err != nil {
			var unconfirmed *unconfirmedError
			if errors.As(err, &unconfirmed) {
				return s.unconfirmed(resp, unconfirmed)
			}
			err = st.withStallCause(resp.BrokenError(err))
			if callerCtx.Err() != nil || r.callerGone {
				// The caller has disconnected, which is no failure of the endpoint.
				run.Abandoned()
				return result, err
			}
			return failedResult(err), err
		}
		run.Answered(resp.Framed())
		return result, nil
	})
	if err != nil && r.fallback != nil && !x.Began {
		return writeAnswer(x, s.protocol(), r.fallback)
	}
	return err
}

// relayError forwards an answer that is not a stream, unless a stream has begun already or another endpoint may be
// tried.
func (r *relay) relayError(resp *endpoint.Response, result traffic.Result) (traffic.Result, error) {
	if r.x.Began {
		err := &endpoint.Error{Outcome: retry.Ran, Answered: true, Cause: errTruncated}
		return failedResult(err), err
	}
	a, err := r.x.readAnswer(resp)
	if err != nil {
		return failedResult(err), err
	}
	if err := failedAnswer(r.x, a); err != nil {
		r.fallback = a
		return failedResult(err), err
	}
	if !r.stall.claim() {
		err := &endpoint.Error{Outcome: retry.Ran, Cause: r.stall.replacedCause()}
		return failedResult(err), err
	}
	return result, writeAnswer(r.x, r.s.protocol(), a)
}

// writeHead writes the head of the stream if it was not written yet.
func (r *relay) writeHead() {
	if r.x.Began {
		return
	}
	r.x.Began = true
	r.ended = r.s.recordOrigin(r.x, r.endpoint)
	r.s.logBegan(r.x, r.endpoint)
	h := r.x.W.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	r.s.protocol().Head(h, r.head)
	r.x.Progress.Status = http.StatusOK
	r.x.W.WriteHeader(http.StatusOK)
}

// logBegan logs the endpoint that begins a stream: its build is the only one at which the stream may go on.
func (s *Server) logBegan(x *Exchange, e view.Endpoint) {
	s.Logger.Info("stream began", "requestId", x.ID, "endpoint", e.Name, "born", e.Start, "build", e.Build.String(), "pool", x.Target.Pool,
		"resumes", x.Resumes.Of, "position", x.Resumes.Position)
}

// copy forwards events until the stream is complete. It drops an incomplete event of an earlier attempt, since the
// endpoint that resumes the stream sends that token again from its start.
func (r *relay) copy(ctx context.Context, body io.Reader) error {
	r.buffered, r.scanner = 0, eventScanner{}
	for !r.done {
		if r.buffered == len(r.buf) {
			if len(r.buf) >= answerlimit.EventBytes {
				return &answerlimit.TooLongError{Part: answerlimit.Event, Limit: answerlimit.EventBytes}
			}
			if err := r.x.held.grow(int64(len(r.buf)), 2*int64(len(r.buf))); err != nil {
				return err
			}
			r.buf = append(r.buf, make([]byte, len(r.buf))...)
		}
		n, err := body.Read(r.buf[r.buffered:])
		r.buffered += n
		if n > 0 {
			if werr := r.writeEvents(ctx); werr != nil {
				return werr
			}
		}
		if err != nil && !r.done {
			if ctx.Err() != nil || !errors.Is(err, io.EOF) {
				return err
			}
			if !r.events.EndsWithBody() || r.buffered > r.scanner.blocks {
				return errTruncated
			}
			if err := r.forward(ctx, r.buffered); err != nil {
				return err
			}
			r.writeHead()
			r.done = true
		}
	}
	return nil
}

// writeEvents writes the complete events in the buffer to the caller and keeps the rest.
func (r *relay) writeEvents(ctx context.Context) error {
	r.scanner.begun = r.x.Began
	end, tooLong := r.scanner.scan(r.buf[:r.buffered])
	if err := r.forward(ctx, end); err != nil {
		return err
	}
	return tooLong
}

// forward writes the first end bytes of the buffer, which are whole events and comments, to the caller.
func (r *relay) forward(ctx context.Context, end int) error {
	if end == 0 {
		return nil
	}
	if r.slot != nil {
		if err := r.s.confirmProcess(ctx, r.x, r.x.Began, r.endpoint, r.connectedAt); err != nil {
			return err
		}
	}
	if !r.stall.claim() {
		return r.stall.replacedCause()
	}
	r.countEvents(r.buf[:end])
	setWriteTimeout(r.flush, writeTimeout)
	r.writeHead()
	if _, err := r.x.W.Write(r.buf[:end]); err != nil {
		r.callerGone = true
		return err
	}
	if err := r.flush.Flush(); err != nil {
		r.callerGone = true
		return err
	}
	setWriteTimeout(r.flush, 0)
	r.stall.forwarded(r.events.Position())
	r.buffered = copy(r.buf, r.buf[end:r.buffered])
	r.scanner.removed(end)
	return nil
}

// countEvents records the given complete events.
func (r *relay) countEvents(events []byte) {
	now := r.s.Clock.Now().UnixNano()
	for len(events) > 0 {
		lines, next, _ := nextBlock(events, 0)
		event := bytes.TrimSuffix(events[:lines], []byte("\r"))
		events = events[next:]
		if !isEvent(event) {
			continue
		}
		if r.events.Note(event) {
			r.done = true
			continue
		}
		if r.slot != nil {
			r.slot.PromptRead()
			r.slot = nil
		}
		r.recordTiming(now)
		r.relayed++
		r.x.Progress.Events = r.relayed
	}
}

// observe reports to the dispatcher how fast the endpoint of the current attempt was, and whether it was late: with its first
// event, if the attempt brought that of the answer and began in time, or between two events.
func (r *relay) observe(slot *traffic.Slot) {
	slot.ObserveGaps(&r.gaps)
	t := &r.x.Target
	begun := slot.GrantedAt().Sub(r.x.Start)
	lateFirst := r.first && t.Objective > 0 && begun < t.Objective/2 && r.x.Progress.FirstEvent > t.Objective
	if lateFirst || t.Pause > 0 && r.gaps.Longest() > t.Pause {
		slot.ObserveLate()
	}
}

const nanosPerMilli = 1e6

// recordTiming records the time of an event since the start or the event before.
func (r *relay) recordTiming(now int64) {
	if r.relayed == 0 {
		r.x.Progress.FirstEvent = time.Duration(now - r.x.Start.UnixNano())
		r.s.Metrics.FirstToken.Record((now - r.x.Start.UnixNano()) / nanosPerMilli)
	} else {
		r.x.Progress.LongestPause = max(r.x.Progress.LongestPause, time.Duration(now-r.lastEvent))
		if !r.fresh {
			r.gaps.Add(time.Duration(now - r.lastEvent))
		}
		r.s.Metrics.BetweenTokens.Record((now - r.lastEvent) / nanosPerMilli)
	}
	r.lastEvent, r.fresh = now, false
}
