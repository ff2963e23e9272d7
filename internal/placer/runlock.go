package placer

import (
	"context"
	"sync"
	"time"

	"olivetiller/core/quarantine"
	"olivetiller/io/boottime"
	"olivetiller/io/peer"
)

// runLocks holds the run locks that this node, as the lease holder, grants to copies of isolated requests, so that
// copies of one request run one after the other across the fleet. It is safe for concurrent use.
type runLocks struct {
	mu    sync.Mutex
	locks *quarantine.RunLocks
}

// HandleRunLock implements [peer.Holder]: it grants or releases the run lock of a request. It returns peer.ErrNotHolder
// if this node does not hold the lease.
func (c *Controller) HandleRunLock(q *peer.RunLockRequest) (*peer.RunLock, error) {
	if !c.leading.Load() {
		return nil, peer.ErrNotHolder
	}
	l, now := &c.runLocks, c.o.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if q.Release {
		l.locks.Release(q.Request, q.Run, q.Answered, now)
		return &peer.RunLock{}, nil
	}
	after := l.locks.Acquire(q.Request, q.Run, now)
	if after <= 0 {
		return &peer.RunLock{}, nil
	}
	return &peer.RunLock{AfterMs: max(1, after.Milliseconds())}, nil
}

// AcquireRun implements isolation.RunLocker: it asks the lease holder for the run lock of an isolated request. It
// returns 0 if the lock was granted, otherwise the time after which to ask again. It also returns 0 if the lease holder
// does not answer; each node then serializes its own copies only, after it has asked other nodes what they know: one of
// them may have seen the crash that convicts the request.
func (c *Controller) AcquireRun(ctx context.Context, f quarantine.Fingerprint, run string) (after time.Duration) {
	q := &peer.RunLockRequest{Request: f, Run: c.o.Self.Incarnation + "/" + run}
	a, err := askHolder(ctx, c, q, c.HandleRunLock, c.o.Peers.RequestRunLock)
	if err != nil {
		c.o.Logger.Info("no answer on the run lock of an isolated request", "fingerprint", f.String(), "error", err.Error())
		rctx, cancel := boottime.WithTimeout(ctx, c.o.Clock, runExchangeTimeout)
		defer cancel()
		c.exchangeRound(rctx)
		return 0
	}
	return time.Duration(a.AfterMs) * time.Millisecond
}

// ReleaseRun implements isolation.RunLocker: it releases a run lock; answered is true if an engine has answered the
// request. It does not wait for the lease holder, since a lock that is not released expires.
func (c *Controller) ReleaseRun(f quarantine.Fingerprint, run string, answered bool) {
	q := &peer.RunLockRequest{Request: f, Run: c.o.Self.Incarnation + "/" + run, Release: true, Answered: answered}
	go func() {
		if _, err := askHolder(context.Background(), c, q, c.HandleRunLock, c.o.Peers.RequestRunLock); err != nil {
			c.o.Logger.Debug("run lock of an isolated request not released", "fingerprint", f.String(), "error", err.Error())
		}
	}()
}
