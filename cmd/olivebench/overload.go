package main

import (
	"time"

	"olivetiller/internal/bench"
)

// overloadCmd sends multiples of what an engine can serve.
type overloadCmd struct {
	common
	Factor  []float64     `default:"0.5,1,2,4" help:"Multiples of the engine's capacity."`
	Lasts   time.Duration `default:"6s" help:"How long each multiple is sent."`
	Timeout time.Duration `default:"1s" help:"The time each caller allows."`
}

// Run implements the command.
func (c *overloadCmd) Run() error {
	ctx, cancel := c.context()
	defer cancel()
	r, err := bench.Overload{Setup: c.setup(nil), Factors: c.Factor, Lasts: c.Lasts, Timeout: c.Timeout}.Run(ctx)
	if err != nil {
		return err
	}
	return show(r, r.Violations)
}
