package hosted

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"olivetiller/core/view"
	"olivetiller/internal/isolation"
	"olivetiller/io/endpoint"
)

// StartInquiry asks an engine when its process started.
type StartInquiry struct {
	// Request returns the request to the engine, and Start the start in its answer, in Unix milliseconds.
	Request func(e view.Endpoint) *endpoint.Request
	Start   func(answer []byte) (int64, error)
}

// Times of the confirmation that an endpoint is the process that was chosen.
const (
	// inquiryTimeout bounds an inquiry, or the first of several; most engines answer at once.
	inquiryTimeout = 500 * time.Millisecond
	// listTimeout is how long to wait for a newer list of endpoints, where those of a service answer no inquiries. Lists are
	// some hundred milliseconds old.
	listTimeout = time.Second
	listPoll    = 20 * time.Millisecond
)

// errRestarted is returned for an endpoint that has started again since it was chosen.
var errRestarted = errors.New("the endpoint has started again since it was chosen; its events may be of another software version")

// processes implements [caller.Processes].
type processes struct {
	n       *Node
	inquiry StartInquiry
	clients *endpoint.Client

	mu sync.Mutex
	// asked holds the latest inquiries that were answered, by endpoint.
	asked map[string]answeredInquiry
}

// answeredInquiry is the start in the answer to an inquiry, and when that was sent.
type answeredInquiry struct {
	start  int64
	sentAt time.Time
}

// maxAnswered bounds the inquiries that are kept. Without one the next connection is asked about again.
const maxAnswered = 4096

// Confirm implements [caller.Processes]. An endpoint whose name changes with each start refuses requests for another name.
// Otherwise the connection leads to the incarnation e if the process that answers an inquiry made after the connection has
// its start: an earlier process ended before it began, and a later one cannot have begun before it ended. The list of
// endpoints does not show it, because a process may take requests before it has written its entry.
func (p *processes) Confirm(ctx context.Context, service string, e view.Endpoint, connectedAt time.Time) error {
	if e.Start == 0 {
		return nil
	}
	if !p.n.traffic.SameProcess(e) {
		return errRestarted
	}
	if !p.answersInquiries(service) {
		return p.awaitList(ctx, e, connectedAt)
	}
	if p.answeredSince(e, connectedAt) {
		return nil
	}
	// An engine that does not answer in time may be silent for a while and go on.
	for timeout := inquiryTimeout; ; timeout *= 2 {
		start, err := p.ask(ctx, e, timeout)
		switch {
		case err == nil && start != e.Start:
			return errRestarted
		case ctx.Err() != nil, !errors.Is(err, context.DeadlineExceeded):
			return err
		}
	}
}

// answersInquiries reports whether the endpoints of a service are engines, which say when they started.
func (p *processes) answersInquiries(service string) bool {
	s := p.n.control.Table().Service(service)
	return s != nil && s.Engine != nil
}

// answeredSince reports whether the incarnation e answered an inquiry that was sent after a time.
func (p *processes) answeredSince(e view.Endpoint, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.asked[e.Name]
	return a.start == e.Start && !at.IsZero() && a.sentAt.After(at)
}

// ask asks an engine when it started. The engine gets no further requests for an earlier process.
func (p *processes) ask(ctx context.Context, e view.Endpoint, timeout time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := p.n.clock.Now()
	answer, err := p.clients.Inquire(ctx, p.inquiry.Request(e))
	if err != nil {
		return 0, fmt.Errorf("endpoint %s does not say when it started: %w", e.Name, err)
	}
	start, err := p.inquiry.Start(answer)
	if err != nil {
		return 0, fmt.Errorf("endpoint %s does not say when it started: %w", e.Name, err)
	}
	p.n.traffic.NoteStart(e.Name, start)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.asked) >= maxAnswered || p.asked == nil {
		p.asked = make(map[string]answeredInquiry)
	}
	if sentAt.After(p.asked[e.Name].sentAt) {
		p.asked[e.Name] = answeredInquiry{start, sentAt}
	}
	return start, nil
}

// StartOf implements [isolation.Options.StartOf].
func (p *processes) StartOf(ctx context.Context, service string, e view.Endpoint) (int64, error) {
	if !p.answersInquiries(service) {
		return 0, isolation.ErrNotAsked
	}
	return p.ask(ctx, e, inquiryTimeout)
}

// awaitList waits for a list that is newer than the connection and still has the incarnation e, where endpoints answer no
// inquiries.
func (p *processes) awaitList(ctx context.Context, e view.Endpoint, connectedAt time.Time) error {
	timeout := p.n.clock.After(listTimeout)
	for {
		// The time is read before the view that it belongs to, which may be newer.
		asOf := p.n.control.ListedAsOf()
		switch {
		case !p.n.traffic.SameProcess(e):
			return errRestarted
		case !connectedAt.IsZero() && asOf.After(connectedAt):
			return nil
		}
		select {
		case <-p.n.clock.After(listPoll):
		case <-timeout:
			return fmt.Errorf("no newer list of endpoints shows that the endpoint has not started again: %w", context.DeadlineExceeded)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
