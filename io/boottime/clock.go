package boottime

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// minSuspend is the smallest drift between the two clocks that counts as a suspend. Two readings are microseconds
// apart, and a shorter suspend has no effect on timers that matter.
const minSuspend = 5 * time.Millisecond

// source reads the two clocks that are compared.
type source interface {
	// boot returns the time since the machine started, including suspends; monotonic returns a time that does not
	// advance during suspends.
	boot() time.Duration
	monotonic() time.Duration
}

// kernel reads the clocks of the machine: CLOCK_BOOTTIME, and Go's monotonic clock since start.
type kernel struct{ start time.Time }

func (kernel) boot() time.Duration {
	var ts unix.Timespec
	// The call does not fail: New has checked that the clock exists.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}

func (k kernel) monotonic() time.Duration { return time.Since(k.start) }

// Clock implements clockwork.Clock and includes the time for which the machine was suspended. It is safe for concurrent
// use.
type Clock struct {
	from source
	// base is the time of day at the creation of the clock, without a monotonic reading.
	base time.Time
	// boot0 and monotonic0 are the readings of the source at the creation of the clock.
	boot0, monotonic0 time.Duration
	// suspended is the total time in suspend that has been detected so far, in nanoseconds.
	suspended atomic.Int64

	mu     sync.Mutex
	timers map[*timer]bool
	hooks  []func(suspended time.Duration)
}

// New returns a clock, or an error if the kernel does not support CLOCK_BOOTTIME.
func New() (*Clock, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return nil, fmt.Errorf("cannot read CLOCK_BOOTTIME: %w; run on Linux 2.6.39 or later", err)
	}
	return newClock(kernel{time.Now()}), nil
}

func newClock(from source) *Clock {
	c := &Clock{from: from, base: time.Now().Round(0), timers: make(map[*timer]bool)}
	// In this order, a suspend between the two readings makes the drift smaller, never larger.
	c.monotonic0 = from.monotonic()
	c.boot0 = from.boot()
	return c
}

// OnWake registers a function that is called in its own goroutine after each detected suspend, with its duration.
func (c *Clock) OnWake(f func(suspended time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hooks = append(c.hooks, f)
}

// Now returns the time of day at the creation of the clock plus the time since then, including suspends. It also
// detects a suspend since the last reading.
func (c *Clock) Now() time.Time {
	boot := c.from.boot() - c.boot0
	monotonic := c.from.monotonic() - c.monotonic0
	if drift := boot - monotonic; drift-time.Duration(c.suspended.Load()) >= minSuspend {
		c.onResume(drift)
	}
	return c.base.Add(boot)
}

// onResume records the new total drift, re-arms the timers and calls the hooks, unless another reading has already
// done so.
func (c *Clock) onResume(drift time.Duration) {
	c.mu.Lock()
	before := time.Duration(c.suspended.Load())
	if drift-before < minSuspend {
		c.mu.Unlock()
		return
	}
	c.suspended.Store(int64(drift))
	now := c.base.Add(c.from.boot() - c.boot0)
	for t := range c.timers {
		t.rearm(now)
	}
	hooks := c.hooks
	c.mu.Unlock()
	for _, f := range hooks {
		go f(drift - before)
	}
}

// Since returns the time since t, including suspends.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// After returns a channel that receives the time once d has passed.
func (c *Clock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// Sleep blocks the goroutine until d has passed.
func (c *Clock) Sleep(d time.Duration) { <-c.After(d) }

// NewTimer returns a timer that sends the time on its channel once d has passed.
func (c *Clock) NewTimer(d time.Duration) clockwork.Timer {
	t := &timer{clock: c, c: make(chan time.Time, 1)}
	t.set(d)
	return t
}

// AfterFunc returns a timer that calls f in its own goroutine once d has passed.
func (c *Clock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	t := &timer{clock: c, f: f}
	t.set(d)
	return t
}

// NewTicker returns a ticker that sends the time on its channel every d. It drops ticks that nobody receives or that
// passed during a suspend.
func (c *Clock) NewTicker(d time.Duration) clockwork.Ticker {
	t := &ticker{timer: timer{clock: c, c: make(chan time.Time, 1), every: d}}
	t.set(d)
	return t
}

// timer is a timer or, if every is set, a ticker. The clock's mutex guards due, every, runtimeTimer and round.
type timer struct {
	clock *Clock
	// c receives the time when the timer fires, unless f is set and called instead.
	c     chan time.Time
	f     func()
	every time.Duration
	due   time.Time
	// runtimeTimer is the runtime's timer, which does not advance during a suspend. round counts its settings, so
	// that a firing of an earlier setting is recognized and ignored.
	runtimeTimer *time.Timer
	round        int
}

// set starts or restarts the timer and reports whether it was running.
func (t *timer) set(d time.Duration) bool {
	now := t.clock.Now()
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	running := t.clock.timers[t]
	t.due = now.Add(d)
	t.clock.timers[t] = true
	t.rearm(now)
	return running
}

// rearm sets the runtime's timer to fire when t is due. The caller must hold the clock's mutex.
func (t *timer) rearm(now time.Time) {
	if t.runtimeTimer != nil {
		t.runtimeTimer.Stop()
	}
	t.round++
	round := t.round
	t.runtimeTimer = time.AfterFunc(max(0, t.due.Sub(now)), func() { t.fire(round) })
}

// fire handles the firing of the runtime's timer of a round, unless t was reset or stopped since.
func (t *timer) fire(round int) {
	now := t.clock.Now()
	t.clock.mu.Lock()
	if t.round != round || !t.clock.timers[t] {
		t.clock.mu.Unlock()
		return
	}
	if t.every > 0 {
		// Skip the ticks that were missed.
		for t.due = t.due.Add(t.every); !t.due.After(now); {
			t.due = t.due.Add(t.every)
		}
		t.rearm(now)
	} else {
		delete(t.clock.timers, t)
	}
	t.clock.mu.Unlock()
	if t.f != nil {
		t.f()
		return
	}
	select {
	case t.c <- now:
	default:
	}
}

// Chan returns the channel on which the time is sent.
func (t *timer) Chan() <-chan time.Time { return t.c }

// Reset discards an unreceived time, restarts the timer, and reports whether it was running.
func (t *timer) Reset(d time.Duration) bool {
	t.drain()
	return t.set(d)
}

// Stop stops the timer, discards an unreceived time, and reports whether the timer was running.
func (t *timer) Stop() bool {
	t.clock.mu.Lock()
	running := t.clock.timers[t]
	delete(t.clock.timers, t)
	t.round++
	if t.runtimeTimer != nil {
		t.runtimeTimer.Stop()
	}
	t.clock.mu.Unlock()
	t.drain()
	return running
}

// drain discards an unreceived time, as Stop and Reset of the runtime's timers do.
func (t *timer) drain() {
	select {
	case <-t.c:
	default:
	}
}

// ticker is a timer with an interval. It implements clockwork.Ticker.
type ticker struct{ timer }

// Reset restarts the ticker with a new interval.
func (t *ticker) Reset(d time.Duration) {
	t.clock.mu.Lock()
	t.every = d
	t.clock.mu.Unlock()
	t.drain()
	t.set(d)
}

// Stop stops the ticker.
func (t *ticker) Stop() { t.timer.Stop() }
