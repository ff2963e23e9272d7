package placer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/logstore"
	"olivetiller/core/quarantine"
	"olivetiller/internal/isolation"
	"olivetiller/io/peer"
)

// Times and limits of sharing what nodes know of suspected requests: requests during which engines have crashed.
const (
	// suspectsTTL is how long the state received from others is used: a node that has received none for longer does
	// not send a suspected request again.
	suspectsTTL = 2 * time.Second
	// exchangeAfter is how long a node receives nothing from the lease holder before it exchanges state with other
	// nodes directly, and exchangeEvery is the interval between two rounds.
	exchangeAfter = time.Second
	exchangeEvery = 300 * time.Millisecond
	// exchangePeers is how many other nodes are called per round.
	exchangePeers = 2
	// runExchangeTimeout bounds a round before a run whose run lock the lease holder does not grant. Nodes answer within
	// milliseconds.
	runExchangeTimeout = 100 * time.Millisecond
	// verdictRetryPause is the pause after a verdict could not be written to the store.
	verdictRetryPause = time.Second
	// verdictsTimeout is how long a node that is otherwise ready waits for the verdicts in the store before it serves
	// without them; a read takes less.
	verdictsTimeout = 3 * time.Second
)

// suspects connects the node's isolation guard, which tracks suspected requests, with the other nodes and the store.
// The fields that are not atomic belong to the owner.
type suspects struct {
	guard *isolation.Guard
	// known is set once the stored verdicts were read, by this node or by the lease holder.
	known atomic.Bool
	// storeRead is set while this node's own reads have covered all stored verdicts.
	storeRead atomic.Bool
	// peerDataAt is when state of another node or of the store last arrived, and holderAt is when the lease holder's
	// did.
	peerDataAt, holderAt atomic.Pointer[time.Time]
	// stored mirrors the verdicts in the store, and storedTo is the guard's version up to which the store is up to
	// date. retryAt is when a failed write may be retried, and storing is true while one is under way.
	stored   map[quarantine.Fingerprint]storedVerdict
	storedTo uint64
	retryAt  time.Time
	storing  bool
	// inputsReadyAt is when the node knew everything else that it needs to serve; zero before.
	inputsReadyAt time.Time
	// exchanges holds what was exchanged with other nodes, by address; exchangesMu guards it.
	exchangesMu sync.Mutex
	exchanges   map[string]exchangeMark
}

// storedVerdict is one verdict as the store holds it.
type storedVerdict struct {
	epoch    uint32
	trials   int
	released bool
}

func (s *suspects) init(o *Options) {
	s.guard = o.Isolation
	if s.guard == nil {
		s.guard = isolation.New(isolation.Options{Clock: o.Clock, Logger: o.Logger, Refuses: func(context.Context, string) bool { return false }})
	}
	s.stored, s.exchanges = make(map[quarantine.Fingerprint]storedVerdict), make(map[string]exchangeMark)
}

// SuspectsChanged sends a change of the suspected requests to the other nodes. It may be called from any goroutine.
func (c *Controller) SuspectsChanged() {
	c.RequestReport()
	c.publishSuspects()
}

// publishSuspects wakes the followers that wait for a snapshot if the suspected requests have changed.
func (c *Controller) publishSuspects() {
	c.published.setSuspects(c.suspects.guard.SharedVersion())
	c.relay.wakeFollowers()
}

// SuspectsFresh reports whether this node has received other nodes' state of suspected requests within suspectsTTL.
// It always holds at the lease holder, to which all nodes report.
func (c *Controller) SuspectsFresh() bool {
	if c.leading.Load() {
		return true
	}
	at := c.suspects.peerDataAt.Load()
	return at != nil && c.o.Clock.Now().Sub(*at) <= suspectsTTL
}

// notePeerData records that state of another node or of the store has arrived.
func (c *Controller) notePeerData(now time.Time) { c.suspects.peerDataAt.Store(&now) }

// checkSuspects evaluates the suspected requests, and gives up waiting for the stored verdicts after verdictsTimeout.
func (c *Controller) checkSuspects(now time.Time) {
	s := &c.suspects
	c.evaluateSuspects()
	if s.inputsReadyAt.IsZero() && c.listed && c.Table() != nil {
		s.inputsReadyAt = now
	}
	if !s.known.Load() && !s.inputsReadyAt.IsZero() && now.Sub(s.inputsReadyAt) > verdictsTimeout {
		c.o.Logger.Warn("stored verdicts on quarantined requests not available, serving without them")
		c.markVerdictsKnown()
	}
}

// evaluateSuspects has the guard evaluate the requests that are due. Only the lease holder, which receives the
// suspicions of all nodes, and a node without a lease holder may convict a request by its probability: a node that
// knows of only some of the suspects of a crash would overrate each of them.
func (c *Controller) evaluateSuspects() {
	c.suspects.guard.SetComplete(c.held || !c.holderState.fresh)
	c.suspects.guard.Evaluate()
}

