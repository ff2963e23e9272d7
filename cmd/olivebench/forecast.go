package main

import (
	"io"
	"os"

	"olivetiller/internal/forecast"
)

// forecastCmd tells from the nodes' logs how good the forecasts of loads are.
type forecastCmd struct {
	Log string `arg:"" optional:"" type:"existingfile" help:"The logs of all nodes in one file; standard input if left out."`
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
