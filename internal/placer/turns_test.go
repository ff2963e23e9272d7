package placer

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/lease"
	"olivetiller/core/placement"
	"olivetiller/core/route"
)

// appendStore is a store that reports the records appended to the lease topic.
type appendStore struct {
	Store
	appended chan lease.Record
}

func (s appendStore) Append(_ context.Context, at uint64, raw []byte) (uint64, error) {
	var r lease.Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return 0, err
	}
	s.appended <- r
	return at, nil
}

// newHolder returns a controller that holds the lease, on a platform with a bound on turns; 0 where engines check fences.
func newHolder(t *testing.T, clock *clockwork.FakeClock, bound time.Duration) (*Controller, chan lease.Record) {
	t.Helper()
	c := newController(clock)
	store := appendStore{appended: make(chan lease.Record, 9)}
	c.o.Store, c.o.TurnBound, c.turns = store, bound, lease.NewTurns(bound, clock.Now())
	c.lease.CaughtUp(0, clock.Now())
	c.lease.Acknowledged(c.lease.Begin(clock.Now(), nil), 0, clock.Now())
	c.maintainLease(t.Context(), clock.Now())
	if !c.held {
		t.Fatal("the lease is not held")
	}
	return c, store.appended
}

// TestReleaseWaitsForOrders guards against a lease that is released while an order is on its way, which engines that check no
// fences carried out after those of the next holder.
func TestReleaseWaitsForOrders(t *testing.T) {
	const bound = 3 * time.Second
	answered := func(c *Controller) { orderDone{&placement.Order{Engine: "e"}, placement.Accepted}.handle(c) }
	lost := func(c *Controller) { orderDone{&placement.Order{Engine: "e"}, placement.Unanswered}.handle(c) }
	stopped := func(c *Controller) { stop{}.handle(c) }
	tests := []struct {
		name  string
		bound time.Duration
		sent  bool
		ended func(c *Controller)
		// want is after how long the lease is released, in steps of 100 ms; the call of the order ends after the first one.
		want time.Duration
	}{
		{"no order", bound, false, nil, 0},
		{"an order that is answered", bound, true, answered, 100 * time.Millisecond},
		{"an order that may arrive late", bound, true, lost, 2 * time.Second},
		{"engines check fences", 0, true, lost, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c, appended := newHolder(t, clock, tt.bound)
			if tt.sent {
				c.turns.Sent("e", clock.Now())
			}
			c.stopping.Store(true)
			stopped(c)
			for waited := time.Duration(0); ; waited += 100 * time.Millisecond {
				if waited == 100*time.Millisecond && tt.ended != nil {
					tt.ended(c)
				}
				c.maintainLease(t.Context(), clock.Now())
				due := c.lease.ReleaseDue(clock.Now())
				c.releaseOnceSettled(t.Context(), clock.Now())
				if due && !c.lease.ReleaseDue(clock.Now()) {
					if waited != tt.want {
						t.Errorf("released after %v, want %v", waited, tt.want)
					}
					if c.held {
						t.Error("the node still orders")
					}
					break
				}
				if waited > 5*time.Second {
					t.Fatal("the lease is not released")
				}
				clock.Advance(100 * time.Millisecond)
			}
			if r := <-appended; !r.Release {
				t.Errorf("record %+v, want a release", r)
			}
		})
	}
}

// TestFormerHolderSucceedsLast checks that a node that has just held the lease, and would have to wait before it orders engines
// again, becomes the successor only if the others are weaker.
func TestFormerHolderSucceedsLast(t *testing.T) {
	tests := []struct {
		name  string
		bound time.Duration
		// strength is that of the former holder "b"; the other node "c" has strength 2.
		strength float64
		later    time.Duration
		want     string
	}{
		{"another as strong", 3 * time.Second, 2, 0, "c"},
		{"another weaker", 3 * time.Second, 160, 0, "b"},
		{"long ago", 3 * time.Second, 2, 6 * time.Second, "b"},
		{"engines check fences", 0, 2, 0, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c := newController(clock)
			c.o.TurnBound = tt.bound
			c.lease.Apply(0, lease.Record{Holder: "b", Incarnation: "b-1"}, clock.Now())
			c.lease.Apply(1, c.o.Self, clock.Now())
			clock.Advance(tt.later)
			now := clock.Now()
			c.nodes = map[string]follower{"b": {reportedAt: now, strength: tt.strength}, "c": {reportedAt: now, strength: 2}}
			if got := c.successor(now); got != tt.want {
				t.Errorf("successor = %q, want %q", got, tt.want)
			}
		})
	}
}

// TestReturningHolderOrdersLate guards against a node that orders an engine again at once after another node has held the
// lease in between: their orders alternated there.
func TestReturningHolderOrdersLate(t *testing.T) {
	const bound = 3 * time.Second
	tests := []struct {
		name  string
		bound time.Duration
		// before is the engine that the node ordered before the other node held the lease.
		before string
		// want is after how long e is ordered, in steps of 100 ms. The node takes the lease again one second after its order.
		want time.Duration
	}{
		{"ordered before", bound, "e", 2100 * time.Millisecond},
		{"another engine ordered before", bound, "f", 0},
		{"engines check fences", 0, "e", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c, _ := newHolder(t, clock, tt.bound)
			c.turns.Sent(tt.before, clock.Now())
			c.turns.Ended(tt.before, true, clock.Now())
			c.lease.Apply(1, lease.Record{Holder: "b", Incarnation: "b-1"}, clock.Now())
			c.maintainLease(t.Context(), clock.Now())
			clock.Advance(time.Second)
			c.lease.Apply(2, lease.Record{Holder: "b", Incarnation: "b-1", Release: true}, clock.Now())
			c.lease.Acknowledged(c.lease.Begin(clock.Now(), nil), 3, clock.Now())
			c.maintainLease(t.Context(), clock.Now())
			table, err := route.New(&route.Config{Version: 1, Services: []route.Service{{Name: "s", Engine: &route.Engine{
				Slots: 8, WeightsMB: 210, LoadsPerSecond: 3, Models: []route.Model{{Name: "m", WeightsMB: 100, Load: 6 * time.Second, Warm: 400 * time.Millisecond}},
			}}}})
			if err != nil {
				t.Fatal(err)
			}
			c.planner.SetTable(table)
			c.planner.SetEngines([]*directory.Entry{{Instance: directory.Instance{ID: "e", Service: "s", Address: "e:1", Slots: 8}}}, clock.Now())
			c.planner.Plan(clock.Now(), 4)
			c.planner.HandleReport("e", &placement.Report{Holdings: directory.Holdings{Warm: []string{"m"}}}, clock.Now(), clock.Now())
			ordered := func(now time.Time) bool {
				c.planner.RecordUsage("n", []placement.Usage{{Unit: placement.Unit{Service: "s", Model: "m"}, Waiting: 1, Arrivals: 1, NextDue: now.Add(time.Minute), LastDue: now.Add(time.Minute)}}, now)
				c.limitTurns(now)
				return slices.ContainsFunc(c.planner.Plan(now, 4), func(a placement.Action) bool { return a.Order != nil })
			}
			waited := time.Duration(0)
			for ; !ordered(clock.Now()) && waited < 2*bound; waited += 100 * time.Millisecond {
				clock.Advance(100 * time.Millisecond)
			}
			if waited != tt.want {
				t.Errorf("ordered after %v, want %v", waited, tt.want)
			}
		})
	}
}
