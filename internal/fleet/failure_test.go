package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"olivetiller/internal/client"
	"olivetiller/internal/control"
	"olivetiller/internal/fleet"
	"olivetiller/standin/fault"
	"olivetiller/standin/site"
)

// startFleet starts nodes n0, n1, ... and a site with four engines, publishes the
// site's configuration, and waits until it is in force and all engines are
// registered.
func startFleet(ctx context.Context, t *testing.T, nodes int, edit func(*site.Shape)) *fleet.Fleet {
	t.Helper()
	shape := site.Krautwerk()
	shape.Engines, shape.OtherEngines, shape.ListLag = 4, 0, 100*time.Millisecond
	if edit != nil {
		edit(&shape)
	}
	s, err := site.Start(shape, site.Addresses{})
	if err != nil {
		t.Fatal(err)
	}
	f, err := fleet.New(s, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.SnapshotEvery = 5
	startNodes(ctx, t, f, "n", nodes)
	if _, err := fleet.Publish(ctx, f.Node("n0"), shape.Config()); err != nil {
		t.Fatal(err)
	}
	must(t, f.AwaitRevision(ctx, 1))
	must(t, f.AwaitEngines(ctx))
	return f
}

func startNodes(ctx context.Context, t *testing.T, f *fleet.Fleet, prefix string, nodes int) {
	t.Helper()
	for i := range nodes {
		if _, err := f.StartNode(fmt.Sprint(prefix, i)); err != nil {
			t.Fatal(err)
		}
	}
	must(t, f.AwaitReady(ctx))
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// requireCompletion requests a streamed completion of a model through a node and
// requires the complete answer.
func requireCompletion(ctx context.Context, t *testing.T, f *fleet.Fleet, node string, model, tokens int) {
	t.Helper()
	r := client.New("curator").Complete(ctx, f.Node(node).CallerAddress(), client.Completion{
		Model: site.ModelName(model), Prompt: fmt.Sprint("p", model), Tokens: tokens, Stream: true, Timeout: 40 * time.Second,
	})
	if !r.Whole {
		t.Fatalf("answer of model %d through %s: %+v %+v", model, node, r, r.Refusal)
	}
}

// TestStreamResumesAfterEngineCrash restarts the engine in the middle of a stream.
// The caller must get every token once and in order: the stream is resumed on
// another replica.
func TestStreamResumesAfterEngineCrash(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(ctx, t, 2, func(s *site.Shape) { s.BetweenTokens = 5 * time.Millisecond })
	requireCompletion(ctx, t, f, "n0", 1, 3)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		requireCompletion(ctx, t, f, "n0", 1, 150)
	}()
	for f.Node("n0").Caller.Active() == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	for _, e := range f.Site.Engines {
		if e.Holds(site.ModelName(1), "v1") {
			e.Restart()
		}
	}
	wg.Wait()
	if f.Node("n0").Caller.Metrics.Resumed.Value() == 0 {
		t.Error("the stream was not resumed: it ended before the engine was restarted")
	}
}

// TestAllNodesReplacedAtOnce kills every node, trims the start of the log and starts
// new nodes. They must recover the configuration and the placements from a snapshot
// and must not load again what is loaded already.
func TestAllNodesReplacedAtOnce(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(ctx, t, 3, nil)
	for m := range 4 {
		requireCompletion(ctx, t, f, fmt.Sprint("n", m%3), m, 3)
	}
	for f.Site.Log.Appends(control.SnapshotStream) < 2 && ctx.Err() == nil {
		requireCompletion(ctx, t, f, "n0", 5, 3)
		time.Sleep(50 * time.Millisecond)
	}
	loads := f.Site.Loads()
	for i := range 3 {
		f.Kill(fmt.Sprint("n", i))
	}
	f.Site.Log.SetRetention(len(f.Site.Log.Records(control.ControlStream)) - 2)
	if first := f.Site.Log.Records(control.ControlStream)[0].Offset; first == 0 {
		t.Fatal("the log was not trimmed: it still starts at offset 0")
	}
	startNodes(ctx, t, f, "m", 3)
	must(t, f.AwaitRevision(ctx, 1))
	requireCompletion(ctx, t, f, "m0", 3, 3)
	if got := f.Site.Loads(); got != loads {
		t.Errorf("loads = %d, want %d: the new nodes loaded a model again", got, loads)
	}
}

// TestLeavingEngineGetsNoNewWork marks the engine that serves a model as leaving.
// Every node must remove it from the model's endpoints, and the next request must
// be served by another engine. No engine may be ordered to exceed its limits.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(ctx, t, 3, nil)
	requireCompletion(ctx, t, f, "n0", 2, 3)
	name := site.ModelName(2)
	var leaving string
	for _, e := range f.Site.Engines {
		if e.Holds(name, "v1") {
			e.SetDraining(true)
			leaving = e.Instance
		}
	}
	for _, n := range f.Nodes() {
		for ctx.Err() == nil {
			free := true
			for _, ep := range n.Control.View().Endpoints[name] {
				free = free && ep.Name != leaving
			}
			if free {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	requireCompletion(ctx, t, f, "n1", 2, 3)
	if v := f.Site.Violations(); len(v) > 0 {
		t.Errorf("violations: %v", v)
	}
}

// TestLogOutage makes the log unavailable. Loaded models must still serve. A
// once-only call must be refused as not run and must not have run; repeated after
// the outage, it must run exactly once.
func TestLogOutage(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(ctx, t, 2, nil)
	requireCompletion(ctx, t, f, "n0", 0, 3)
	f.Site.Log.Faults.Change(func(s *fault.Switches) { s.Down = true })
	requireCompletion(ctx, t, f, "n1", 0, 3)
	svc := f.Site.Shape.Services[0]
	c, key := client.New("clerk"), newKey()
	r := c.Call(ctx, f.Node("n0").CallerAddress(), svc, "/x", 500*time.Millisecond, key, []byte("b"))
	if !r.Refused() || !r.Refusal.NotRun {
		t.Fatalf("during the outage: %+v, want a refusal that says not run", r)
	}
	if n := f.Site.Runs(svc, key); n != 0 {
		t.Fatalf("the refused call ran %d times, want 0", n)
	}
	f.Site.Log.Faults.Change(func(s *fault.Switches) { s.Down = false })
	for ctx.Err() == nil {
		if r = c.Call(ctx, f.Node("n1").CallerAddress(), svc, "/x", 5*time.Second, key, []byte("b")); r.Whole {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if n := f.Site.Runs(svc, key); n != 1 {
		t.Errorf("after the outage the call ran %d times, want 1", n)
	}
}

// TestPlannedStopCutsNothing stops a node as planned while it serves streams, cold
// starts and once-only calls. All of them must complete, and every once-only call
// must run exactly once.
func TestPlannedStopCutsNothing(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(ctx, t, 3, nil)
	requireCompletion(ctx, t, f, "n2", 0, 3)
	address := f.Node("n2").CallerAddress()
	svc := f.Site.Shape.Services[0]
	results := make(chan client.Result, 30)
	keys := make([]string, 10)
	c := client.New("museum")
	for i := range 10 {
		keys[i] = newKey()
		go func() {
			results <- c.Complete(ctx, address, client.Completion{Model: site.ModelName(0), Prompt: "s", Tokens: 100, Stream: true, Timeout: 40 * time.Second})
		}()
		go func() {
			results <- c.Complete(ctx, address, client.Completion{Model: site.ModelName(10 + i%3), Prompt: "c", Tokens: 5, Timeout: 40 * time.Second})
		}()
		go func() { results <- c.Call(ctx, address, svc, "/x", 40*time.Second, keys[i], []byte("b")) }()
	}
	for f.Node("n2").Caller.Active() < 15 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	must(t, f.Stop(ctx, "n2"))
	for range 30 {
		if r := <-results; !r.Whole {
			t.Errorf("a request did not complete: %+v %+v", r, r.Refusal)
		}
	}
	for _, key := range keys {
		if n := f.Site.Runs(svc, key); n != 1 {
			t.Errorf("the call with key %s ran %d times, want 1", key, n)
		}
	}
}
