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

// maxEarly bounds how far ahead of its turn an entry is kept.
const maxEarly = 10000

// onAppended passes a confirmed append on: to the own fold and to the peers.
func (c *Controller) onAppended(offset uint64, data []byte) {
	c.Metrics.Appends.Add(1)
	c.heard.Store(c.Clock.Now().UnixNano())
	e := []*pb.LogEntry{{Offset: offset, Data: data}}
	c.inbox.Send(context.Background(), entries{list: e})
	c.inbox.Send(context.Background(), pushed{list: e})
}

// Next implements logservice.Reader.
func (c *Controller) Next() uint64 { return c.next.Load() }

// Page implements logservice.Reader.
func (c *Controller) Page(p logservice.Page, err error) {
	if err != nil {
		c.Metrics.LogErrors.Add(1)
		return
	}
	c.heard.Store(c.Clock.Now().UnixNano())
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
		c.inbox.Send(context.Background(), pushed{list: list})
	}
	if p.Earliest > from && len(list) > 0 {
		c.inbox.Send(context.Background(), gap{earliest: p.Earliest})
	}
}

// entries are entries of the log, from the log itself or from a peer.
type entries struct {
	list []*pb.LogEntry
	// target is the end of the log as the source knew it; 0 if it did not say.
	target uint64
}

func (m entries) handle(c *Controller) {
	for _, e := range m.list {
		// The bound is on the offset and not on the count: entries far ahead must
		// not crowd out the one whose turn is next.
		if o := e.GetOffset(); o >= c.state.NextOffset && o < c.state.NextOffset+maxEarly {
			c.early[e.GetOffset()] = e.GetData()
		}
	}
	c.foldEarly()
	if c.booted && !c.caughtUp {
		c.target = max(c.target, m.target)
		if c.state.NextOffset >= c.target {
			c.caughtUp = true
			c.dirty = true
			c.Logger.Info("caught up", "nextOffset", c.state.NextOffset)
		}
	}
}

// foldEarly folds the entries whose turn it is.
func (c *Controller) foldEarly() {
	if !c.booted {
		return
	}
	for {
		offset := c.state.NextOffset
		data, ok := c.early[offset]
		if !ok {
			break
		}
		delete(c.early, offset)
		c.snap.keep(offset, data)
		for _, o := range c.state.ApplyEntry(offset, data) {
			c.settle(o)
		}
		c.dirty = true
	}
	for offset := range c.early {
		if offset < c.state.NextOffset {
			delete(c.early, offset)
		}
	}
	if n := c.state.NextOffset; n > c.next.Load() {
		c.next.Store(n)
	}
}

// healGap makes the tail read again from where the fold stands, when entries
// wait for one that never came.
func (c *Controller) healGap() {
	if c.booted && len(c.early) > 0 {
		c.next.Store(c.state.NextOffset)
	}
}

// settle acts on the outcome of one record.
func (c *Controller) settle(o ledger.Outcome) {
	now := c.Clock.Now()
	c.Metrics.Folds.Add(1)
	if !o.OK() {
		c.Metrics.Rejected.Add(o.Reason.Name(), 1)
	}
	c.planner.Observe(o, now)
	c.members.Seen(ledger.NodeRef{Node: o.Record.GetNode(), Incarnation: o.Record.GetIncarnation()}, now)
	c.touch(o)
	switch b := o.Record.GetBody().(type) {
	case *pb.Record_Load:
		if o.OK() {
			c.Metrics.Decided.Add(1)
		}
	case *pb.Record_Mark:
		if o.OK() {
			c.onMark(o)
		}
	case *pb.Record_MarkHash:
		c.onMarkHash(o.Record.GetNode(), b.MarkHash)
	case *pb.Record_ConfigChange:
		c.onConfig(o)
	}
	own := o.Record.GetNode() == c.Self.Node && o.Record.GetIncarnation() == c.Self.Incarnation
	if !own || o.Reason == ledger.Repeated {
		return
	}
	c.planner.Settled(o, now)
	if w := c.waiters[o.Record.GetSequence()]; w != nil {
		delete(c.waiters, o.Record.GetSequence())
		c.settled = append(c.settled, settled{w, o})
	}
}

// settled is an outcome that its waiter is told once the view shows it: who hears that
// a change is accepted may send what needs it at once.
type settled struct {
	done    chan<- ledger.Outcome
	outcome ledger.Outcome
}

