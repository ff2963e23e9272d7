package boottime

import (
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
)

var _ clockwork.Clock = (*Clock)(nil)

// sleeper is a machine whose clocks go on by word, and that sleeps by word.
type sleeper struct {
	mu             sync.Mutex
	bootAt, awakeT time.Duration
}

func (s *sleeper) boot() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootAt
}

func (s *sleeper) awake() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.awakeT
}

// pass has time pass, and sleep the machine sleep.
func (s *sleeper) pass(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootAt, s.awakeT = s.bootAt+d, s.awakeT+d
}

func (s *sleeper) sleep(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootAt += d
}

// TestCountsSleep checks that the clock counts what the machine slept, and tells of it once.
func TestCountsSleep(t *testing.T) {
	s := &sleeper{bootAt: 100 * time.Hour}
	c := newClock(s)
	slept := make(chan time.Duration, 9)
	c.OnWake(func(d time.Duration) { slept <- d })
	start := c.Now()
	s.pass(time.Second)
	s.sleep(7 * time.Second)
	got := []time.Duration{c.Since(start), c.Since(start), -c.Until(start)}
	s.pass(time.Second)
	got = append(got, c.Since(start))
	want := []time.Duration{8 * time.Second, 8 * time.Second, 8 * time.Second, 9 * time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("time that passed (-want +got):\n%s", diff)
	}
	if d := <-slept; d != 7*time.Second {
		t.Errorf("told of a sleep of %v, want 7s", d)
	}
	if len(slept) > 0 {
		t.Errorf("told again, of %v", <-slept)
	}
}

// TestTimersAfterSleep checks which timers fire once the machine has woken: those that are due, at once,
// and no others.
func TestTimersAfterSleep(t *testing.T) {
	s := &sleeper{}
	c := newClock(s)
	called := make(chan string, 9)
	due, later, stopped := c.NewTimer(time.Hour), c.NewTimer(3*time.Hour), c.NewTimer(time.Hour)
	c.AfterFunc(time.Hour, func() { called <- "due" })
	c.AfterFunc(3*time.Hour, func() { called <- "later" })
	tick := c.NewTicker(time.Hour)
	stopped.Stop()
	s.sleep(2*time.Hour + time.Minute)
	now := c.Now()
	if at := <-due.Chan(); at.Before(now) {
		t.Errorf("the timer fired at %v, before the wake at %v", at, now)
	}
	<-tick.Chan()
	if got := <-called; got != "due" {
		t.Errorf("%s was called", got)
	}
	if later.Stop() != true || stopped.Stop() != false || due.Stop() != false {
		t.Error("which timers run is not known any more")
	}
	// Two ticks were missed and are not made up for; the next is in 59 minutes.
	s.sleep(time.Hour)
	c.Now()
	<-tick.Chan()
	if got := <-called; got != "later" {
		t.Errorf("%s was called, want later", got)
	}
	select {
	case <-stopped.Chan():
		t.Error("a stopped timer fired")
	case <-tick.Chan():
		t.Error("a missed tick was made up for")
	default:
	}
}

// TestTimer checks timers, tickers and Sleep without any sleep of the machine.
func TestTimer(t *testing.T) {
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	before := c.Now()
	c.Sleep(time.Millisecond)
	if c.Since(before) < time.Millisecond {
		t.Error("Sleep came back too early")
	}
	timer := c.NewTimer(time.Hour)
	if !timer.Reset(time.Millisecond) {
		t.Error("the timer did not run")
	}
	<-timer.Chan()
	if timer.Reset(time.Hour) {
		t.Error("the timer still ran")
	}
	timer.Stop()
	tick := c.NewTicker(time.Millisecond)
	<-tick.Chan()
	<-tick.Chan()
	tick.Reset(time.Hour)
	tick.Stop()
	if n := len(c.timers); n != 0 {
		t.Errorf("%d timers are left", n)
	}
}

// BenchmarkNow tells what a reading costs: 86 ns by time.Now before, which stands still in a sleep; 284 ns by
// CLOCK_BOOTTIME, a system call.
func BenchmarkNow(b *testing.B) {
	c, err := New()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("boottime", func(b *testing.B) {
		for b.Loop() {
			c.Now()
		}
	})
	b.Run("time.Now", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
}
