package placer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/lease"
	"olivetiller/core/logstore"
	"olivetiller/core/position"
	"olivetiller/core/route"
	"olivetiller/io/boottime"
)

// Timeouts and pauses of the readers.
const (
	// readSlack is how much longer than the wait at the store a read may take.
	readSlack = 700 * time.Millisecond
	// fullReadTimeout bounds a full read. If 195 nodes lose the lease holder together and the configuration has many
	// routes, the store's link needs seconds for all of them; with a shorter bound, each node's read failed and began
	// again, at 30,000 calls a day.
	fullReadTimeout = 10 * time.Second
	// retryPause is the first pause after a failed read. It doubles up to timing.maxRetryPause: failed calls cost as
	// much as others, and the time in which a change must take effect runs again from seconds after the store has
	// returned.
	retryPause = 250 * time.Millisecond
	// outageReadWait and outageReadSlack replace the wait and readSlack while the lease holder asks whether the store
	// answers other nodes: its lease ends within some hundred milliseconds.
	outageReadWait  = 200 * time.Millisecond
	outageReadSlack = 400 * time.Millisecond
	// outagePause is the pause after a read while the lease holder asks. It is shorter than lease.ReportFresh by the
	// duration of a read; an outage costs two calls per second and node.
	outagePause = 500 * time.Millisecond
)

// Names of the readers whose failures say whether the store is away.
const (
	endpointsTopic = "endpoints"
	leaseTopic     = "lease"
)

// reader reads one topic of the store repeatedly.
type reader[T any] struct {
	name string
	// holderInterval is the least time between two reads at the lease holder, and ownInterval at other nodes.
	holderInterval, ownInterval time.Duration
	// retriesInOutage is true for the reader that keeps probing the store during an outage; the other readers wait
	// until it succeeds.
	retriesInOutage bool
	// readFull reads the latest record of every key, and fails after a silence without data; nil for a topic without
	// keys.
	readFull func(ctx context.Context, silence time.Duration) (logstore.Page[T], error)
	read     func(ctx context.Context, from uint64, wait time.Duration) (logstore.Page[T], error)
	// apply returns the message to the owner for a page; full is true for a full read, and asked is when the read was
	// sent.
	apply func(page logstore.Page[T], full bool, asked time.Time) message
	// idle reports whether the topic need not be read now.
	idle func() bool
	// resumeAt returns the position from which an idle reader reads on, if ok. Without it, a reader that was idle reads
	// in full.
	resumeAt func() (next uint64, ok bool)
}

// resumePosition returns the position from which the reader reads on after it was idle, if ok.
func (r *reader[T]) resumePosition() (next uint64, ok bool) {
	if r.resumeAt == nil {
		return 0, false
	}
	return r.resumeAt()
}

func (c *Controller) startReaders(ctx context.Context) {
	s := c.o.Store
	go follow(ctx, c, reader[logstore.Config]{
		name: "configuration", readFull: s.NewestConfig, read: s.Configs, idle: c.skipsConfigReads, resumeAt: c.resumeConfigAt,
		apply: func(p logstore.Page[logstore.Config], full bool, asked time.Time) message {
			return configPage{p, full, asked}
		},
	})
	go follow(ctx, c, reader[logstore.Instance]{
		name: endpointsTopic, holderInterval: c.timing.instancesEvery, ownInterval: c.timing.ownInstancesEvery, readFull: s.NewestInstances, read: s.Instances, idle: c.skipsStoreReads,
		apply: func(p logstore.Page[logstore.Instance], full bool, asked time.Time) message {
			return instancePage{p, full, asked}
		},
	})
	go follow(ctx, c, reader[logstore.Verdict]{
		name: "quarantine", ownInterval: c.timing.ownInstancesEvery, readFull: s.NewestVerdicts, read: s.Verdicts,
		idle:  func() bool { return c.skipsStoreReads() || c.leading.Load() && c.suspects.storeRead.Load() },
		apply: func(p logstore.Page[logstore.Verdict], _ bool, _ time.Time) message { return verdictPage{p} },
	})
	go follow(ctx, c, reader[[]byte]{
		name: leaseTopic, read: s.Lease, retriesInOutage: true,
		idle: func() bool {
			return c.relayFresh() && !(c.holderLostStore.Load() && c.needsAllReports()) || !c.relayFresh() && !c.shouldReadLease() || c.leading.Load() && !c.leaseUncertain.Load()
		},
		apply: func(p logstore.Page[[]byte], _ bool, _ time.Time) message { return leasePage{p} },
	})
	go c.watch(ctx)
	go c.exchangeSuspects(ctx)
}

