package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"olivetiller/core/ledger"
	"olivetiller/core/membership"
	"olivetiller/core/policy"
	"olivetiller/io/logservice"
	pb "olivetiller/proto/olivetiller/v1"
)

// maxEarlyEntries bounds how far beyond the next offset a log entry may lie to be
// kept until the entries below it arrive.
const maxEarlyEntries = 10000

// entryAppended passes an entry whose append the log confirmed to the control
// goroutine, which applies it and forwards it to peers.
func (c *Controller) entryAppended(offset uint64, data []byte) {
	c.Metrics.Appends.Add(1)
	c.lastContact.Store(c.Clock.Now().UnixNano())
	e := []*pb.LogEntry{{Offset: offset, Data: data}}
	c.inbox.Send(context.Background(), entries{list: e})
	c.inbox.Send(context.Background(), forwardEntries{list: e})
}

// Next implements [logservice.Reader]: it returns the offset to read next.
func (c *Controller) Next() uint64 { return c.next.Load() }

// Page implements [logservice.Reader]: it takes a page that was read from the log,
// or the error of the read.
func (c *Controller) Page(p logservice.Page, err error) {
	if err != nil {
		c.Metrics.LogErrors.Add(1)
		return
	}
	c.lastContact.Store(c.Clock.Now().UnixNano())
	list := make([]*pb.LogEntry, 0, len(p.Records))
	for _, r := range p.Records {
		list = append(list, &pb.LogEntry{Offset: r.Offset, Data: r.Data})
	}
	from := c.next.Load()
	if n := len(list); n > 0 {
		c.next.Store(list[n-1].Offset + 1)
	}
	c.inbox.Send(context.Background(), entries{list: list, target: p.Next})
	if len(c.Members(context.Background())) > membership.SmallFleet {
		c.inbox.Send(context.Background(), forwardEntries{list: list})
	}
	if p.Earliest > from && len(list) > 0 {
		c.inbox.Send(context.Background(), trimmedLog{earliest: p.Earliest})
	}
}

// entries holds log entries that were read from the log or received from a peer.
type entries struct {
	list []*pb.LogEntry
	// target is the end of the log as far as the source knows; 0 if it is unknown.
	target uint64
}

func (m entries) handle(c *Controller) {
	for _, e := range m.list {
		// The bound is on the offset and not on the number of entries: otherwise
		// entries far ahead could keep out the next one to apply.
		if o := e.GetOffset(); o >= c.state.NextOffset && o < c.state.NextOffset+maxEarlyEntries {
			c.earlyEntries[e.GetOffset()] = e.GetData()
		}
	}
	c.applyEarly()
	if c.booted && !c.caughtUp {
		c.catchUpTarget = max(c.catchUpTarget, m.target)
		if c.state.NextOffset >= c.catchUpTarget {
			c.caughtUp = true
			c.viewStale = true
			c.Logger.Info("caught up", "nextOffset", c.state.NextOffset)
		}
	}
}

// applyEarly applies the kept entries from the next offset up to the first gap.
func (c *Controller) applyEarly() {
	if !c.booted {
		return
	}
	for {
		offset := c.state.NextOffset
		data, ok := c.earlyEntries[offset]
		if !ok {
			break
		}
		delete(c.earlyEntries, offset)
		c.snap.addRecent(offset, data)
		for _, o := range c.state.ApplyEntry(offset, data) {
			c.handleOutcome(o)
		}
		c.viewStale = true
	}
	for offset := range c.earlyEntries {
		if offset < c.state.NextOffset {
			delete(c.earlyEntries, offset)
		}
	}
	if n := c.state.NextOffset; n > c.next.Load() {
		c.next.Store(n)
	}
}

// rereadGap makes the tail read again from the next offset to apply if entries
// beyond a gap are waiting.
func (c *Controller) rereadGap() {
	if c.booted && len(c.earlyEntries) > 0 {
		c.next.Store(c.state.NextOffset)
	}
}

// handleOutcome updates metrics, the planner, the membership, the view and the
// snapshots after a record was applied, and resolves its proposal if the record is
// this node's.
func (c *Controller) handleOutcome(o ledger.Outcome) {
	now := c.Clock.Now()
	c.Metrics.AppliedRecords.Add(1)
	if !o.OK() {
		c.Metrics.Rejected.Add(o.Reason.Name(), 1)
	}
	c.planner.Observe(o, now)
	c.members.ObserveIncarnation(ledger.NodeRef{Node: o.Record.GetNode(), Incarnation: o.Record.GetIncarnation()}, now)
	c.markChanged(o)
	switch b := o.Record.GetBody().(type) {
	case *pb.Record_Load:
		if o.OK() {
			c.Metrics.AcceptedLoads.Add(1)
		}
	case *pb.Record_Mark:
		if o.OK() {
			c.markApplied(o)
		}
	case *pb.Record_MarkHash:
		c.compareHash(o.Record.GetNode(), b.MarkHash)
	case *pb.Record_ConfigChange:
		c.configApplied(o)
	}
	own := o.Record.GetNode() == c.Self.Node && o.Record.GetIncarnation() == c.Self.Incarnation
	if !own || o.Reason == ledger.Repeated {
		return
	}
	c.planner.ResolveProposal(o, now)
	if w := c.waiters[o.Record.GetSequence()]; w != nil {
		delete(c.waiters, o.Record.GetSequence())
		c.resolved = append(c.resolved, resolvedProposal{w, o})
	}
}

// resolvedProposal is an outcome to send to its proposer. It is sent only after the
// view that includes it is published, because the proposer may send requests that
// depend on an accepted change at once.
type resolvedProposal struct {
	reply   chan<- ledger.Outcome
	outcome ledger.Outcome
}

