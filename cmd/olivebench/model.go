package main

import (
	"fmt"
	"strings"

	"olivetiller/internal/explore"
	"olivetiller/internal/modelcheck"
)

// modelCmd explores models of the protocols exhaustively and prints the number of states and any
// violation.
type modelCmd struct {
	Protocol  string `default:"all" enum:"all,placement,claims,publish,snapshots" help:"Protocol to explore."`
	Units     string `default:"xy" help:"Placement: units, one letter each."`
	Loads     int    `default:"2" help:"Placement: maximum number of proposed loads."`
	Takeovers int    `default:"1" help:"Placement: maximum number of takeovers."`
	Unloads   int    `default:"1" help:"Placement: maximum number of proposed unloads."`
	Retries   int    `default:"0" help:"Placement: maximum number of orders that get no answer at first."`
	Cleanups  int    `default:"1" help:"Placement: maximum number of takeovers that end a quarantine."`
}

// Run implements the command.
func (c *modelCmd) Run() error {
	bounds := modelcheck.Bounds{
		Units: c.Units, Loads: c.Loads, Takeovers: c.Takeovers, Unloads: c.Unloads, Retries: c.Retries, Cleanups: c.Cleanups,
	}
	var violated []string
	for _, run := range []struct {
		protocol, name string
		explore        func() (explore.Report, error)
	}{
		{"placement", "placement, fences checked", func() (explore.Report, error) {
			return explore.Run(modelcheck.Placement(modelcheck.PlacementGuards{ChecksFences: true, Bounds: bounds}))
		}},
		{"placement", "placement, fences ignored", func() (explore.Report, error) {
			return explore.Run(modelcheck.Placement(modelcheck.PlacementGuards{Bounds: bounds}))
		}},
		{"claims", "claims", func() (explore.Report, error) {
			return explore.Run(modelcheck.Claims(modelcheck.ClaimGuards{}))
		}},
		{"publish", "publish", func() (explore.Report, error) { return explore.Run(modelcheck.Publish(0)) }},
		{"snapshots", "snapshots", func() (explore.Report, error) {
			return explore.Run(modelcheck.Snapshots(modelcheck.SnapshotGuards{}))
		}},
	} {
		if c.Protocol != "all" && c.Protocol != run.protocol {
			continue
		}
		r, err := run.explore()
		if err != nil {
			return fmt.Errorf("%s: %w", run.name, err)
		}
		fmt.Printf("%-28s %8d states %9d steps  %s\n", run.name, r.States, r.Steps, verdict(r))
		if r.Violation != nil {
			violated = append(violated, run.name)
			fmt.Println("  " + strings.Join(r.Trace, "\n  "))
		}
	}
	if len(violated) > 0 {
		return errViolations
	}
	return nil
}

// verdict describes whether an exploration found a violation.
func verdict(r explore.Report) string {
	if r.Violation != nil {
		return "violation: " + r.Violation.Error()
	}
	return "no violation"
}
