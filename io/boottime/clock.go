package boottime

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// noticeable is the least drift that counts as a sleep: readings of two clocks are microseconds
// apart, and a shorter sleep changes nothing.
const noticeable = 5 * time.Millisecond

// source reads the two clocks.
type source interface {
	// boot is the time since the start of the machine, sleeps included, and awake that
	// without them.
	boot() time.Duration
	awake() time.Duration
}

// kernel reads the machine's clocks.
type kernel struct{ start time.Time }

func (kernel) boot() time.Duration {
	var ts unix.Timespec
	// The call cannot fail: New has made it.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}

func (k kernel) awake() time.Duration { return time.Since(k.start) }

// Clock implements clockwork.Clock. It is safe for concurrent use.
type Clock struct {
	from source
	// base is the time of day at the start, without what time.Now measures spans by.
	base time.Time
	// boot0 and awake0 are the clocks at the start.
	boot0, awake0 time.Duration
	// slept is what the machine has slept since, as far as noticed.
	slept atomic.Int64

	mu     sync.Mutex
	timers map[*timer]bool
	hooks  []func(slept time.Duration)
}

// New returns a clock, or an error where the kernel has no such clock.
func New() (*Clock, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return nil, fmt.Errorf("CLOCK_BOOTTIME cannot be read: %w; run on Linux 2.6.39 or later", err)
	}
	return newClock(kernel{time.Now()}), nil
}

func newClock(from source) *Clock {
	c := &Clock{from: from, base: time.Now().Round(0), timers: make(map[*timer]bool)}
	// In this order a drift is never overrated.
	c.awake0 = from.awake()
	c.boot0 = from.boot()
	return c
}

// OnWake has a function called after each sleep, on a goroutine of its own.
func (c *Clock) OnWake(f func(slept time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hooks = append(c.hooks, f)
}

// Now implements clockwork.Clock.
func (c *Clock) Now() time.Time {
	boot := c.from.boot() - c.boot0
	awake := c.from.awake() - c.awake0
	if drift := boot - awake; drift-time.Duration(c.slept.Load()) >= noticeable {
		c.woke(drift)
	}
	return c.base.Add(boot)
}

// woke notes that the machine has slept, and sets the timers anew.
func (c *Clock) woke(drift time.Duration) {
	c.mu.Lock()
	before := time.Duration(c.slept.Load())
	if drift-before < noticeable {
		c.mu.Unlock()
		return
	}
	c.slept.Store(int64(drift))
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

// Since implements clockwork.Clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// After implements clockwork.Clock.
func (c *Clock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// Sleep implements clockwork.Clock.
func (c *Clock) Sleep(d time.Duration) { <-c.After(d) }

// NewTimer implements clockwork.Clock.
func (c *Clock) NewTimer(d time.Duration) clockwork.Timer {
	t := &timer{clock: c, c: make(chan time.Time, 1)}
	t.set(d)
	return t
}

// AfterFunc implements clockwork.Clock.
func (c *Clock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	t := &timer{clock: c, f: f}
	t.set(d)
	return t
}

// NewTicker implements clockwork.Clock.
func (c *Clock) NewTicker(d time.Duration) clockwork.Ticker {
	t := &ticker{timer: timer{clock: c, c: make(chan time.Time, 1), every: d}}
	t.set(d)
	return t
}

// timer is a timer or, where every is set, a ticker. The clock's lock guards its fields.
type timer struct {
	clock *Clock
	// c gets the moment, or f is called.
	c     chan time.Time
	f     func()
	every time.Duration
	due   time.Time
	// real is the runtime's timer, of the clock that stands still in sleep; round tells its
	// firings apart.
	real  *time.Timer
	round int
}

// set starts the timer anew and reports whether it was running.
func (t *timer) set(d time.Duration) bool {
	now := t.clock.Now()
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	was := t.clock.timers[t]
	t.due = now.Add(d)
	t.clock.timers[t] = true
	t.rearm(now)
	return was
}

// rearm has the runtime's timer fire when the timer is due. The clock's lock is held.
func (t *timer) rearm(now time.Time) {
	if t.real != nil {
		t.real.Stop()
	}
	t.round++
	round := t.round
	t.real = time.AfterFunc(max(0, t.due.Sub(now)), func() { t.fire(round) })
}

// fire ends a round, unless the timer was set anew or stopped meanwhile.
func (t *timer) fire(round int) {
	now := t.clock.Now()
	t.clock.mu.Lock()
	if t.round != round || !t.clock.timers[t] {
		t.clock.mu.Unlock()
		return
	}
	if t.every > 0 {
		// Ticks that were missed are not made up for.
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

// Chan implements clockwork.Timer and clockwork.Ticker.
func (t *timer) Chan() <-chan time.Time { return t.c }

// Reset implements clockwork.Timer.
func (t *timer) Reset(d time.Duration) bool {
	t.drain()
	return t.set(d)
}

// Stop implements clockwork.Timer.
func (t *timer) Stop() bool {
	t.clock.mu.Lock()
	was := t.clock.timers[t]
	delete(t.clock.timers, t)
	t.round++
	if t.real != nil {
		t.real.Stop()
	}
	t.clock.mu.Unlock()
	t.drain()
	return was
}

// drain takes back a moment that nobody has received, as the runtime's timers do.
func (t *timer) drain() {
	select {
	case <-t.c:
	default:
	}
}

// ticker implements clockwork.Ticker.
type ticker struct{ timer }

// Reset implements clockwork.Ticker.
func (t *ticker) Reset(d time.Duration) {
	t.clock.mu.Lock()
	t.every = d
	t.clock.mu.Unlock()
	t.drain()
	t.set(d)
}

// Stop implements clockwork.Ticker.
func (t *ticker) Stop() { t.timer.Stop() }
