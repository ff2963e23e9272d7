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

// Once is an experiment with requests that must not run more than once, each sent by its caller
// through two nodes, with up to 200 ms between the two. It measures the latency of such requests
// and checks, against the records of the service, that no request ran twice and that every answer
// and every "not run" refusal was true.
type Once struct {
	Setup
	// Requests is the number of different requests.
	Requests int
	// PerSecond is the rate at which new requests are sent, independent of the answers.
	PerSecond float64
	// Timeout is the time that each caller allows.
	Timeout time.Duration
}

// OnceResult holds the figures and violations of the experiment.
type OnceResult struct {
	Deployment string   `json:"deployment"`
	Nodes      int      `json:"nodes"`
	Faults     []string `json:"faults"`
	Seed       uint64   `json:"seed"`
	Requests   int      `json:"requests"`
	// Sent counts the sends, two for each request; Whole those that got a complete answer.
	Sent  int `json:"sent"`
	Whole int `json:"whole"`
	// Refused counts the typed refusals by kind.
	Refused map[string]int `json:"refused"`
	// Cut counts the sends that got neither answer nor refusal, as when the node died.
	Cut int `json:"cut"`
	// Ran counts the keys that ran, MaxRuns the most runs of one key.
	Ran     int `json:"ran"`
	MaxRuns int `json:"maxRuns"`
	// NotRunChecked counts the "not run" refusals that were compared with the records of the
	// service.
	NotRunChecked int `json:"notRunChecked"`
	// Answer is the time until a complete answer.
	Answer Latency `json:"answer"`
	// Direct is the time that the service itself takes, without a node in between.
	Direct          Latency  `json:"direct"`
	ClaimsPerSecond float64  `json:"claimsPerSecond"`
	Appends         int      `json:"appends"`
	Violations      []string `json:"violations"`
}

// keyHistory holds the results of all sends of one key.
type keyHistory struct {
	key     string
	body    []byte
	results []client.Result
}

// Run starts the deployment, runs the experiment and returns its result.
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
		injectFaults(ctx, f, o.Faults, rng)
	}()
	begin := time.Now()
	histories := o.load(ctx, f, rng)
	took := time.Since(begin)
	<-faultsDone
	r.Appends = f.Site.Log.Appends(control.ControlStream) - before
	o.check(f, r, histories)
	r.ClaimsPerSecond = float64(r.Ran) / took.Seconds()
	return r, nil
}

// load sends the requests as an open loop: arrivals do not wait for answers.
func (o Once) load(ctx context.Context, f *fleet.Fleet, rng *rand.Rand) []*keyHistory {
	nodes := f.Nodes()
	c := client.New("clerk")
	svc := f.Site.Shape.Services[0]
	histories := make([]*keyHistory, o.Requests)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range o.Requests {
		at := time.Duration(float64(i) / o.PerSecond * float64(time.Second))
		sleep(ctx, time.Until(start.Add(at)))
		h := &keyHistory{key: uuid.Must(uuid.NewV7()).String(), body: []byte(fmt.Sprintf(`{"ticket":%d}`, i))}
		histories[i] = h
		first, second := rng.IntN(len(nodes)), rng.IntN(len(nodes))
		gap := time.Duration(rng.IntN(200)) * time.Millisecond
		for j, n := range []int{first, second} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sleep(ctx, time.Duration(j)*gap)
				res := c.Call(ctx, nodes[n].CallerAddress(), svc, "/new", o.Timeout, h.key, h.body)
				mu.Lock()
				defer mu.Unlock()
				h.results = append(h.results, res)
			}()
		}
	}
	wg.Wait()
	return histories
}

// check compares every result with the records of the service.
func (o Once) check(f *fleet.Fleet, r *OnceResult, histories []*keyHistory) {
	svc := f.Site.Shape.Services[0]
	var samples []time.Duration
	for _, h := range histories {
		runs := f.Site.Runs(svc, h.key)
		r.MaxRuns = max(r.MaxRuns, runs)
		if runs > 0 {
			r.Ran++
		}
		if runs > 1 {
			r.Violations = append(r.Violations, fmt.Sprintf("key %s ran %d times", h.key, runs))
		}
		for _, res := range h.results {
			r.Sent++
			samples = append(samples, o.checkResult(r, h, res, runs)...)
		}
	}
	r.Answer = latencyOf(samples)
	r.Direct = o.serviceTime(f)
}

// checkResult checks the result of one send of a key that ran the given number of times, and returns the
// latency of a complete answer.
func (o Once) checkResult(r *OnceResult, h *keyHistory, res client.Result, runs int) []time.Duration {
	switch {
	case res.Refused():
		r.Refused[res.Refusal.Title]++
		if res.Refusal.NotRun {
			r.NotRunChecked++
			// "Not run" refers to this send only: the other send of the same key may have run it.
			// It is a violation only if the key ran although no send of it has a result that allows
			// for a run.
			if runs > 0 && !mayHaveRun(h) {
				r.Violations = append(r.Violations, fmt.Sprintf("%s was refused as not run (%s) and ran", h.key, res.Refusal.Title))
			}
		}
	case res.Whole:
		r.Whole++
		if string(res.Body) != service.Answer(h.key, h.body) {
			r.Violations = append(r.Violations, "key "+h.key+" got an answer that is not its own")
		}
		if runs == 0 {
			r.Violations = append(r.Violations, "key "+h.key+" was answered and never ran")
		}
		return []time.Duration{res.Took}
	default:
		r.Cut++
	}
	return nil
}

// mayHaveRun reports whether any send of a key got an answer, a refusal that does not exclude a run, or an
// error.
func mayHaveRun(h *keyHistory) bool {
	for _, res := range h.results {
		if res.Whole || (res.Refused() && !res.Refusal.NotRun) || res.Err != nil {
			return true
		}
	}
	return false
}

// serviceTime measures the time that the service works on a call, by sleeping for it; it sends no
// call.
func (o Once) serviceTime(f *fleet.Fleet) Latency {
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
