package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"olivetiller/core/retry"
	"olivetiller/internal/isolation"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// Sizes of the relay.
const (
	relayBuffer = 8 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
)

var eventEnd = []byte("\n\n")

// Events of the product's own streams.
const (
	dataPrefix = "data: "
	doneMarker = "data: [DONE]"
)

// errBroken ends a stream that stopped before its last event.
var errBroken = errors.New("the stream ended before its last event")

// relay passes whole events on and counts the tokens that the caller has. It
// keeps one buffer for the stream, so that no token costs an allocation.
type relay struct {
	x     *Exchange
	flush *http.ResponseController
	buf   []byte
	// held is how many bytes of buf belong to an event that is not whole yet.
	held   int
	events EventReader
	// passed is how many events were passed on.
	passed int
	done   bool
	// callerGone is set once nothing can be written to the caller.
	callerGone bool
	// head is the header of the answer being relayed; spare a failure to be
	// passed on if no other endpoint answers.
	head  http.Header
	spare *answer
	// slot is the place of the attempt whose answer is being relayed.
	slot *traffic.Slot
	// stall watches the attempt.
	stall *stall
	s     *Server
	// last is when the latest event was passed on, in the server's clock.
	last int64
}

// stream relays a stream and moves it to another endpoint when one breaks off.
func (s *Server) stream(ctx context.Context, x *Exchange) error {
	r := &relay{x: x, flush: http.NewResponseController(x.W), buf: make([]byte, relayBuffer), events: s.protocol().Events(x), s: s}
	err := s.attempts(ctx, x, func(ctx context.Context, slot *traffic.Slot, ask traffic.SlotRequest, run *isolation.Run) (traffic.Result, error) {
		whole := ctx
		ctx, st := s.watchStall(ctx, x, slot, ask)
		// Closing the connection ends the run there before another one begins.
		defer st.end()
		r.stall = st
		resp, err := s.send(ctx, x, slot, r.events.Position())
		if err = st.explain(err); err != nil {
			return failed(err), err
		}
		defer resp.Body.Close()
		run.Began()
		result := traffic.Result{Running: resp.Running, Leaving: resp.Leaving}
		if resp.StatusCode != http.StatusOK {
			return r.passError(resp, result)
		}
		if r.passed > 0 {
			s.Metrics.Resumed.Add(1)
		}
		r.head, r.slot = resp.Header, slot
		if err := r.copy(ctx, resp.Body); err != nil {
			err = st.explain(resp.Broken(err))
			if whole.Err() != nil || r.callerGone {
				// The caller went away; that is no fault of the endpoint.
				run.Left()
				return result, err
			}
			return failed(err), err
		}
		run.Answered(resp.Framed())
		return result, nil
	})
	if err != nil && r.spare != nil && !x.Began {
		return writeAnswer(x, s.protocol(), r.spare)
	}
	return err
}

// passError passes an answer that is not a stream on, if none has begun and no
// other endpoint may be asked instead.
func (r *relay) passError(resp *endpoint.Response, result traffic.Result) (traffic.Result, error) {
	if r.x.Began {
		err := &endpoint.Error{Outcome: retry.Ran, Answered: true, Cause: errBroken}
		return failed(err), err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEvent))
	if err != nil {
		err := resp.Broken(err)
		return failed(err), err
	}
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if err := failedAnswer(r.x, a); err != nil {
		r.spare = a
		return failed(err), err
	}
	return result, writeAnswer(r.x, r.s.protocol(), a)
}

func (r *relay) begin() {
	if r.x.Began {
		return
	}
	r.x.Began = true
	h := r.x.W.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	r.s.protocol().Head(h, r.head)
	r.x.Trail.Status = http.StatusOK
	r.x.W.WriteHeader(http.StatusOK)
}

// copy relays until the final marker. What is left of a broken event is dropped:
// the endpoint that goes on sends that token again from its beginning.
func (r *relay) copy(ctx context.Context, body io.Reader) error {
	r.held = 0
	for !r.done {
		if r.held == len(r.buf) {
			if r.held >= maxEvent {
				return errors.New("an event of the stream is too long")
			}
			r.buf = append(r.buf, make([]byte, len(r.buf))...)
		}
		n, err := body.Read(r.buf[r.held:])
		r.held += n
		if n > 0 {
			if werr := r.pass(); werr != nil {
				return werr
			}
		}
		if err != nil && !r.done {
			if ctx.Err() != nil || !errors.Is(err, io.EOF) {
				return err
			}
			if !r.events.EndsWithBody() || r.held > 0 {
				return errBroken
			}
			r.begin()
			r.done = true
		}
	}
	return nil
}

// pass writes the whole events in the buffer and keeps the rest.
func (r *relay) pass() error {
	end := bytes.LastIndex(r.buf[:r.held], eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	r.count(r.buf[:end])
	writeWithin(r.flush, unreadTime)
	r.begin()
	if _, err := r.x.W.Write(r.buf[:end]); err != nil {
		r.callerGone = true
		return err
	}
	if err := r.flush.Flush(); err != nil {
		r.callerGone = true
		return err
	}
	writeWithin(r.flush, 0)
	r.held = copy(r.buf, r.buf[end:r.held])
	return nil
}

// count notes the whole events.
func (r *relay) count(events []byte) {
	now := r.s.Clock.Now().UnixNano()
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd)
		event := events[:end]
		events = events[end+len(eventEnd):]
		if r.events.Note(event) {
			r.done = true
			continue
		}
		r.stall.progress()
		if r.slot != nil {
			r.slot.PromptRead()
			r.slot = nil
		}
		r.time(now)
		r.passed++
		r.x.Trail.Events = r.passed
	}
}

const nanosPerMilli = 1e6

func (r *relay) time(now int64) {
	if r.passed == 0 {
		r.x.Trail.FirstEvent = time.Duration(now - r.x.Start.UnixNano())
		r.s.Metrics.FirstToken.Record((now - r.x.Start.UnixNano()) / nanosPerMilli)
	} else {
		r.x.Trail.LongestPause = max(r.x.Trail.LongestPause, time.Duration(now-r.last))
		r.s.Metrics.BetweenTokens.Record((now - r.last) / nanosPerMilli)
	}
	r.last = now
}
