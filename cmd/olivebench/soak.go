package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"olivetiller/platform/soak"
)

// soakCmd runs the olivetiller program as several processes under faults, and checks what callers
// and endpoints see.
type soakCmd struct {
	Program string        `required:"" type:"existingfile" help:"Path of the olivetiller program, built with -tags soak."`
	Dir     string        `required:"" type:"path" help:"Folder for settings and logs; those of seeds without violations are removed."`
	Seed    uint64        `default:"1" help:"First seed."`
	Seeds   int           `default:"1" help:"Number of seeds, run one after the other."`
	Nodes   int           `default:"3" help:"Number of nodes."`
	For     time.Duration `default:"8s" help:"Time for which faults are injected."`
	Planned bool          `help:"Only planned work and silences of engines, during which no request may be lost."`
	// Regressions adds the seeds in soak.Regressions.
	Regressions bool `help:"Also run the recorded seeds that once failed."`
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
		r, err := soak.Run(soak.Options{Program: c.Program, Dir: dir, Seed: seed, Nodes: c.Nodes, For: c.For, Planned: c.Planned})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: answers %v, faults %v, streams %v, unanswered %v, engines ended by one request %d (its answers %v), violations %v\n", seed, r.Answers, r.Faults, r.Streams, r.Unanswered, r.Ended, r.Deadly, r.Violations)
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
