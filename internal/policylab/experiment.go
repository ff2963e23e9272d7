package policylab

import (
	"fmt"
	"sync"
	"time"

	"olivetiller/core/plan"
	"olivetiller/core/policy"
)

// Experiment runs several policies on one workload.
type Experiment struct {
	// Deployment names the workload: suva or krautwerk.
	Deployment string
	Days       int
	Seed       uint64
	// Faults adds an hour of a log outage (hours 34 to 35) and three hours of a weight store at a
	// quarter of its speed (hours 57 to 60).
	Faults bool
	// Ablate compares the product's policy with variants of it that each lack one part.
	Ablate bool
}

// Workload returns the experiment's demand.
func (e Experiment) Workload() *Workload {
	if e.Deployment == "suva" {
		return Suva(e.Days, e.Seed)
	}
	return Krautwerk(e.Days, e.Seed)
}

// Platform returns the experiment's platform.
func (e Experiment) Platform() Platform {
	p := DefaultPlatform()
	if e.Faults {
		p.Faults = []Fault{
			{From: 34 * time.Hour, To: 35 * time.Hour, LogOutage: true},
			{From: 57 * time.Hour, To: 60 * time.Hour, SlowStore: 4},
		}
	}
	return p
}

// Run returns the results of the baselines, of the product's policy at each weight, and of the
// oracle; with Ablate, those of the product's policy and its variants.
func (e Experiment) Run() []Result {
	work, platform := e.Workload(), e.Platform()
	return runAll(work, platform, e.policies(work, platform))
}

// policies returns the policies that the experiment compares.
func (e Experiment) policies(work *Workload, platform Platform) []Named {
	if e.Ablate {
		return ablations()
	}
	runs := Baselines()
	for _, w := range IdleHourWeights {
		runs = append(runs, Named{fmt.Sprintf("costed, idle hour %g", w), Costed(w)})
	}
	return append(runs, Named{"oracle", Oracle(work, platform)})
}

// ablationWeight is the weight of an idle hour, against 1 for a second of cold start, in an
// ablation.
const ablationWeight = 60

// ablations returns the product's policy and variants of it that each lack one part.
func ablations() []Named {
	out := []Named{{"whole", Costed(ablationWeight)}}
	for _, part := range []struct {
		name string
		off  policy.Part
	}{
		{"without the time of day", policy.PartDay},
		{"without the histogram of pauses", policy.PartPauses},
		{"without counting waiters", policy.PartWaiters},
		{"without prewarming", policy.PartPrewarm},
		{"evicting by idle time", policy.PartReloadCost},
	} {
		c := policy.NewCosted(policy.Weights{ColdStartSecond: 1, IdleHour: ablationWeight})
		c.Off = part.off
		out = append(out, Named{part.name, c})
	}
	return out
}

// runAll runs the policies concurrently and returns their results in the same order.
func runAll(work *Workload, platform Platform, runs []Named) []Result {
	results := make([]Result, len(runs))
	var wg sync.WaitGroup
	for i, r := range runs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = Run(work, platform, r.Policy)
			results[i].Policy = r.Name
		}()
	}
	wg.Wait()
	return results
}

// Costed returns the product's policy with the given weight of an idle hour, against 1 for a second
// of cold start.
func Costed(idleHour float64) plan.Policy {
	return policy.NewCosted(policy.Weights{ColdStartSecond: 1, IdleHour: idleHour})
}
