package modelcheck

import (
	"strings"
	"testing"

	"olivetiller/core/ledger"
	"olivetiller/internal/explore"
)

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
		{"placement on an engine that checks fences", func(t *testing.T) explore.Report {
			return explored(t, Placement(PlacementGuards{ChecksFences: true}))
		}},
		{"placement on an engine that ignores fences", func(t *testing.T) explore.Report {
			return explored(t, Placement(PlacementGuards{}))
		}},
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
		{"no memory check", func(t *testing.T) explore.Report {
			return explored(t, Placement(PlacementGuards{ChecksFences: true, FoldOff: ledger.GuardMemory}))
		}},
		{"outcomes count under any fence", func(t *testing.T) explore.Report {
			return explored(t, Placement(PlacementGuards{ChecksFences: true, FoldOff: ledger.GuardFence}))
		}},
		{"no quarantine", func(t *testing.T) explore.Report {
			return explored(t, Placement(PlacementGuards{FoldOff: ledger.GuardQuarantine}))
		}},
		{"quarantine ends without a last unload", func(t *testing.T) explore.Report {
			return explored(t, Placement(PlacementGuards{NoCleanup: true}))
		}},
		{"a retry is hidden", func(t *testing.T) explore.Report {
			return explored(t, Placement(PlacementGuards{HideRetry: true}))
		}},
		{"no lease", func(t *testing.T) explore.Report {
			return explored(t, Placement(PlacementGuards{NoLease: true, FoldOff: ledger.GuardQuarantine}))
		}},
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
