package main

import (
	"io"
	"os"

	"olivetiller/internal/forecast"
)

// forecastCmd evaluates the nodes' forecasts of load times from their logs and prints a table.
type forecastCmd struct {
	Log string `arg:"" optional:"" type:"existingfile" help:"File with the logs of all nodes (default: standard input)."`
}

// Run implements the command.
func (c *forecastCmd) Run() error {
	var in io.Reader = os.Stdin
	if c.Log != "" {
		f, err := os.Open(c.Log)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	r, err := forecast.Read(in)
	if err != nil {
		return err
	}
	return r.Write(os.Stdout)
}
