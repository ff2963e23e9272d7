package main

import (
	"fmt"
	"time"

	"olivetiller/internal/originlab"
)

// streamsCmd simulates designs of learning where a stream began, in virtual time.
type streamsCmd struct {
	Nodes []int         `help:"Numbers of nodes." default:"6,984"`
	Seeds int           `help:"Number of seeds to add up." default:"3"`
	For   time.Duration `help:"Duration of the traffic." default:"40s"`
	JSON  bool          `name:"json" help:"Print the results as JSON instead of a table."`
}

// Run implements the command.
func (c *streamsCmd) Run() error {
	results := originlab.Compare(c.Nodes, c.Seeds, c.For)
	if c.JSON {
		return printResult(results, nil)
	}
	fmt.Println(originlab.Header)
	for i := range results {
		fmt.Println(results[i].String())
	}
	return nil
}
