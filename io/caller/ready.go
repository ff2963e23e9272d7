package caller

import (
	"context"
	"time"

	"olivetiller/core/refusal"
)

// Starting tells whether a node that cannot serve yet is about to.
type Starting interface {
	// AwaitReady returns a channel that is closed once the node has read the current state. soon is false if that is
	// not expected within moments, such as while the state cannot be read.
	AwaitReady() (ready <-chan struct{}, soon bool)
}

// Bounds of the wait for a node that starts. A caller gives up a node that has not read its request after a second, or
// a third of its time if that is less.
const (
	maxReadyWait   = 900 * time.Millisecond
	readyWaitShare = 0.3
)

// readyWait returns how long a request waits for a node that starts. patience is how long its caller waits for the
// answer; 0 if that is not known.
func readyWait(patience time.Duration) time.Duration {
	if patience <= 0 {
		return maxReadyWait
	}
	return min(maxReadyWait, time.Duration(readyWaitShare*float64(patience)))
}

// ready refuses requests while the node has not read the current state, or its state differs from that of other nodes,
// and once its planned stop takes no more. It holds a request for a moment if the node has just started: where all
// nodes start together, other nodes are no sooner ready, and a caller that is refused may have used up its attempts.
func (s *Server) ready(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		if s.connections.stopped() {
			return refusal.New(refusal.Stopping, "this node takes no further requests")
		}
		if !x.View.Ready && !x.View.Diverged && s.awaitReady(ctx, x) {
			x.View = s.View()
		}
		switch {
		case x.View.Ready:
			return next(ctx, x)
		case x.View.Diverged:
			return refusal.New(refusal.NotReady, "this node's state has diverged")
		}
		return refusal.New(refusal.NotReady, "this node has not read the current state yet")
	}
}

// awaitReady waits until the node is ready. It reports false if the node is not, or if the caller left.
func (s *Server) awaitReady(ctx context.Context, x *Exchange) bool {
	if s.Starting == nil {
		return false
	}
	ready, soon := s.Starting.AwaitReady()
	if !soon {
		return false
	}
	timer := s.Clock.NewTimer(readyWait(s.protocol().Patience(x.R)))
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.Chan():
		return false
	case <-ctx.Done():
		return false
	}
	s.Metrics.AwaitedReady.Add(1)
	x.Progress.Waited += s.Clock.Now().Sub(x.Start)
	return true
}
