package caller

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"olivetiller/core/refusal"
	pb "olivetiller/proto/olivetiller/v1"
)

// callerLimits enforces each caller's request rate and concurrency at this node.
type callerLimits struct {
	mu      sync.Mutex
	callers map[string]*callerLimit
}

// callerLimit is the state of one caller.
type callerLimit struct {
	limiter *rate.Limiter
	rate    float64
	running int
}

func newCallerLimits() *callerLimits {
	return &callerLimits{callers: make(map[string]*callerLimit)}
}

// acquire counts a request as running, or refuses it. release must follow if it succeeds.
func (l *callerLimits) acquire(c *pb.Caller, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	cl := l.callers[c.GetName()]
	if cl == nil {
		cl = &callerLimit{}
		l.callers[c.GetName()] = cl
	}
	if cl.limiter == nil || cl.rate != c.GetRequestsPerSecond() {
		cl.rate = c.GetRequestsPerSecond()
		cl.limiter = newLimiter(cl.rate)
	}
	if cl.running >= int(c.GetConcurrency()) {
		return refusal.New(refusal.TooManyRequests, "%d requests of caller %s are waiting or running on this node, its limit", cl.running, c.GetName())
	}
	if !cl.limiter.AllowN(now, 1) {
		return refusal.New(refusal.RateExceeded, "caller %s is limited to %g requests a second on this node", c.GetName(), cl.rate)
	}
	cl.running++
	return nil
}

// newLimiter returns a token bucket with a burst of one second's requests, at least 1. A rate of 0 means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// release counts a request as ended.
func (l *callerLimits) release(c *pb.Caller) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callers[c.GetName()].running--
}

// limit enforces the rate and concurrency limits of each caller.
func (s *Server) limit(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		if err := s.callers.acquire(x.Caller, s.Clock.Now()); err != nil {
			return err
		}
		defer s.callers.release(x.Caller)
		return next(ctx, x)
	}
}
