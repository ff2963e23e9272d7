package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"olivetiller/platform/rounds"
)

// playedDays are the flags that say which days are played.
type playedDays struct {
	Bench   string   `required:"" type:"existingfile" env:"OLIVEBENCH_BENCH" help:"The users' bench."`
	Site    string   `required:"" type:"existingfile" help:"The deployment's site file."`
	Days    []string `help:"Names of standard days, or files of days; all standard days if left out."`
	Trouble bool     `help:"Leave the quiet days out."`
	Seeds   uint64   `default:"4" help:"How many seeds each day is played with."`
	First   uint64   `default:"1" help:"The first seed."`
	Base    string   `default:"HEAD" help:"The revision to compare with."`
	Jobs    int      `default:"3" help:"How many days are played at once."`
	Why     string   `required:"" help:"The reason, for the journal."`
}

// roundsCmd compares two revisions by days of the users' bench.
type roundsCmd struct {
	playedDays `embed:""`
	Change     string `default:"." help:"The revision that is compared; \".\" is the folder as it stands."`
	Plots      string `type:"path" help:"A folder for plots of the credit over each day; none if left out."`
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
	// The table first: runs take minutes, and must not be lost for a plot.
	if err := rounds.Compare(runs, c.Base, c.Change, site).Write(os.Stdout, c.Base, c.Change); err != nil {
		return err
	}
	return c.plot(round, runs)
}

// round makes the plan of what is played.
func (c *playedDays) round(site *rounds.Site) (*rounds.Round, error) {
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
	r := &rounds.Round{Bench: bench, Site: path, Jobs: c.Jobs, Why: c.Why, Scratch: scratch, Played: played}
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

// revisions checks out and builds what is compared.
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

// played prints a line for a run.
func played(r rounds.Run) {
	if r.Err != nil {
		fmt.Fprintf(os.Stderr, "%s %s seed %d: %v\n", r.Revision, r.Day, r.Seed, r.Err)
		return
	}
	fmt.Fprintf(os.Stderr, "%s %s seed %d: %.3f %v %s\n", r.Revision, r.Day, r.Seed, r.Report.Worth, r.Report.Breaks, r.Report.Fault)
}
