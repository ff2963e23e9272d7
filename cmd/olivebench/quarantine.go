package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"olivetiller/internal/quarantinelab"
)

// quarantineCmd simulates requests that crash engines, with and without the quarantine, in virtual
// time.
type quarantineCmd struct {
	Nodes      int           `default:"6" help:"Number of nodes."`
	Engines    int           `default:"9" help:"Number of engines."`
	Rate       float64       `default:"40" help:"Arrival rate of harmless requests, per second."`
	Duration   time.Duration `default:"90s" help:"Length of a run, in virtual time."`
	Deadly     int           `default:"3" help:"Number of requests that crash engines, sent in one series after the other."`
	Repeat     time.Duration `default:"1s" help:"Mean time after which such a request is sent again."`
	Parts      bool          `help:"Whether a part of the prompt crashes engines, in requests of which no two are alike."`
	Victim     bool          `help:"Whether these requests also hold a part of another caller's requests."`
	Crash      time.Duration `default:"80ms" help:"Time until an engine that runs such a request crashes."`
	Outside    float64       `default:"0.2" help:"Share of the engines that crash for other reasons."`
	Rack       int           `default:"1" help:"Number of these engines that crash at the same moment."`
	HolderLost int           `default:"0" help:"Number of times that the lease holder, which merges the suspicions of all nodes, is lost."`
	Frozen     int           `default:"0" help:"Number of pauses of a node, of four seconds each."`
	Replaced   int           `default:"0" help:"Number of nodes that are replaced by new ones."`
	Drop       float64       `default:"0" help:"Share of the messages between nodes that are lost, from 0 to 1."`
	Seeds      int           `default:"40" help:"Number of runs, with seeds 1, 2 and so on."`
	JSON       bool          `name:"json" help:"Print all results as JSON instead of a table."`
}

// Run implements the command.
func (c *quarantineCmd) Run() error {
	with, without := c.simulate(false), c.simulate(true)
	if c.JSON {
		return printResult(map[string][]quarantinelab.Result{"with": with, "without": without}, nil)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "QUARANTINE\tENDS P50\tP90\tMOST\tUNTIL VERDICT P50\tP90\tMOST\tLATE MOST\tPROPER\tSERVED\tREFUSED\tOF VICTIM\tEVERYWHERE P50\tMOST\tBYTES/NODE/S")
	c.printRow(w, "with", with)
	c.printRow(w, "without", without)
	return w.Flush()
}

// simulate runs the simulation once for each seed, with the quarantine or without it.
func (c *quarantineCmd) simulate(off bool) []quarantinelab.Result {
	var out []quarantinelab.Result
	for seed := range c.Seeds {
		cfg := quarantinelab.Default
		cfg.Seed, cfg.Nodes, cfg.Engines, cfg.Rate, cfg.Duration = uint64(seed+1), c.Nodes, c.Engines, c.Rate, c.Duration
		cfg.Deadly, cfg.RepeatInterval, cfg.CrashDelay, cfg.UnrelatedShare, cfg.CrashGroup = c.Deadly, c.Repeat, c.Crash, c.Outside, c.Rack
		cfg.Parts, cfg.Victim = c.Parts, c.Victim
		cfg.HolderLosses, cfg.Pauses, cfg.Replacements, cfg.LossRate, cfg.Disabled = c.HolderLost, c.Frozen, c.Replaced, c.Drop, off
		out = append(out, quarantinelab.Run(cfg))
	}
	return out
}

// printRow prints a table row with the figures of all runs.
func (c *quarantineCmd) printRow(w *tabwriter.Writer, name string, results []quarantinelab.Result) {
	var crashes, before, late []int
	var everywhere []time.Duration
	var sum quarantinelab.Result
	for _, r := range results {
		crashes, before, late, everywhere = append(crashes, r.Ends...), append(before, r.Before...), append(late, r.Late...), append(everywhere, r.Everywhere...)
		sum.Proper, sum.Served, sum.Bystanders, sum.Bytes = sum.Proper+r.Proper, sum.Served+r.Served, sum.Bystanders+r.Bystanders, sum.Bytes+r.Bytes
		sum.VictimRequests, sum.VictimRefused = sum.VictimRequests+r.VictimRequests, sum.VictimRefused+r.VictimRefused
	}
	slices.Sort(crashes)
	slices.Sort(before)
	slices.Sort(everywhere)
	seconds := float64(len(results)) * c.Duration.Seconds() * float64(c.Nodes)
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d/%d\t%v\t%v\t%.0f\n", name, percentile(crashes, 50), percentile(crashes, 90), percentile(crashes, 100),
		percentile(before, 50), percentile(before, 90), percentile(before, 100), slices.Max(late), sum.Proper, float64(sum.Served)/float64(max(1, sum.Proper)), sum.Bystanders, sum.VictimRefused, sum.VictimRequests,
		percentile(everywhere, 50).Round(time.Millisecond), percentile(everywhere, 100).Round(time.Millisecond), float64(sum.Bytes)/seconds)
}

// percentile returns the given percentile of sorted values.
func percentile[T any](sorted []T, percent int) T {
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}
