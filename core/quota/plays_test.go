package quota

import "testing"

// faultRun is a run of injectFaults against an endpoint's limit.
type faultRun struct {
	cold      bool
	nodes     int
	perSecond float64
	seed      uint64
}

// check fails the test if the endpoint gets more requests than the rule allows.
func (r faultRun) check(t *testing.T) {
	t.Helper()
	s := newSimDeployment(r.nodes, r.perSecond, r.seed)
	if r.cold {
		s = newColdDeployment(r.nodes, r.perSecond, r.seed)
	}
	injectFaults(s)
	if float64(s.maxInWindow) > s.allowed() {
		t.Errorf("%+v: %d requests in %v, %.1f allowed", r, s.maxInWindow, s.rule.window, s.allowed())
	}
}

// TestGrantersApartKeepLimit guards against granters that exist side by side and each take the shares of the nodes that
// report to the other one.
func TestGrantersApartKeepLimit(t *testing.T) {
	for _, r := range []faultRun{
		{false, 7, 1.8, 2050}, {false, 7, 2, 49}, {false, 7, 8, 1001}, {false, 7, 8, 2267},
		{false, 7, 10, 599}, {false, 7, 10, 1081}, {false, 7, 16, 25}, {false, 7, 30, 404},
	} {
		r.check(t)
	}
}
