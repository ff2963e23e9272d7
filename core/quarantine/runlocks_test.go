package quarantine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestRunLocks checks when the next copy of a request may run.
func TestRunLocks(t *testing.T) {
	f, g, now := Fingerprint{1}, Fingerprint{2}, time.Unix(1000, 0)
	type step struct {
		what  string
		after time.Duration
		do    func(t *RunLocks, now time.Time) time.Duration
		want  time.Duration
	}
	take := func(f Fingerprint, by string) func(*RunLocks, time.Time) time.Duration {
		return func(t *RunLocks, now time.Time) time.Duration { return t.Acquire(f, by, now) }
	}
	release := func(by string, well bool) func(*RunLocks, time.Time) time.Duration {
		return func(t *RunLocks, now time.Time) time.Duration { t.Release(f, by, well, now); return 0 }
	}
	locks := NewRunLocks()
	for _, s := range []step{
		{"the first", 0, take(f, "a"), 0},
		{"another request", 0, take(g, "b"), 0},
		{"a copy meanwhile", time.Second, take(f, "b"), runLockTTL - time.Second},
		{"the first was answered", 0, release("a", true), 0},
		{"a copy after it", 0, take(f, "b"), 0},
		{"its engine ended", time.Second, release("b", false), 0},
		{"a copy right after that", 0, take(f, "c"), runLockCooldown},
		{"a copy after what that came to is known", runLockCooldown, take(f, "c"), 0},
		{"it takes long", runLockTTL, take(f, "d"), 0},
		{"and ends in another's turn", 0, release("c", true), 0},
		{"a copy in that turn", 0, take(f, "e"), runLockTTL},
	} {
		now = now.Add(s.after)
		if diff := cmp.Diff(s.want, s.do(locks, now)); diff != "" {
			t.Errorf("%s: time to wait (-want +got):\n%s", s.what, diff)
		}
	}
}

// TestOneCopyAtATime checks that no two copies of a request run within the TTL of a run lock.
func TestOneCopyAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		locks, now := NewRunLocks(), time.Unix(1000, 0)
		running := make(map[Fingerprint]time.Time)
		for i := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			f := Fingerprint{byte(rapid.IntRange(0, 3).Draw(t, "request"))}
			since, ok := running[f]
			switch {
			case ok && rapid.Bool().Draw(t, "ends"):
				locks.Release(f, since.String(), rapid.Bool().Draw(t, "well"), now)
				delete(running, f)
			case locks.Acquire(f, now.String(), now) > 0:
			case ok && now.Sub(since) < runLockTTL:
				t.Fatalf("step %d: a second copy runs %v after the first", i, now.Sub(since))
			default:
				running[f] = now
			}
		}
	})
}

// TestExpiredRunLocksRemoved checks that expired locks are removed when their number reaches the limit.
func TestExpiredRunLocksRemoved(t *testing.T) {
	locks, now := NewRunLocks(), time.Unix(1000, 0)
	for i := range 2 * maxRunLocks {
		now = now.Add(runLockTTL / maxRunLocks)
		locks.Acquire(Fingerprint{byte(i), byte(i >> 8)}, "a", now)
	}
	if n := len(locks.locks); n > maxRunLocks {
		t.Errorf("%d locks are held, want %d at most", n, maxRunLocks)
	}
}
