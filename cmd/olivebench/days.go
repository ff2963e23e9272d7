package main

import (
	"fmt"
	"os"
	"path/filepath"

	"olivetiller/platform/days"
)

// daysCmd writes files with days of disruptions for the users' bench.
type daysCmd struct {
	Site string `required:"" type:"existingfile" help:"Site file of the deployment."`
	Out  string `required:"" type:"path" help:"Folder to write the day files to."`
	Mode string `default:"single" enum:"single,mix" help:"single: days with one disruption each, of every kind and variant, early and late. mix: days with several random disruptions."`
	Seed uint64 `default:"1" help:"Seed of the days."`
	Days int    `default:"40" help:"Number of days in mode mix."`
}

// Run implements the command.
func (c *daysCmd) Run() error {
	services, traffic, err := days.ReadSite(c.Site)
	if err != nil {
		return err
	}
	list := days.Single(services, traffic, c.Seed)
	if c.Mode == "mix" {
		list = days.Mix(services, traffic, c.Seed, c.Days)
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	for i := range list {
		path := filepath.Join(c.Out, list[i].Name+".toml")
		if err := os.WriteFile(path, []byte(list[i].String()), 0o644); err != nil {
			return err
		}
	}
	fmt.Printf("%d days in %s\n", len(list), c.Out)
	return nil
}
