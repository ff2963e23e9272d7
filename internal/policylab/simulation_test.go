package policylab

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/policy"
)

// TestSameSeedSameFigures runs a workload twice and expects equal figures to the last digit. A
// dependence on map order or on concurrency would make every bound on the figures unreliable.
func TestSameSeedSameFigures(t *testing.T) {
	run := func() Result { return Run(Suva(1, 3), DefaultPlatform(), Costed(60)) }
	if diff := cmp.Diff(run(), run()); diff != "" {
		t.Errorf("figures differ:\n%s", diff)
	}
}

// TestPolicyBounds guards against a change that costs the product's policy its advantage over a
// fixed keep-alive: on a small workload its weighted cost must stay at least 5% lower. The figures
// are deterministic for the seed.
func TestPolicyBounds(t *testing.T) {
	work, platform := Suva(3, 5), DefaultPlatform()
	fixed := Run(work, platform, policy.Fixed{Keep: 40 * time.Minute})
	product := Run(work, platform, Costed(60))
	t.Logf("fixed: %.0f cold s, %.0f idle h; ours: %.0f cold s, %.0f idle h", fixed.ColdSeconds, fixed.IdleHours, product.ColdSeconds, product.IdleHours)
	if product.Refused > 0 || fixed.Refused > 0 {
		t.Errorf("refused %d requests with the product's policy and %d with a fixed keep-alive, want 0", product.Refused, fixed.Refused)
	}
	if a, b := product.Cost(1, 60), fixed.Cost(1, 60); a > 0.95*b {
		t.Errorf("weighted cost %.0f, fixed keep-alive %.0f: want at most 95%% of it", a, b)
	}
}
