package main

import (
	"context"
	"errors"
	"os"
	"time"

	"olivetiller/internal/demo"
)

// demoCmd runs a whole deployment on loopback.
type demoCmd struct {
	Seed    uint64        `default:"1" help:"Seeds the stand-ins."`
	Timeout time.Duration `default:"60s" help:"Gives up after this long."`
	Verbose bool          `help:"Log what the nodes do."`
}

// Run implements the command.
func (c *demoCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	broken, err := demo.Run(ctx, os.Stdout, demo.Options{Seed: c.Seed, Verbose: c.Verbose})
	if err != nil {
		return err
	}
	if len(broken) > 0 {
		return errors.New("demo: broken promise: " + broken[0])
	}
	return nil
}
