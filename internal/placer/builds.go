package placer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/lease"
	"olivetiller/core/origin"
	"olivetiller/core/position"
	"olivetiller/core/route"
	"olivetiller/core/view"
)

// builds is what the owner keeps for the ledger of builds.
type builds struct {
	// ledger is the ledger that the view in force was built with; nil if none is known.
	ledger *origin.Ledger
	// at is when this node, as the lease holder, sent its latest ledger.
	at time.Time
	// tables are the configurations that have been in force here, by version, from the one that the latest ledger takes into
	// account on. Every node keeps them, since it may be the next lease holder.
	tables []*route.Table
	// changed is set if the ledger has changed since the view in force was built.
	changed bool
	// historyFrom is the version from which on the store's history was last read for tables, and historyDone is set once
	// that read has ended; 0 if it never was read.
	historyFrom int64
	historyDone bool
}

// maxTables bounds the configurations that are kept while no lease record takes them into account.
const maxTables = 8

// addTable adds a configuration that comes into force.
func (b *builds) addTable(t *route.Table) {
	b.tables = append(b.tables, t)
	if over := len(b.tables) - maxTables; over > 0 {
		b.tables = slices.Delete(b.tables, 0, over)
	}
}

// dropTables drops the configurations before a version, which the latest ledger takes into account.
func (b *builds) dropTables(version int64) {
	b.tables = slices.DeleteFunc(b.tables, func(t *route.Table) bool { return t.Config.Version < version })
}

// tableOf returns the configuration of a version; nil if it was not in force here.
func (b *builds) tableOf(version int64) *route.Table {
	if i := slices.IndexFunc(b.tables, func(t *route.Table) bool { return t.Config.Version == version }); i >= 0 {
		return b.tables[i]
	}
	return nil
}

// tablesFrom returns the configurations from a version on.
func (b *builds) tablesFrom(version int64) []*route.Table {
	return slices.DeleteFunc(slices.Clone(b.tables), func(t *route.Table) bool { return t.Config.Version < version })
}

// followLedger takes over the ledger of the latest lease record.
func (c *Controller) followLedger() {
	next, _ := c.lease.Ledger()
	if next.Equal(c.builds.ledger) {
		return
	}
	c.builds.ledger, c.builds.changed, c.viewStale = next, true, true
	if next != nil {
		c.builds.dropTables(next.Config)
		c.o.Logger.Info("builds admitted", "builds", admittedNames(next), "unsettled", next.UnsettledMs > 0, "config", next.Config)
	}
}

// admittedNames returns the builds of a ledger by service, for the log.
func admittedNames(l *origin.Ledger) map[string][]string {
	out := make(map[string][]string, len(l.Services))
	for service, b := range l.Services {
		out[service] = []string{}
		for _, a := range b.Admitted {
			out[service] = append(out[service], a.Build.String())
		}
	}
	return out
}

// setBuilds sets the builds of a view.
func (c *Controller) setBuilds(v *view.View) {
	v.Builds = c.index.builds()
	l := c.builds.ledger
	if l == nil {
		// Holders of earlier releases keep no ledger, and nothing can be told of any build.
		return
	}
	for o := range v.Builds {
		if !l.Admits(o.Service, o.Build) {
			if v.NewBuilds == nil {
				v.NewBuilds = make(map[origin.Origin]bool)
			}
			v.NewBuilds[o] = true
		}
	}
}

// ledgerBehind reports whether the ledger of the latest record lacks a build of an endpoint that takes requests, or does not
// take the configuration in force into account. If all nodes end meanwhile, streams that are taken up then are refused.
// While there are no builds, no stream begins, and a record for the configuration alone would delay the one that names them.
func (c *Controller) ledgerBehind() bool {
	l, _ := c.lease.Ledger()
	if l == nil {
		return true
	}
	builds := c.index.builds()
	for o := range builds {
		if !l.Admits(o.Service, o.Build) {
			return true
		}
	}
	return len(builds) > 0 && l.Config < c.config.Load().version()
}

// nextLedger returns the ledger for the next lease record of this node.
func (c *Controller) nextLedger(ctx context.Context, now time.Time) *origin.Ledger {
	last, first := c.lease.Ledger()
	switch {
	case first && c.o.FirstStart:
		last = origin.First()
	case last == nil:
		last = origin.Unknown()
	}
	o := origin.Observed{Present: make(origin.Present)}
	for in := range c.index.builds() {
		o.Present[in.Service] = append(o.Present[in.Service], in.Build)
	}
	if t := c.Table(); t != nil {
		if moved, known := c.servicesMoved(ctx, last.Config, t); known {
			o.Config, o.Moved = t.Config.Version, moved
		}
	}
	if c.held && !c.builds.at.IsZero() {
		o.Elapsed = now.Sub(c.builds.at)
	}
	c.builds.at = now
	return last.Next(o)
}

