package main

import (
	"fmt"
	"os"
	"path/filepath"

	"olivetiller/platform/days"
)

// deploymentsCmd writes deployments that no site file has, with days of disruptions.
type deploymentsCmd struct {
	Site  []string `required:"" type:"existingfile" help:"Site files; each draw begins with the next of them."`
	Out   string   `required:"" type:"path" help:"The folder to write a folder for each deployment to."`
	Seed  uint64   `default:"1" help:"Seeds the draws."`
	Count int      `default:"10" help:"How many deployments are drawn."`
	Days  int      `default:"3" help:"How many days of drawn disruptions each has."`
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

// wireFile lies beside each site file and names what is spoken.
const wireFile = "wire.json"

// write draws one deployment and its days into a folder.
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
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(from), wireFile))
	if err != nil {
		return err
	}
	site := filepath.Join(folder, "site.toml")
	if err := os.WriteFile(site, []byte(text), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, wireFile), wire, 0o644); err != nil {
		return err
	}
	d := daysCmd{Site: site, Out: folder, Mode: "mix", Seed: seed, Days: c.Days}
	return d.Run()
}