// markVerdictsKnown records that the stored verdicts are known, which the node needs to become ready.
func (c *Controller) markVerdictsKnown() {
	if !c.suspects.known.Swap(true) {
		c.viewStale = true
	}
}

// updateGuard informs the guard of a change of an endpoint's entry.
func (c *Controller) updateGuard(r directory.Record) {
	if r.Instance == nil {
		c.suspects.guard.EngineRemoved(r.ID)
		return
	}
	c.suspects.guard.EngineSeen(quarantine.Incarnation{Engine: r.ID, Start: int64(r.Instance.Start)}, r.Instance.Draining)
}

// reportSuspects adds the entries that the lease holder lacks to a report, and returns the version that they reach.
// incarnation is the lease holder's.
func (c *Controller) reportSuspects(r *peer.Report, incarnation string, now time.Time) uint64 {
	entries, to := c.suspects.guard.Since(c.reportAcked.of(incarnation).suspects, quarantine.LocalRecords)
	r.Suspects = peer.EncodeSuspects(entries, now)
	return to
}

// addSuspects adds the entries that concern all nodes and are new to the requester, and reports whether there are
// any.
func (c *Controller) addSuspects(snap *peer.Snapshot, q peer.WatchRequest, now time.Time) bool {
	after := q.SuspectsTo
	if snap.Full {
		after = 0
	}
	entries, to := c.suspects.guard.Since(after, quarantine.SharedRecords)
	snap.Suspects, snap.SuspectsTo, snap.VerdictsKnown = peer.EncodeSuspects(entries, now), to, c.suspects.known.Load()
	return len(entries) > 0
}

// mergeHolderSuspects merges the entries of a snapshot of the lease holder.
func (c *Controller) mergeHolderSuspects(snap *peer.Snapshot, now time.Time) {
	c.suspects.guard.Merge(peer.DecodeSuspects(snap.Suspects, now), "holder")
	c.notePeerData(now)
	c.suspects.holderAt.Store(&now)
	if snap.VerdictsKnown {
		c.markVerdictsKnown()
	}
}

// Exchange implements [peer.Exchanger]: it merges another node's state and returns the entries that the other node
// lacks.
func (c *Controller) Exchange(e *peer.Exchange) *peer.Exchange {
	now := c.o.Clock.Now()
	if c.suspects.guard.Merge(peer.DecodeSuspects(e.Suspects, now), e.Node) {
		c.SuspectsChanged()
	}
	c.mergeSignals(e.Signals, e.Node, now)
	since := e.Since
	if e.ReceiverIncarnation != c.o.Self.Incarnation {
		since = 0
	}
	entries, to := c.suspects.guard.Since(since, quarantine.AllRecords)
	return &peer.Exchange{Node: c.o.Self.Holder, Incarnation: c.o.Self.Incarnation, Version: to, Suspects: peer.EncodeSuspects(entries, now), Signals: c.allSignals(now)}
}

// exchangeMark holds the incarnation of another node and the versions that both have received from each other.
type exchangeMark struct {
	incarnation    string
	sent, received uint64
}

// exchangeSuspects exchanges suspected requests and endpoints' signals with other nodes while no lease holder
// collects them, until ctx ends.
func (c *Controller) exchangeSuspects(ctx context.Context) {
	for ctx.Err() == nil {
		c.pause(ctx, exchangeEvery)
		at := c.suspects.holderAt.Load()
		if c.leading.Load() || at != nil && c.o.Clock.Now().Sub(*at) <= exchangeAfter {
			continue
		}
		c.exchangeRound(ctx)
	}
}

// exchangeRound exchanges suspected requests and endpoints' signals with exchangePeers other nodes.
func (c *Controller) exchangeRound(ctx context.Context) {
	s := &c.suspects
	for range exchangePeers {
		address := c.peers.pick(c.o.Self.Address)
		if address == "" {
			return
		}
		s.exchangesMu.Lock()
		m := s.exchanges[address]
		s.exchangesMu.Unlock()
		m = c.exchangeWith(ctx, address, m)
		s.exchangesMu.Lock()
		s.exchanges[address] = m
		s.exchangesMu.Unlock()
	}
}

func (c *Controller) exchangeWith(ctx context.Context, address string, m exchangeMark) exchangeMark {
	entries, to := c.suspects.guard.Since(m.sent, quarantine.AllRecords)
	begun := c.o.Clock.Now()
	request := &peer.Exchange{
		Node: c.o.Self.Holder, Incarnation: c.o.Self.Incarnation, Since: m.received, ReceiverIncarnation: m.incarnation, Version: to,
		Suspects: peer.EncodeSuspects(entries, begun), Signals: c.allSignals(begun),
	}
	reply, err := c.o.Peers.Exchange(ctx, address, request)
	if err != nil {
		c.o.Logger.Debug("exchange with another node failed", "address", address, "error", err.Error())
		return m
	}
	now := c.o.Clock.Now()
	c.notePeerData(now)
	c.suspects.guard.Merge(peer.DecodeSuspects(reply.Suspects, now), reply.Node)
	c.mergeSignals(reply.Signals, reply.Node, now)
	if reply.Incarnation != m.incarnation && m.sent > 0 {
		// The other node has restarted and lacks what was sent to its previous incarnation; send everything again.
		return exchangeMark{incarnation: reply.Incarnation, received: reply.Version}
	}
	return exchangeMark{incarnation: reply.Incarnation, sent: to, received: reply.Version}
}

