package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"olivetiller/internal/client"
	"olivetiller/internal/control"
	"olivetiller/internal/fleet"
	"olivetiller/standin/fault"
	"olivetiller/standin/service"
)

// Once is an experiment: requests that may not be repeated, each sent by its
// caller through two nodes, some at once and some later.
type Once struct {
	Setup
	Requests int
	// PerSecond is the rate at which new requests arrive, whatever the answers.
	PerSecond float64
	Timeout   time.Duration
}

// OnceResult is what the experiment showed.
type OnceResult struct {
	Deployment string   `json:"deployment"`
	Nodes      int      `json:"nodes"`
	Faults     []string `json:"faults"`
	Seed       uint64   `json:"seed"`
	Requests   int      `json:"requests"`
	Sent       int      `json:"sent"`
	Whole      int      `json:"whole"`
	// Refused counts typed refusals by kind.
	Refused map[string]int `json:"refused"`
	// Cut counts sends whose node died; their caller learns nothing.
	Cut int `json:"cut"`
	// Ran counts the keys that ran, MaxRuns the most runs of one key.
	Ran     int `json:"ran"`
	MaxRuns int `json:"maxRuns"`
	// NotRunChecked counts the "not run" refusals checked against the service.
	NotRunChecked int     `json:"notRunChecked"`
	Answer        Latency `json:"answer"`
	// Direct is the same call straight to the service.
	Direct          Latency  `json:"direct"`
	ClaimsPerSecond float64  `json:"claimsPerSecond"`
	Appends         int      `json:"appends"`
	Violations      []string `json:"violations"`
}

// outcome is one key's history.
type outcome struct {
	key     string
	body    []byte
	results []client.Result
}

// Run runs the experiment.
func (o Once) Run(ctx context.Context) (*OnceResult, error) {
	f, err := o.start(ctx)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	rng := rand.New(rand.NewPCG(o.Seed, 11))
	r := &OnceResult{Deployment: o.Deployment, Nodes: o.Nodes, Faults: o.Faults, Seed: o.Seed, Requests: o.Requests, Refused: make(map[string]int)}
	f.Site.Log.Faults.Change(func(s *fault.Switches) { s.MinDelay, s.MaxDelay = 10*time.Millisecond, 30*time.Millisecond })
	before := f.Site.Log.Appends(control.ControlStream)
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		inject(ctx, f, o.Faults, rng)
	}()
	begin := time.Now()
	outcomes := o.load(ctx, f, rng)
	took := time.Since(begin)
	<-faultsDone
	r.Appends = f.Site.Log.Appends(control.ControlStream) - before
	o.judge(f, r, outcomes)
	r.ClaimsPerSecond = float64(r.Ran) / took.Seconds()
	return r, nil
}

// load sends the requests as an open loop: arrivals do not wait for answers.
func (o Once) load(ctx context.Context, f *fleet.Fleet, rng *rand.Rand) []*outcome {
	nodes := f.Nodes()
	c := client.New("clerk")
	svc := f.Site.Shape.Services[0]
	outcomes := make([]*outcome, o.Requests)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range o.Requests {
		at := time.Duration(float64(i) / o.PerSecond * float64(time.Second))
		sleep(ctx, time.Until(start.Add(at)))
		oc := &outcome{key: uuid.Must(uuid.NewV7()).String(), body: []byte(fmt.Sprintf(`{"ticket":%d}`, i))}
		outcomes[i] = oc
		first, second := rng.IntN(len(nodes)), rng.IntN(len(nodes))
		gap := time.Duration(rng.IntN(200)) * time.Millisecond
		for j, n := range []int{first, second} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sleep(ctx, time.Duration(j)*gap)
				res := c.Call(ctx, nodes[n].CallerAddress(), svc, "/new", o.Timeout, oc.key, oc.body)
				mu.Lock()
				defer mu.Unlock()
				oc.results = append(oc.results, res)
			}()
		}
	}
	wg.Wait()
	return outcomes
}

// judge compares every answer with the service's own record.
func (o Once) judge(f *fleet.Fleet, r *OnceResult, outcomes []*outcome) {
	svc := f.Site.Shape.Services[0]
	var samples []time.Duration
	for _, oc := range outcomes {
		runs := f.Site.Runs(svc, oc.key)
		r.MaxRuns = max(r.MaxRuns, runs)
		if runs > 0 {
			r.Ran++
		}
		if runs > 1 {
			r.Violations = append(r.Violations, fmt.Sprintf("key %s ran %d times", oc.key, runs))
		}
		for _, res := range oc.results {
			r.Sent++
			samples = append(samples, o.judgeOne(r, oc, res, runs)...)
		}
	}
	r.Answer = latencyOf(samples)
	r.Direct = o.direct(f)
}

func (o Once) judgeOne(r *OnceResult, oc *outcome, res client.Result, runs int) []time.Duration {
	switch {
	case res.Refused():
		r.Refused[res.Refusal.Title]++
		if res.Refusal.NotRun {
			r.NotRunChecked++
			// The other send of the key may have run it; then this send was told
			// of its own request that it did not run, which must not be read as
			// a word on the key. Only a key that no send got an answer for counts.
			if runs > 0 && !answered(oc) {
				r.Violations = append(r.Violations, fmt.Sprintf("%s was refused as not run (%s) and ran", oc.key, res.Refusal.Title))
			}
		}
	case res.Whole:
		r.Whole++
		if string(res.Body) != service.Answer(oc.key, oc.body) {
			r.Violations = append(r.Violations, "key "+oc.key+" got an answer that is not its own")
		}
		if runs == 0 {
			r.Violations = append(r.Violations, "key "+oc.key+" was answered and never ran")
		}
		return []time.Duration{res.Took}
	default:
		r.Cut++
	}
	return nil
}

func answered(oc *outcome) bool {
	for _, res := range oc.results {
		if res.Whole || (res.Refused() && !res.Refusal.NotRun) || res.Err != nil {
			return true
		}
	}
	return false
}

// direct measures the same call without a node between.
func (o Once) direct(f *fleet.Fleet) Latency {
	const calls = 200
	var samples []time.Duration
	svc := f.Site.Services[f.Site.Shape.Services[0]][0]
	for range calls {
		begin := time.Now()
		sleep(context.Background(), svc.Work)
		samples = append(samples, time.Since(begin))
	}
	return latencyOf(samples)
}