// newestReadTimeout bounds the reads by which the origin of a stream is concluded; the store answers within milliseconds.
const newestReadTimeout = 500 * time.Millisecond

// Errors of SoleBuild.
var (
	errNoLedger      = errors.New("no ledger of builds is known")
	errSeveralBuilds = errors.New("streams may have begun at several builds or services")
	errConfigBehind  = errors.New("the configuration of this node is not the newest, or not taken into account in the ledger")
)

// newestState is what the store had when a read began.
type newestState struct {
	ledger *origin.Ledger
	// config is the version of the configuration.
	config int64
	err    error
}

// SoleBuild implements [origins.Concluder]: it reads the latest lease record and the operators' topic to their ends. No
// stream begins at a build that the lease record does not name, and a request that arrived before the reads takes up a
// stream that began before them.
func (c *Controller) SoleBuild(ctx context.Context, service string, version int64) (directory.Build, error) {
	s := c.newest.Read(ctx, c.readNewest)
	switch {
	case s.err != nil:
		return directory.Build{}, s.err
	case s.ledger == nil:
		return directory.Build{}, errNoLedger
	case s.config != version || s.ledger.Config < version:
		return directory.Build{}, errConfigBehind
	}
	build, ok := s.ledger.Sole(service)
	if !ok {
		return directory.Build{}, errSeveralBuilds
	}
	return build, nil
}

// readNewest reads both topics to their ends.
func (c *Controller) readNewest() (s newestState) {
	ctx, cancel := context.WithTimeout(context.Background(), newestReadTimeout)
	defer cancel()
	if s.ledger, s.err = c.newestLedger(ctx); s.err == nil {
		s.config, s.err = c.newestConfig(ctx)
	}
	return s
}

// newestLedger returns the ledger of the newest lease record in the store.
func (c *Controller) newestLedger(ctx context.Context) (*origin.Ledger, error) {
	mark := c.leaseRead.Load()
	if mark == nil {
		return nil, errNoLedger
	}
	ledger, next := mark.ledger, mark.end
	for {
		page, err := c.o.Store.Lease(ctx, next, 0)
		if err != nil {
			return nil, fmt.Errorf("the newest ledger of builds cannot be read: %w", err)
		}
		if position.Era(page.Next) != position.Era(mark.end) {
			return nil, errNoLedger
		}
		for _, r := range page.Records {
			var rec lease.Record
			if err := json.Unmarshal(r.Value, &rec); err != nil || rec.Era != position.Era(r.Offset) {
				ledger = nil
				continue
			}
			ledger = rec.Ledger
		}
		if page.Next >= page.End {
			break
		}
		next = page.Next
	}
	if ledger == nil {
		return nil, errNoLedger
	}
	return ledger, nil
}

// newestConfig returns the version of the configuration in force, if it is shown to be the newest in the store.
func (c *Controller) newestConfig(ctx context.Context) (version int64, err error) {
	cc := c.config.Load()
	if cc.readTo == 0 {
		return 0, errConfigBehind
	}
	page, err := c.o.Store.Configs(ctx, cc.readTo, 0)
	if err != nil {
		return 0, fmt.Errorf("the newest configuration cannot be read: %w", err)
	}
	if page.Next < page.End || len(page.Damaged) > 0 || position.Era(page.Next) != position.Era(cc.readTo) {
		return 0, errConfigBehind
	}
	for _, r := range page.Records {
		if t := r.Value.Table; t != nil && t.Config.Version > cc.version() {
			return 0, errConfigBehind
		}
	}
	return cc.version(), nil
}

// leaseRead is up to where the lease topic is known, with the ledger of the latest record before.
type leaseRead struct {
	end    position.Position
	ledger *origin.Ledger
}

// updateLeaseRead updates what SoleBuild reads on from.
func (c *Controller) updateLeaseRead() {
	ledger, _ := c.lease.Ledger()
	if m := c.leaseRead.Load(); m == nil || m.end != c.lease.End() || m.ledger != ledger {
		c.leaseRead.Store(&leaseRead{c.lease.End(), ledger})
	}
}
