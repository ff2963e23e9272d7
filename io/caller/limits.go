package caller

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"olivetiller/core/refusal"
	pb "olivetiller/proto/olivetiller/v1"
)

// callerLimits holds the rate and concurrency of every caller at this node.
type callerLimits struct {
	mu      sync.Mutex
	callers map[string]*callerLimit
}

type callerLimit struct {
	limiter *rate.Limiter
	rate    float64
	running int
}

func newCallerLimits() *callerLimits {
	return &callerLimits{callers: make(map[string]*callerLimit)}
}

// enter counts a request in, or says why not.
func (l *callerLimits) enter(c *pb.Caller, now time.Time) error {
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
		return refusal.New(refusal.TooManyRequests, "%d requests of caller %s wait or run here", cl.running, c.GetName())
	}
	if !cl.limiter.AllowN(now, 1) {
		return refusal.New(refusal.RateExceeded, "caller %s may send %g requests a second here", c.GetName(), cl.rate)
	}
	cl.running++
	return nil
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (l *callerLimits) leave(c *pb.Caller) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callers[c.GetName()].running--
}

// limit bounds the rate and concurrency of each caller.
func (s *Server) limit(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		if err := s.callers.enter(x.Caller, s.Clock.Now()); err != nil {
			return err
		}
		defer s.callers.leave(x.Caller)
		return next(ctx, x)
	}
}
