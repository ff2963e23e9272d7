package main

import (
	"time"

	"olivetiller/internal/bench"
)

// overloadCmd sends multiples of what one engine can serve.
type overloadCmd struct {
	common
	Factor  []float64     `default:"0.5,1,2,4" help:"Multiples of the engine's capacity."`
	Lasts   time.Duration `default:"6s" help:"Time for which each multiple is sent."`
	Timeout time.Duration `default:"1s" help:"Time that each caller allows."`
}

// Run implements the command.
func (c *overloadCmd) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	r, err := bench.Overload{Setup: c.setup(nil), Factors: c.Factor, Duration: c.Lasts, Timeout: c.Timeout}.Run(ctx)
	if err != nil {
		return err
	}
	return printResult(r, r.Violations)
}