// skipsStoreReads reports whether this node need not read the store: it has fresh relayed state, or still waits for
// some.
func (c *Controller) skipsStoreReads() bool { return c.relayFresh() || !c.shouldReadStore() }

// skipsConfigReads reports whether this node need not read the operators' topic itself.
func (c *Controller) skipsConfigReads() bool { return c.relayFresh() || !c.shouldReadConfig() }

// follow reads a topic until ctx ends: first the full state, if the topic has keys, then the records that follow. It
// starts again with a full read after the store has dropped the requested records, after a restore, and after the
// reader was idle and knows of no position to read on from.
func follow[T any](ctx context.Context, c *Controller, r reader[T]) {
	var next uint64
	full, available, pause := r.readFull != nil, true, retryPause
	silence := c.timing.silenceTimeout
	// The first read, and the first one after a failure, does not wait at the store. Otherwise a node would notice a
	// free lease two seconds late, and all nodes would read the store themselves until then. After a failure all other
	// readers wait for it, and the store may answer reads that do not wait while those that do get no answer.
	immediate := true
	// rested is true after the reader was idle, and lost while records before next may be missing.
	var rested, lost bool
	var era readerEra
	for ctx.Err() == nil {
		if idle := r.idle(); idle || !r.retriesInOutage && c.storeHealth.unavailable() {
			rested = true
			if idle {
				// Earlier failures say nothing about the store when the topic must be read again.
				pause, silence = retryPause, c.timing.silenceTimeout
			}
			c.pause(ctx, tickEvery)
			continue
		}
		if rested {
			// Records may have been missed; a full read also contains what engines hold.
			rested, full = false, r.readFull != nil
			if from, ok := r.resumePosition(); ok && !lost && position.Era(next) == position.Era(from) {
				next, full, immediate = max(next, from), false, true
			}
		}
		started := c.o.Clock.Now()
		full = full || r.readFull != nil && era.rereadDue(started)
		wait, slack := c.readWait()
		switch {
		case full:
			wait, slack = 0, silence
		case immediate:
			wait = 0
		}
		page, err := readOnce(ctx, c.o.Clock, r, next, full, wait, slack)
		var failed *logstore.Error
		switch {
		case err == nil:
			if !available {
				c.o.Logger.Info("store available again", "topic", r.name, "next", page.Next)
			}
			available, pause, silence, immediate = true, retryPause, c.timing.silenceTimeout, false
			if r.retriesInOutage {
				c.storeHealth.succeeded(started)
				c.inbox.Send(ctx, leaseReadSucceeded{})
			}
			if restored := era.enter(page.Next, c.o.Clock.Now()); restored {
				c.inbox.Send(ctx, storeRestored{r.name, next, position.Begin(position.Era(page.Next))})
			}
			c.countSkipped(r.name, page.Damaged)
			if !c.inbox.Send(ctx, r.apply(page, full, started)) {
				return
			}
			lost = lost && !full
			next, full = page.Next, false
		case errors.As(err, &failed) && failed.Kind == logstore.Dropped:
			c.o.Logger.Info("records dropped by the store", "topic", r.name, "from", next, "first", failed.First)
			if failed.First <= next {
				// No record has been written at that position yet.
				c.pause(ctx, retryPause)
			}
			next, full, lost = failed.First, r.readFull != nil, true
			continue
		case errors.As(err, &failed) && failed.Kind == logstore.Restored:
			era.enter(failed.First, c.o.Clock.Now())
			c.inbox.Send(ctx, storeRestored{r.name, next, failed.First})
			next, full, lost = failed.First, r.readFull != nil, true
			continue
		default:
			if available {
				c.o.Logger.Warn("store unavailable", "topic", r.name, "error", err.Error())
			}
			available, immediate = false, true
			if r.retriesInOutage {
				c.storeHealth.failed(started)
			}
			c.inbox.Send(ctx, storeReadFailed{r.name, started})
			if c.holderLostStore.Load() {
				pause = outagePause
			}
			// From one read to the next, so that the store's return is noticed as soon after reads that time out.
			c.pause(ctx, max(retryPause, pause-c.o.Clock.Now().Sub(started)))
			pause, silence = min(2*pause, c.timing.maxRetryPause), min(2*silence, c.timing.maxSilenceTimeout)
			continue
		}
		every := r.ownInterval
		switch {
		case c.leading.Load():
			every = r.holderInterval
		case c.holderLostStore.Load():
			every = outageReadWait + outagePause
		}
		if page.Next < page.End {
			// The topic has more records than one answer holds.
			every = 0
		}
		if left := every - c.o.Clock.Now().Sub(started); left > 0 {
			c.pause(ctx, left)
		}
	}
}

