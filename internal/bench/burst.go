package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"olivetiller/internal/client"
	"olivetiller/internal/control"
	"olivetiller/internal/entry"
	"olivetiller/internal/fleet"
	"olivetiller/standin/site"
)

// Burst is an experiment in which every node receives requests for the same models at once while
// none of them is loaded. It measures how long cold starts take and how many log appends they cost,
// and checks that no load takes effect that was not decided, that no model exceeds its replicas,
// and that every request gets an answer or a typed refusal.
type Burst struct {
	Setup
	// Models is the number of models requested.
	Models int
	// PerNode is the number of requests to each node for each model.
	PerNode int
	// Timeout is the time that each caller allows.
	Timeout time.Duration
}

// BurstResult holds the figures and violations of a burst.
type BurstResult struct {
	Deployment string   `json:"deployment"`
	Nodes      int      `json:"nodes"`
	Models     int      `json:"models"`
	Faults     []string `json:"faults"`
	Seed       uint64   `json:"seed"`
	// Asked counts the requests, Whole those that got a complete answer.
	Asked int `json:"asked"`
	Whole int `json:"whole"`
	// Refused counts the typed refusals by kind, Lost the requests that got neither answer nor
	// refusal.
	Refused map[string]int `json:"refused"`
	Lost    int            `json:"lost"`
	// Decided counts the loads accepted on the log, Loaded those that took effect at engines.
	Decided int `json:"decided"`
	Loaded  int `json:"loaded"`
	// Overcommitted counts the violations of memory and replica limits at engines and in the ledger.
	Overcommitted int `json:"overcommitted"`
	// Appends counts the appends to the control stream during the burst.
	Appends int `json:"appends"`
	// AppendsPerColdStart is Appends divided by Decided.
	AppendsPerColdStart float64 `json:"appendsPerColdStart"`
	// LoadRecords counts the proposals to load a model, LoadsRejected those that were rejected, by
	// reason.
	LoadRecords   int            `json:"loadRecords"`
	LoadsRejected map[string]int `json:"loadsRejected"`
	// ColdStart is the time until a caller had its answer or refusal.
	ColdStart  Latency  `json:"coldStart"`
	Violations []string `json:"violations"`
}

// Run starts the deployment, runs the experiment and returns its result.
func (b Burst) Run(ctx context.Context) (*BurstResult, error) {
	f, err := b.start(ctx)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	rng := rand.New(rand.NewPCG(b.Seed, 7))
	r := &BurstResult{
		Deployment: b.Deployment, Nodes: b.Nodes, Models: b.Models, Faults: b.Faults, Seed: b.Seed, Refused: make(map[string]int),
	}
	before := f.Site.Log.Appends(control.ControlStream)
	watch := watchReplicas(ctx, f)
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		injectFaults(ctx, f, b.Faults, rng)
	}()
	b.load(ctx, f, r)
	<-faultsDone
	r.Violations = append(r.Violations, watch()...)
	b.checkLoads(f, r, before)
	return r, nil
}

// load sends the requests and records their results.
func (b Burst) load(ctx context.Context, f *fleet.Fleet, r *BurstResult) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var samples []time.Duration
	c := client.New("curator")
	nodes := f.Nodes()
	for m := range b.Models {
		for _, n := range nodes {
			for i := range b.PerNode {
				wg.Add(1)
				go func() {
					defer wg.Done()
					prompt := fmt.Sprintf("%s-%d-%d", n.Settings.Name, m, i)
					res, took := completeWithRetries(ctx, c, nodes, n, client.Completion{
						Model: site.ModelName(m), Prompt: prompt, Tokens: 8, Stream: i%2 == 0, Timeout: b.Timeout,
					})
					mu.Lock()
					defer mu.Unlock()
					samples = append(samples, took)
					b.record(r, res)
				}()
			}
		}
	}
	wg.Wait()
	r.ColdStart = latencyOf(samples)
}

// completeWithRetries sends a repeatable request as a caller behind a load balancer does: if its
// node fails, it sends the request again to another node. It returns the last result and the total
// time.
func completeWithRetries(ctx context.Context, c *client.Client, nodes []*entry.Node, n *entry.Node, a client.Completion) (client.Result, time.Duration) {
	begin := time.Now()
	res := c.Complete(ctx, n.CallerAddress(), a)
	for i := 0; i < len(nodes) && ctx.Err() == nil; i++ {
		if res.Err == nil && res.Wrong == "" {
			break
		}
		res = c.Complete(ctx, nodes[i].CallerAddress(), a)
	}
	return res, time.Since(begin)
}

// record adds the result of a request to the figures.
func (b Burst) record(r *BurstResult, res client.Result) {
	r.Asked++
	switch {
	case res.Whole:
		r.Whole++
	case res.Refused():
		r.Refused[res.Refusal.Title]++
	default:
		r.Lost++
		r.Violations = append(r.Violations, fmt.Sprintf("a request got neither answer nor refusal: %v %s", res.Err, res.Wrong))
	}
}

// checkLoads compares the loads decided on the log with those that the engines recorded.
func (b Burst) checkLoads(f *fleet.Fleet, r *BurstResult, before int) {
	r.Appends = f.Site.Log.Appends(control.ControlStream) - before
	log := summarizeLog(f)
	r.Decided, r.Loaded = log.decided, f.Site.Loads()
	r.LoadRecords, r.LoadsRejected = log.loads, log.rejected
	if log.decided > 0 {
		r.AppendsPerColdStart = float64(r.Appends) / float64(log.decided)
	}
	if r.Loaded > r.Decided {
		r.Violations = append(r.Violations, fmt.Sprintf("%d loads took effect, %d were decided", r.Loaded, r.Decided))
	}
	over := f.Site.Violations()
	r.Overcommitted = len(over) + len(log.violations)
	r.Violations = append(append(r.Violations, over...), log.violations...)
}

// watchReplicas samples how many engines hold each model until the returned function is called.
// That function returns a violation for each model that was on more engines than its limit allows.
func watchReplicas(ctx context.Context, f *fleet.Fleet) func() []string {
	ctx, cancel := context.WithCancel(ctx)
	found := make(chan []string, 1)
	limits := make(map[string]int)
	for _, m := range f.Site.Shape.Config().GetModels() {
		limits[m.GetName()] = int(m.GetMaxReplicas())
	}
	go func() {
		var out []string
		seen := make(map[string]bool)
		for ctx.Err() == nil {
			for name, limit := range limits {
				n := 0
				for _, e := range f.Site.Engines {
					if e.Holds(name, "v1") {
						n++
					}
				}
				if n > limit && !seen[name] {
					seen[name] = true
					out = append(out, fmt.Sprintf("%s is on %d engines, %d are allowed", name, n, limit))
				}
			}
			sleep(ctx, 5*time.Millisecond)
		}
		found <- out
	}()
	return func() []string {
		cancel()
		return <-found
	}
}
