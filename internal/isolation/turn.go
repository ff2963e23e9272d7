package isolation

import (
	"context"
	"strconv"
	"time"

	"olivetiller/core/quarantine"
	"olivetiller/core/refusal"
)

const (
	// turnAgain is the longest pause before the turn of an isolated request is asked for again:
	// what is thought of it may have changed.
	turnAgain = 50 * time.Millisecond
	// turnWait is how long a copy waits for its turn with a place at an engine in hand.
	turnWait = 500 * time.Millisecond
	// turnHint is when to come back after that.
	turnHint = time.Second
)

// TurnTaker has the copies of an isolated request run one after the other over all nodes.
type TurnTaker interface {
	// TakeTurn takes the turn for a run. It returns 0, or after what time to ask again.
	TakeTurn(ctx context.Context, f quarantine.Fingerprint, run string) (after time.Duration)
	// ReleaseTurn gives it back; well is true where an engine has answered the run.
	ReleaseTurn(f quarantine.Fingerprint, run string, well bool)
}

// Turn waits until a copy of a request may run. A request that is not isolated need not wait. The
// function returned is to be called when the run is over.
func (g *Guard) Turn(ctx context.Context, f quarantine.Fingerprint) (release func(well bool), err error) {
	run := strconv.FormatInt(g.turnSeq.Add(1), 10)
	until := g.o.Clock.Now().Add(turnWait)
	for {
		if err := g.Held(f); err != nil {
			return nil, err
		}
		if g.State(f) != quarantine.Isolated {
			return func(bool) {}, nil
		}
		after := g.takeTurn(ctx, f, run)
		if after <= 0 {
			return func(well bool) { g.releaseTurn(f, run, well) }, nil
		}
		if !g.o.Clock.Now().Add(min(after, turnAgain)).Before(until) {
			return nil, refusal.New(refusal.Quarantined, "engines ended under request %s, and another copy of it runs", f).After(max(turnHint, after))
		}
		select {
		case <-g.o.Clock.After(min(after, turnAgain)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// takeTurn takes a turn here first, so that a node asks the others once for many copies.
func (g *Guard) takeTurn(ctx context.Context, f quarantine.Fingerprint, run string) (after time.Duration) {
	g.mu.Lock()
	after = g.turns.Take(f, run, g.o.Clock.Now())
	g.mu.Unlock()
	if after > 0 || g.o.Turns == nil {
		return after
	}
	if after = g.o.Turns.TakeTurn(ctx, f, run); after > 0 {
		g.releaseHere(f, run, true)
	}
	return after
}

func (g *Guard) releaseTurn(f quarantine.Fingerprint, run string, well bool) {
	g.releaseHere(f, run, well)
	if g.o.Turns != nil {
		g.o.Turns.ReleaseTurn(f, run, well)
	}
}

func (g *Guard) releaseHere(f quarantine.Fingerprint, run string, well bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turns.Release(f, run, well, g.o.Clock.Now())
}
