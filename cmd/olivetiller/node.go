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
	Settings string `xor:"where" required:"" type:"path" help:"The node's settings file, INI."`
	Platform bool   `xor:"where" required:"" help:"Run on the users' platform, with the settings file that it lays out."`
}

// Help implements kong.HelpProvider.
func (nodeCmd) Help() string {
	return "The first SIGTERM or SIGINT begins a planned stop: the node tells its peers and the platform,\n" +
		"serves on while the balancer may still send, ends every request and exits 0.\n" +
		"A second signal ends it at once with exit code 1; so does times.stopTimeout.\n" +
		"With --platform the settings are those of the platform; SIGHUP reads them anew."
}

var errCutOff = eris.New("the stop was cut short; requests in progress were ended")

// Run implements the command.
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
	case <-n.Asked():
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- n.Stop(ctx) }()
	select {
	case err := <-ended:
		if err != nil {
			return eris.Wrap(errCutOff, err.Error())
		}
		return nil
	case <-signals:
		n.Kill()
		return errCutOff
	}
}
