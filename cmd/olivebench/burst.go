package main

import (
	"time"

	"olivetiller/internal/bench"
)

// burstCmd sends requests for models that are not loaded to every node at once.
type burstCmd struct {
	common
	Models  int           `default:"20" help:"Number of unloaded models that are requested."`
	PerNode int           `default:"2" help:"Number of requests to each node for each model."`
	Timeout time.Duration `default:"30s" help:"Time that each caller allows."`
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
	return printResult(r, r.Violations)
}

// setup returns the start of an experiment with the given faults.
func (c *common) setup(faults []string) bench.Setup {
	return bench.Setup{Deployment: c.Deployment, Nodes: c.Nodes, Seed: c.Seed, Faults: faults, Verbose: c.Verbose}
}
