package traffic

import (
	"context"
	"time"

	"olivetiller/core/refusal"
)

const (
	// decideShare is the part of a request's objective after which it is decided
	// whether it waits on: by then the home has answered, and a caller that is
	// sent away within a quarter of its objective loses little.
	decideShare = 5
	// returnShare is the part of its remaining time that a caller is at most
	// willing to stay away.
	returnShare = 3
	// returnMargin is added to the time at which a model is expected.
	returnMargin = 150 * time.Millisecond
)

// StopWaiting refuses all requests that wait, and from here on those that would:
// the process is about to end, and another node can still serve them.
func (d *Dispatcher) StopWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.stopped:
	default:
		close(d.stopped)
	}
}

// wait blocks until the waiter is granted a place, its time is up, or it is
// better told to come back later.
func (d *Dispatcher) wait(ctx context.Context, p *pool, w *waiter, a Ask, start time.Time, cold bool) (*Slot, error) {
	timer := d.clock.NewTimer(a.until().Sub(start))
	defer timer.Stop()
	var decide <-chan time.Time
	if a.Objective > 0 {
		decide = d.clock.After(a.Objective / decideShare)
	}
	var pl place
	for {
		granted := true
		var refused error
		select {
		case pl = <-w.granted:
		case <-decide:
			decide = nil
			if refused = d.reconsider(p, w, start); refused == nil {
				continue
			}
			pl, granted = d.leave(p, w)
		case <-d.stopped:
			refused = refusal.New(refusal.Stopping, "this node ends; %s is not served here in time", p.name)
			pl, granted = d.leave(p, w)
		case <-timer.Chan():
			pl, granted = d.leave(p, w)
		case <-ctx.Done():
			pl, granted = d.leave(p, w)
		}
		now := d.clock.Now()
		switch {
		case granted:
			return d.slot(p, pl, &a, start, now, cold), nil
		case refused != nil:
			return nil, refused
		}
		return nil, refusal.New(refusal.WaitedTooLong, "no place at %s came free within %s", p.name, now.Sub(start).Round(time.Millisecond))
	}
}

// reconsider returns why a waiting request is better refused now: its model will
// come too late for its objective, and the caller can come back when it is there.
func (d *Dispatcher) reconsider(p *pool, w *waiter, start time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if len(p.endpoints) > 0 || p.readyAt.IsZero() {
		return nil
	}
	least, left := p.readyAt.Sub(now), w.ask.Deadline.Sub(now)
	switch {
	case p.readyAt.After(w.ask.until()):
		// Waiting would only keep its caller from asking again.
		least = min(least, left/returnShare)
	case now.Add(least).Before(start.Add(w.ask.Objective)), !w.ask.Returns, (least+returnMargin)*returnShare > left:
		return nil
	}
	p.sentAway++
	return refusal.New(refusal.CannotMakeDeadline, "%s is ready in %s, later than the objective", p.name, p.readyAt.Sub(now).Round(time.Millisecond)).After(least + returnMargin)
}

// leave takes a waiter out of the queue. If it was granted a place in the same
// moment it keeps the place: giving up then would waste it.
func (d *Dispatcher) leave(p *pool, w *waiter) (place, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.queue.Remove(w.item) {
		return place{}, false
	}
	return <-w.granted, true
}
