package hosted

import (
	"context"
	"errors"
	"fmt"
	"time"

	"olivetiller/core/view"
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
	// inquiryTimeout bounds an inquiry; engines answer at once.
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
}

// Confirm implements [caller.Processes]. An endpoint whose name changes with each start refuses requests for another name.
// Otherwise the connection leads to the incarnation e if a list of endpoints that is newer than the connection still has
// it, or if the process that answers an inquiry made after the connection has its start: an earlier process ended before
// it began, and a later one cannot have begun before it ended.
func (p *processes) Confirm(ctx context.Context, service string, e view.Endpoint, connectedAt time.Time) error {
	if e.Start == 0 {
		return nil
	}
	if ok, err := p.listed(e, connectedAt); ok || err != nil {
		return err
	}
	if s := p.n.control.Table().Service(service); s == nil || s.Engine == nil {
		return p.awaitList(ctx, e, connectedAt)
	}
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	answer, err := p.clients.Inquire(ctx, p.inquiry.Request(e))
	if err != nil {
		return fmt.Errorf("endpoint %s does not say when it started: %w", e.Name, err)
	}
	start, err := p.inquiry.Start(answer)
	switch {
	case err != nil:
		return fmt.Errorf("endpoint %s does not say when it started: %w", e.Name, err)
	case start != e.Start:
		return errRestarted
	}
	return nil
}

// listed reports whether a list that is newer than the connection has the incarnation. It returns errRestarted if the list
// has another one.
func (p *processes) listed(e view.Endpoint, connectedAt time.Time) (ok bool, err error) {
	// The time is read before the view that it belongs to, which may be newer.
	asOf := p.n.control.ListedAsOf()
	if !p.n.traffic.SameProcess(e) {
		return false, errRestarted
	}
	return !connectedAt.IsZero() && asOf.After(connectedAt), nil
}

// awaitList waits for a list that is newer than the connection.
func (p *processes) awaitList(ctx context.Context, e view.Endpoint, connectedAt time.Time) error {
	timeout := p.n.clock.After(listTimeout)
	for {
		if ok, err := p.listed(e, connectedAt); ok || err != nil {
			return err
		}
		select {
		case <-p.n.clock.After(listPoll):
		case <-timeout:
			return errors.New("no newer list of endpoints shows that the endpoint has not started again")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
