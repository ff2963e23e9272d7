package placer

import (
	"context"
	"sync"
	"time"

	"olivetiller/core/quarantine"
	"olivetiller/io/peer"
)

// turns are those that this node, as the holder, gives to copies of isolated requests. It is
// safe for concurrent use.
type turns struct {
	mu sync.Mutex
	of *quarantine.Turns
}

// Turn implements peer.Holder.
func (c *Controller) Turn(q *peer.TurnQuestion) (*peer.Turn, error) {
	if !c.leading.Load() {
		return nil, peer.ErrNotHolder
	}
	t, now := &c.turns, c.o.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Release {
		t.of.Release(q.Request, q.Run, q.Well, now)
		return &peer.Turn{}, nil
	}
	after := t.of.Take(q.Request, q.Run, now)
	if after <= 0 {
		return &peer.Turn{}, nil
	}
	return &peer.Turn{AfterMs: max(1, after.Milliseconds())}, nil
}

// TakeTurn implements isolation.TurnTaker. Without an answer each node gives turns by itself.
func (c *Controller) TakeTurn(ctx context.Context, f quarantine.Fingerprint, run string) (after time.Duration) {
	q := &peer.TurnQuestion{Request: f, Run: c.o.Self.Life + "/" + run}
	a, err := askHolder(ctx, c, q, c.Turn, c.o.Peers.Turn)
	if err != nil {
		c.o.Logger.Info("no word on the turn of an isolated request", "fingerprint", f.String(), "error", err.Error())
		return 0
	}
	return time.Duration(a.AfterMs) * time.Millisecond
}

// ReleaseTurn implements isolation.TurnTaker. It does not wait: a turn that is not given back ends
// by itself.
func (c *Controller) ReleaseTurn(f quarantine.Fingerprint, run string, well bool) {
	q := &peer.TurnQuestion{Request: f, Run: c.o.Self.Life + "/" + run, Release: true, Well: well}
	go func() {
		if _, err := askHolder(context.Background(), c, q, c.Turn, c.o.Peers.Turn); err != nil {
			c.o.Logger.Debug("turn of an isolated request not given back", "fingerprint", f.String(), "error", err.Error())
		}
	}()
}