// verdictPage is a page of the stored verdicts.
type verdictPage struct {
	page logstore.Page[logstore.Verdict]
}

func (m verdictPage) handle(c *Controller) {
	now := c.o.Clock.Now()
	entries := make([]quarantine.Entry, 0, len(m.page.Records))
	for _, r := range m.page.Records {
		v := r.Value
		e := quarantine.Entry{Request: v.Request, Epoch: v.Epoch, At: now.Add(-v.Age)}
		if !v.Released {
			e.Verdict = &quarantine.Verdict{At: e.At, Trials: v.Trials}
		}
		entries = append(entries, e)
		c.suspects.stored[v.Request] = storedVerdict{epoch: v.Epoch, trials: v.Trials, released: v.Released}
	}
	c.suspects.guard.Merge(entries, "store")
	c.notePeerData(now)
	c.suspects.storeRead.Store(true)
	c.markVerdictsKnown()
	c.publishSuspects()
}

// storeVerdicts writes the verdicts that the store lacks, at the lease holder.
func (c *Controller) storeVerdicts(ctx context.Context, now time.Time) {
	s := &c.suspects
	version := s.guard.SharedVersion()
	if !c.held || s.storing || version <= s.storedTo || now.Before(s.retryAt) || !s.known.Load() {
		return
	}
	entries, to := s.guard.Since(s.storedTo, quarantine.SharedRecords)
	var due []logstore.Verdict
	for i := range entries {
		if v, ok := s.pendingVerdict(&entries[i], now); ok {
			due = append(due, v)
		}
	}
	if len(due) == 0 {
		s.storedTo = to
		return
	}
	s.storing = true
	era := c.eras.known
	go func() {
		var err error
		for _, v := range due {
			err = errors.Join(err, c.storeVerdict(ctx, v))
		}
		c.inbox.Send(ctx, verdictsStored{due, to, era, err})
	}()
}

// pendingVerdict returns the verdict to write for a request; ok is false if the store has it already or needs none.
func (s *suspects) pendingVerdict(e *quarantine.Entry, now time.Time) (v logstore.Verdict, ok bool) {
	old, known := s.stored[e.Request]
	switch {
	case e.Verdict != nil:
		v = logstore.Verdict{Request: e.Request, Epoch: e.Epoch, Trials: e.Verdict.Trials, Age: now.Sub(e.Verdict.At)}
	case known && !old.released:
		v = logstore.Verdict{Request: e.Request, Epoch: e.Epoch, Age: now.Sub(e.At), Released: true}
	default:
		return v, false
	}
	return v, !known || old != storedVerdict{epoch: v.Epoch, trials: v.Trials, released: v.Released}
}

func (c *Controller) storeVerdict(ctx context.Context, v logstore.Verdict) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return c.o.Store.KeepVerdict(ctx, v)
}

// verdictsStored reports the result of writing verdicts.
type verdictsStored struct {
	verdicts []logstore.Verdict
	to       uint64
	// era is the store's era when they were sent.
	era uint64
	err error
}

func (m verdictsStored) handle(c *Controller) {
	s := &c.suspects
	s.storing = false
	if m.err != nil {
		c.o.Logger.Warn("verdicts not written to the store, will retry", "count", len(m.verdicts), "error", m.err.Error())
		s.retryAt = c.o.Clock.Now().Add(verdictRetryPause)
		return
	}
	if m.era != c.eras.known {
		// The store was restored meanwhile, and the verdicts may be lost.
		return
	}
	s.storedTo = m.to
	for _, v := range m.verdicts {
		s.stored[v.Request] = storedVerdict{epoch: v.Epoch, trials: v.Trials, released: v.Released}
	}
}

// errNotHolder is returned for a trial at a node that does not hold the lease: two nodes might try the same request.
var errNotHolder = errors.New("only the lease holder runs trials of quarantined requests")

// ClaimTrial records in the store that a trial of a quarantined request begins. It fails if this node does not hold
// the lease or if e has no verdict.
func (c *Controller) ClaimTrial(ctx context.Context, e quarantine.Entry) error {
	if !c.leading.Load() || e.Verdict == nil {
		return errNotHolder
	}
	return c.storeVerdict(ctx, logstore.Verdict{Request: e.Request, Epoch: e.Epoch, Trials: e.Verdict.Trials})
}
