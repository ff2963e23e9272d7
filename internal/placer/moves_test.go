package placer

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/lease"
	"olivetiller/core/origin"
	"olivetiller/core/route"
)

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
			for s, b := range c.nextLedger(c.o.Clock.Now()).Services {
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
