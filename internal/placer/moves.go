package placer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"olivetiller/core/logstore"
	"olivetiller/core/position"
	"olivetiller/core/route"
	"olivetiller/io/boottime"
)

// movedServices returns the services to or from which streams on routes may have moved among configurations. Any two are
// compared: a route may move and come back, or be missing in between.
func movedServices(tables []*route.Table) []string {
	moved := make(map[string]bool)
	note := func(from, to *route.Route) {
		if from == nil || to == nil || !from.Resumable || !to.Resumable || slices.Equal(from.Services, to.Services) {
			return
		}
		for _, r := range []*route.Route{from, to} {
			for _, s := range r.Services {
				moved[s.Service] = true
			}
		}
	}
	for i, old := range tables {
		for _, next := range tables[i+1:] {
			for j := range old.Config.Routes {
				r := &old.Config.Routes[j]
				note(r, next.Match(r.Host, r.Prefix))
			}
			for j := range next.Config.Routes {
				r := &next.Config.Routes[j]
				note(old.Match(r.Host, r.Prefix), r)
			}
		}
	}
	out := make([]string, 0, len(moved))
	for s := range moved {
		out = append(out, s)
	}
	return out
}

// resumableServices returns the services of all routes whose streams may be taken up.
func resumableServices(t *route.Table) []string {
	var out []string
	for i := range t.Config.Routes {
		for _, s := range t.Config.Routes[i].Services {
			if t.Config.Routes[i].Resumable && !slices.Contains(out, s.Service) {
				out = append(out, s.Service)
			}
		}
	}
	return out
}

// servicesMoved returns the services to or from which streams on routes may have moved since a configuration; known is
// false while the store's history is read for the configurations in between.
func (c *Controller) servicesMoved(ctx context.Context, since int64, t *route.Table) (moved []string, known bool) {
	if since == 0 || since >= t.Config.Version {
		return nil, true
	}
	b := &c.builds
	if b.tableOf(since) != nil {
		return movedServices(b.tablesFrom(since)), true
	}
	if b.historyFrom != since {
		b.historyFrom, b.historyDone = since, false
		go c.readHistory(ctx, since, c.config.Load().readTo)
	}
	if !b.historyDone {
		return nil, false
	}
	// Any stream may have moved.
	return resumableServices(t), true
}

// readsHistory reports whether the store's history is being read. The ledger cannot follow the configuration until then.
func (b *builds) readsHistory() bool { return b.historyFrom != 0 && !b.historyDone }

// historyRead holds the configurations from a version on, as the store's history has them.
type historyRead struct {
	from   int64
	tables []*route.Table
	err    error
}

func (m historyRead) handle(c *Controller) {
	b := &c.builds
	if m.from != b.historyFrom {
		return
	}
	b.historyDone = true
	if m.err != nil {
		c.o.Logger.Warn("moved routes cannot be told, streams without a record are refused until those in progress have ended", "config", m.from, "error", m.err.Error())
		return
	}
	for _, t := range m.tables {
		if b.tableOf(t.Config.Version) == nil {
			b.tables = append(b.tables, t)
		}
	}
	slices.SortFunc(b.tables, func(x, y *route.Table) int { return cmp.Compare(x.Config.Version, y.Config.Version) })
	c.o.Logger.Info("configurations read from the store's history", "from", m.from, "read", len(m.tables))
}

// errHistory is returned if the store's history lacks configurations that streams in progress may have begun under.
var errHistory = errors.New("the store's history does not hold every configuration since; it keeps the newest record for good, and others for a time")

// readHistory reads the configurations from a version on that stand before a position of the operators' topic.
func (c *Controller) readHistory(ctx context.Context, from int64, end position.Position) {
	rctx, cancel := boottime.WithTimeout(ctx, c.o.Clock, fullReadTimeout)
	defer cancel()
	tables, err := c.history(rctx, from, end)
	c.inbox.Send(ctx, historyRead{from, tables, err})
}

// history returns the configurations from a version on that are among the last maxTables records before a position. It
// repeats reads that get no answer until ctx ends.
func (c *Controller) history(ctx context.Context, from int64, end position.Position) ([]*route.Table, error) {
	if position.Era(end) > 0 {
		return nil, fmt.Errorf("the store was restored and may lack configurations that were in force: %w", errHistory)
	}
	var out []*route.Table
	for next := end - min(end, maxTables); next < end; {
		page, err := c.o.Store.Configs(ctx, next, 0)
		var failed *logstore.Error
		switch {
		case errors.As(err, &failed) && failed.Kind == logstore.Dropped && failed.First > next:
			next = failed.First
			continue
		case errors.As(err, &failed) && failed.Kind != logstore.NoAnswer, err != nil && ctx.Err() != nil:
			return nil, fmt.Errorf("the operators' topic cannot be read from offset %d on: %w", position.Offset(next), err)
		case err != nil:
			c.pause(ctx, c.timing.maxRetryPause)
			continue
		case position.Era(page.Next) > 0, len(page.Damaged) > 0, page.Next <= next:
			return nil, errHistory
		}
		for _, r := range page.Records {
			if t := r.Value.Table; t != nil && r.Offset < end && t.Config.Version >= from {
				out = append(out, t)
			}
		}
		next = page.Next
	}
	if len(out) == 0 || out[0].Config.Version != from {
		return nil, errHistory
	}
	return out, nil
}
