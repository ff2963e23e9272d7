package main

import (
	"fmt"
	"runtime"
)

// version is the release of the program.
const version = "0.1.0-dev"

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the version of the program and of Go.
func (versionCmd) Run() error {
	fmt.Printf("olivetiller %s %s\n", version, runtime.Version())
	return nil
}
