package main

import (
	"time"

	"olivetiller/internal/bench"
)

// onceCmd sends requests that must not run twice, each through two nodes.
type onceCmd struct {
	common
	Requests  int           `default:"1000" help:"Number of different requests."`
	PerSecond float64       `default:"200" help:"Arrival rate, in requests per second."`
	Timeout   time.Duration `default:"10s" help:"Time that each caller allows."`
}

// Run implements the command.
func (c *onceCmd) Run() error {
	faults, err := bench.ParseFaults(c.Faults)
	if err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	r, err := bench.Once{Setup: c.setup(faults), Requests: c.Requests, PerSecond: c.PerSecond, Timeout: c.Timeout}.Run(ctx)
	if err != nil {
		return err
	}
	return printResult(r, r.Violations)
}
