package placer

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/lease"
	"olivetiller/core/origin"
	"olivetiller/core/route"
)

// TestLedgerFollowsConfigurationAtOnce guards against streams that are refused because all nodes end between a configuration
// and the next renewal of the lease, so that no record takes the configuration into account.
func TestLedgerFollowsConfigurationAtOnce(t *testing.T) {
	tests := []struct {
		name   string
		ledger *origin.Ledger
		config int64
		want   bool
	}{
		{"no ledger", nil, 4, true},
		{"of the configuration in force", &origin.Ledger{Config: 4}, 4, false},
		{"of an earlier configuration", &origin.Ledger{Config: 4}, 6, true},
		{"of a later configuration than this node's", &origin.Ledger{Config: 6}, 4, false},
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
			if got := c.ledgerBehind(); got != tt.want {
				t.Errorf("ledgerBehind() = %v, want %v", got, tt.want)
			}
		})
	}
}
