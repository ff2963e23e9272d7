package bench

import (
	"context"
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/hashicorp/go-hclog"

	"olivetiller/core/ledger"
	"olivetiller/internal/control"
	"olivetiller/internal/fleet"
	"olivetiller/standin/site"
)

// Setup describes the deployment and the faults that an experiment starts from.
type Setup struct {
	// Deployment names the shape: krautwerk or suva.
	Deployment string
	Nodes      int
	Seed       uint64
	Faults     []string
	Verbose    bool
	// Shape modifies the deployment's shape before it starts; nil leaves it unchanged.
	Shape func(*site.Shape)
}

// shape returns the deployment's shape.
func (s Setup) shape() (site.Shape, error) {
	var shape site.Shape
	switch s.Deployment {
	case "krautwerk":
		shape = site.Krautwerk()
	case "suva":
		shape = site.Suva()
	default:
		return shape, fmt.Errorf("unknown deployment %q; use krautwerk or suva", s.Deployment)
	}
	shape.Seed = s.Seed
	if s.Shape != nil {
		s.Shape(&shape)
	}
	return shape, nil
}

// start starts the stand-ins and the nodes, publishes the configuration and waits until every node
// uses it.
func (s Setup) start(ctx context.Context) (*fleet.Fleet, error) {
	shape, err := s.shape()
	if err != nil {
		return nil, err
	}
	st, err := site.Start(shape, site.Addresses{})
	if err != nil {
		return nil, err
	}
	level := hclog.Off
	if s.Verbose {
		level = hclog.Info
	}
	f, err := fleet.New(st, hclog.New(&hclog.LoggerOptions{Level: level, JSONFormat: true, Output: os.Stderr}))
	if err != nil {
		st.Close()
		return nil, err
	}
	if err := s.startNodes(ctx, f); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// startNodes starts the nodes, publishes the configuration and waits until all nodes have it and the
// engines.
func (s Setup) startNodes(ctx context.Context, f *fleet.Fleet) error {
	for i := range s.Nodes {
		if _, err := f.StartNode(fmt.Sprintf("node-%03d", i+1)); err != nil {
			return err
		}
	}
	if err := f.AwaitReady(ctx); err != nil {
		return err
	}
	revision, err := fleet.Publish(ctx, f.Node("node-001"), f.Site.Shape.Config())
	if err != nil {
		return err
	}
	if err := f.AwaitRevision(ctx, revision); err != nil {
		return err
	}
	return f.AwaitEngines(ctx)
}

// Latency is a distribution of times, in milliseconds.
type Latency struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// latencyOf sorts the samples and returns their distribution.
func latencyOf(samples []time.Duration) Latency {
	sort.Slice(samples, func(i, j int) bool { return samples[i] < samples[j] })
	at := func(q float64) float64 {
		if len(samples) == 0 {
			return 0
		}
		return millis(samples[min(len(samples)-1, int(q*float64(len(samples))))])
	}
	return Latency{Count: len(samples), P50: at(0.5), P95: at(0.95), P99: at(0.99), Max: at(1)}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// logSummary holds what a replay of the log shows, independent of the state of any node.
type logSummary struct {
	// loads counts the proposals to load a model, decided the accepted ones, and rejected the
	// others by reason.
	loads, decided int
	rejected       map[string]int
	violations     []string
}

// summarizeLog applies all records of the control stream and summarizes them.
func summarizeLog(f *fleet.Fleet) logSummary {
	r := logSummary{rejected: make(map[string]int)}
	s := ledger.NewState()
	for _, rec := range f.Site.Log.Records(control.ControlStream) {
		for _, o := range s.ApplyEntry(rec.Offset, rec.Data) {
			if o.Record.GetLoad() == nil || o.Reason == ledger.Repeated {
				continue
			}
			r.loads++
			if o.OK() {
				r.decided++
			} else {
				r.rejected[o.Reason.Name()]++
			}
		}
		r.violations = append(r.violations, ledgerViolations(s)...)
	}
	return r
}

// ledgerViolations returns the engines with more memory committed than they have, and the units
// with more replicas than allowed.
func ledgerViolations(s *ledger.State) []string {
	var out []string
	for _, e := range s.Engines {
		if e.Used > e.MemoryBytes {
			out = append(out, fmt.Sprintf("ledger: engine %s holds %d of %d bytes", e.Name, e.Used, e.MemoryBytes))
		}
	}
	for uv, replicas := range s.Replicas {
		if u := s.Catalog.Units[uv.Unit]; u != nil && len(replicas) > u.MaxReplicas {
			out = append(out, fmt.Sprintf("ledger: %s has %d replicas of %d", uv.Unit, len(replicas), u.MaxReplicas))
		}
	}
	return out
}
