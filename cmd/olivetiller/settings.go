package main

import (
	"os"

	"olivetiller/internal/entry"
)

// settingsCmd prints the table of a node's settings.
type settingsCmd struct{}

// Run prints the table.
func (settingsCmd) Run() error {
	var s entry.Settings
	return s.Table().Print(os.Stdout)
}
