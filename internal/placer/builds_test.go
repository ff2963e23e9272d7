package placer

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/lease"
	"olivetiller/core/origin"
	"olivetiller/core/route"
)

// TestLedgerFollowsConfigurationAtOnce guards against streams that are refused because all nodes end between a configuration
// and the next renewal of the lease, so that no record takes the configuration into account.
func TestLedgerFollowsConfigurationAtOnce(t *testing.T) {
	none := map[origin.Origin]int{}
	one := map[origin.Origin]int{{Service: "s", Build: directory.BuildOf("v1")}: 1}
	admits := func(config int64) *origin.Ledger {
		return origin.First().Next(origin.Observed{Present: origin.Present{"s": {directory.BuildOf("v1")}}, Config: config})
	}
	tests := []struct {
		name   string
		ledger *origin.Ledger
		builds map[origin.Origin]int
		config int64
		want   bool
	}{
		{"no ledger", nil, none, 4, true},
		{"of the configuration in force", admits(4), one, 4, false},
		{"of an earlier configuration", admits(4), one, 6, true},
		{"of a later configuration than this node's", admits(6), one, 4, false},
		{"without a build that takes requests", origin.First().Next(origin.Observed{Config: 4}), one, 4, true},
		// A record for the configuration alone would delay the one that names the first builds.
		{"of an earlier configuration, before there are builds", origin.First(), none, 4, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c := newController(clock)
			table, err := route.New(&route.Config{Version: tt.config})
			if err != nil {
				t.Fatal(err)
			}
			c.config.Store(&confirmedConfig{table: table})
			c.lease.Apply(0, lease.Record{Holder: "a", Incarnation: "a-1", Ledger: tt.ledger}, clock.Now())
			c.index.published = tt.builds
			if got := c.ledgerBehind(); got != tt.want {
				t.Errorf("ledgerBehind() = %v, want %v", got, tt.want)
			}
		})
	}
}
