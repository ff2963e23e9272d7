package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"olivetiller/core/ledger"
	"olivetiller/io/logservice"
	pb "olivetiller/proto/olivetiller/v1"
)

// Delays, timeouts and page size of the boot.
const (
	bootRetryDelay = 300 * time.Millisecond
	bootPageSize   = 64 // log entries per read
	bootLogWait    = 3 * time.Second
	listWait       = 3 * time.Second
)

// bootAndTail starts from the newest available state and then tails the log until
// the context ends.
func (c *Controller) bootAndTail(ctx context.Context) {
	c.awaitList(ctx)
	for ctx.Err() == nil {
		if s, target, ok := c.fetchNewestState(ctx); ok {
			c.next.Store(s.NextOffset)
			c.inbox.Send(ctx, bootState{state: s, target: target})
			break
		}
		c.Logger.Warn("no state available to start from; retrying", "remedy", "the log service or a peer must be reachable")
		c.pause(ctx, bootRetryDelay)
	}
	logservice.Tail(ctx, c.Log, c.Clock, c, c.shouldTail)
}

// awaitList waits up to listWait for the first instance list, which names the
// peers to fetch a state from.
func (c *Controller) awaitList(ctx context.Context) {
	until := c.Clock.Now().Add(listWait)
	for ctx.Err() == nil && c.Clock.Now().Before(until) {
		if read, ok := ask(ctx, c, func(c *Controller) bool { return c.listRead }); read || !ok {
			return
		}
		c.pause(ctx, 20*time.Millisecond)
	}
}

// fetchNewestState returns the newest state among the start of the log, its latest
// snapshot and the states of the peers, and the offset up to which this node must
// apply the log before it serves. ok is false if neither the log nor a peer yields
// a state.
func (c *Controller) fetchNewestState(ctx context.Context) (best *ledger.State, target uint64, ok bool) {
	logCtx, cancel := context.WithTimeout(ctx, bootLogWait)
	defer cancel()
	page, logErr := c.Log.Read(logCtx, 0, 0, 1)
	if logErr == nil {
		target = page.Next
		if page.Earliest == 0 {
			best = ledger.NewState()
		}
		if s := c.readLogSnapshot(logCtx); s != nil && s.NextOffset >= page.Earliest && (best == nil || s.NextOffset > best.NextOffset) {
			best = s
		}
	}
	for _, s := range c.fetchPeerStates(ctx) {
		target = max(target, s.NextOffset)
		if best == nil || s.NextOffset > best.NextOffset {
			best = s
		}
	}
	return best, target, best != nil
}

// readLogSnapshot returns the state of the newest complete snapshot on the
// snapshot stream, or nil.
func (c *Controller) readLogSnapshot(ctx context.Context) *ledger.State {
	var chunks []*pb.SnapshotChunk
	for from := uint64(0); ; {
		p, err := c.Snapshots.Read(ctx, from, 0, bootPageSize)
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

// fetchPeerStates requests the state of every peer and returns those that arrive.
func (c *Controller) fetchPeerStates(ctx context.Context) []*ledger.State {
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
				c.Logger.Warn("peer returned a damaged snapshot", "peer", m.Node, "error", err.Error())
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

// bootState replaces the state of the controller, at boot or after a gap in the
// log. target is the offset up to which the log must be applied before the node
// serves.
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
	c.applyWeights()
	c.booted = true
	c.catchUpTarget = max(c.catchUpTarget, m.target)
	c.snap.lastMark = m.state.NextOffset
	c.Logger.Info("initial state loaded", "nextOffset", m.state.NextOffset, "target", m.target)
	entries{}.handle(c)
	c.viewStale = true
}

// trimmedLog reports that the log was trimmed up to the offset earliest before this
// node had read all entries below it.
type trimmedLog struct{ earliest uint64 }

func (m trimmedLog) handle(c *Controller) {
	if !c.booted || c.state.NextOffset >= m.earliest {
		return
	}
	c.Logger.Warn("the log was trimmed beyond this node's next offset; fetching a newer state", "nextOffset", c.state.NextOffset, "earliest", m.earliest)
	c.caughtUp = false
	c.viewStale = true
	go c.refetchState()
}

// refetchState fetches a newer state after a gap, with retries until one arrives.
func (c *Controller) refetchState() {
	ctx := context.Background()
	for {
		if s, target, ok := c.fetchNewestState(ctx); ok {
			c.inbox.Send(ctx, bootState{state: s, target: target})
			return
		}
		c.pause(ctx, bootRetryDelay)
	}
}
