package quarantine

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTransitions checks the next state for every state and event.
func TestTransitions(t *testing.T) {
	type rule struct {
		name  string
		holds func(s State, ev event) bool
		want  func(s State, ev event) State
	}
	to := func(s State) func(State, event) State { return func(State, event) State { return s } }
	same := func(s State, _ event) State { return s }
	weighed := map[event]State{weakSuspicion: Suspected, strongSuspicion: Isolated, verdictReached: Quarantined}
	// The first rule that applies determines the expected state.
	rules := []rule{
		{"what is forgotten is clear", func(_ State, ev event) bool { return ev == recordExpired }, to(Clear)},
		{"a good answer, or an operator, lets go", func(s State, ev event) bool {
			return (ev == successfulAnswer || ev == operatorRelease) && (s.blocked() || s == Released)
		}, to(Released)},
		{"a good answer, or an operator, clears", func(_ State, ev event) bool { return ev == successfulAnswer || ev == operatorRelease }, to(Clear)},
		{"a crash that is disproved lets go", func(s State, ev event) bool { return ev == crashDisproved && (s.blocked() || s == Released) }, to(Released)},
		{"a crash that is disproved clears", func(_ State, ev event) bool { return ev == crashDisproved }, to(Clear)},
		{"only what is quarantined is tried", func(s State, ev event) bool { return ev == trialBegun && s != Quarantined }, same},
		{"a trial begins", func(_ State, ev event) bool { return ev == trialBegun }, to(OnTrial)},
		{"a trial that came to nothing", func(s State, ev event) bool { return ev == trialOver && s == OnTrial }, to(Quarantined)},
		{"no trial", func(_ State, ev event) bool { return ev == trialOver }, same},
		{"a verdict stays", func(s State, _ event) bool { return s == Quarantined }, to(Quarantined)},
		{"another end ends a trial", func(s State, ev event) bool { return s == OnTrial && ev != explained }, to(Quarantined)},
		{"a trial goes on", func(s State, _ event) bool { return s == OnTrial }, to(OnTrial)},
		{"explained", func(s State, ev event) bool { return ev == explained && s == Released }, to(Released)},
		{"explained", func(_ State, ev event) bool { return ev == explained }, to(Clear)},
		{"weighed", func(State, event) bool { return true }, func(_ State, ev event) State { return weighed[ev] }},
	}
	cases := 0
	for s := range State(States) {
		for ev := range event(events) {
			cases++
			for _, r := range rules {
				if !r.holds(s, ev) {
					continue
				}
				if diff := cmp.Diff(r.want(s, ev).String(), transitions[s][ev].String()); diff != "" {
					t.Errorf("%v, event %d: %s (-want +got):\n%s", s, ev, r.name, diff)
				}
				break
			}
		}
	}
	if diff := cmp.Diff(60, cases); diff != "" {
		t.Errorf("cases (-want +got):\n%s", diff)
	}
}
