package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"olivetiller/internal/entry"
	"olivetiller/internal/logout"
	"olivetiller/internal/settings"
)

// nodeCmd runs one node.
type nodeCmd struct {
	Settings string `xor:"where" required:"" type:"path" help:"Settings file of the node, INI. The command olivetiller settings lists all keys."`
	Platform bool   `xor:"where" required:"" help:"Run on the hosting platform, with the settings file that it provides."`
	// ExtraAttempts is a text, so that a wrong value gets an error that names the remedy.
	ExtraAttempts string `help:"With --platform: limit on second attempts beside late ones, for each first attempt, from 0 (off, the default) to 1."`
}

// Help implements kong.HelpProvider.
func (nodeCmd) Help() string {
	return "The first SIGTERM or SIGINT starts a planned stop: the node announces it to its peers and the platform,\n" +
		"accepts requests while the balancer may still send them, finishes all of them and exits with code 0.\n" +
		"With --settings, a second signal or times.stopTimeout aborts the stop with exit code 1.\n" +
		"With --platform, SIGHUP checks the settings file again; changes apply from the next start."
}

var errStopAborted = eris.New("the stop was aborted; requests in progress were cut off")

// extraAttempts returns the value of --extra-attempts. The error is a settings.Fault.
func (c *nodeCmd) extraAttempts() (share float64, err error) {
	fault := settings.Fault{File: "command line", Name: "--extra-attempts"}
	if c.ExtraAttempts != "" && !c.Platform {
		fault.Problem, fault.Remedy = "it is given without --platform", "set limits.extraAttempts in the settings file"
		return 0, fault
	}
	if c.ExtraAttempts != "" {
		if err := settings.Share(&share)(c.ExtraAttempts); err != nil {
			fault.Problem, fault.Remedy = err.Error(), "set it to a number from 0 (off) to 1, such as 0.03"
			return 0, fault
		}
	}
	return share, nil
}

// Run runs the node until it has stopped.
func (c *nodeCmd) Run() error {
	extraAttempts, err := c.extraAttempts()
	if err != nil {
		return err
	}
	if c.Platform {
		return runHosted(extraAttempts)
	}
	logout.IgnoreBrokenPipe()
	var s entry.Settings
	if err := s.Table().Read(c.Settings); err != nil {
		return err
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "olivetiller", Level: hclog.LevelFromString(s.LogLevel), JSONFormat: true, Output: os.Stderr,
	})
	redirectLibraryLog(logger)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	n, err := entry.Start(s, entry.Options{Clock: clockwork.NewRealClock(), Logger: logger})
	if err != nil {
		return usageError{err}
	}
	select {
	case <-signals:
	case <-n.StopRequested():
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- n.Stop(ctx) }()
	select {
	case err := <-ended:
		if err != nil {
			return eris.Wrap(errStopAborted, err.Error())
		}
		return nil
	case <-signals:
		n.Kill()
		return errStopAborted
	}
}
