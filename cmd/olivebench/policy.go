package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"olivetiller/internal/policylab"
)

// policyCmd compares policies for keeping models loaded, in virtual time.
type policyCmd struct {
	Deployment string `default:"krautwerk" enum:"krautwerk,suva" help:"Deployment whose demand is generated."`
	Days       int    `default:"7" help:"Length of the demand, in days."`
	Seed       uint64 `default:"1" help:"Seed of the demand."`
	Faults     bool   `help:"Add a log outage of one hour and a slow weight store for three hours."`
	Ablate     bool   `help:"Compare the product's policy with variants of it that each lack one part."`
	Plot       string `type:"path" help:"Also plot idle hours against cold-start waits into FILE.svg and FILE.png."`
	JSON       bool   `name:"json" help:"Print the results as JSON instead of a table."`
}

// Run implements the command.
func (c *policyCmd) Run() error {
	ex := policylab.Experiment{Deployment: c.Deployment, Days: c.Days, Seed: c.Seed, Faults: c.Faults, Ablate: c.Ablate}
	results := ex.Run()
	if c.Plot != "" {
		if err := policylab.PlotFrontier(results, c.Deployment, c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		return printResult(results, nil)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POLICY\tREQUESTS\tREFUSED\tCOLD\tWAIT P95\tWAIT P99\tP99.9\tCOLD P50\tCOLD P99\tCOLD S\tIDLE H\tIDLE H BY MEMORY\tLOADS/H\tTIB MOVED")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\n", r.Policy, r.Requests, r.Refused, r.ColdStarts,
			r.WaitP95, r.WaitP99, r.WaitP999, r.ColdP50, r.ColdP99, r.ColdSeconds, r.IdleHours, r.IdleHoursByMemory, r.LoadsPerHour, r.BytesMoved/(1<<40))
	}
	return w.Flush()
}
