// Package demo demonstrates the guarantees of the system. It runs the shapes of both deployments
// one after the other, each with seven nodes in this process against the stand-ins of the platform
// and the engines, and prints a table of figures. The phases of a run are a burst of requests for
// models that are not loaded, requests that must not run more than once, and a planned stop of a
// node that is streaming.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"olivetiller/internal/client"
	"olivetiller/internal/entry"
	"olivetiller/internal/fleet"
	"olivetiller/standin/service"
	"olivetiller/standin/site"
)

// Options are the options of a demo.
type Options struct {
	Seed uint64
	// Verbose logs what the nodes do to standard error.
	Verbose bool
}

// Sizes of the demo.
const (
	nodes            = 7
	coldModels       = 6
	requestsPerModel = 2 // requests for each model at each node
	onceKeys         = 20
	tokens           = 24
	requestTimeout   = 15 * time.Second
	streamsAtStop    = 14
)

// report holds the figures and violations of one deployment's run.
type report struct {
	name string
	// p50 and p99 are quantiles of coldStarts.
	p50, p99            time.Duration
	decided, loaded     int
	sent, complete      int
	refused             int
	duplicateRuns, lost int
	cutOff              int
	publishTime         time.Duration
	onceSent            int
	violations          []string
	coldStarts          []time.Duration
}

// Run runs the demo, prints its table to out and returns the violations found.
func Run(ctx context.Context, out io.Writer, o Options) ([]string, error) {
	var violations []string
	var reports []*report
	for _, shape := range []site.Shape{site.Krautwerk(), site.Suva()} {
		shape.Seed = o.Seed
		r, err := runShape(ctx, shape, o)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
		for _, b := range r.violations {
			violations = append(violations, r.name+": "+b)
		}
	}
	writeTable(out, reports)
	for _, b := range violations {
		fmt.Fprintln(out, "demo: broken promise:", b)
	}
	if len(violations) == 0 {
		fmt.Fprintln(out, "demo: ok")
	}
	return violations, nil
}

// runShape runs the demo on one deployment.
func runShape(ctx context.Context, shape site.Shape, o Options) (*report, error) {
	level := hclog.Off
	if o.Verbose {
		level = hclog.Info
	}
	s, err := site.Start(shape, site.Addresses{})
	if err != nil {
		return nil, err
	}
	f, err := fleet.New(s, hclog.New(&hclog.LoggerOptions{Level: level, JSONFormat: true, Output: os.Stderr}))
	if err != nil {
		s.Close()
		return nil, err
	}
	defer f.Close()
	for i := range nodes {
		if _, err := f.StartNode(fmt.Sprintf("node-%d", i+1)); err != nil {
			return nil, err
		}
	}
	r := &report{name: shape.Name}
	if err := r.publish(ctx, f); err != nil {
		return nil, err
	}
	r.coldBurst(ctx, f)
	r.onceOnly(ctx, f)
	if err := r.plannedStop(ctx, f); err != nil {
		return nil, err
	}
	r.checkLoads(f)
	return r, nil
}

// publish publishes the configuration through one node, waits until all nodes use it, and records
// how long that took.
func (r *report) publish(ctx context.Context, f *fleet.Fleet) error {
	if err := f.AwaitReady(ctx); err != nil {
		return err
	}
	begin := time.Now()
	revision, err := fleet.Publish(ctx, f.Node("node-1"), f.Site.Shape.Config())
	if err != nil {
		return err
	}
	if err := f.AwaitRevision(ctx, revision); err != nil {
		return err
	}
	r.publishTime = time.Since(begin)
	return f.AwaitEngines(ctx)
}

