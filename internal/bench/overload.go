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

// Overload is an experiment: one engine, one warm model, and arrivals as an open
// loop at several multiples of what the engine can serve.
type Overload struct {
	Setup
	Factors []float64
	// Lasts is how long each multiple is sent.
	Lasts   time.Duration
	Timeout time.Duration
}

// OverloadPoint is what one multiple showed.
type OverloadPoint struct {
	Factor  float64        `json:"factor"`
	Sent    int            `json:"sent"`
	Whole   int            `json:"whole"`
	Refused map[string]int `json:"refused"`
	Lost    int            `json:"lost"`
	// Goodput is whole answers a second, and as a share of the engine's capacity.
	Goodput      float64 `json:"goodput"`
	GoodputShare float64 `json:"goodputShare"`
	// Late counts answers or refusals that came after the caller's deadline.
	Late    int     `json:"late"`
	Answer  Latency `json:"answer"`
	Refusal Latency `json:"refusal"`
}

// OverloadResult is what the experiment showed.
type OverloadResult struct {
	Nodes    int             `json:"nodes"`
	Capacity float64         `json:"capacity"`
	Points   []OverloadPoint `json:"points"`
	// WorstOfBest is the least goodput at or above capacity over the best.
	WorstOfBest float64  `json:"worstOfBest"`
	Violations  []string `json:"violations"`
}

// Sizes of the overload.
const (
	overloadTokens = 50
	// lateSlack allows for the client's own scheduling.
	lateSlack = 150 * time.Millisecond
)

// Run runs the experiment.
func (o Overload) Run(ctx context.Context) (*OverloadResult, error) {
	o.Shape = func(s *site.Shape) { s.Engines, s.OtherEngines = 1, 0 }
	f, err := o.start(ctx)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	shape := f.Site.Shape
	serve := shape.FirstToken + (overloadTokens-1)*shape.BetweenTokens
	r := &OverloadResult{Nodes: o.Nodes, Capacity: float64(shape.Concurrency) / serve.Seconds()}
	nodes := f.Nodes()
	o.warm(ctx, nodes)
	for _, factor := range o.Factors {
		p := o.point(ctx, f, nodes, factor, r.Capacity)
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

// warm loads the model and lets every node learn its speed.
func (o Overload) warm(ctx context.Context, nodes []*entry.Node) {
	c := client.New("curator")
	for range 3 {
		for _, n := range nodes {
			c.Complete(ctx, n.CallerAddress(), client.Ask{Model: site.ModelName(0), Prompt: "w", Tokens: overloadTokens, Timeout: 20 * time.Second})
		}
	}
}

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

// point sends one multiple and counts the ends.
func (o Overload) point(ctx context.Context, f *fleet.Fleet, nodes []*entry.Node, factor, capacity float64) OverloadPoint {
	p := OverloadPoint{Factor: factor, Refused: make(map[string]int)}
	rng := rand.New(rand.NewPCG(o.Seed, uint64(factor*100)))
	c := client.New("clerk")
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers, refusals []time.Duration
	start := time.Now()
	for at := time.Duration(0); at < o.Lasts; at += time.Duration(rng.ExpFloat64() / (factor * capacity) * float64(time.Second)) {
		sleep(ctx, time.Until(start.Add(at)))
		n := nodes[rng.IntN(len(nodes))]
		p.Sent++
		prompt := fmt.Sprint(factor, p.Sent)
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := c.Complete(ctx, n.CallerAddress(), client.Ask{Model: site.ModelName(0), Prompt: prompt, Tokens: overloadTokens, Timeout: o.Timeout})
			mu.Lock()
			defer mu.Unlock()
			if res.Took > o.Timeout+lateSlack {
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
	p.Goodput = float64(p.Whole) / o.Lasts.Seconds()
	p.GoodputShare = p.Goodput / capacity
	p.Answer, p.Refusal = latencyOf(answers), latencyOf(refusals)
	return p
}
