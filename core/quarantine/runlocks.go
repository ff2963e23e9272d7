package quarantine

import "time"

const (
	// runLockTTL is how long a run may block other copies of its request. A request that crashes engines does so well
	// within it, and a lock of a lost node expires after it.
	runLockTTL = 3 * time.Second
	// runLockCooldown is how long a lock stays taken after a run that no engine answered. By then every node
	// knows the resulting state of the request.
	runLockCooldown = SettleTime + PropagationTime
	// maxRunLocks bounds the number of locks held.
	maxRunLocks = 4096
)

// RunLocks holds one run lock per isolated request, so that its copies run one after the other. Copies that run
// concurrently could crash several engines before the first crash is evaluated. It is not safe for concurrent use.
type RunLocks struct {
	locks map[Fingerprint]runLock
}

// runLock is the lock of one request.
type runLock struct {
	holder string
	until  time.Time
}

// NewRunLocks returns an empty set of run locks.
func NewRunLocks() *RunLocks { return &RunLocks{locks: make(map[Fingerprint]runLock)} }

// Acquire acquires the run lock of a request for a run, which holder identifies. It returns 0 if it succeeded, and
// otherwise the delay after which to retry.
func (t *RunLocks) Acquire(f Fingerprint, holder string, now time.Time) (retryAfter time.Duration) {
	if left := t.locks[f].until.Sub(now); left > 0 {
		return left
	}
	if len(t.locks) >= maxRunLocks {
		t.expire(now)
	}
	if len(t.locks) >= maxRunLocks {
		// With so many isolated requests, copies of this one may run concurrently.
		return 0
	}
	t.locks[f] = runLock{holder: holder, until: now.Add(runLockTTL)}
	return 0
}

// Release releases a run lock; answered is true if an engine answered the run.
func (t *RunLocks) Release(f Fingerprint, holder string, answered bool, now time.Time) {
	switch old, ok := t.locks[f]; {
	case !ok || old.holder != holder:
		// The lock has expired, and another run may hold it.
	case answered:
		delete(t.locks, f)
	default:
		t.locks[f] = runLock{holder: holder, until: now.Add(runLockCooldown)}
	}
}

// expire removes expired locks.
func (t *RunLocks) expire(now time.Time) {
	for f, old := range t.locks {
		if !now.Before(old.until) {
			delete(t.locks, f)
		}
	}
}
