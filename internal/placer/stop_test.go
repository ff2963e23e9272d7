package placer

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/lease"
)

// heldAppend is an append that a test answers.
type heldAppend struct {
	at     uint64
	record lease.Record
	// refused receives the answer: true if the append is refused.
	refused chan bool
}

// heldStore is a store whose appends wait for the test.
type heldStore struct {
	Store
	appends chan heldAppend
}

func (s heldStore) Append(ctx context.Context, at uint64, raw []byte) (uint64, error) {
	a := heldAppend{at: at, refused: make(chan bool)}
	if err := json.Unmarshal(raw, &a.record); err != nil {
		return 0, err
	}
	s.appends <- a
	select {
	case refused := <-a.refused:
		if refused {
			return 0, errors.New("the topic ends elsewhere")
		}
		return at, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// TestStopDuringAppend guards against a node that orders engines beside the next lease holder after its stop: the answer to
// its release, or to an append from before the stop, gave it the lease again.
func TestStopDuringAppend(t *testing.T) {
	tests := []struct {
		name string
		// renewal is true if a renewal awaits its answer at the stop, and false if a takeover does.
		renewal bool
		// answered is true if the append from before the stop is acknowledged; the release then follows it.
		answered bool
	}{
		{"a renewal without an answer", true, false},
		{"a renewal that is acknowledged after the stop", true, true},
		{"a takeover that is acknowledged after the stop", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, clock := t.Context(), clockwork.NewFakeClock()
			c, appends := newController(clock), make(chan heldAppend, 9)
			c.o.Store, c.listed = heldStore{appends: appends}, true
			// handle has the owner handle the next message, and act on it.
			handle := func() {
				(<-c.inbox.C).handle(c)
				c.step(ctx)
			}
			next := func() heldAppend {
				t.Helper()
				if !c.lease.Appending() {
					t.Fatal("the node appends no record")
				}
				return <-appends
			}
			c.lease.CaughtUp(0, clock.Now())
			c.step(ctx)
			clock.Advance(c.o.TakeoverDelay)
			c.step(ctx)
			before := next()
			if tt.renewal {
				before.refused <- false
				handle()
				if !c.held {
					t.Fatal("the node does not hold the lease")
				}
				clock.Advance(lease.RenewEvery)
				c.lease.CaughtUp(1, clock.Now())
				c.step(ctx)
				before = next()
			}
			c.BeginStop(ctx)
			handle()
			if tt.answered {
				if tt.renewal {
					early := next()
					early.refused <- true
					handle()
				}
				before.refused <- false
				handle()
				c.lease.CaughtUp(before.at+1, clock.Now())
				c.step(ctx)
			}
			if c.held {
				t.Error("the node orders engines after its stop")
			}
			release := next()
			if !release.record.Release {
				t.Fatalf("record %+v, want a release", release.record)
			}
			release.refused <- false
			handle()
			if _, held := c.lease.Held(clock.Now()); held || c.held {
				t.Error("the node holds the lease after its release was acknowledged")
			}
		})
	}
}