// answerWaiters tells the outcomes of the records folded since the last step.
func (c *Controller) answerWaiters() {
	for _, s := range c.settled {
		s.done <- s.outcome
	}
	c.settled = c.settled[:0]
}

// touch marks what an accepted record changes in the view.
func (c *Controller) touch(o ledger.Outcome) {
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

// ErrLogSilent is returned when a proposal was not decided in time.
var ErrLogSilent = eris.New("the log has not decided in time; ask again when it is reachable")

// Propose appends a record and waits for its outcome. When the context ends
// first, the record is taken back if it can be; otherwise late is called with
// the outcome whenever it comes.
func (c *Controller) Propose(ctx context.Context, r *pb.Record, late func(ledger.Outcome)) (ledger.Outcome, error) {
	done := make(chan ledger.Outcome, 1)
	seq := make(chan uint64, 1)
	c.inbox.Send(ctx, proposal{record: r, done: done, seq: seq})
	var s uint64
	select {
	case s = <-seq:
	case <-ctx.Done():
		// The control goroutine still answers both channels.
		go func() { c.abandon(<-seq, done, late) }()
		return ledger.Outcome{}, ErrLogSilent
	}
	if s == 0 {
		return ledger.Outcome{}, logservice.ErrBacklog
	}
	select {
	case o := <-done:
		return o, nil
	case <-ctx.Done():
		c.abandon(s, done, late)
		return ledger.Outcome{}, ErrLogSilent
	}
}

// abandon withdraws a record, or arranges for its late outcome.
func (c *Controller) abandon(seq uint64, done chan ledger.Outcome, late func(ledger.Outcome)) {
	if seq == 0 || c.appender.Withdraw(seq) || late == nil {
		return
	}
	go func() { late(<-done) }()
}

// proposal is a record that somebody waits for.
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

// Submit appends a record whose outcome nobody waits for.
func (c *Controller) Submit(r *pb.Record) {
	if _, err := c.appender.Submit(r); err != nil {
		c.Logger.Warn("record dropped", "error", err.Error())
	}
}

// onConfig notes that a configuration came into force.
func (c *Controller) onConfig(o ledger.Outcome) {
	if !o.OK() {
		return
	}
	c.adoptWeights()
	spread := c.Clock.Now().UnixMilli() - o.Record.GetTimeUnixMs()
	c.Metrics.ConfigSpread.Record(spread)
	c.Logger.Info("configuration in force", "revision", o.Revision, "spreadMs", spread)
}

// weighted is a policy that follows the weights of the configuration.
type weighted interface {
	SetWeights(w policy.Weights)
}

// adoptWeights gives the policy the weights in force.
func (c *Controller) adoptWeights() {
	w := c.state.Catalog.Config.GetWeights()
	p, ok := c.Policy.(weighted)
	if !ok || w == nil {
		return
	}
	p.SetWeights(policy.Weights{ColdStartSecond: w.GetColdStartSecond(), IdleHour: w.GetIdleHour()})
}

// claimState is a claim and whether its owner is held to be alive.
type claimState struct {
	claim *ledger.Claim
	alive bool
}

// Claim returns a claim, or nil, and whether its owner is held to be alive.
func (c *Controller) Claim(ctx context.Context, id ledger.ClaimID) (*ledger.Claim, bool) {
	st, _ := ask(ctx, c, func(c *Controller) claimState {
		cl := c.state.Claims[id]
		return claimState{claim: cl, alive: cl != nil && c.members.Alive(cl.Owner, c.Clock.Now())}
	})
	return st.claim, st.alive
}

// FetchAnswer asks the owner of a claim for its answer; nil when it gave none.
func (c *Controller) FetchAnswer(ctx context.Context, owner ledger.NodeRef, f *pb.AnswerFetch) *pb.Answer {
	for _, m := range c.Members(ctx) {
		if m.Node != owner.Node || m.Incarnation != owner.Incarnation {
			continue
		}
		resp, err := c.call(ctx, m, time.Duration(f.GetWaitMs())*time.Millisecond+tellTimeout, &pb.PeerRequest{Body: &pb.PeerRequest_AnswerFetch{AnswerFetch: f}})
		if err == nil {
			return resp.GetAnswer()
		}
	}
	return nil
}
