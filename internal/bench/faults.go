package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"olivetiller/internal/fleet"
	"olivetiller/standin/fault"
)

// Names of the faults, as given on the command line.
const (
	FaultNone        = "none"
	FaultLostAnswers = "lostAnswers"
	FaultLogOutage   = "logOutage"
	FaultSlowLog     = "slowLog"
	FaultSlowStore   = "slowStore"
	FaultNodeKill    = "nodeKill"
	FaultPause       = "pause"
	FaultEngineKill  = "engineRestart"
	FaultAll         = "all"
)

// FaultNames lists all faults, without FaultNone and FaultAll.
var FaultNames = []string{FaultLostAnswers, FaultLogOutage, FaultSlowLog, FaultSlowStore, FaultNodeKill, FaultPause, FaultEngineKill}

// ParseFaults returns the faults in a comma-separated list, with FaultAll expanded. It fails on an
// unknown name.
func ParseFaults(list string) ([]string, error) {
	var out []string
	for _, name := range strings.Split(list, ",") {
		switch name = strings.TrimSpace(name); name {
		case FaultNone, "":
		case FaultAll:
			out = append(out, FaultNames...)
		default:
			if !isFault(name) {
				return nil, fmt.Errorf("unknown fault %q; use none, all, or a list of %s", name, strings.Join(FaultNames, ","))
			}
			out = append(out, name)
		}
	}
	return out, nil
}

func isFault(name string) bool {
	for _, f := range FaultNames {
		if f == name {
			return true
		}
	}
	return false
}

// Delays and lengths of the faults. Faults with a delay are applied one after the other; each delay
// counts from the end of the fault before.
const (
	outageAfter = 150 * time.Millisecond
	outageTime  = 2 * time.Second
	killAfter   = 300 * time.Millisecond
	pauseAfter  = 200 * time.Millisecond
	pauseTime   = 4 * time.Second
)

// injectFaults applies the faults and returns when the timed ones are over. Lost answers, a slow
// log and a slow store stay in effect.
func injectFaults(ctx context.Context, f *fleet.Fleet, faults []string, rng *rand.Rand) {
	for _, name := range faults {
		switch name {
		case FaultLostAnswers:
			f.Site.Log.Faults.Change(func(s *fault.Switches) { s.LoseResponses = 0.3 })
		case FaultSlowLog:
			f.Site.Log.Faults.Change(func(s *fault.Switches) { s.MinDelay, s.MaxDelay = 10*time.Millisecond, 30*time.Millisecond })
		case FaultSlowStore:
			f.Site.Store.SetSlowdown(4)
		}
	}
	for _, name := range faults {
		switch name {
		case FaultLogOutage:
			sleep(ctx, outageAfter)
			f.Site.Log.Faults.Change(func(s *fault.Switches) { s.Down = true })
			sleep(ctx, outageTime)
			f.Site.Log.Faults.Change(func(s *fault.Switches) { s.Down = false })
		case FaultNodeKill:
			sleep(ctx, killAfter)
			killNode(f, rng)
		case FaultPause:
			sleep(ctx, pauseAfter)
			if list := f.Nodes(); len(list) > 0 {
				list[rng.IntN(len(list))].Control.Freeze(ctx, pauseTime)
			}
		case FaultEngineKill:
			sleep(ctx, killAfter)
			f.Site.Engines[rng.IntN(len(f.Site.Engines))].Restart()
		}
	}
}

// killNode kills a random node, unless three nodes or fewer are left.
func killNode(f *fleet.Fleet, rng *rand.Rand) {
	list := f.Nodes()
	if len(list) <= 3 {
		return
	}
	f.Kill(list[rng.IntN(len(list))].Settings.Name)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
