// Command olivetiller is the product: a node, and the tools of its operators.
//
// Exit codes: 0 success; 1 the command ran and its result is bad (a promise was
// broken, a configuration has faults, a publish met a conflict); 2 the command
// was not given what it needs (arguments, settings, keys); 3 the node it called
// could not be reached or did not answer.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// commands is the command line.
type commands struct {
	Node       nodeCmd       `cmd:"" help:"Run one node until it is told to stop (SIGTERM is a planned stop)."`
	Config     configCmd     `cmd:"" help:"Check, publish, show or watch the configuration."`
	Status     statusCmd     `cmd:"" help:"Show a node's placements, queues, endpoints, homes and log lag."`
	Endpoint   endpointCmd   `cmd:"" help:"Drain or resume an endpoint."`
	Quarantine quarantineCmd `cmd:"" help:"List or release requests that are kept from engines."`
	Stop       stopCmd       `cmd:"" help:"Begin the planned stop of a node."`
	Settings   settingsCmd   `cmd:"" help:"Print every setting of a node with its default, unit and meaning."`
	Keys       keysCmd       `cmd:"" help:"Make the fleet's authority and the certificates of its nodes."`
	Demo       demoCmd       `cmd:"" help:"Run a whole deployment on loopback, exercise its promises and print a table."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
}

func main() {
	var c commands
	parser, err := kong.New(&c,
		kong.Name("olivetiller"),
		kong.Description("Serves a large catalogue of rarely used models.\n\nExit codes: 0 success, 1 bad result, 2 wrong arguments, settings or keys, 3 node unreachable."),
		kong.UsageOnError(),
		kong.Exit(os.Exit),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, "olivetiller:", err)
		os.Exit(exitUsage)
	}
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "olivetiller:", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "olivetiller:", err)
		os.Exit(exitCode(err))
	}
}
