package main

import (
	"context"
	"os"

	"olivetiller/platform/rounds"
)

// ablationCmd measures what each mechanism contributes: it runs the users' bench on a base
// revision, with and without each mechanism, and prints the differences.
type ablationCmd struct {
	dayFlags `embed:""`
	Without  []string `help:"Mechanisms to switch off, each in its own runs (default: all known ones)."`
}

// Run implements the command.
func (c *ablationCmd) Run() error {
	ctx := context.Background()
	site, err := rounds.ReadSite(c.Site)
	if err != nil {
		return err
	}
	round, err := c.round(site)
	if err != nil {
		return err
	}
	if len(c.Without) == 0 {
		if c.Without, err = rounds.Mechanisms(); err != nil {
			return err
		}
	}
	revisions, err := c.revisions(ctx, round)
	if err == nil {
		runs := round.Play(ctx, revisions...)
		err = rounds.WriteAblations(os.Stdout, rounds.Ablate(runs, c.Base, c.Without, site))
	}
	if closed := rounds.CloseAll(ctx, round.Scratch, revisions); err == nil {
		err = closed
	}
	return err
}

// revisions checks out and builds the base and, for each mechanism, the base without it.
func (c *ablationCmd) revisions(ctx context.Context, round *rounds.Round) ([]*rounds.Revision, error) {
	base, err := rounds.Checkout(ctx, ".", c.Base, round.Scratch)
	if err != nil {
		return nil, err
	}
	out := []*rounds.Revision{base}
	for _, m := range c.Without {
		rev, err := rounds.CheckoutAblated(ctx, ".", c.Base, m, round.Scratch)
		if err != nil {
			return out, err
		}
		out = append(out, rev)
	}
	for _, rev := range out {
		if err := round.Build(ctx, rev); err != nil {
			return out, err
		}
	}
	return out, nil
}
