package isolation

import (
	"context"
	"strconv"
	"time"

	"olivetiller/core/quarantine"
	"olivetiller/core/refusal"
)

const (
	// lockRetryInterval is the longest wait before another attempt to take a run lock, since the state of the request
	// may have changed meanwhile.
	lockRetryInterval = 50 * time.Millisecond
	// lockTimeout is how long a copy waits for its run lock while it occupies a slot at an engine.
	lockTimeout = 500 * time.Millisecond
	// minRetryAfter is the least retry delay of a copy that did not get its run lock in time.
	minRetryAfter = time.Second
)

// RunLocker provides run locks that are shared by all nodes, so that copies of an isolated request run one after the
// other.
type RunLocker interface {
	// AcquireRun acquires the run lock of a request for a run. It returns 0 if it succeeded, and otherwise the delay
	// after which to retry.
	AcquireRun(ctx context.Context, f quarantine.Fingerprint, run string) (retryAfter time.Duration)
	// ReleaseRun releases the lock; answered is true if an engine answered the run.
	ReleaseRun(f quarantine.Fingerprint, run string, answered bool)
}

// AcquireRun waits until a copy of a request may run; a request that is not isolated does not wait. The returned
// function must be called when the run is over. The error is a refusal if the request is blocked or the lock is not
// free within lockTimeout, or the context's error.
func (g *Guard) AcquireRun(ctx context.Context, subjects ...quarantine.Fingerprint) (release func(answered bool), err error) {
	run := strconv.FormatInt(g.runSeq.Add(1), 10)
	until := g.o.Clock.Now().Add(lockTimeout)
	for {
		if err := g.Blocked(subjects...); err != nil {
			return nil, err
		}
		f, isolated := g.isolated(subjects)
		if !isolated {
			return func(bool) {}, nil
		}
		retryAfter := g.acquireLock(ctx, f, run)
		if retryAfter <= 0 {
			return func(answered bool) { g.releaseLock(f, run, answered) }, nil
		}
		if !g.o.Clock.Now().Add(min(retryAfter, lockRetryInterval)).Before(until) {
			return nil, refusal.New(refusal.Quarantined, "engines crashed while they ran %s, and another one is running; retry", describe(f)).WithRetryAfter(max(minRetryAfter, retryAfter))
		}
		select {
		case <-g.o.Clock.After(min(retryAfter, lockRetryInterval)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// isolated returns the fingerprint under whose run lock a request with an isolated subject runs; ok is false if none is
// isolated. A part goes before the request itself, since more requests have it.
func (g *Guard) isolated(subjects []quarantine.Fingerprint) (f quarantine.Fingerprint, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range subjects {
		if g.registry.StateIn(s, subjects) == quarantine.Isolated && (!ok || s.IsPart() && !f.IsPart()) {
			f, ok = s, true
		}
	}
	return g.registry.RunLock(f), ok
}

// acquireLock takes the node's own lock first, so that only one of its copies asks the other nodes.
func (g *Guard) acquireLock(ctx context.Context, f quarantine.Fingerprint, run string) (retryAfter time.Duration) {
	g.mu.Lock()
	retryAfter = g.locks.Acquire(f, run, g.o.Clock.Now())
	g.mu.Unlock()
	if retryAfter > 0 || g.o.Turns == nil {
		return retryAfter
	}
	if retryAfter = g.o.Turns.AcquireRun(ctx, f, run); retryAfter > 0 {
		g.releaseLocal(f, run, true)
	}
	return retryAfter
}

func (g *Guard) releaseLock(f quarantine.Fingerprint, run string, answered bool) {
	g.releaseLocal(f, run, answered)
	if g.o.Turns != nil {
		g.o.Turns.ReleaseRun(f, run, answered)
	}
}

func (g *Guard) releaseLocal(f quarantine.Fingerprint, run string, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.locks.Release(f, run, answered, g.o.Clock.Now())
}
