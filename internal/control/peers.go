package control

import (
	"context"
	"time"

	"olivetiller/core/ledger"
	"olivetiller/core/membership"
	"olivetiller/io/node"
	pb "olivetiller/proto/olivetiller/v1"
)

// Intervals and timeouts of calls to peers.
const (
	probeInterval = time.Second
	probeTimeout  = time.Second
	notifyTimeout = time.Second
	fetchTimeout  = 3 * time.Second
	// maxFetchedEntries bounds the log entries in one answer to a peer.
	maxFetchedEntries = 500
)

// Members returns the other nodes that have an address and are in the instance
// list or were recently alive.
func (c *Controller) Members(ctx context.Context) []membership.Member {
	out, _ := ask(ctx, c, func(c *Controller) []membership.Member { return c.members.Peers(c.Clock.Now()) })
	return out
}

// call sends a request to a member and returns its response. A response counts as
// evidence that the member is alive.
func (c *Controller) call(ctx context.Context, m membership.Member, timeout time.Duration, req *pb.PeerRequest) (*pb.PeerResponse, error) {
	cctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.Peers.Call(cctx, m.Node, m.Address, req)
	if err == nil {
		c.inbox.Send(ctx, peerContact{ref: ledger.NodeRef{Node: resp.GetNode(), Incarnation: resp.GetIncarnation()}})
	}
	return resp, err
}

// peerContact is direct evidence that a node incarnation is alive.
type peerContact struct{ ref ledger.NodeRef }

func (m peerContact) handle(c *Controller) { c.members.ObserveAlive(m.ref, c.Clock.Now()) }

// probeLoop probes the neighbours every probeInterval. Their answers prove that
// they are alive and report their next offset.
func (c *Controller) probeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		round, ok := ask(ctx, c, (*Controller).nextProbes)
		if !ok {
			return
		}
		for _, m := range round.targets {
			go c.probe(ctx, m, round.news)
		}
		c.pause(ctx, probeInterval)
	}
}

// probeTargets holds the members to probe and the membership news to send to them.
type probeTargets struct {
	targets []membership.Member
	news    []*pb.News
}

// nextProbes returns the next round of probes.
func (c *Controller) nextProbes() probeTargets {
	now := c.Clock.Now()
	targets, watched := membership.ProbeRound(c.Self.Node, c.members.Peers(now), c.probeRound)
	c.probeRound++
	// The feeder is probed too: its answer shows whether it has newer entries.
	if f, ok := c.members.Member(c.feed.Feeder); ok && !probed(targets, f.Node) {
		targets = append(targets, f)
	}
	c.members.SetProbed(watched, now)
	return probeTargets{targets: targets, news: c.newsToProto(now)}
}

// probed reports whether targets contains the node with this name.
func probed(targets []membership.Member, name string) bool {
	for _, m := range targets {
		if m.Node == name {
			return true
		}
	}
	return false
}

func (c *Controller) newsToProto(now time.Time) []*pb.News {
	var out []*pb.News
	for _, n := range c.members.News(now) {
		out = append(out, &pb.News{Node: n.Node, Incarnation: n.Incarnation, AgeMs: n.Age.Milliseconds(), Silent: n.Silent})
	}
	return out
}

func (c *Controller) mergeNews(list []*pb.News, now time.Time) {
	for _, n := range list {
		c.members.Merge(membership.News{
			NodeRef: ledger.NodeRef{Node: n.GetNode(), Incarnation: n.GetIncarnation()},
			Age:     time.Duration(n.GetAgeMs()) * time.Millisecond, Silent: n.GetSilent(),
		}, now)
	}
}

func (c *Controller) probe(ctx context.Context, m membership.Member, news []*pb.News) {
	ping := &pb.Ping{NextOffset: c.next.Load(), News: news}
	resp, err := c.call(ctx, m, probeTimeout, &pb.PeerRequest{Body: &pb.PeerRequest_Ping{Ping: ping}})
	if err != nil || resp.GetAck() == nil {
		return
	}
	c.inbox.Send(ctx, probeAnswered{from: m, ack: resp.GetAck()})
}

// probeAnswered is the answer of a peer to a probe.
type probeAnswered struct {
	from membership.Member
	ack  *pb.Ack
}

func (m probeAnswered) handle(c *Controller) {
	now := c.Clock.Now()
	c.lastContact.Store(now.UnixNano())
	if m.ack.GetStopping() {
		c.members.SetLeaving(m.from.Node)
	}
	c.mergeNews(m.ack.GetNews(), now)
	if m.from.Node == c.feed.Feeder {
		c.feederAckedAt.Store(now.UnixNano())
	}
	if c.booted && m.ack.GetNextOffset() > c.state.NextOffset {
		go c.fetchFrom(m.from, c.state.NextOffset)
	}
}

// fetchFrom fetches log entries from a peer that has applied more, so that a node
// without access to the log stays up to date.
func (c *Controller) fetchFrom(m membership.Member, from uint64) {
	ctx := context.Background()
	resp, err := c.call(ctx, m, fetchTimeout, &pb.PeerRequest{Body: &pb.PeerRequest_LogFetch{LogFetch: &pb.LogFetch{From: from}}})
	if err != nil || resp.GetLogPush() == nil {
		return
	}
	list := resp.GetLogPush().GetEntries()
	var target uint64
	if n := len(list); n > 0 {
		target = list[n-1].GetOffset() + 1
	}
	c.inbox.Send(ctx, entries{list: list, target: target})
}

