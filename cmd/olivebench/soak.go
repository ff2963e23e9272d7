package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"olivetiller/platform/soak"
)

// soakCmd runs the real program under faults.
type soakCmd struct {
	Program string        `required:"" type:"existingfile" help:"The olivetiller program to run."`
	Dir     string        `required:"" type:"path" help:"The folder for settings and logs; those of seeds that find nothing are removed."`
	Seed    uint64        `default:"1" help:"The first seed."`
	Seeds   int           `default:"1" help:"How many seeds to run, one after another."`
	Nodes   int           `default:"3" help:"How many nodes run."`
	For     time.Duration `default:"8s" help:"How long faults are injected."`
	// Regressions adds the seeds that ever failed.
	Regressions bool `help:"Also run the seeds that ever failed."`
}

// Run implements the command.
func (c *soakCmd) Run() error {
	var seeds []uint64
	for i := range c.Seeds {
		seeds = append(seeds, c.Seed+uint64(i))
	}
	if c.Regressions {
		for _, r := range soak.Regressions {
			seeds = append(seeds, r.Seed)
		}
	}
	found := 0
	for _, seed := range seeds {
		dir := filepath.Join(c.Dir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		r, err := soak.Run(soak.Options{Program: c.Program, Dir: dir, Seed: seed, Nodes: c.Nodes, For: c.For})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: answers %v, faults %v, engines ended by one request %d (its answers %v), violations %v\n", seed, r.Answers, r.Faults, r.Ended, r.Deadly, r.Violations)
		if len(r.Violations) > 0 {
			found++
			fmt.Println("  logs:", soak.Logs(dir))
			continue
		}
		if err := soak.Remove(dir); err != nil {
			return err
		}
	}
	fmt.Printf("%d seeds, %d with violations\n", len(seeds), found)
	if found > 0 {
		return errViolations
	}
	return nil
}
