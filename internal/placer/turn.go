package placer

import (
	"context"
	"sync"
	"time"

	"olivetiller/core/quarantine"
	"olivetiller/io/peer"
)

// turns coordinates the copies of isolated requests across the fleet: the lease holder grants turns, so that only one
// copy of such a request runs at a time. It is safe for concurrent use.
type turns struct {
	mu        sync.Mutex
	byRequest *quarantine.Turns
}

// Turn implements [peer.Holder]: it grants or takes back a turn. It returns peer.ErrNotHolder if this node does not
// hold the lease.
func (c *Controller) Turn(q *peer.TurnQuestion) (*peer.Turn, error) {
	if !c.leading.Load() {
		return nil, peer.ErrNotHolder
	}
	t, now := &c.turns, c.o.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Release {
		t.byRequest.Release(q.Request, q.Run, q.Well, now)
		return &peer.Turn{}, nil
	}
	after := t.byRequest.Take(q.Request, q.Run, now)
	if after <= 0 {
		return &peer.Turn{}, nil
	}
	return &peer.Turn{AfterMs: max(1, after.Milliseconds())}, nil
}

// TakeTurn implements isolation.TurnTaker: it asks the lease holder for the turn of an isolated request and returns
// when to ask again; 0 if the turn was granted. If the lease holder does not answer it also returns 0, and each node
// runs such requests by its own turns only.
func (c *Controller) TakeTurn(ctx context.Context, f quarantine.Fingerprint, run string) (after time.Duration) {
	q := &peer.TurnQuestion{Request: f, Run: c.o.Self.Life + "/" + run}
	a, err := askHolder(ctx, c, q, c.Turn, c.o.Peers.Turn)
	if err != nil {
		c.o.Logger.Info("no answer on the turn of an isolated request", "fingerprint", f.String(), "error", err.Error())
		return 0
	}
	return time.Duration(a.AfterMs) * time.Millisecond
}

// ReleaseTurn implements isolation.TurnTaker. It does not wait for the answer: a turn that is not released expires.
func (c *Controller) ReleaseTurn(f quarantine.Fingerprint, run string, well bool) {
	q := &peer.TurnQuestion{Request: f, Run: c.o.Self.Life + "/" + run, Release: true, Well: well}
	go func() {
		if _, err := askHolder(context.Background(), c, q, c.Turn, c.o.Peers.Turn); err != nil {
			c.o.Logger.Debug("turn of an isolated request not released", "fingerprint", f.String(), "error", err.Error())
		}
	}()
}