// readerEra tracks the store's era as seen by one reader.
type readerEra struct {
	read bool
	era  uint64
	// rereadAt is when a full read is due after a restore; zero if none is.
	rereadAt time.Time
}

// enter records the position read up to, and reports whether the store was restored since the previous one. After a
// restore a full read becomes due once the store's writers have had rewriteGrace.
func (e *readerEra) enter(p position.Position, now time.Time) (restored bool) {
	era := position.Era(p)
	if e.read && era <= e.era {
		return false
	}
	restored = e.read
	e.read, e.era = true, era
	if era > 0 {
		e.rereadAt = now.Add(rewriteGrace)
	}
	return restored
}

// rereadDue reports, once, that a full read is due.
func (e *readerEra) rereadDue(now time.Time) bool {
	due := !e.rereadAt.IsZero() && !now.Before(e.rereadAt)
	if due {
		e.rereadAt = time.Time{}
	}
	return due
}

func readOnce[T any](ctx context.Context, clock clockwork.Clock, r reader[T], next uint64, full bool, wait, slack time.Duration) (logstore.Page[T], error) {
	if full {
		ctx, cancel := boottime.WithTimeout(ctx, clock, fullReadTimeout)
		defer cancel()
		return r.readFull(ctx, slack)
	}
	limit := wait + slack
	if r.readFull != nil {
		// One record may be as long as a full read; the store's client gives up when no data arrives.
		limit += fullReadTimeout
	}
	ctx, cancel := boottime.WithTimeout(ctx, clock, limit)
	defer cancel()
	return r.read(ctx, next, wait)
}

// readWait returns how long the store may hold a read open, and how much longer the call may take.
func (c *Controller) readWait() (wait, slack time.Duration) {
	switch {
	case c.leading.Load():
		return c.timing.holderWait, readSlack
	case c.holderLostStore.Load():
		return outageReadWait, outageReadSlack
	}
	return c.timing.ownWait, readSlack
}

func (c *Controller) pause(ctx context.Context, d time.Duration) {
	select {
	case <-c.o.Clock.After(d):
	case <-ctx.Done():
	}
}

// storeReadFailed reports that a reader got no answer from the store.
type storeReadFailed struct {
	topic string
	// asked is when the read was sent.
	asked time.Time
}

func (m storeReadFailed) handle(c *Controller) {
	now := c.o.Clock.Now()
	c.outage.Failed(now)
	if m.topic == leaseTopic || m.topic == endpointsTopic {
		c.lapses.Failed(m.asked, c.holderLostStore.Load())
	}
	if m.topic == leaseTopic {
		c.leaseReadFailedAt = now
		c.dirty = c.dirty || c.holderLostStore.Load()
	}
}

