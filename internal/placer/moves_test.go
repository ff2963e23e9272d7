package placer

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/lease"
	"olivetiller/core/logstore"
	"olivetiller/core/origin"
	"olivetiller/core/position"
	"olivetiller/core/queue"
	"olivetiller/core/route"
	"olivetiller/internal/traffic"
)

// configHistory is a store that holds an operators' topic and nothing else, from offset first on.
type configHistory struct {
	Store
	tables []*route.Table
	first  uint64
	err    error
}

func (h configHistory) Configs(_ context.Context, from uint64, _ time.Duration) (page logstore.Page[logstore.Config], err error) {
	switch {
	case h.err != nil:
		return page, h.err
	case from < h.first:
		return page, &logstore.Error{Kind: logstore.Dropped, First: h.first}
	}
	// Pages have one record.
	page.Next, page.End = from+1, uint64(len(h.tables))
	page.Records = []logstore.Record[logstore.Config]{{Offset: from, Value: logstore.Config{Table: h.tables[from]}}}
	return page, nil
}

// movingTable returns a configuration that has a resumable route to a service, and another one to "still"; "" for no such
// route.
func movingTable(t *testing.T, version int64, service string) *route.Table {
	t.Helper()
	cfg := &route.Config{Version: version}
	for prefix, s := range map[string]string{"/x/": service, "/y/": "still"} {
		if s != "" {
			cfg.Services = append(cfg.Services, route.Service{Name: s})
			cfg.Routes = append(cfg.Routes, route.Route{Name: prefix, Host: "h", Prefix: prefix, Services: []route.Share{{Service: s, Weight: 1}}, Resumable: true, Stream: true, Repetition: route.Repeatable, Attempts: 1})
		}
	}
	table, err := route.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestRouteMovesAndComesBack guards against streams that go on at another service because a route moved and came back
// between two records of the lease.
func TestRouteMovesAndComesBack(t *testing.T) {
	tests := []struct {
		name string
		// services are those of the route in versions 1, 2 and so on, and want those that count as moved.
		services, want []string
	}{
		{"not moved", []string{"a", "a"}, []string{}},
		{"moved and back", []string{"a", "b", "a"}, []string{"a", "b"}},
		{"removed and back at another service", []string{"a", "", "b"}, []string{"a", "b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newController(clockwork.NewFakeClock())
			for i, s := range tt.services {
				c.configure(movingTable(t, int64(i+1), s), "test")
			}
			c.lease.Apply(0, lease.Record{Holder: "b", Incarnation: "b-1", Ledger: &origin.Ledger{Config: 1}}, c.o.Clock.Now())
			moved := []string{}
			for s, b := range c.nextLedger(t.Context(), c.o.Clock.Now()).Services {
				if b.MovedMs > 0 {
					moved = append(moved, s)
				}
			}
			slices.Sort(moved)
			if diff := cmp.Diff(tt.want, moved); diff != "" {
				t.Errorf("moved services (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMovesOfUnseenConfigs guards against streams that are refused for an hour because no process is left that had the
// configuration of the latest ledger.
func TestMovesOfUnseenConfigs(t *testing.T) {
	all := []string{"a", "still"}
	tests := []struct {
		name string
		// services are those of the route in versions 1, 2 and so on, of which only the last was in force here.
		services []string
		first    uint64
		era      uint64
		err      error
		// want are the services that count as moved since version 1.
		want []string
	}{
		{name: "not moved", services: []string{"a", "a", "a"}, want: []string{}},
		{name: "moved", services: []string{"a", "b"}, want: []string{"a", "b"}},
		{name: "moved and back", services: []string{"a", "b", "a"}, want: []string{"a", "b"}},
		{name: "history dropped", services: []string{"a", "a", "a"}, first: 1, want: all},
		{name: "too many configurations", services: slices.Repeat([]string{"a"}, maxTables+1), want: all},
		{name: "store restored", services: []string{"a", "a"}, era: 1, want: all},
		{name: "no answer", services: []string{"a", "a"}, err: errors.New("no answer"), want: all},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			store := configHistory{first: tt.first, err: tt.err}
			for i, s := range tt.services {
				store.tables = append(store.tables, movingTable(t, int64(i+1), s))
			}
			c := New(Options{
				Self: lease.Record{Holder: "a", Incarnation: "a-1"}, Clock: clock, Logger: hclog.NewNullLogger(), Store: store,
				Dispatcher: traffic.New(clock, "h", queue.Limits{Items: 9, Bytes: 999}, traffic.Hooks{}),
			})
			c.configure(store.tables[len(tt.services)-1], "test")
			c.recordReadTo(position.Begin(tt.era) + uint64(len(tt.services)))
			c.lease.Apply(0, lease.Record{Holder: "b", Incarnation: "b-1", Ledger: &origin.Ledger{Config: 1}}, clock.Now())
			ctx, cancel := context.WithCancel(t.Context())
			got := c.nextLedger(ctx, clock.Now())
			if got.Config != 1 {
				t.Errorf("the ledger takes version %d into account before the history is read, want 1", got.Config)
			}
			if tt.err != nil {
				_ = clock.BlockUntilContext(ctx, 2)
				clock.Advance(fullReadTimeout)
			}
			(<-c.inbox.C).handle(c)
			got = c.nextLedger(ctx, clock.Now())
			cancel()
			moved := []string{}
			for s, b := range got.Services {
				if b.MovedMs > 0 {
					moved = append(moved, s)
				}
			}
			slices.Sort(moved)
			if diff := cmp.Diff(tt.want, moved); diff != "" || got.Config != int64(len(tt.services)) {
				t.Errorf("configuration %d taken into account, moved services (-want +got):\n%s", got.Config, diff)
			}
		})
	}
}
