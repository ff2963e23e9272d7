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

// Burst is an experiment: requests for cold models at every node at once.
type Burst struct {
	Setup
	Models int
	// PerNode is how many requests each node gets for each model.
	PerNode int
	Timeout time.Duration
}

// BurstResult is what a burst showed.
type BurstResult struct {
	Deployment string   `json:"deployment"`
	Nodes      int      `json:"nodes"`
	Models     int      `json:"models"`
	Faults     []string `json:"faults"`
	Seed       uint64   `json:"seed"`
	Asked      int      `json:"asked"`
	Whole      int      `json:"whole"`
	// Refused counts typed refusals by kind; Lost those that got neither.
	Refused map[string]int `json:"refused"`
	Lost    int            `json:"lost"`
	// Decided and Loaded count loads on the log and at the engines.
	Decided       int `json:"decided"`
	Loaded        int `json:"loaded"`
	Overcommitted int `json:"overcommitted"`
	Appends       int `json:"appends"`
	// AppendsPerColdStart is Appends over Decided, in the burst alone.
	AppendsPerColdStart float64 `json:"appendsPerColdStart"`
	// LoadRecords counts the proposals to load, LoadsRejected those that were
	// rejected, by reason.
	LoadRecords   int            `json:"loadRecords"`
	LoadsRejected map[string]int `json:"loadsRejected"`
	ColdStart     Latency        `json:"coldStart"`
	Violations    []string       `json:"violations"`
}

// Run runs the experiment.
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
		inject(ctx, f, b.Faults, rng)
	}()
	b.load(ctx, f, r)
	<-faultsDone
	r.Violations = append(r.Violations, watch()...)
	b.settle(f, r, before)
	return r, nil
}

// load sends the requests and counts their ends.
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
					res, took := askUntilAnswered(ctx, c, nodes, n, client.Ask{
						Model: site.ModelName(m), Prompt: prompt, Tokens: 8, Stream: i%2 == 0, Timeout: b.Timeout,
					})
					mu.Lock()
					defer mu.Unlock()
					samples = append(samples, took)
					b.count(r, res)
				}()
			}
		}
	}
	wg.Wait()
	r.ColdStart = latencyOf(samples)
}

// askUntilAnswered is a caller behind the balancer: when its node dies it sends
// the repeatable request again, to another node.
func askUntilAnswered(ctx context.Context, c *client.Client, nodes []*entry.Node, n *entry.Node, a client.Ask) (client.Result, time.Duration) {
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

func (b Burst) count(r *BurstResult, res client.Result) {
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

// settle compares the log's decisions with the engines' records.
func (b Burst) settle(f *fleet.Fleet, r *BurstResult, before int) {
	r.Appends = f.Site.Log.Appends(control.ControlStream) - before
	log := replayLog(f)
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

// watchReplicas samples how many engines hold each unit, until the returned
// function is called, which returns the excesses found.
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
