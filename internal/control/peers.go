package control

import (
	"context"
	"time"

	"olivetiller/core/ledger"
	"olivetiller/core/membership"
	"olivetiller/io/node"
	pb "olivetiller/proto/olivetiller/v1"
)

// Times toward peers.
const (
	probeEvery   = time.Second
	probeTimeout = time.Second
	tellTimeout  = time.Second
	fetchTimeout = 3 * time.Second
	// fetchMost bounds the entries that a peer gives at once.
	fetchMost = 500
)

// Members returns the other nodes that are listed or were heard of.
func (c *Controller) Members(ctx context.Context) []membership.Member {
	out, _ := ask(ctx, c, func(c *Controller) []membership.Member { return c.members.Peers(c.Clock.Now()) })
	return out
}

// call sends a request to a member.
func (c *Controller) call(ctx context.Context, m membership.Member, timeout time.Duration, req *pb.PeerRequest) (*pb.PeerResponse, error) {
	cctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.Peers.Call(cctx, m.Node, m.Address, req)
	if err == nil {
		c.inbox.Send(ctx, peerHeard{ref: ledger.NodeRef{Node: resp.GetNode(), Incarnation: resp.GetIncarnation()}})
	}
	return resp, err
}

// peerHeard is a sign of life of a node.
type peerHeard struct{ ref ledger.NodeRef }

func (m peerHeard) handle(c *Controller) { c.members.Heard(m.ref, c.Clock.Now()) }

// probeLoop asks the neighbours for a sign of life and for what they have folded.
func (c *Controller) probeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		round, ok := ask(ctx, c, (*Controller).nextProbes)
		if !ok {
			return
		}
		for _, m := range round.targets {
			go c.probe(ctx, m, round.news)
		}
		c.pause(ctx, probeEvery)
	}
}

// probeRound is whom to probe and what to tell them.
type probeRound struct {
	targets []membership.Member
	news    []*pb.News
}

// nextProbes returns the next round of probes.
func (c *Controller) nextProbes() probeRound {
	now := c.Clock.Now()
	targets, watched := membership.Round(c.Self.Node, c.members.Peers(now), c.round)
	c.round++
	// The feeder is probed too: its answer says whether it is ahead.
	if f, ok := c.members.Member(c.feed.Feeder); ok && !probed(targets, f.Node) {
		targets = append(targets, f)
	}
	c.members.Probing(watched, now)
	return probeRound{targets: targets, news: c.newsOut(now)}
}

func probed(targets []membership.Member, name string) bool {
	for _, m := range targets {
		if m.Node == name {
			return true
		}
	}
	return false
}

func (c *Controller) newsOut(now time.Time) []*pb.News {
	var out []*pb.News
	for _, n := range c.members.News(now) {
		out = append(out, &pb.News{Node: n.Node, Incarnation: n.Incarnation, AgeMs: n.Age.Milliseconds(), Silent: n.Silent})
	}
	return out
}

