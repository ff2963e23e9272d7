package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"olivetiller/core/answerlimit"
	"olivetiller/core/refusal"
	"olivetiller/io/endpoint"
)

// heldBytes counts the bytes of request and answer bodies in memory. A stream is counted only as far as one event is longer
// than its first buffer: while its caller does not read, its endpoint is not read either.
type heldBytes struct {
	bytes atomic.Int64
	// limit is the number of bytes above which new requests are refused; 0 for no limit.
	limit int64
	// answers is the part of bytes that belongs to answers, and answerLimits bounds it.
	answers      atomic.Int64
	answerLimits answerlimit.Limits
}

// admit adds a part of the body of a new request, or refuses it if that exceeds the limit, so that the requests in progress
// do not run out of memory.
func (h *heldBytes) admit(n int64) error {
	now := h.bytes.Add(n)
	if h.limit <= 0 || now <= h.limit {
		return nil
	}
	h.bytes.Add(-n)
	return refusal.New(refusal.QueueFull, "%d bytes of requests and answers are in memory on this node; the limit is %d", now-n, h.limit)
}

// minBodyBuffer is the size of the first buffer for the body of a request, unless the body is known to be shorter.
const minBodyBuffer = 4 << 10

// readAll reads the body of a request to its end. announced is its length, below 0 if that is unknown. The buffer grows with what
// arrives and counts as it grows, so that bodies on their way are counted too. The capacity of the body stays counted; after an
// error, which is a refusal if there is no room, nothing does.
func (h *heldBytes) readAll(r io.Reader, announced int64) (body []byte, err error) {
	defer func() {
		if err != nil {
			h.remove(int64(cap(body)))
			body = nil
		}
	}()
	for {
		if size := int64(cap(body)); int64(len(body)) == size {
			next := max(minBodyBuffer, 2*size)
			if announced >= size {
				// One more byte, to read the end.
				next = min(next, announced+1)
			}
			if err := h.admit(next - size); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// remove subtracts bytes that were added before.
func (h *heldBytes) remove(n int64) { h.bytes.Add(-n) }

// holding counts what one exchange holds of answers, in the total of its node. It counts nothing without held.
type holding struct {
	held *heldBytes
	mu   sync.Mutex
	// bytes is the size of the exchange's buffers.
	bytes int64
	// ended is set after the end of the exchange. Standbys may read on for a moment.
	ended bool
}

// errExchangeEnded is the error of a read for an exchange that has ended.
var errExchangeEnded = fmt.Errorf("the request has ended: %w", context.Canceled)

// limits returns the limits on answers.
func (h *holding) limits() answerlimit.Limits {
	if h.held == nil {
		return answerlimit.Limits{}
	}
	return h.held.answerLimits
}

// grow counts a buffer that grows from one size to another, unless there is no room for that.
func (h *holding) grow(from, to int64) error {
	if h.held == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return errExchangeEnded
	}
	for {
		held := h.held.answers.Load()
		if err := h.held.answerLimits.CheckRoom(to, held+to-from); err != nil {
			return err
		}
		if h.held.answers.CompareAndSwap(held, held+to-from) {
			break
		}
	}
	h.held.bytes.Add(to - from)
	h.bytes += to - from
	return nil
}

// release removes a buffer from the count.
func (h *holding) release(size int64) {
	if h.held == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(min(size, h.bytes))
}

// end removes all that the exchange holds.
func (h *holding) end() {
	if h.held == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.remove(h.bytes)
}

// remove subtracts bytes from the counts. h.mu must be held.
func (h *holding) remove(n int64) {
	h.bytes -= n
	h.held.answers.Add(-n)
	h.held.remove(n)
}

// readAll reads a body to its end and counts its buffer while it grows. announced is the announced length, below 0 if there
// is none. After an error nothing of the body stays counted.
func (h *holding) readAll(r io.Reader, announced int64) (body []byte, err error) {
	limits := h.limits()
	if err := limits.CheckLength(announced); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			h.release(int64(cap(body)))
			body = nil
		}
	}()
	for {
		if len(body) == cap(body) {
			size := int64(cap(body))
			next := limits.NextBuffer(size, announced)
			if err := h.grow(size, next); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, limits.CheckLength(int64(len(body)))
		case err != nil:
			return body, err
		}
		if err := limits.CheckLength(int64(len(body))); err != nil {
			return body, err
		}
	}
}

// readAnswer reads the body of a whole answer. The error is an *endpoint.Error.
func (x *Exchange) readAnswer(resp *endpoint.Response) (*answer, error) {
	body, err := x.held.readAll(resp.Body, announcedLength(resp))
	if err != nil {
		return nil, resp.BrokenError(err)
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// announcedLength returns the announced length of the body that is sent; below 0 if there is none. Answers to HEAD, and those
// with status 304, announce the length of a body that they don't have.
func announcedLength(resp *endpoint.Response) int64 {
	if resp.StatusCode == http.StatusNotModified || resp.Request != nil && resp.Request.Method == http.MethodHead {
		return -1
	}
	return resp.ContentLength
}

// recordExcess logs and counts an attempt that failed because its endpoint sent more than an answer may have, or because
// this node had no room for it.
func (s *Server) recordExcess(x *Exchange, name string, err error) {
	var tooLong *answerlimit.TooLongError
	var noRoom *answerlimit.NoRoomError
	switch {
	case errors.As(err, &tooLong):
		s.Metrics.AnswersTooLong.Add(string(tooLong.Part), 1)
		s.Logger.Warn("endpoint sent too much", "requestId", x.ID, "endpoint", name, "part", string(tooLong.Part), "limitBytes", tooLong.Limit)
	case errors.As(err, &noRoom):
		s.Metrics.AnswersWithoutRoom.Add(1)
		s.Logger.Warn("no room for an answer", "requestId", x.ID, "endpoint", name, "bytes", noRoom.Size, "limitBytes", noRoom.Limit)
	}
}