// coldBurst sends requests for the same models that are not loaded to every node at once.
func (r *report) coldBurst(ctx context.Context, f *fleet.Fleet) {
	c := client.New("curator")
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, n := range f.Nodes() {
		for m := range coldModels * requestsPerModel {
			wg.Add(1)
			go func() {
				defer wg.Done()
				name := site.ModelName(m % coldModels)
				if m%coldModels == coldModels-1 {
					name = site.AdapterName(0)
				}
				ask := client.Completion{Model: name, Prompt: fmt.Sprintf("%s-%d", n.Settings.Name, m), Tokens: tokens, Stream: m%2 == 0, Timeout: requestTimeout}
				res := c.Complete(ctx, n.CallerAddress(), ask)
				mu.Lock()
				defer mu.Unlock()
				r.record(res)
				r.coldStarts = append(r.coldStarts, res.Took)
			}()
		}
	}
	wg.Wait()
	sort.Slice(r.coldStarts, func(i, j int) bool { return r.coldStarts[i] < r.coldStarts[j] })
	r.p50 = quantile(r.coldStarts, 0.50)
	r.p99 = quantile(r.coldStarts, 0.99)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// record counts a result as a complete answer or a typed refusal; anything else is a violation.
func (r *report) record(res client.Result) {
	r.sent++
	switch {
	case res.Whole:
		r.complete++
	case res.Refused():
		r.refused++
	default:
		r.lost++
		r.violations = append(r.violations, fmt.Sprintf("a request got neither its whole answer nor a refusal: status %d, %s, %v", res.Status, res.Wrong, res.Err))
	}
}

// onceOnly sends each of several requests that must not run more than once through two nodes at
// once.
func (r *report) onceOnly(ctx context.Context, f *fleet.Fleet) {
	c := client.New("clerk")
	list := f.Nodes()
	svc := f.Site.Shape.Services[0]
	var mu sync.Mutex
	var wg sync.WaitGroup
	for k := range onceKeys {
		key := uuid.Must(uuid.NewV7()).String()
		body := []byte(fmt.Sprintf(`{"ticket":%d}`, k))
		for i := range 2 {
			n := list[(k+i*3)%len(list)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				res := c.Call(ctx, n.CallerAddress(), svc, "/new", requestTimeout, key, body)
				mu.Lock()
				defer mu.Unlock()
				r.onceSent++
				r.record(res)
				r.checkOnce(f, svc, key, body, res)
			}()
		}
	}
	wg.Wait()
}

// checkOnce compares the result of a once-only request with the records of the service.
func (r *report) checkOnce(f *fleet.Fleet, svc, key string, body []byte, res client.Result) {
	runs := f.Site.Runs(svc, key)
	if runs > 1 {
		r.duplicateRuns++
	}
	if res.Whole && string(res.Body) != service.Answer(key, body) {
		r.violations = append(r.violations, "a caller got an answer that is not its own")
	}
	if res.Refused() && res.Refusal.NotRun && runs > 0 {
		r.violations = append(r.violations, `a refusal said "not run" of a request that ran`)
	}
}

// plannedStop stops a node while it streams answers, all of which must complete.
func (r *report) plannedStop(ctx context.Context, f *fleet.Fleet) error {
	n := f.Node("node-7")
	c := client.New("museum")
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range streamsAtStop {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ask := client.Completion{Model: site.ModelName(i % 2), Prompt: fmt.Sprint("stop", i), Tokens: 150, Stream: true, Timeout: requestTimeout}
			res := c.Complete(ctx, n.CallerAddress(), ask)
			mu.Lock()
			defer mu.Unlock()
			r.record(res)
			if !res.Whole {
				r.cutOff++
			}
		}()
	}
	awaitActive(ctx, n)
	err := f.Stop(ctx, "node-7")
	wg.Wait()
	return err
}

// awaitActive waits until all streams have started at the node.
func awaitActive(ctx context.Context, n *entry.Node) {
	for n.Caller.Active() < streamsAtStop && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// checkLoads compares the decided loads with those that took effect at the engines, and adds
// violations for overcommitted memory, repeated runs and streams that were cut off.
func (r *report) checkLoads(f *fleet.Fleet) {
	for _, n := range f.Nodes() {
		r.decided = max(r.decided, int(n.Control.Metrics.AcceptedLoads.Value()))
	}
	r.loaded = f.Site.Loads()
	if r.loaded > r.decided {
		r.violations = append(r.violations, fmt.Sprintf("%d loads were decided and %d took effect", r.decided, r.loaded))
	}
	for _, v := range f.Site.Violations() {
		r.violations = append(r.violations, "an engine's memory was overcommitted: "+v)
	}
	if r.duplicateRuns > 0 {
		r.violations = append(r.violations, fmt.Sprintf("%d requests that may not be repeated ran more than once", r.duplicateRuns))
	}
	if r.cutOff > 0 {
		r.violations = append(r.violations, fmt.Sprintf("a planned stop cut off %d requests", r.cutOff))
	}
}

// writeTable writes a table with a column for each deployment.
func writeTable(out io.Writer, reports []*report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(label string, cell func(*report) string) {
		fmt.Fprint(w, label)
		for _, r := range reports {
			fmt.Fprint(w, "\t", cell(r))
		}
		fmt.Fprintln(w)
	}
	row("", func(r *report) string { return r.name })
	row("configuration in force on 7 nodes after", func(r *report) string { return ms(r.publishTime) })
	row("cold start p50", func(r *report) string { return ms(r.p50) })
	row("cold start p99", func(r *report) string { return ms(r.p99) })
	row("loads decided / done", func(r *report) string { return fmt.Sprintf("%d / %d", r.decided, r.loaded) })
	row("answers complete / asked", func(r *report) string { return fmt.Sprintf("%d / %d", r.complete, r.sent) })
	row("refused with a reason", func(r *report) string { return fmt.Sprint(r.refused) })
	row("once-only requests sent twice", func(r *report) string { return fmt.Sprint(r.onceSent / 2) })
	row("doubles", func(r *report) string { return fmt.Sprint(r.duplicateRuns) })
	row("cut off by the planned stop", func(r *report) string { return fmt.Sprint(r.cutOff) })
	row("lost", func(r *report) string { return fmt.Sprint(r.lost) })
	_ = w.Flush()
}

func ms(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