func (c *Controller) takeNews(list []*pb.News, now time.Time) {
	for _, n := range list {
		c.members.Take(membership.News{
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
	c.inbox.Send(ctx, acked{from: m, ack: resp.GetAck()})
}

// acked is a peer's answer to a probe.
type acked struct {
	from membership.Member
	ack  *pb.Ack
}

func (m acked) handle(c *Controller) {
	now := c.Clock.Now()
	c.heard.Store(now.UnixNano())
	if m.ack.GetStopping() {
		c.members.SetLeaving(m.from.Node)
	}
	c.takeNews(m.ack.GetNews(), now)
	if m.from.Node == c.feed.Feeder {
		c.fedAt.Store(now.UnixNano())
	}
	if c.booted && m.ack.GetNextOffset() > c.state.NextOffset {
		go c.fetchFrom(m.from, c.state.NextOffset)
	}
}

// fetchFrom asks a peer that is further for the entries of the log, so that a
// node cut off from the log stays current.
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

// spread passes a request on to the peers it should reach next. The control
// goroutine calls it.
func (c *Controller) spread(to []membership.Member, req *pb.PeerRequest) {
	for _, m := range to {
		r := &pb.PeerRequest{Body: req.Body}
		go func() { _, _ = c.call(context.Background(), m, tellTimeout, r) }()
	}
}

// toNeighbours passes a request on to the neighbours; what is news to them they
// pass on in turn.
func (c *Controller) toNeighbours(req *pb.PeerRequest) {
	c.spread(membership.Neighbours(c.Self.Node, c.members.Peers(c.Clock.Now())), req)
}

// pushed makes the control goroutine pass entries of the log on.
type pushed struct{ list []*pb.LogEntry }

func (m pushed) handle(c *Controller) {
	if len(m.list) > 0 && len(c.feed.Fed) > 0 {
		c.spread(c.feed.Fed, &pb.PeerRequest{Body: &pb.PeerRequest_LogPush{LogPush: &pb.LogPush{Entries: m.list}}})
	}
}

// refeed works out anew how records of the log reach this node and others.
func (c *Controller) refeed(now time.Time) {
	live := c.members.Peers(now)
	kept := live[:0]
	for _, m := range live {
		if !m.Leaving && c.members.Alive(m.NodeRef, now) {
			kept = append(kept, m)
		}
	}
	c.feed = membership.FeedOf(c.Self.Node, c.Hall, kept)
	c.tails.Store(c.feed.Tails)
}

// feedSilence is how long a node waits for its feeder before it reads the log
// itself.
const feedSilence = 2 * time.Second

// tailsNow reports whether this node should read the log itself now.
func (c *Controller) tailsNow() bool {
	return c.tails.Load() || c.Clock.Now().Sub(time.Unix(0, c.fedAt.Load())) > feedSilence
}

// tellHome sends demand to a home. The control goroutine calls it.
func (c *Controller) tellHome(home string, units []*pb.UnitDemand) {
	m, ok := c.members.Member(home)
	if !ok {
		return
	}
	req := &pb.PeerRequest{Body: &pb.PeerRequest_Demand{Demand: &pb.Demand{Units: units}}}
	go func() {
		ctx := context.Background()
		if _, err := c.call(ctx, m, tellTimeout, req); err == nil {
			c.inbox.Send(ctx, homeAck{home: home})
		}
	}()
}

// Answers is how the control side answers peers' questions for answers to
// once-only requests.
type Answers interface {
	Fetch(ctx context.Context, f *pb.AnswerFetch) *pb.Answer
}

// PeerHandler returns the handler of peers' requests.
func (c *Controller) PeerHandler(answers Answers) node.Handler {
	return func(ctx context.Context, from ledger.NodeRef, req *pb.PeerRequest) *pb.PeerResponse {
		c.inbox.Send(ctx, peerHeard{ref: from})
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
			c.inbox.Send(ctx, leavingTold{ids: b.Leaving.GetInstances()})
		case *pb.PeerRequest_AnswerFetch:
			return &pb.PeerResponse{Body: &pb.PeerResponse_Answer{Answer: answers.Fetch(ctx, b.AnswerFetch)}}
		}
		return &pb.PeerResponse{Body: &pb.PeerResponse_Ack{Ack: &pb.Ack{}}}
	}
}

// pinged takes a peer's probe in and returns the answer.
func (c *Controller) pinged(ping *pb.Ping) *pb.Ack {
	now := c.Clock.Now()
	c.takeNews(ping.GetNews(), now)
	return &pb.Ack{NextOffset: c.state.NextOffset, Stopping: c.stopping.Load(), News: c.newsOut(now)}
}

// answerPing answers a probe from the control goroutine, so that the answer
// proves that it lives.
func (c *Controller) answerPing(ctx context.Context, ping *pb.Ping) *pb.PeerResponse {
	ack, ok := ask(ctx, c, func(c *Controller) *pb.Ack { return c.pinged(ping) })
	if !ok {
		ack = &pb.Ack{}
	}
	return &pb.PeerResponse{Body: &pb.PeerResponse_Ack{Ack: ack}}
}
