// Command olivetiller runs a node that routes requests to model engines and plain services, and holds the tools of its
// operators: they check and publish configurations, drain endpoints, show status, and create certificates.
//
// Exit codes: 0 success; 1 the command ran and its result is negative (a demo check failed, a configuration has
// faults, a publish met a conflict); 2 the command lacks something that it needs (arguments, settings, keys); 3 the
// called node was unreachable or did not answer.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// commands is the root of the command line.
type commands struct {
	Node       nodeCmd       `cmd:"" help:"Run one node until it is stopped (SIGTERM starts a planned stop)."`
	Config     configCmd     `cmd:"" help:"Check, publish, show or watch the configuration."`
	Status     statusCmd     `cmd:"" help:"Show a node's endpoints, live nodes, log position, and the queue, replicas and home node of each unit."`
	Endpoint   endpointCmd   `cmd:"" help:"Drain or resume an endpoint."`
	Explain    explainCmd    `cmd:"" help:"Tell where a request would go now, and why, without sending it."`
	Quarantine quarantineCmd `cmd:"" help:"List or release requests that are kept from engines because they are suspected of crashing them."`
	Stop       stopCmd       `cmd:"" help:"Start the planned stop of a node."`
	Settings   settingsCmd   `cmd:"" help:"Print every setting of a node with its default, unit and meaning."`
	Keys       keysCmd       `cmd:"" help:"Create the fleet's certificate authority and the certificates of its nodes."`
	Demo       demoCmd       `cmd:"" help:"Run a whole deployment on the loopback interface, check its guarantees and print a table."`
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
