package main

import (
	"time"

	"olivetiller/internal/bench"
)

// burstCmd is a burst for cold models.
type burstCmd struct {
	common
	Models  int           `default:"20" help:"How many cold models are asked for."`
	PerNode int           `default:"2" help:"Requests to each node for each model."`
	Timeout time.Duration `default:"30s" help:"The time each caller allows."`
}

// Run implements the command.
func (c *burstCmd) Run() error {
	faults, err := bench.ParseFaults(c.Faults)
	if err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	r, err := bench.Burst{Setup: c.setup(faults), Models: c.Models, PerNode: c.PerNode, Timeout: c.Timeout}.Run(ctx)
	if err != nil {
		return err
	}
	return show(r, r.Violations)
}

func (c *common) setup(faults []string) bench.Setup {
	return bench.Setup{Deployment: c.Deployment, Nodes: c.Nodes, Seed: c.Seed, Faults: faults, Verbose: c.Verbose}
}
