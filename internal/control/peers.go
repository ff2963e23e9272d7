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
	probeEvery   = 500 * time.Millisecond
	probeTimeout = time.Second
	tellTimeout  = time.Second
	fetchTimeout = 3 * time.Second
	// fetchMost bounds the entries that a peer gives at once.
	fetchMost = 500
)

// peerList asks the control goroutine for the members.
type peerList struct{ reply chan []membership.Member }

func (m peerList) handle(c *Controller) { m.reply <- c.members.Peers(c.Clock.Now()) }

// Members returns the other nodes that are listed or were heard of.
func (c *Controller) Members(ctx context.Context) []membership.Member {
	reply := make(chan []membership.Member, 1)
	c.send(ctx, peerList{reply: reply})
	select {
	case out := <-reply:
		return out
	case <-ctx.Done():
		return nil
	}
}

// call sends a request to a member.
func (c *Controller) call(ctx context.Context, m membership.Member, timeout time.Duration, req *pb.PeerRequest) (*pb.PeerResponse, error) {
	cctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.Peers.Call(cctx, m.Node, m.Address, req)
	if err == nil {
		c.send(ctx, peerHeard{ref: ledger.NodeRef{Node: resp.GetNode(), Incarnation: resp.GetIncarnation()}})
	}
	return resp, err
}

// peerHeard is a sign of life of a node.
type peerHeard struct{ ref ledger.NodeRef }

func (m peerHeard) handle(c *Controller) { c.members.Heard(m.ref, c.Clock.Now()) }

// probeLoop asks the peers for a sign of life and for what they have folded.
func (c *Controller) probeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range neighbours(c.Self.Node, c.Members(ctx)) {
			go c.probe(ctx, m)
		}
		c.pause(ctx, probeEvery)
	}
}

func (c *Controller) probe(ctx context.Context, m membership.Member) {
	resp, err := c.call(ctx, m, probeTimeout, &pb.PeerRequest{Body: &pb.PeerRequest_Ping{Ping: &pb.Ping{NextOffset: c.next.Load()}}})
	if err != nil || resp.GetAck() == nil {
		return
	}
	c.send(ctx, acked{from: m, ack: resp.GetAck()})
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
	for _, h := range m.ack.GetHeard() {
		ref := ledger.NodeRef{Node: h.GetNode(), Incarnation: h.GetIncarnation()}
		c.members.HeardOf(ref, now.Add(-time.Duration(h.GetAgeMs())*time.Millisecond))
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
	c.send(ctx, entries{list: list, target: target})
}

// neighbours returns the peers that a node probes: all of a few, and of many
// those at distances 1, 2, 4, ... on the ring of names, so that probes for each
// node grow with the logarithm of the fleet and evidence reaches all in as many steps.
func neighbours(self string, peers []membership.Member) []membership.Member {
	if len(peers) <= probeAll {
		return peers
	}
	start := 0
	for start < len(peers) && peers[start].Node < self {
		start++
	}
	var out []membership.Member
	for d := 1; d <= len(peers); d *= 2 {
		out = append(out, peers[(start+d-1)%len(peers)])
	}
	return out
}

// probeAll is the number of peers up to which a node probes every one.
const probeAll = 8

// broadcast sends a request to every live peer. The control goroutine calls it.
func (c *Controller) broadcast(req *pb.PeerRequest) {
	for _, m := range c.members.Peers(c.Clock.Now()) {
		r := &pb.PeerRequest{Body: req.Body}
		go func() { _, _ = c.call(context.Background(), m, tellTimeout, r) }()
	}
}

// push gives confirmed entries to the peers.
func (c *Controller) push(list []*pb.LogEntry) {
	c.send(context.Background(), pushed{list: list})
}

// pushed makes the control goroutine pass entries on.
type pushed struct{ list []*pb.LogEntry }

func (m pushed) handle(c *Controller) {
	c.broadcast(&pb.PeerRequest{Body: &pb.PeerRequest_LogPush{LogPush: &pb.LogPush{Entries: m.list}}})
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
			c.send(ctx, homeAck{home: home})
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
		c.send(ctx, peerHeard{ref: from})
		switch b := req.GetBody().(type) {
		case *pb.PeerRequest_Demand:
			done := make(chan struct{})
			c.send(ctx, peerDemand{node: from.Node, units: b.Demand.GetUnits(), done: done})
			select {
			case <-done:
			case <-ctx.Done():
			}
		case *pb.PeerRequest_LogPush:
			c.send(ctx, entries{list: b.LogPush.GetEntries()})
		case *pb.PeerRequest_LogFetch:
			return &pb.PeerResponse{Body: &pb.PeerResponse_LogPush{LogPush: &pb.LogPush{Entries: c.recent(b.LogFetch.GetFrom())}}}
		case *pb.PeerRequest_SnapshotFetch:
			return &pb.PeerResponse{Body: &pb.PeerResponse_Snapshot{Snapshot: c.encodeState(ctx)}}
		case *pb.PeerRequest_Leaving:
			c.send(ctx, leavingTold{ids: b.Leaving.GetInstances()})
		case *pb.PeerRequest_AnswerFetch:
			return &pb.PeerResponse{Body: &pb.PeerResponse_Answer{Answer: answers.Fetch(ctx, b.AnswerFetch)}}
		}
		return c.ack(ctx)
	}
}

// ack returns how far this node is and whom it heard.
func (c *Controller) ack(ctx context.Context) *pb.PeerResponse {
	now := c.Clock.Now()
	a := &pb.Ack{NextOffset: c.next.Load(), Stopping: c.stopping.Load()}
	for _, m := range c.Members(ctx) {
		if age := now.Sub(m.Direct); age < membership.Silence {
			a.Heard = append(a.Heard, &pb.HeardOf{Node: m.Node, Incarnation: m.Incarnation, AgeMs: age.Milliseconds()})
		}
	}
	return &pb.PeerResponse{Body: &pb.PeerResponse_Ack{Ack: a}}
}
