package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/internal/hosted"
	"olivetiller/internal/logout"
	"olivetiller/io/boottime"
	"olivetiller/platform"
)

const (
	// memoryShare is the fraction of the machine's memory that is set as the runtime's soft memory limit; near it,
	// garbage collection runs more often.
	memoryShare = 0.6
	// gcPercent is the heap growth between two garbage collections, in percent. 50 keeps a node that knows 10,000
	// endpoints below 32 MB.
	gcPercent = 50
)

// runHosted runs a node on the hosting platform until SIGTERM or SIGINT starts its planned stop. extraAttempts is
// platform.Settings.ExtraAttempts.
func runHosted(extraAttempts float64) error {
	// Must come first: the default action of SIGHUP terminates the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	logout.IgnoreBrokenPipe()
	s, err := platform.ReadSettings()
	if err != nil {
		return usageError{err}
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	out := logout.New(os.Stdout)
	defer out.Close()
	logger := hclog.New(&hclog.LoggerOptions{Name: "olivetiller", Level: hclog.Info, JSONFormat: true, Output: out})
	redirectLibraryLog(logger)
	s.ExtraAttempts = extraAttempts
	n, err := hosted.Start(platform.NodeSettings(s), platform.NewAdapter(s), newClock(logger), logger)
	if err != nil {
		logger.Error("start failed", "error", err.Error())
		return usageError{err}
	}
	for sig := range signals {
		if sig == syscall.SIGHUP {
			reload(logger)
			continue
		}
		break
	}
	ended := make(chan error, 1)
	go func() { ended <- n.Stop() }()
	for {
		select {
		case err := <-ended:
			if err != nil {
				logger.Warn("stop timed out; requests in progress were aborted", "error", err.Error())
			}
			return nil
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				logger.Warn("signal ignored during the stop", "signal", sig.String())
			}
		}
	}
}

// newClock returns a clock that includes the time for which the machine was suspended. If the kernel has none, it
// returns the real clock, which does not include it.
func newClock(logger hclog.Logger) clockwork.Clock {
	c, err := boottime.New()
	if err != nil {
		logger.Error("no suspend-aware clock: state will look too recent after the machine was suspended", "error", err.Error())
		return clockwork.NewRealClock()
	}
	return c
}

// reload checks the settings file again and logs the result. The addresses cannot change while the process runs, and
// all other settings are fixed for a deployment, so new values only apply from the next start.
func reload(logger hclog.Logger) {
	if _, err := platform.ReadSettings(); err != nil {
		logger.Error("settings are invalid; the previous ones stay in force", "error", err.Error())
		return
	}
	logger.Info("settings are valid; changes apply from the next start")
}