// leaseReadSucceeded reports that the reader of the lease got an answer.
type leaseReadSucceeded struct{}

func (leaseReadSucceeded) handle(c *Controller) {
	// Report it at once, before the lease holder acts on the earlier report that the store does not answer this node.
	c.dirty = c.dirty || !c.leaseReadFailedAt.IsZero()
	c.leaseReadFailedAt = time.Time{}
}

type configPage struct {
	page  logstore.Page[logstore.Config]
	full  bool
	asked time.Time
}

func (m configPage) handle(c *Controller) {
	c.recordConfigRead(m)
	if c.mayApplyConfig(c.o.Clock.Now()) {
		for _, r := range m.page.Records {
			if r.Value.Table != nil {
				c.configure(r.Value.Table, "store")
			}
		}
	}
	c.applyEvacuationRecords(m.page, m.full)
	if c.confirmsNewest(m) {
		c.confirmConfig(c.config.Load().version(), m.asked)
	}
	if c.knowsRecords() {
		c.recordReadTo(m.page.Next)
	}
	if m.page.Next >= m.page.End {
		c.published.configRead(m.asked)
	}
}

// configure puts a configuration in force unless its version is not newer than the one in force. by names its source,
// for the log.
func (c *Controller) configure(t *route.Table, by string) {
	old := *c.config.Load()
	if old.table != nil && old.version() >= t.Config.Version {
		return
	}
	next := old
	next.table = t
	c.setConfig(next)
	c.builds.addTable(t)
	c.planner.SetTable(t)
	c.touchAll()
	c.listChanged(c.o.Clock.Now())
	c.o.Logger.Info("configuration in force", "version", t.Config.Version, "routes", len(t.Config.Routes), "services", len(t.Config.Services), "by", by)
	c.quotas.dropRemovedCustomers(func(name string) bool { return t.Customer(name) != nil })
}

type instancePage struct {
	page  logstore.Page[logstore.Instance]
	full  bool
	asked time.Time
}

func (m instancePage) handle(c *Controller) {
	now := c.o.Clock.Now()
	c.enterEra(position.Era(m.page.Next), now)
	c.lapses.ListRead(m.asked, now)
	c.directory.HoldRemovals(c.lapses.HoldUntil())
	if m.full && c.listed && !c.rewriteGraceOver(now) {
		// The store was restored from a backup, and this node's state is newer. What is written again is read later.
		c.listRead(m.asked, now)
		return
	}
	changes := &listChanges{source: "store"}
	if m.full {
		list := make([]directory.Record, 0, len(m.page.Records))
		for _, r := range m.page.Records {
			list = append(list, c.directoryRecord(r))
		}
		c.directory.Replace(list, m.page.Next, now, changes.add)
		c.listed = true
	} else {
		for _, r := range m.page.Records {
			rec := c.directoryRecord(r)
			if change := c.directory.Apply(rec, now); change != directory.Unchanged {
				changes.add(rec, change)
			}
		}
	}
	c.listedTo = max(c.listedTo, m.page.Next)
	c.applyListChanges(changes)
	if m.full || len(changes.changes) > 0 {
		c.listChanged(now)
		if c.held {
			// Before instancesRead: the published list must contain everything up to the time that it claims.
			c.publishInstances(now)
		}
	}
	if m.page.Next >= m.page.End {
		c.listRead(m.asked, now)
	}
}

// listRead records that the list was read to its end by a read that was sent at a time. While a removal is held back, what
// this node publishes is as old as before: others may know that the store was not away, and are to read for themselves.
func (c *Controller) listRead(asked, now time.Time) {
	c.listReadAt = asked
	heldBack := c.directory.HeldBack(now)
	if c.removalHeld && !heldBack && c.held {
		// The published list must not contain the entry any more.
		c.publishInstances(now)
	}
	c.removalHeld = heldBack
	if !heldBack {
		c.published.instancesRead(asked)
	}
}