// sendToAll sends a request to members in the background and ignores the answers.
// It is called by the control goroutine.
func (c *Controller) sendToAll(to []membership.Member, req *pb.PeerRequest) {
	for _, m := range to {
		r := &pb.PeerRequest{Body: req.Body}
		go func() { _, _ = c.call(context.Background(), m, notifyTimeout, r) }()
	}
}

// sendToNeighbours sends a request to the neighbours, which forward to theirs what
// they did not know.
func (c *Controller) sendToNeighbours(req *pb.PeerRequest) {
	c.sendToAll(membership.Neighbours(c.Self.Node, c.members.Peers(c.Clock.Now())), req)
}

// forwardEntries makes the control goroutine forward log entries to the followers
// of this node in the feed.
type forwardEntries struct{ list []*pb.LogEntry }

func (m forwardEntries) handle(c *Controller) {
	if len(m.list) > 0 && len(c.feed.Followers) > 0 {
		c.sendToAll(c.feed.Followers, &pb.PeerRequest{Body: &pb.PeerRequest_LogPush{LogPush: &pb.LogPush{Entries: m.list}}})
	}
}

// updateFeed computes the feed of this node from the members that are alive and not
// leaving: whether it tails the log, its feeder and its followers.
func (c *Controller) updateFeed(now time.Time) {
	live := c.members.Peers(now)
	kept := live[:0]
	for _, m := range live {
		if !m.Leaving && c.members.Alive(m.NodeRef, now) {
			kept = append(kept, m)
		}
	}
	c.feed = membership.FeedOf(c.Self.Node, c.Hall, kept)
	c.tailsLog.Store(c.feed.TailsLog)
}

// feederTimeout is the time since the feeder's last answer after which a node reads
// the log itself.
const feederTimeout = 2 * time.Second

// shouldTail reports whether this node should read the log itself now: by the feed,
// or because its feeder does not answer.
func (c *Controller) shouldTail() bool {
	return c.tailsLog.Load() || c.Clock.Now().Sub(time.Unix(0, c.feederAckedAt.Load())) > feederTimeout
}

// sendToHome sends a demand report to a home in the background. It is called by the
// control goroutine.
func (c *Controller) sendToHome(home string, units []*pb.UnitDemand) {
	m, ok := c.members.Member(home)
	if !ok {
		return
	}
	req := &pb.PeerRequest{Body: &pb.PeerRequest_Demand{Demand: &pb.Demand{Units: units}}}
	go func() {
		ctx := context.Background()
		if _, err := c.call(ctx, m, notifyTimeout, req); err == nil {
			c.inbox.Send(ctx, homeAck{home: home})
		}
	}()
}

// Answers provides the answers to once-only requests that this node ran.
type Answers interface {
	// Fetch returns the answer to a request, or the state of its run.
	Fetch(ctx context.Context, f *pb.AnswerFetch) *pb.Answer
}

// PeerHandler returns the handler of requests from peers.
func (c *Controller) PeerHandler(answers Answers) node.Handler {
	return func(ctx context.Context, from ledger.NodeRef, req *pb.PeerRequest) *pb.PeerResponse {
		c.inbox.Send(ctx, peerContact{ref: from})
		switch b := req.GetBody().(type) {
		case *pb.PeerRequest_Ping:
			return c.answerPing(ctx, b.Ping)
		case *pb.PeerRequest_Demand:
			done := make(chan struct{})
			c.inbox.Send(ctx, peerDemand{node: from.Node, units: b.Demand.GetUnits(), done: done})
			select {
			case <-done:
			case <-ctx.Done():
			}
		case *pb.PeerRequest_LogPush:
			c.inbox.Send(ctx, entries{list: b.LogPush.GetEntries()})
		case *pb.PeerRequest_LogFetch:
			return &pb.PeerResponse{Body: &pb.PeerResponse_LogPush{LogPush: &pb.LogPush{Entries: c.recent(b.LogFetch.GetFrom())}}}
		case *pb.PeerRequest_SnapshotFetch:
			return &pb.PeerResponse{Body: &pb.PeerResponse_Snapshot{Snapshot: c.encodeState(ctx)}}
		case *pb.PeerRequest_Leaving:
			c.inbox.Send(ctx, leavingReported{ids: b.Leaving.GetInstances()})
		case *pb.PeerRequest_AnswerFetch:
			return &pb.PeerResponse{Body: &pb.PeerResponse_Answer{Answer: answers.Fetch(ctx, b.AnswerFetch)}}
		}
		return &pb.PeerResponse{Body: &pb.PeerResponse_Ack{Ack: &pb.Ack{}}}
	}
}

// handlePing merges the membership news of a probe and returns the answer to it.
func (c *Controller) handlePing(ping *pb.Ping) *pb.Ack {
	now := c.Clock.Now()
	c.mergeNews(ping.GetNews(), now)
	return &pb.Ack{NextOffset: c.state.NextOffset, Stopping: c.stopping.Load(), News: c.newsToProto(now)}
}

// answerPing answers a probe. The answer is made by the control goroutine, so that
// it proves that the goroutine is running.
func (c *Controller) answerPing(ctx context.Context, ping *pb.Ping) *pb.PeerResponse {
	ack, ok := ask(ctx, c, func(c *Controller) *pb.Ack { return c.handlePing(ping) })
	if !ok {
		ack = &pb.Ack{}
	}
	return &pb.PeerResponse{Body: &pb.PeerResponse_Ack{Ack: ack}}
}
