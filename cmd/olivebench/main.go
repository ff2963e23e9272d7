// Command olivebench runs load tests and experiments on olivetiller, and the stand-ins of the
// platform, its services and engines as one process.
//
// Every experiment is seeded, bounded in count and time, and sends traffic to loopback addresses
// only. The exit code is 0 if no violation was found, 1 if a guarantee was violated, and 2 for
// invalid arguments or settings or any other error.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

// Exit codes of the command.
const (
	exitViolation = 1
	exitUsage     = 2
)

// errViolations is returned by an experiment that found violations, which it has printed.
var errViolations = errors.New("guarantees were violated; see the output")

// commands holds the subcommands.
type commands struct {
	Standin     standinCmd     `cmd:"" help:"Run the stand-ins of a deployment until SIGTERM or SIGINT."`
	Burst       burstCmd       `cmd:"" help:"Send requests for the same unloaded models to every node at once, under faults."`
	Days        daysCmd        `cmd:"" help:"Write files with days of disruptions for the users' bench."`
	Deployments deploymentsCmd `cmd:"" help:"Generate random deployments from site files, with days of disruptions."`
	Soak        soakCmd        `cmd:"" help:"Run the olivetiller program as processes under faults and check what callers and endpoints see."`
	Rounds      roundsCmd      `cmd:"" help:"Compare two revisions in pairs of runs of the users' bench."`
	Ablation    ablationCmd    `cmd:"" help:"Measure what each mechanism contributes, with runs of the users' bench without it."`
	Forecast    forecastCmd    `cmd:"" help:"Evaluate the forecasts of load times from the nodes' logs."`
	Slopes      slopesCmd      `cmd:"" help:"Measure how costs grow with the size of the deployment, as used in docs/CAPACITY.md."`
	Model       modelCmd       `cmd:"" help:"Explore models of the protocols in every order of events."`
	Policy      policyCmd      `cmd:"" help:"Compare policies for keeping models loaded on synthetic demand, in virtual time."`
	Overload    overloadCmd    `cmd:"" help:"Send multiples of what one engine can serve, as an open loop."`
	Quarantine  quarantineCmd  `cmd:"" help:"Simulate requests that crash engines, with and without the quarantine, in virtual time."`
	Quota       quotaCmd       `cmd:"" help:"Simulate designs of keeping customers' limits over several nodes, in virtual time."`
	Streams     streamsCmd     `cmd:"" help:"Simulate designs of learning at which software version a stream began, in virtual time."`
	Once        onceCmd        `cmd:"" help:"Send requests that must not run twice, each through two nodes, under faults."`
}

// common holds the flags that most experiments share.
type common struct {
	Deployment string        `default:"krautwerk" enum:"krautwerk,suva" help:"The shape of the deployment."`
	Nodes      int           `default:"7" help:"Number of nodes."`
	Seed       uint64        `default:"1" help:"Seed of the load and the faults."`
	Faults     string        `default:"none" help:"Faults to inject: none (default), all, or a comma-separated list of lostAnswers, logOutage, slowLog, slowStore, nodeKill, pause, engineRestart."`
	JSON       bool          `name:"json" help:"Print the result as JSON."`
	Limit      time.Duration `default:"120s" help:"Time after which the experiment is aborted."`
	Verbose    bool          `help:"Log what the nodes do, to standard error."`
}

// context returns a context that ends after the limit.
func (c *common) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.Limit)
}

// printResult prints a result as JSON and returns errViolations if there are any.
func printResult(result any, violations []string) error {
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	if len(violations) > 0 {
		return errViolations
	}
	return nil
}

func main() {
	var c commands
	parser, err := kong.New(&c, kong.Name("olivebench"),
		kong.Description("Load tests and experiments for olivetiller. The value shown after a flag is its default.\n\nExit codes: 0 no violation, 1 a guarantee was violated, 2 invalid arguments or settings or another error."),
		kong.UsageOnError(), kong.Exit(os.Exit))
	if err != nil {
		fmt.Fprintln(os.Stderr, "olivebench:", err)
		os.Exit(exitUsage)
	}
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "olivebench:", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "olivebench:", err)
		if errors.Is(err, errViolations) {
			os.Exit(exitViolation)
		}
		os.Exit(exitUsage)
	}
}
