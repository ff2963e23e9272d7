package retry

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestNext checks every combination of the fields of Attempt against a list of rules.
func TestNext(t *testing.T) {
	type rule struct {
		name  string
		holds func(a Attempt) bool
		want  Step
	}
	// The first rule that holds gives the expected step.
	rules := []rule{
		{"late after something was sent", func(a Attempt) bool { return a.Late && a.Outcome != NotSent }, TimedOut},
		{"late, nothing sent ever", func(a Attempt) bool { return a.Late && a.Ran == 0 && !a.Withheld }, NotBegun},
		{"kept from engines, nothing sent ever", func(a Attempt) bool { return a.Withheld && a.Ran == 0 }, Withheld},
		{"kept from engines after a run", func(a Attempt) bool { return a.Withheld && !a.OnceOnly }, Failed},
		{"caller gone, nothing sent ever", func(a Attempt) bool { return a.CallerGone && a.Ran == 0 }, NotBegun},
		{"once only, may have run", func(a Attempt) bool { return a.OnceOnly && a.Ran > 0 && a.Outcome != NotSent }, Unknown},
		{"once only, not sent, but an earlier attempt was", func(a Attempt) bool {
			return a.OnceOnly && a.Ran > 0 && (a.CallerGone || a.Late || a.Withheld || a.Ran >= a.Attempts)
		}, Unknown},
		{"caller gone", func(a Attempt) bool { return a.CallerGone }, Failed},
		{"late", func(a Attempt) bool { return a.Late }, Failed},
		{"no attempts left", func(a Attempt) bool { return a.Ran >= a.Attempts }, Failed},
		{"otherwise", func(Attempt) bool { return true }, Repeat},
	}
	both := []bool{false, true}
	cases := 0
	for _, outcome := range []Outcome{NotSent, MaybeRun, Ran} {
		for ran := range 4 {
			if outcome != NotSent && ran == 0 {
				continue
			}
			for attempts := 1; attempts <= 3; attempts++ {
				for _, once := range both {
					for _, late := range both {
						for _, left := range both {
							for _, held := range both {
								cases++
								a := Attempt{Outcome: outcome, OnceOnly: once, Ran: ran, Attempts: attempts, Late: late, CallerGone: left, Withheld: held}
								for _, r := range rules {
									if !r.holds(a) {
										continue
									}
									if diff := cmp.Diff(r.want.String(), Next(a).String()); diff != "" {
										t.Errorf("%+v: %s (-want +got):\n%s", a, r.name, diff)
									}
									break
								}
							}
						}
					}
				}
			}
		}
	}
	if diff := cmp.Diff(480, cases); diff != "" {
		t.Errorf("cases (-want +got):\n%s", diff)
	}
}
