package modelcheck

import (
	"strings"
	"testing"

	"olivetiller/core/ledger"
	"olivetiller/internal/explore"
)

// Bounds under which the placement protocol is explored. Together they cover
// what none of them does alone: two units, a takeover, an attempt that gets no
// answer, and a second replica after a quarantine.
var (
	twoUnits  = Bounds{Units: "xy", Loads: 2, Takeovers: 1, Unloads: 1, Cleanups: 1}
	oneRetry  = Bounds{Units: "x", Loads: 2, Unloads: 1, Retries: 1, Cleanups: 2}
	takenOver = Bounds{Units: "x", Loads: 2, Takeovers: 1, Unloads: 1, Cleanups: 1}
)

// placement explores the placement protocol.
func placement(g PlacementGuards, b Bounds) func(*testing.T) explore.Report {
	g.Bounds = b
	return func(t *testing.T) explore.Report { return explored(t, Placement(g)) }
}

// explored runs a model and returns its report.
func explored[W any](t *testing.T, m explore.Model[W]) explore.Report {
	t.Helper()
	r, err := explore.Run(m)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d states, %d steps, violation %v\n%s", r.States, r.Steps, r.Violation, strings.Join(r.Trace, "\n"))
	return r
}

// TestProtocolsHold explores each protocol with all its guards.
func TestProtocolsHold(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T) explore.Report
	}{
		{"placement, fences checked", placement(PlacementGuards{ChecksFences: true}, twoUnits)},
		{"placement, fences ignored, two units", placement(PlacementGuards{}, twoUnits)},
		{"placement, fences ignored, a retry", placement(PlacementGuards{}, oneRetry)},
		{"placement, fences ignored, a takeover", placement(PlacementGuards{}, takenOver)},
		{"claims", func(t *testing.T) explore.Report { return explored(t, Claims(ClaimGuards{})) }},
		{"publish", func(t *testing.T) explore.Report { return explored(t, Publish(0)) }},
		{"snapshots", func(t *testing.T) explore.Report { return explored(t, Snapshots(SnapshotGuards{})) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if r := tc.run(t); r.Violation != nil {
				t.Errorf("violation: %v", r.Violation)
			}
		})
	}
}

// TestGuardsMatter switches each guard off and expects the exploration to find
// the fault that the guard prevents.
func TestGuardsMatter(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T) explore.Report
	}{
		{"no memory check", placement(PlacementGuards{ChecksFences: true, FoldOff: ledger.GuardMemory}, twoUnits)},
		{"outcomes count under any fence", placement(PlacementGuards{ChecksFences: true, FoldOff: ledger.GuardFence}, twoUnits)},
		{"no quarantine", placement(PlacementGuards{FoldOff: ledger.GuardQuarantine}, takenOver)},
		{"quarantine ends without a last unload", placement(PlacementGuards{NoCleanup: true}, takenOver)},
		{"every node ends the quarantine", placement(PlacementGuards{ManyCleanups: true}, oneRetry)},
		{"a retry is hidden", placement(PlacementGuards{HideRetry: true}, oneRetry)},
		{"no lease", placement(PlacementGuards{NoLease: true}, takenOver)},
		{"claims are not exclusive", func(t *testing.T) explore.Report {
			return explored(t, Claims(ClaimGuards{FoldOff: ledger.GuardClaim}))
		}},
		{"sent before the claim is read back", func(t *testing.T) explore.Report {
			return explored(t, Claims(ClaimGuards{NoReadBack: true}))
		}},
		{"released after it was sent", func(t *testing.T) explore.Report {
			return explored(t, Claims(ClaimGuards{ReleaseAfterSend: true}))
		}},
		{"publish on any revision", func(t *testing.T) explore.Report {
			return explored(t, Publish(ledger.GuardRevision))
		}},
		{"no gap check at boot", func(t *testing.T) explore.Report {
			return explored(t, Snapshots(SnapshotGuards{NoGapCheck: true}))
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if r := tc.run(t); r.Violation == nil {
				t.Errorf("the exploration of %d states found nothing", r.States)
			}
		})
	}
}
