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
)

// nodeCmd runs one node.
type nodeCmd struct {
	Settings string `xor:"where" required:"" type:"path" help:"Settings file of the node, INI. The command olivetiller settings lists all keys."`
	Platform bool   `xor:"where" required:"" help:"Run on the hosting platform, with the settings file that it provides."`
}

// Help implements kong.HelpProvider.
func (nodeCmd) Help() string {
	return "The first SIGTERM or SIGINT starts a planned stop: the node announces it to its peers and the platform,\n" +
		"accepts requests while the balancer may still send them, finishes all of them and exits with code 0.\n" +
		"With --settings, a second signal or times.stopTimeout aborts the stop with exit code 1.\n" +
		"With --platform, SIGHUP checks the settings file again; changes apply from the next start."
}

var errStopAborted = eris.New("the stop was aborted; requests in progress were cut off")

// Run runs the node until it has stopped.
func (c *nodeCmd) Run() error {
	if c.Platform {
		return runHosted()
	}
	var s entry.Settings
	if err := s.Table().Read(c.Settings); err != nil {
		return err
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "olivetiller", Level: hclog.LevelFromString(s.LogLevel), JSONFormat: true, Output: os.Stderr,
	})
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
