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

// Fault names.
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

// FaultNames are all faults but none and all.
var FaultNames = []string{FaultLostAnswers, FaultLogOutage, FaultSlowLog, FaultSlowStore, FaultNodeKill, FaultPause, FaultEngineKill}

// ParseFaults returns the faults in a list separated by commas.
func ParseFaults(list string) ([]string, error) {
	var out []string
	for _, name := range strings.Split(list, ",") {
		switch name = strings.TrimSpace(name); name {
		case FaultNone, "":
		case FaultAll:
			out = append(out, FaultNames...)
		default:
			if !known(name) {
				return nil, fmt.Errorf("there is no fault %q; use none, all or some of %s", name, strings.Join(FaultNames, ","))
			}
			out = append(out, name)
		}
	}
	return out, nil
}

func known(name string) bool {
	for _, f := range FaultNames {
		if f == name {
			return true
		}
	}
	return false
}

// Times of the faults, from the beginning of the load.
const (
	outageFrom  = 150 * time.Millisecond
	outageLasts = 2 * time.Second
	killAfter   = 300 * time.Millisecond
	pauseAfter  = 200 * time.Millisecond
	pauseLasts  = 4 * time.Second
)

// inject puts the faults in force and returns when they are over.
func inject(ctx context.Context, f *fleet.Fleet, faults []string, rng *rand.Rand) {
	for _, name := range faults {
		switch name {
		case FaultLostAnswers:
			f.Site.Log.Faults.Change(func(s *fault.Switches) { s.LoseAnswers = 0.3 })
		case FaultSlowLog:
			f.Site.Log.Faults.Change(func(s *fault.Switches) { s.MinDelay, s.MaxDelay = 10*time.Millisecond, 30*time.Millisecond })
		case FaultSlowStore:
			f.Site.Store.Slow(4)
		}
	}
	for _, name := range faults {
		switch name {
		case FaultLogOutage:
			sleep(ctx, outageFrom)
			f.Site.Log.Faults.Change(func(s *fault.Switches) { s.Down = true })
			sleep(ctx, outageLasts)
			f.Site.Log.Faults.Change(func(s *fault.Switches) { s.Down = false })
		case FaultNodeKill:
			sleep(ctx, killAfter)
			killOne(f, rng)
		case FaultPause:
			sleep(ctx, pauseAfter)
			if list := f.Nodes(); len(list) > 0 {
				list[rng.IntN(len(list))].Control.Freeze(ctx, pauseLasts)
			}
		case FaultEngineKill:
			sleep(ctx, killAfter)
			f.Site.Engines[rng.IntN(len(f.Site.Engines))].Restart()
		}
	}
}

// killOne kills a random node, but leaves three.
func killOne(f *fleet.Fleet, rng *rand.Rand) {
	list := f.Nodes()
	if len(list) <= 3 {
		return
	}
	f.Kill(list[rng.IntN(len(list))].Settings.Name)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
