package policylab

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/policy"
)

// TestSameSeedSameFigures runs a workload twice: the figures must be equal to
// the last digit, or no bound on them would mean anything.
func TestSameSeedSameFigures(t *testing.T) {
	run := func() Result { return Run(Suva(1, 3), DefaultPlatform(), Costed(60)) }
	if diff := cmp.Diff(run(), run()); diff != "" {
		t.Errorf("figures differ:\n%s", diff)
	}
}

// TestPolicyBounds keeps the product's policy ahead of a fixed keep-alive on a
// small workload. The figures are exact for the seed, so the bound is too.
func TestPolicyBounds(t *testing.T) {
	work, platform := Suva(3, 5), DefaultPlatform()
	fixed := Run(work, platform, policy.Fixed{Keep: 40 * time.Minute})
	ours := Run(work, platform, Costed(60))
	t.Logf("fixed: %.0f cold s, %.0f idle h; ours: %.0f cold s, %.0f idle h", fixed.ColdSeconds, fixed.IdleHours, ours.ColdSeconds, ours.IdleHours)
	if ours.Refused > 0 || fixed.Refused > 0 {
		t.Errorf("refused %d and %d", ours.Refused, fixed.Refused)
	}
	if a, b := ours.Cost(1, 60), fixed.Cost(1, 60); a > 0.95*b {
		t.Errorf("weighted cost %.0f, fixed keep-alive %.0f: the lead is gone", a, b)
	}
}
