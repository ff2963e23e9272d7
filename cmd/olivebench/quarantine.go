package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"olivetiller/internal/quarantinelab"
)

// quarantineCmd plays requests that end engines in virtual time.
type quarantineCmd struct {
	Nodes      int           `default:"6" help:"How many nodes there are."`
	Engines    int           `default:"9" help:"How many engines there are."`
	Rate       float64       `default:"40" help:"How many proper requests come a second."`
	Duration   time.Duration `default:"90s" help:"How long one run is, in virtual time."`
	Deadly     int           `default:"3" help:"How many requests end engines, in series one after the other."`
	Repeat     time.Duration `default:"1s" help:"After which time, on the mean, such a request comes again."`
	Crash      time.Duration `default:"80ms" help:"How long an engine takes to end under one."`
	Outside    float64       `default:"0.2" help:"The share of the engines that end for other reasons."`
	Rack       int           `default:"1" help:"How many of these end together."`
	HolderLost int           `default:"0" help:"How often the node that unites what all know is lost."`
	Frozen     int           `default:"0" help:"How many nodes stand still for four seconds."`
	Replaced   int           `default:"0" help:"How many nodes are replaced."`
	Drop       float64       `default:"0" help:"The share of messages between nodes that are lost."`
	Seeds      int           `default:"40" help:"How many runs, with seeds 1, 2 and so on."`
	JSON       bool          `name:"json" help:"Print all results as JSON."`
}

// Run implements the command.
func (c *quarantineCmd) Run() error {
	with, without := c.play(false), c.play(true)
	if c.JSON {
		return show(map[string][]quarantinelab.Result{"with": with, "without": without}, nil)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "QUARANTINE\tENDS P50\tP90\tMOST\tUNTIL VERDICT P50\tP90\tMOST\tLATE MOST\tPROPER\tSERVED\tREFUSED\tEVERYWHERE P50\tMOST\tBYTES/NODE/S")
	c.row(w, "with", with)
	c.row(w, "without", without)
	return w.Flush()
}

func (c *quarantineCmd) play(off bool) []quarantinelab.Result {
	var out []quarantinelab.Result
	for seed := range c.Seeds {
		cfg := quarantinelab.Default
		cfg.Seed, cfg.Nodes, cfg.Engines, cfg.Rate, cfg.Duration = uint64(seed+1), c.Nodes, c.Engines, c.Rate, c.Duration
		cfg.Deadly, cfg.RepeatInterval, cfg.CrashDelay, cfg.UnrelatedShare, cfg.CrashGroup = c.Deadly, c.Repeat, c.Crash, c.Outside, c.Rack
		cfg.HolderLosses, cfg.Pauses, cfg.Replacements, cfg.LossRate, cfg.Disabled = c.HolderLost, c.Frozen, c.Replaced, c.Drop, off
		out = append(out, quarantinelab.Run(cfg))
	}
	return out
}

// row prints what the runs came to.
func (c *quarantineCmd) row(w *tabwriter.Writer, name string, results []quarantinelab.Result) {
	var ends, before, late []int
	var everywhere []time.Duration
	var sum quarantinelab.Result
	for _, r := range results {
		ends, before, late, everywhere = append(ends, r.Ends...), append(before, r.Before...), append(late, r.Late...), append(everywhere, r.Everywhere...)
		sum.Proper, sum.Served, sum.Bystanders, sum.Bytes = sum.Proper+r.Proper, sum.Served+r.Served, sum.Bystanders+r.Bystanders, sum.Bytes+r.Bytes
	}
	slices.Sort(ends)
	slices.Sort(before)
	slices.Sort(everywhere)
	seconds := float64(len(results)) * c.Duration.Seconds() * float64(c.Nodes)
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%v\t%v\t%.0f\n", name, at(ends, 50), at(ends, 90), at(ends, 100),
		at(before, 50), at(before, 90), at(before, 100), slices.Max(late), sum.Proper, float64(sum.Served)/float64(max(1, sum.Proper)), sum.Bystanders,
		at(everywhere, 50).Round(time.Millisecond), at(everywhere, 100).Round(time.Millisecond), float64(sum.Bytes)/seconds)
}

// at returns a percentile of sorted values.
func at[T any](sorted []T, percent int) T {
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}
