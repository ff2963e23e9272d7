package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"olivetiller/internal/quotalab"
)

// quotaCmd simulates designs of keeping limits over several nodes, in virtual time.
type quotaCmd struct {
	Seeds int           `default:"3" help:"Number of seeds for each load; the worst figures are printed."`
	For   time.Duration `default:"34s" help:"Length of a load, in virtual time."`
	Plot  string        `type:"path" help:"Also plot the share of tokens refused within the limit into FILE.svg and FILE.png."`
	JSON  bool          `name:"json" help:"Print the results as JSON instead of a table."`
}

// Run implements the command.
func (c *quotaCmd) Run() error {
	results := quotalab.Compare(c.Seeds, c.For)
	if c.Plot != "" {
		if err := quotalab.Plot(results, c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		return printResult(results, nil)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "LOAD\tNODES\tDESIGN\tOVER\tWORST WINDOW\tREFUSED BENEATH\tQUESTIONS/S")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%.3f\t%.4f\t%.0f\n", r.Name, r.Load.Nodes, r.Design, r.Over, r.Worst, r.Refused, r.Questions)
	}
	return w.Flush()
}