// resolveWaiters sends the outcomes of the records applied since the last call to
// their proposers.
func (c *Controller) resolveWaiters() {
	for _, s := range c.resolved {
		s.reply <- s.outcome
	}
	c.resolved = c.resolved[:0]
}

// markChanged marks the units of the view that an accepted record changes.
func (c *Controller) markChanged(o ledger.Outcome) {
	if !o.OK() {
		return
	}
	switch b := o.Record.GetBody().(type) {
	case *pb.Record_LoadDone:
		c.builder.Touch(b.LoadDone.GetUnit())
	case *pb.Record_Unload:
		c.builder.Touch(b.Unload.GetUnit())
	case *pb.Record_EngineUp, *pb.Record_EngineGone, *pb.Record_EngineDrain, *pb.Record_ConfigChange:
		c.builder.TouchAll()
	}
}

// ErrUndecided is returned by [Controller.Propose] if the record was not decided
// before the context ended.
var ErrUndecided = eris.New("the log has not decided the record in time; retry when the log is reachable")

// Propose appends a record to the log and waits for its outcome. It returns
// [logservice.ErrBacklog] if the record cannot be queued. If the context ends
// first, it returns [ErrUndecided]; the record is then withdrawn if it has not been
// sent, and otherwise late, if not nil, is called with the outcome when it is known.
func (c *Controller) Propose(ctx context.Context, r *pb.Record, late func(ledger.Outcome)) (ledger.Outcome, error) {
	done := make(chan ledger.Outcome, 1)
	seq := make(chan uint64, 1)
	c.inbox.Send(ctx, proposal{record: r, done: done, seq: seq})
	var s uint64
	select {
	case s = <-seq:
	case <-ctx.Done():
		// The control goroutine still sends to both channels.
		go func() { c.abandon(<-seq, done, late) }()
		return ledger.Outcome{}, ErrUndecided
	}
	if s == 0 {
		return ledger.Outcome{}, logservice.ErrBacklog
	}
	select {
	case o := <-done:
		return o, nil
	case <-ctx.Done():
		c.abandon(s, done, late)
		return ledger.Outcome{}, ErrUndecided
	}
}

// abandon withdraws a record or, if that is no longer possible, calls late with its
// outcome.
func (c *Controller) abandon(seq uint64, done chan ledger.Outcome, late func(ledger.Outcome)) {
	if seq == 0 || c.appender.Withdraw(seq) || late == nil {
		return
	}
	go func() { late(<-done) }()
}

// proposal is a record whose proposer waits for the outcome on done. seq receives
// the record's sequence number, or 0 if it could not be queued.
type proposal struct {
	record *pb.Record
	done   chan ledger.Outcome
	seq    chan uint64
}

func (m proposal) handle(c *Controller) {
	seq, err := c.appender.Submit(m.record)
	if err != nil {
		m.seq <- 0
		return
	}
	c.waiters[seq] = m.done
	m.seq <- seq
}

// Submit appends a record without waiting for its outcome.
func (c *Controller) Submit(r *pb.Record) {
	if _, err := c.appender.Submit(r); err != nil {
		c.Logger.Warn("record dropped", "error", err.Error())
	}
}

// configApplied applies the policy weights of an accepted configuration change and
// records the time since it was proposed.
func (c *Controller) configApplied(o ledger.Outcome) {
	if !o.OK() {
		return
	}
	c.applyWeights()
	spread := c.Clock.Now().UnixMilli() - o.Record.GetTimeUnixMs()
	c.Metrics.ConfigSpread.Record(spread)
	c.Logger.Info("configuration in force", "revision", o.Revision, "spreadMs", spread)
}

// weightSetter is a policy that takes the weights of the configuration.
type weightSetter interface {
	SetWeights(w policy.Weights)
}

// applyWeights passes the weights of the current configuration to the policy.
func (c *Controller) applyWeights() {
	w := c.state.Catalog.Config.GetWeights()
	p, ok := c.Policy.(weightSetter)
	if !ok || w == nil {
		return
	}
	p.SetWeights(policy.Weights{ColdStartSecond: w.GetColdStartSecond(), IdleHour: w.GetIdleHour()})
}

// claimState is a claim and whether this node considers its owner alive.
type claimState struct {
	claim *ledger.Claim
	alive bool
}

// Claim returns a claim, or nil if there is none, and whether this node considers
// its owner alive.
func (c *Controller) Claim(ctx context.Context, id ledger.ClaimID) (*ledger.Claim, bool) {
	st, _ := ask(ctx, c, func(c *Controller) claimState {
		cl := c.state.Claims[id]
		return claimState{claim: cl, alive: cl != nil && c.members.Alive(cl.Owner, c.Clock.Now())}
	})
	return st.claim, st.alive
}

// FetchAnswer requests the answer to a once-only request from the owner of its
// claim. It returns nil if the owner cannot be reached.
func (c *Controller) FetchAnswer(ctx context.Context, owner ledger.NodeRef, f *pb.AnswerFetch) *pb.Answer {
	for _, m := range c.Members(ctx) {
		if m.Node != owner.Node || m.Incarnation != owner.Incarnation {
			continue
		}
		resp, err := c.call(ctx, m, time.Duration(f.GetWaitMs())*time.Millisecond+notifyTimeout, &pb.PeerRequest{Body: &pb.PeerRequest_AnswerFetch{AnswerFetch: f}})
		if err == nil {
			return resp.GetAnswer()
		}
	}
	return nil
}
