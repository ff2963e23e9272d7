package main

import (
	"os"

	"olivetiller/internal/entry"
)

// settingsCmd prints every setting.
type settingsCmd struct{}

// Run implements the command.
func (settingsCmd) Run() error {
	var s entry.Settings
	return s.Table().Print(os.Stdout)
}
