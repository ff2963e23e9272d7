package modelcheck

import (
	"strings"
	"testing"

	"olivetiller/core/ledger"
	"olivetiller/internal/explore"
)

// The placement protocol is explored under several bounds, since the state space under all of them
// at once is too large: two units; an order that gets no answer at first and is sent again; a
// takeover with a second load after a quarantine.
var (
	twoUnits  = Bounds{Units: "xy", Loads: 2, Takeovers: 1, Unloads: 1, Cleanups: 1}
	oneRetry  = Bounds{Units: "x", Loads: 2, Unloads: 1, Retries: 1, Cleanups: 2}
	takenOver = Bounds{Units: "x", Loads: 2, Takeovers: 1, Unloads: 1, Cleanups: 1}
)

// explorePlacement returns a function that explores the placement model and returns the report.
func explorePlacement(g PlacementGuards, b Bounds) func(*testing.T) explore.Report {
	g.Bounds = b
	return func(t *testing.T) explore.Report { return exploreModel(t, Placement(g)) }
}

// exploreModel explores a model and returns the report.
func exploreModel[W any](t *testing.T, m explore.Model[W]) explore.Report {
	t.Helper()
	r, err := explore.Run(m)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d states, %d steps, violation %v\n%s", r.States, r.Steps, r.Violation, strings.Join(r.Trace, "\n"))
	return r
}

// TestProtocolsHold explores each protocol with all its guards and expects no violation.
func TestProtocolsHold(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T) explore.Report
	}{
		{"placement, fences checked", explorePlacement(PlacementGuards{ChecksFences: true}, twoUnits)},
		{"placement, fences ignored, two units", explorePlacement(PlacementGuards{}, twoUnits)},
		{"placement, fences ignored, a retry", explorePlacement(PlacementGuards{}, oneRetry)},
		{"placement, fences ignored, a takeover", explorePlacement(PlacementGuards{}, takenOver)},
		{"claims", func(t *testing.T) explore.Report { return exploreModel(t, Claims(ClaimGuards{})) }},
		{"publish", func(t *testing.T) explore.Report { return exploreModel(t, Publish(0)) }},
		{"snapshots", func(t *testing.T) explore.Report { return exploreModel(t, Snapshots(SnapshotGuards{})) }},
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

// TestDisabledGuardsAreDetected switches each guard off in turn and expects the exploration to find
// a violation. It guards against checks that cannot fail.
func TestDisabledGuardsAreDetected(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T) explore.Report
	}{
		{"no memory check", explorePlacement(PlacementGuards{ChecksFences: true, DisabledGuards: ledger.GuardMemory}, twoUnits)},
		{"outcomes count under any fence", explorePlacement(PlacementGuards{ChecksFences: true, DisabledGuards: ledger.GuardFence}, twoUnits)},
		{"no quarantine", explorePlacement(PlacementGuards{DisabledGuards: ledger.GuardQuarantine}, takenOver)},
		{"quarantine ends without a last unload", explorePlacement(PlacementGuards{NoCleanup: true}, takenOver)},
		{"every node ends the quarantine", explorePlacement(PlacementGuards{AnyNodeCleanup: true}, oneRetry)},
		{"a retry is hidden", explorePlacement(PlacementGuards{HideRetry: true}, oneRetry)},
		{"no lease", explorePlacement(PlacementGuards{NoLease: true}, takenOver)},
		{"claims are not exclusive", func(t *testing.T) explore.Report {
			return exploreModel(t, Claims(ClaimGuards{DisabledGuards: ledger.GuardClaim}))
		}},
		{"sent before the claim is read back", func(t *testing.T) explore.Report {
			return exploreModel(t, Claims(ClaimGuards{NoReadBack: true}))
		}},
		{"released after it was sent", func(t *testing.T) explore.Report {
			return exploreModel(t, Claims(ClaimGuards{ReleaseAfterSend: true}))
		}},
		{"publish on any revision", func(t *testing.T) explore.Report {
			return exploreModel(t, Publish(ledger.GuardRevision))
		}},
		{"no gap check at boot", func(t *testing.T) explore.Report {
			return exploreModel(t, Snapshots(SnapshotGuards{NoGapCheck: true}))
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if r := tc.run(t); r.Violation == nil {
				t.Errorf("explored %d states without finding a violation", r.States)
			}
		})
	}
}
