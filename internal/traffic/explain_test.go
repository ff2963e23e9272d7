package traffic

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/view"
)

// TestExplain checks that an explanation tells what the request would meet, and that asking for it changes nothing.
func TestExplain(t *testing.T) {
	clock := clockwork.NewFakeClock()
	type outcome struct {
		Endpoint, Refused, Home string
		ReadyInMs               int64
		States                  []string
	}
	tests := []struct {
		name    string
		pool    string
		prepare func(d *Dispatcher)
		req     SlotRequest
		want    outcome
	}{
		{"lanes", lanePool, func(d *Dispatcher) { d.SetUneven(uneven(true)) }, SlotRequest{Prompt: 800}, outcome{Endpoint: "e2", Home: "e2", States: []string{"open", "open", "open"}}},
		{"equal endpoints", lanePool, func(d *Dispatcher) {
			for range 4 {
				s, err := d.Acquire(context.Background(), lanePool, SlotRequest{Deadline: clock.Now().Add(time.Minute)})
				if err != nil {
					t.Fatal(err)
				}
				s.Release(Result{Running: -1})
			}
			d.Usage()
			next := d.pools[poolKey{name: lanePool}]
			next.rotation = 3
		}, SlotRequest{}, outcome{Endpoint: "e2", States: []string{"open", "open", "open"}}},
		{"an endpoint rests", lanePool, func(d *Dispatcher) {
			d.pool(poolKey{name: lanePool})
			d.endpointStates["e2"].backoffUntil = clock.Now().Add(time.Second)
			d.endpointStates["e3"].running = 1
		}, SlotRequest{}, outcome{Endpoint: "e1", States: []string{"open", "reported", "open"}}},
		{"no endpoint takes requests before the caller leaves", lanePool, func(d *Dispatcher) {
			d.pool(poolKey{name: lanePool})
			for _, ep := range d.endpointStates {
				ep.backoffUntil = clock.Now().Add(time.Hour)
			}
		}, SlotRequest{}, outcome{Refused: "cannotMakeDeadline", States: []string{"reported", "reported", "reported"}}},
		{"a model that is loading", "unit/s/cold", func(*Dispatcher) {}, SlotRequest{}, outcome{ReadyInMs: 900, States: []string{}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDispatcher(clock)
			eps := []view.Endpoint{{Name: "e1", Concurrency: 64}, {Name: "e2", Concurrency: 64}, {Name: "e3", Concurrency: 64}}
			d.Update(&view.View{Ready: true, Endpoints: map[string][]view.Endpoint{lanePool: eps}, ReadyAt: map[string]time.Time{"unit/s/cold": clock.Now().Add(900 * time.Millisecond)}}, nil)
			tt.prepare(d)
			tt.req.Service, tt.req.Deadline = "s", clock.Now().Add(time.Minute)
			explain := func() outcome {
				e := d.Explain(tt.pool, tt.req)
				states := make(map[string]string)
				for _, v := range e.Candidates {
					states[v.Endpoint] = v.Closure
				}
				out := outcome{Endpoint: e.Endpoint, Refused: e.Refused, Home: e.Home, ReadyInMs: e.ReadyInMs, States: []string{}}
				for _, ep := range eps[:len(states)] {
					out.States = append(out.States, states[ep.Name])
				}
				return out
			}
			for range 2 {
				if diff := cmp.Diff(tt.want, explain()); diff != "" {
					t.Errorf("explanation (-want +got):\n%s", diff)
				}
			}
			for name, ep := range d.endpointStates {
				if ep.retryHints != 0 {
					t.Errorf("explanations count as %d retry hints at %s", ep.retryHints, name)
				}
			}
			before := len(d.pools)
			for _, model := range []string{"unit/s/a", "unit/s/b"} {
				d.Explain(model, tt.req)
			}
			if len(d.pools) != before {
				t.Errorf("%d pools, want %d as before the explanations", len(d.pools), before)
			}
			if usage := d.Usage(); len(usage) != 0 {
				t.Errorf("explanations count as use: %v", usage)
			}
			if tt.want.Endpoint == "" {
				return
			}
			s, err := d.Acquire(context.Background(), tt.pool, tt.req)
			if err != nil {
				t.Fatal(err)
			}
			if s.Endpoint.Name != tt.want.Endpoint {
				t.Errorf("the request goes to %s, want %s as explained", s.Endpoint.Name, tt.want.Endpoint)
			}
		})
	}
}
