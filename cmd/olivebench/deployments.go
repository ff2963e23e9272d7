package main

import (
	"fmt"
	"os"
	"path/filepath"

	"olivetiller/platform/days"
)

// deploymentsCmd generates random deployments from site files, each with days of disruptions.
type deploymentsCmd struct {
	Site  []string `required:"" type:"existingfile" help:"Site files to start from; the deployments use them in turn."`
	Out   string   `required:"" type:"path" help:"Folder in which each deployment gets a folder of its own."`
	Seed  uint64   `default:"1" help:"Seed of the deployments and days."`
	Count int      `default:"10" help:"Number of deployments."`
	Days  int      `default:"3" help:"Number of days of random disruptions for each deployment."`
}

// Run implements the command.
func (c *deploymentsCmd) Run() error {
	for i := range c.Count {
		folder := filepath.Join(c.Out, fmt.Sprintf("drawn-%02d", i+1))
		if err := c.write(c.Site[i%len(c.Site)], folder, c.Seed+uint64(i)); err != nil {
			return err
		}
	}
	fmt.Printf("%d deployments in %s\n", c.Count, c.Out)
	return nil
}

// wireConfigFile is the file beside each site file with the names used on the wire.
const wireConfigFile = "wire.json"

// write generates one deployment with its days and writes them to a folder.
func (c *deploymentsCmd) write(from, folder string, seed uint64) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	raw, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	text, err := days.Draw(string(raw), seed)
	if err != nil {
		return fmt.Errorf("%s: %w", from, err)
	}
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(from), wireConfigFile))
	if err != nil {
		return err
	}
	site := filepath.Join(folder, "site.toml")
	if err := os.WriteFile(site, []byte(text), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, wireConfigFile), wire, 0o644); err != nil {
		return err
	}
	d := daysCmd{Site: site, Out: folder, Mode: "mix", Seed: seed, Days: c.Days}
	return d.Run()
}
