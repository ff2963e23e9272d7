package boottime

import (
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
)

var _ clockwork.Clock = (*Clock)(nil)

// fakeSource is a source whose clocks advance only by calls of advance and suspend.
type fakeSource struct {
	mu                  sync.Mutex
	bootAt, monotonicAt time.Duration
}

func (s *fakeSource) boot() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootAt
}

func (s *fakeSource) monotonic() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monotonicAt
}

// advance advances both clocks.
func (s *fakeSource) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootAt, s.monotonicAt = s.bootAt+d, s.monotonicAt+d
}

// suspend simulates a suspend of the machine: only the boot clock advances.
func (s *fakeSource) suspend(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootAt += d
}

// TestClockIncludesSuspend checks that the clock includes a suspend and calls the hooks exactly once for it.
func TestClockIncludesSuspend(t *testing.T) {
	s := &fakeSource{bootAt: 100 * time.Hour}
	c := newClock(s)
	suspends := make(chan time.Duration, 9)
	c.OnWake(func(d time.Duration) { suspends <- d })
	start := c.Now()
	s.advance(time.Second)
	s.suspend(7 * time.Second)
	got := []time.Duration{c.Since(start), c.Since(start), -c.Until(start)}
	s.advance(time.Second)
	got = append(got, c.Since(start))
	want := []time.Duration{8 * time.Second, 8 * time.Second, 8 * time.Second, 9 * time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("elapsed times (-want +got):\n%s", diff)
	}
	if d := <-suspends; d != 7*time.Second {
		t.Errorf("hook called for a suspend of %v, want 7s", d)
	}
	if len(suspends) > 0 {
		t.Errorf("hook called again, for %v", <-suspends)
	}
}

// TestTimersAfterSuspend guards against timers that wait for the duration of a suspend in addition: after a resume, the
// timers that are due fire at once, and no others do.
func TestTimersAfterSuspend(t *testing.T) {
	s := &fakeSource{}
	c := newClock(s)
	called := make(chan string, 9)
	due, later, stopped := c.NewTimer(time.Hour), c.NewTimer(3*time.Hour), c.NewTimer(time.Hour)
	c.AfterFunc(time.Hour, func() { called <- "due" })
	c.AfterFunc(3*time.Hour, func() { called <- "later" })
	tick := c.NewTicker(time.Hour)
	stopped.Stop()
	s.suspend(2*time.Hour + time.Minute)
	now := c.Now()
	if at := <-due.Chan(); at.Before(now) {
		t.Errorf("timer fired with time %v, before the resume at %v", at, now)
	}
	<-tick.Chan()
	if got := <-called; got != "due" {
		t.Errorf("AfterFunc called %s, want due", got)
	}
	if later.Stop() != true || stopped.Stop() != false || due.Stop() != false {
		t.Error("Stop reported the wrong state of a timer")
	}
	// Two ticks were missed and are skipped; the next one is due in 59 minutes.
	s.suspend(time.Hour)
	c.Now()
	<-tick.Chan()
	if got := <-called; got != "later" {
		t.Errorf("AfterFunc called %s, want later", got)
	}
	select {
	case <-stopped.Chan():
		t.Error("a stopped timer fired")
	case <-tick.Chan():
		t.Error("a missed tick was sent later")
	default:
	}
}

// TestTimer checks timers, tickers and Sleep on the real clock, without a suspend.
func TestTimer(t *testing.T) {
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	before := c.Now()
	c.Sleep(time.Millisecond)
	if c.Since(before) < time.Millisecond {
		t.Error("Sleep returned too early")
	}
	timer := c.NewTimer(time.Hour)
	if !timer.Reset(time.Millisecond) {
		t.Error("Reset reported that the timer was not running")
	}
	<-timer.Chan()
	if timer.Reset(time.Hour) {
		t.Error("Reset reported that the timer was still running after it fired")
	}
	timer.Stop()
	tick := c.NewTicker(time.Millisecond)
	<-tick.Chan()
	<-tick.Chan()
	tick.Reset(time.Hour)
	tick.Stop()
	if n := len(c.timers); n != 0 {
		t.Errorf("%d timers are still registered", n)
	}
}

// BenchmarkNow compares the cost of a reading: 284 ns by CLOCK_BOOTTIME, which is a system call, and 86 ns by time.Now,
// which does not advance during a suspend.
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
