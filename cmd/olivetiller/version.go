package main

import (
	"fmt"
	"runtime"
)

// version is the release; the first is not out yet.
const version = "0.1.0-dev"

// versionCmd prints the version.
type versionCmd struct{}

// Run implements the command.
func (versionCmd) Run() error {
	fmt.Printf("olivetiller %s %s\n", version, runtime.Version())
	return nil
}