// directoryRecord returns a record of the list with its version, which is the offset after it. An entry whose address
// is one of this node's own counts as removed.
func (c *Controller) directoryRecord(r logstore.Record[logstore.Instance]) directory.Record {
	r.Value.Version = r.Offset + 1
	if in := r.Value.Instance; in != nil && slices.Contains(c.o.Own, in.Address) {
		c.countSkipped("endpoints", []logstore.Damaged{{Offset: r.Offset, Err: &logstore.Fault{
			Reason: logstore.Invalid, Field: "address", Cause: fmt.Errorf("entry of endpoint %.60q names this node, %s", r.Value.ID, in.Address),
			Remedy: "only endpoints may write to the list: find what else does",
		}}})
		r.Value.Instance = nil
	}
	return r.Value
}

// listChanges collects the changes of the list of endpoints that one message brought.
type listChanges struct {
	source  string
	changes []listChange
}

type listChange struct {
	directory.Record
	change directory.Change
}

// maxListLogLines is up to how many changes of one message are logged on a line each. More are summarized on one
// line, since every node of the fleet logs them.
const maxListLogLines = 16

// add adds one change.
func (l *listChanges) add(r directory.Record, change directory.Change) {
	l.changes = append(l.changes, listChange{r, change})
}

// applyListChanges marks the changed endpoints, informs the guard and logs the changes.
func (c *Controller) applyListChanges(changes *listChanges) {
	c.feeding.endpoints.Store(int64(c.directory.Len()))
	gone := 0
	for i := range changes.changes {
		r := &changes.changes[i]
		c.touch(r.ID)
		c.updateGuard(r.Record)
		if r.Instance == nil {
			gone++
		}
		if len(changes.changes) <= maxListLogLines {
			c.logEntry(r.Record, r.change)
		}
	}
	if len(changes.changes) > maxListLogLines {
		c.o.Logger.Info("endpoints changed", "changed", len(changes.changes), "gone", gone, "listedTo", position.Offset(c.listedTo), "by", changes.source)
	}
}

// logEntry logs a change of an endpoint's entry.
func (c *Controller) logEntry(r directory.Record, change directory.Change) {
	in := r.Instance
	switch {
	case in == nil:
		c.o.Logger.Info("endpoint entry removed", "endpoint", r.ID, "version", r.Version, "relayed", r.Relayed)
	case change == directory.HoldingsChanged:
		c.o.Logger.Debug("units held by the engine changed", "endpoint", r.ID, "models", len(in.Models), "version", r.Version)
	default:
		c.o.Logger.Info("endpoint changed", "endpoint", r.ID, "born", int64(in.Start), "build", in.Build.String(), "service", in.Service, "address", in.Address, "draining", in.Draining,
			"remainingMs", in.Remaining.Milliseconds(), "version", r.Version, "relayed", r.Relayed)
	}
}

type leasePage struct{ page logstore.Page[[]byte] }

func (m leasePage) handle(c *Controller) {
	now := c.o.Clock.Now()
	c.enterEra(position.Era(m.page.Next), now)
	before, _ := c.lease.Holder()
	for _, r := range m.page.Records {
		var rec lease.Record
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			c.o.Logger.Error("record skipped", "topic", "lease", "offset", r.Offset, "error", err.Error())
			continue
		}
		c.lease.Apply(r.Offset, rec, now)
	}
	c.lease.CaughtUp(m.page.Next, now)
	c.leaseUncertain.Store(false)
	if n := int64(c.lease.Members()); n > 0 {
		// A node that has just started scales its waits to the fleet size recorded by the last lease holder.
		c.feeding.nodes.CompareAndSwap(0, n)
	}
	c.watchNewHolder(before, "store")
}

// watchNewHolder switches to the current lease holder if it differs from before. by names the source of the record,
// for the log.
func (c *Controller) watchNewHolder(before lease.Record, by string) {
	holder, fence := c.lease.Holder()
	if holder.SameIncarnation(before) {
		return
	}
	c.o.Logger.Info("lease holder changed", "holder", holder.Holder, "address", holder.Address, "fence", fence, "by", by)
	c.holderState.follow(holder)
}
