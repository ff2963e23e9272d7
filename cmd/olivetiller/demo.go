package main

import (
	"context"
	"errors"
	"os"
	"time"

	"olivetiller/internal/demo"
)

// demoCmd runs a whole deployment with stand-ins of its platform on the loopback interface.
type demoCmd struct {
	Seed    uint64        `default:"1" help:"Random seed of the stand-ins."`
	Timeout time.Duration `default:"60s" help:"Give up after this time."`
	Verbose bool          `help:"Print the log of the nodes."`
}

// Run runs the demo and fails if a guarantee of the product does not hold.
func (c *demoCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	violations, err := demo.Run(ctx, os.Stdout, demo.Options{Seed: c.Seed, Verbose: c.Verbose})
	if err != nil {
		return err
	}
	if len(violations) > 0 {
		return errors.New("demo: guarantee violated: " + violations[0])
	}
	return nil
}
