package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"olivetiller/core/retry"
	"olivetiller/internal/isolation"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// standby is a second attempt that runs while the first one, whose endpoint is silent, is still under way. It takes the
// first one's place once its endpoint has sent something, or the first one has failed.
type standby struct {
	slot *traffic.Slot
	run  *isolation.Run
	// began is true if the caller has a part of the answer.
	began bool
	// extra is true if the first attempt is late and not silent for too long.
	extra  bool
	cancel context.CancelFunc
	// sentBody is set once the endpoint has sent a part of the answer's body.
	sentBody atomic.Bool
	// opened is closed when the fields below are set.
	opened chan struct{}
	// resp is the answer, of which the first event, or all if it is no stream, was read and can be read again; err is the
	// error if there is none.
	resp *endpoint.Response
	err  error
	// failure is a whole answer that counts as a failure; nil for none.
	failure *answer
	// ready is true if the endpoint has sent an event of a stream or a whole answer that is no failure.
	ready bool
}

// openStandby sends the request to the endpoint of a slot, from a position in the stream. It must not be called while events
// are forwarded.
func (s *Server) openStandby(ctx context.Context, x *Exchange, slot *traffic.Slot, position string, extra bool) *standby {
	ctx, cancel := context.WithCancel(ctx)
	sb := &standby{slot: slot, began: x.Began, extra: extra, cancel: cancel, opened: make(chan struct{})}
	sb.run = s.Isolation.Send(x.Fingerprint, slot.Endpoint, x.parts()...)
	sb.run.Service = x.Target.Service
	go func() {
		defer close(sb.opened)
		if sb.err = verify(ctx, sb.run); sb.err != nil {
			return
		}
		if sb.resp, sb.err = s.request(ctx, x, slot, position, false); sb.err == nil {
			sb.ready, sb.err = s.readFirst(ctx, x, sb)
		}
	}()
	return sb
}

// await returns the answer of the standby, like send. It cancels the standby when ctx ends.
func (sb *standby) await(ctx context.Context) (*endpoint.Response, error) {
	context.AfterFunc(ctx, sb.cancel)
	<-sb.opened
	return sb.resp, sb.err
}

// failed reports whether the answer, which has been opened, can't take the place of the first attempt.
func (sb *standby) failed() bool { return sb.err != nil || !sb.ready }

// discard ends the standby, counts it if it may have run, and returns its slot.
func (s *Server) discard(x *Exchange, sb *standby) {
	// An attempt that is ended on this side says nothing about its endpoint.
	result := traffic.Result{NotStarted: true, Running: -1}
	outcome := "canceled"
	select {
	case <-sb.opened:
		outcome = "notNeeded"
		if sb.failure != nil {
			x.standbyFailure = sb.failure
		}
		if sb.err != nil {
			result, outcome = failedResult(sb.err), outcomeOf(sb.err).String()
		}
		if sb.err == nil || outcomeOf(sb.err) != retry.NotSent {
			x.ran++
		}
	default:
		if sb.sentBody.Load() {
			x.ran++
		} else {
			x.canceled++
		}
	}
	s.Metrics.StandbysDiscarded.Add(1)
	if sb.extra {
		s.countExtra(x, false)
	}
	sb.cancel()
	go func() {
		<-sb.opened
		err := sb.err
		if err == nil {
			_ = sb.resp.Body.Close()
			err = context.Canceled
		}
		s.Logger.Info("discarded a standby", "requestId", x.ID, "standby", sb.slot.Endpoint.Name, "outcome", outcome, "extra", sb.extra, "error", err.Error())
		result.Ended = reportRun(context.Background(), sb.run, err)
		sb.slot.Release(result)
		s.recordExcess(x, sb.slot.Endpoint.Name, err)
	}()
}

// readFirst reads the first event of a standby's stream, or the whole body of another answer, and puts it back. It reports
// whether the answer can be forwarded. The error is an *endpoint.Error.
func (s *Server) readFirst(ctx context.Context, x *Exchange, sb *standby) (ready bool, err error) {
	resp := sb.resp
	var read []byte
	resp.Body = &bodyAfter{Reader: &notingReader{resp.Body, &sb.sentBody}, Closer: resp.Body}
	if x.Target.Stream {
		if resp.StatusCode != http.StatusOK {
			return false, nil
		}
		read, err = readEvent(resp.Body, &x.held)
	} else {
		read, err = x.held.readAll(resp.Body, announcedLength(resp))
	}
	if err == nil && x.Target.Stream {
		var unconfirmed *unconfirmedError
		if err = s.confirmProcess(ctx, x, sb.began, sb.slot.Endpoint, resp.ConnectedAt); errors.As(err, &unconfirmed) {
			_, err = s.unconfirmed(resp, unconfirmed)
			return false, err
		}
	}
	if err != nil {
		_ = resp.Body.Close()
		return false, resp.BrokenError(err)
	}
	resp.Body = &bodyAfter{Reader: io.MultiReader(bytes.NewReader(read), resp.Body), Closer: resp.Body}
	if a := (&answer{status: resp.StatusCode, header: resp.Header, body: read}); failedAnswer(x, a) != nil {
		sb.failure = a
		return false, nil
	}
	return true, nil
}

// bodyAfter is a body of which a part has been read ahead.
type bodyAfter struct {
	io.Reader
	io.Closer
}

// notingReader notes whether anything was read.
type notingReader struct {
	io.Reader
	read *atomic.Bool
}

// Read implements io.Reader.
func (r *notingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.read.Store(true)
	}
	return n, err
}

// readEvent reads a body until the first event is complete. A body that ends before does not go on with the stream.
func readEvent(body io.Reader, held *holding) ([]byte, error) {
	var read []byte
	var scanner eventScanner
	buf := make([]byte, relayBuffer)
	for {
		n, err := body.Read(buf)
		if err := held.grow(int64(len(read)), int64(len(read)+n)); err != nil {
			return nil, err
		}
		read = append(read, buf[:n]...)
		end, tooLong := scanner.scan(read)
		switch {
		case end > 0:
			return read, nil
		case errors.Is(err, io.EOF):
			return nil, errTruncated
		case err != nil:
			return nil, err
		case tooLong != nil:
			return nil, tooLong
		}
	}
}
