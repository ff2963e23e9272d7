package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"olivetiller/core/ledger"
	"olivetiller/io/logservice"
	pb "olivetiller/proto/olivetiller/v1"
)

// Times of a boot.
const (
	bootRetry    = 300 * time.Millisecond
	bootPage     = 64
	bootLogWait  = 3 * time.Second
	listPatience = 3 * time.Second
)

// bootAndTail takes the newest state there is and then follows the log.
func (c *Controller) bootAndTail(ctx context.Context) {
	c.awaitList(ctx)
	for ctx.Err() == nil {
		if s, target, ok := c.newestState(ctx); ok {
			c.next.Store(s.NextOffset)
			c.inbox.Send(ctx, bootState{state: s, target: target})
			break
		}
		c.Logger.Warn("no state to start from; trying again", "remedy", "the log service or a peer must be reachable")
		c.pause(ctx, bootRetry)
	}
	logservice.Tail(ctx, c.Log, c.Clock, c, c.tailsNow)
}

// awaitList waits a little for the first list, so that peers can be asked.
func (c *Controller) awaitList(ctx context.Context) {
	until := c.Clock.Now().Add(listPatience)
	for ctx.Err() == nil && c.Clock.Now().Before(until) {
		if read, ok := ask(ctx, c, func(c *Controller) bool { return c.listRead }); read || !ok {
			return
		}
		c.pause(ctx, 20*time.Millisecond)
	}
}

// newestState returns the newest of what the log and the peers have, and the
// offset up to which the node must fold before it serves. ok is false when
// neither can say what has been decided.
func (c *Controller) newestState(ctx context.Context) (best *ledger.State, target uint64, ok bool) {
	logCtx, cancel := context.WithTimeout(ctx, bootLogWait)
	defer cancel()
	page, logErr := c.Log.Read(logCtx, 0, 0, 1)
	if logErr == nil {
		target = page.Next
		if page.Earliest == 0 {
			best = ledger.NewState()
		}
		if s := c.logSnapshot(logCtx); s != nil && s.NextOffset >= page.Earliest && (best == nil || s.NextOffset > best.NextOffset) {
			best = s
		}
	}
	for _, s := range c.peerStates(ctx) {
		target = max(target, s.NextOffset)
		if best == nil || s.NextOffset > best.NextOffset {
			best = s
		}
	}
	return best, target, best != nil
}

// logSnapshot returns the newest snapshot on the log, or nil.
func (c *Controller) logSnapshot(ctx context.Context) *ledger.State {
	var chunks []*pb.SnapshotChunk
	for from := uint64(0); ; {
		p, err := c.Snapshots.Read(ctx, from, 0, bootPage)
		if err != nil || len(p.Records) == 0 {
			break
		}
		for _, r := range p.Records {
			var ch pb.SnapshotChunk
			if proto.Unmarshal(r.Data, &ch) == nil {
				chunks = append(chunks, &ch)
			}
			from = r.Offset + 1
		}
	}
	return assemble(chunks)
}

// peerStates asks every peer for its state.
func (c *Controller) peerStates(ctx context.Context) []*ledger.State {
	peers := c.Members(ctx)
	found := make(chan *ledger.State, len(peers))
	for _, m := range peers {
		go func() {
			resp, err := c.call(ctx, m, fetchTimeout, &pb.PeerRequest{Body: &pb.PeerRequest_SnapshotFetch{SnapshotFetch: &pb.SnapshotFetch{}}})
			if err != nil || len(resp.GetSnapshot().GetData()) == 0 {
				found <- nil
				return
			}
			s, err := ledger.Decode(resp.GetSnapshot().GetData(), resp.GetSnapshot().GetHash())
			if err != nil {
				c.Logger.Warn("peer gave a damaged snapshot", "peer", m.Node, "error", err.Error())
			}
			found <- s
		}()
	}
	var out []*ledger.State
	for range peers {
		if s := <-found; s != nil {
			out = append(out, s)
		}
	}
	return out
}

// bootState is the state to start from.
type bootState struct {
	state  *ledger.State
	target uint64
}

func (m bootState) handle(c *Controller) {
	if c.booted && m.state.NextOffset <= c.state.NextOffset {
		return
	}
	c.state = m.state
	c.builder.TouchAll()
	c.adoptWeights()
	c.booted = true
	c.target = max(c.target, m.target)
	c.snap.lastMark = m.state.NextOffset
	c.Logger.Info("state taken", "nextOffset", m.state.NextOffset, "target", m.target)
	entries{}.handle(c)
	c.dirty = true
}

// gap is a stretch of the log that was trimmed before this node read it.
type gap struct{ earliest uint64 }

func (m gap) handle(c *Controller) {
	if !c.booted || c.state.NextOffset >= m.earliest {
		return
	}
	c.Logger.Warn("the log no longer holds what this node lacks; fetching a state", "nextOffset", c.state.NextOffset, "earliest", m.earliest)
	c.caughtUp = false
	c.dirty = true
	go c.refetch()
}

// refetch takes a newer state after a gap.
func (c *Controller) refetch() {
	ctx := context.Background()
	for {
		if s, target, ok := c.newestState(ctx); ok {
			c.inbox.Send(ctx, bootState{state: s, target: target})
			return
		}
		c.pause(ctx, bootRetry)
	}
}
