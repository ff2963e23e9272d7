package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"olivetiller/internal/bench"
)

// slopesCmd measures how the cost of the main operations grows with the size of the deployment, as
// used in docs/CAPACITY.md.
type slopesCmd struct {
	Fleet   []int         `default:"7,15,30,60" help:"Numbers of in-process nodes to measure; 0 for none."`
	Settle  time.Duration `default:"6s" help:"Time for which each fleet settles, and is then measured."`
	JSON    bool          `name:"json" help:"Print the result as JSON instead of a table."`
	Limit   time.Duration `default:"5m" help:"Time after which the experiment is aborted."`
	Verbose bool          `help:"Log what the nodes do, to standard error."`
}

// Run implements the command.
func (c *slopesCmd) Run() error {
	s := bench.Slopes{Settle: c.Settle, Verbose: c.Verbose}
	for _, n := range c.Fleet {
		if n > 0 {
			s.FleetSizes = append(s.FleetSizes, n)
		}
	}
	ctx, cancel := (&common{Limit: c.Limit}).context()
	defer cancel()
	r, err := s.Run(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printResult(r, nil)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SLOPE\tBASE\tPER X\tX\tY\tR2\tWORST ERROR\tPOINTS")
	for _, sl := range r.Slopes {
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%s\t%s\t%.3f\t%.0f%%\t", sl.Name, sl.Base, sl.PerX, sl.XUnit, sl.YUnit, sl.R2, 100*sl.WorstError)
		for _, p := range sl.Points {
			fmt.Fprintf(w, "%.4g:%.4g ", p.X, p.Y)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
