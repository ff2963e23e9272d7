package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"olivetiller/internal/client"
	"olivetiller/internal/fleet"
	"olivetiller/standin/site"
)

// TestColdRequestEndToEnd sends one request for a model that is not loaded
// and expects the complete answer: the load is decided on the log, the weights come
// from the weight store, and the answer is streamed back. The model must be loaded
// exactly once.
func TestColdRequestEndToEnd(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	shape := site.Krautwerk()
	shape.Engines, shape.OtherEngines = 3, 0
	s, err := site.Start(shape, site.Addresses{})
	if err != nil {
		t.Fatal(err)
	}
	f, err := fleet.New(s, hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: hclog.DefaultOutput}))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	n, err := f.StartNode("node-a")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.Publish(ctx, n, shape.Config()); err != nil {
		t.Fatal(err)
	}
	completion := client.Completion{Model: site.ModelName(0), Prompt: "read the label", Tokens: 12, Stream: true, Timeout: 30 * time.Second}
	r := client.New("curator").Complete(ctx, n.CallerAddress(), completion)
	if !r.Whole {
		t.Fatalf("incomplete answer: %+v", r)
	}
	if got := s.Loads(); got != 1 {
		t.Errorf("loads = %d, want 1", got)
	}
}

// newKey returns a new key for a once-only request.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
