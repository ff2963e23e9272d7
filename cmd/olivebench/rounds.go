package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"olivetiller/platform/rounds"
)

// dayFlags holds the flags that select which days of the users' bench are run, and how.
type dayFlags struct {
	Bench   string   `required:"" type:"existingfile" env:"OLIVEBENCH_BENCH" help:"Program of the users' bench."`
	Site    string   `required:"" type:"existingfile" help:"Site file of the deployment."`
	Days    []string `help:"Names of standard days, or day files (default: all standard days)."`
	Trouble bool     `help:"Leave out days whose names begin with quiet."`
	Seeds   uint64   `default:"4" help:"Number of seeds for each day."`
	First   uint64   `default:"1" help:"First seed."`
	Base    string   `default:"HEAD" help:"Revision to compare with."`
	Jobs    int      `default:"3" help:"Number of days run concurrently."`
	Why     string   `required:"" help:"Reason for the runs, for the journal."`
}

// roundsCmd compares two revisions by running days of the users' bench on both.
type roundsCmd struct {
	dayFlags `embed:""`
	Change   string `default:"." help:"Revision to compare."`
	Plots    string `type:"path" help:"Folder for plots of the credit over each day (default: no plots)."`
}

// Run implements the command.
func (c *roundsCmd) Run() error {
	ctx := context.Background()
	site, err := rounds.ReadSite(c.Site)
	if err != nil {
		return err
	}
	round, err := c.round(site)
	if err != nil {
		return err
	}
	defer os.RemoveAll(round.Scratch)
	revisions, err := c.revisions(ctx, round)
	if err != nil {
		return err
	}
	runs := round.Play(ctx, revisions...)
	for _, rev := range revisions {
		if err := rev.Close(ctx); err != nil {
			return err
		}
	}
	// The table is printed before the plots are drawn: the runs take minutes, and a failing plot
	// must not lose their results.
	if err := rounds.Compare(runs, c.Base, c.Change, site).Write(os.Stdout, c.Base, c.Change); err != nil {
		return err
	}
	return c.plot(round, runs)
}

// round returns the days, seeds and settings to run.
func (c *dayFlags) round(site *rounds.Site) (*rounds.Round, error) {
	path, err := filepath.Abs(c.Site)
	if err != nil {
		return nil, err
	}
	bench, err := filepath.Abs(c.Bench)
	if err != nil {
		return nil, err
	}
	scratch, err := os.MkdirTemp("", "rounds")
	if err != nil {
		return nil, err
	}
	days := c.Days
	if len(days) == 0 {
		days = site.Days
	}
	r := &rounds.Round{Bench: bench, Site: path, Jobs: c.Jobs, Why: c.Why, Scratch: scratch, Played: reportRun}
	for _, d := range days {
		if !c.Trouble || !strings.HasPrefix(d, "quiet") {
			r.Days = append(r.Days, d)
		}
	}
	for i := range c.Seeds {
		r.Seeds = append(r.Seeds, c.First+i)
	}
	return r, nil
}

// revisions checks out and builds the revisions to compare.
func (c *roundsCmd) revisions(ctx context.Context, round *rounds.Round) ([]*rounds.Revision, error) {
	names := []string{c.Base}
	if c.Change != c.Base {
		names = append(names, c.Change)
	}
	var out []*rounds.Revision
	for _, name := range names {
		rev, err := rounds.Checkout(ctx, ".", name, round.Scratch)
		if err != nil {
			return nil, err
		}
		if err := round.Build(ctx, rev); err != nil {
			return nil, err
		}
		out = append(out, rev)
	}
	return out, nil
}

// plot draws a plot for each day, if a folder is given.
func (c *roundsCmd) plot(round *rounds.Round, runs []rounds.Run) error {
	if c.Plots == "" {
		return nil
	}
	for _, day := range round.Days {
		name := strings.TrimSuffix(filepath.Base(day), ".toml") + ".svg"
		if err := rounds.PlotCredit(runs, day, filepath.Join(c.Plots, name), c.Base, c.Change); err != nil {
			return err
		}
	}
	return nil
}

// reportRun prints the result of a run, or its error, to standard error.
func reportRun(r rounds.Run) {
	if r.Err != nil {
		fmt.Fprintf(os.Stderr, "%s %s seed %d: %v\n", r.Revision, r.Day, r.Seed, r.Err)
		return
	}
	fmt.Fprintf(os.Stderr, "%s %s seed %d: %.3f %v %s\n", r.Revision, r.Day, r.Seed, r.Report.Worth, r.Report.Violations, r.Report.Fault)
}
