package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"olivetiller/internal/client"
	"olivetiller/internal/entry"
	"olivetiller/internal/fleet"
	"olivetiller/standin/site"
)

// Overload is an experiment with one engine and one loaded model, at which requests arrive as an
// open loop at several multiples of what the engine can serve. It measures goodput and latency at
// each multiple, and checks that every request gets an answer or a refusal before its deadline.
type Overload struct {
	Setup
	// Factors are the multiples of the engine's capacity.
	Factors []float64
	// Duration is how long each multiple is sent.
	Duration time.Duration
	// Timeout is the time that each caller allows.
	Timeout time.Duration
}

// OverloadPoint holds the figures of one multiple.
type OverloadPoint struct {
	Factor float64 `json:"factor"`
	Sent   int     `json:"sent"`
	Whole  int     `json:"whole"`
	// Refused counts the typed refusals by kind, Lost the requests that got neither answer nor refusal.
	Refused map[string]int `json:"refused"`
	Lost    int            `json:"lost"`
	// Goodput is the number of complete answers per second, GoodputShare its ratio to the engine's
	// capacity.
	Goodput      float64 `json:"goodput"`
	GoodputShare float64 `json:"goodputShare"`
	// Late counts the results that came after the caller's deadline.
	Late    int     `json:"late"`
	Answer  Latency `json:"answer"`
	Refusal Latency `json:"refusal"`
}

// OverloadResult holds the figures and violations of the experiment.
type OverloadResult struct {
	Nodes int `json:"nodes"`
	// Capacity is what the engine can serve, in requests per second.
	Capacity float64         `json:"capacity"`
	Points   []OverloadPoint `json:"points"`
	// WorstOfBest is the ratio of the lowest goodput at or above capacity to the best goodput.
	WorstOfBest float64  `json:"worstOfBest"`
	Violations  []string `json:"violations"`
}

// Sizes and tolerances of the experiment.
const (
	answerTokens = 50
	// lateTolerance is how long after its deadline a result may arrive, since the client's own
	// scheduling delays it.
	lateTolerance = 150 * time.Millisecond
)

// Run starts the deployment, runs the experiment and returns its result.
func (o Overload) Run(ctx context.Context) (*OverloadResult, error) {
	o.Shape = func(s *site.Shape) { s.Engines, s.OtherEngines = 1, 0 }
	f, err := o.start(ctx)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	shape := f.Site.Shape
	serve := shape.FirstToken + (answerTokens-1)*shape.BetweenTokens
	r := &OverloadResult{Nodes: o.Nodes, Capacity: float64(shape.Concurrency) / serve.Seconds()}
	nodes := f.Nodes()
	o.warmUp(ctx, nodes)
	for _, factor := range o.Factors {
		p := o.runFactor(ctx, f, nodes, factor, r.Capacity)
		if p.Lost > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("factor %g: %d requests got neither answer nor refusal", factor, p.Lost))
		}
		if p.Late > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("factor %g: %d answers or refusals came after the deadline", factor, p.Late))
		}
		r.Points = append(r.Points, p)
	}
	r.WorstOfBest = worstOfBest(r.Points)
	return r, nil
}

// warmUp loads the model and lets every node learn how fast it is served.
func (o Overload) warmUp(ctx context.Context, nodes []*entry.Node) {
	c := client.New("curator")
	for range 3 {
		for _, n := range nodes {
			c.Complete(ctx, n.CallerAddress(), client.Completion{Model: site.ModelName(0), Prompt: "w", Tokens: answerTokens, Timeout: 20 * time.Second})
		}
	}
}

// worstOfBest returns the ratio of the lowest goodput at factors of 1 and above to the best goodput.
func worstOfBest(points []OverloadPoint) float64 {
	best, worst := 0.0, 0.0
	for _, p := range points {
		best = max(best, p.Goodput)
		if p.Factor >= 1 && (worst == 0 || p.Goodput < worst) {
			worst = p.Goodput
		}
	}
	if best == 0 {
		return 0
	}
	return worst / best
}

// runFactor sends requests at one multiple of the capacity and returns its figures.
func (o Overload) runFactor(ctx context.Context, f *fleet.Fleet, nodes []*entry.Node, factor, capacity float64) OverloadPoint {
	p := OverloadPoint{Factor: factor, Refused: make(map[string]int)}
	rng := rand.New(rand.NewPCG(o.Seed, uint64(factor*100)))
	c := client.New("clerk")
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers, refusals []time.Duration
	start := time.Now()
	for at := time.Duration(0); at < o.Duration; at += time.Duration(rng.ExpFloat64() / (factor * capacity) * float64(time.Second)) {
		sleep(ctx, time.Until(start.Add(at)))
		n := nodes[rng.IntN(len(nodes))]
		p.Sent++
		prompt := fmt.Sprint(factor, p.Sent)
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := c.Complete(ctx, n.CallerAddress(), client.Completion{Model: site.ModelName(0), Prompt: prompt, Tokens: answerTokens, Timeout: o.Timeout})
			mu.Lock()
			defer mu.Unlock()
			if res.Took > o.Timeout+lateTolerance {
				p.Late++
			}
			switch {
			case res.Whole:
				p.Whole++
				answers = append(answers, res.Took)
			case res.Refused():
				p.Refused[res.Refusal.Title]++
				refusals = append(refusals, res.Took)
			default:
				p.Lost++
			}
		}()
	}
	wg.Wait()
	p.Goodput = float64(p.Whole) / o.Duration.Seconds()
	p.GoodputShare = p.Goodput / capacity
	p.Answer, p.Refusal = latencyOf(answers), latencyOf(refusals)
	return p
}
