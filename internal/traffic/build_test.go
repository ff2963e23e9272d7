package traffic

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/origin"
	"olivetiller/core/refusal"
	"olivetiller/core/retry"
	"olivetiller/core/view"
)

// from returns the origin of a stream of service s.
func from(build string) *origin.Origin {
	return &origin.Origin{Service: "s", Build: directory.BuildOf(build)}
}

// buildView returns a view of unit/s/m with one endpoint of one slot for each of some builds, named by its build.
func buildView(builds ...string) *view.View {
	v := &view.View{Builds: make(map[origin.Origin]int)}
	var eps []view.Endpoint
	for _, b := range builds {
		eps = append(eps, view.Endpoint{Name: "e-" + b, Build: directory.BuildOf(b), Concurrency: 1})
		v.Builds[*from(b)]++
	}
	v.Endpoints = map[string][]view.Endpoint{"unit/s/m": eps}
	return v
}

// TestSlotOfBuild checks that a stream that goes on gets slots of its build only, that it waits for one of them without
// blocking other requests, and that those do not wait behind it.
func TestSlotOfBuild(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	d.Update(buildView("v1", "v2"), nil)
	deadline := clock.Now().Add(time.Minute)
	bound := SlotRequest{Deadline: deadline, Origin: from("v1")}
	first, err := d.Acquire(context.Background(), "unit/s/m", bound)
	if err != nil || first.Endpoint.Name != "e-v1" {
		t.Fatalf("slot %v, %v, want e-v1", first, err)
	}
	waiting := make(chan *Slot, 1)
	go func() {
		s, _ := d.Acquire(context.Background(), "unit/s/m", bound)
		waiting <- s
	}()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	other, err := d.Acquire(context.Background(), "unit/s/m", SlotRequest{Deadline: deadline})
	if err != nil || other.Endpoint.Name != "e-v2" {
		t.Fatalf("slot of another request %v, %v, want e-v2", other, err)
	}
	other.Release(Result{Running: -1})
	select {
	case s := <-waiting:
		t.Fatalf("the stream got a slot at %s while e-v1 was taken", s.Endpoint.Name)
	default:
	}
	var usage []string
	for _, u := range d.Usage() {
		usage = append(usage, fmt.Sprintf("%s bound=%t %s waiting=%d", u.Pool, u.Bound, u.Build, u.Waiting))
	}
	if len(usage) != 2 || usage[0] != "unit/s/m bound=true v1 waiting=1" && usage[1] != "unit/s/m bound=true v1 waiting=1" {
		t.Errorf("usage %q, want one waiting at v1", usage)
	}
	first.Release(Result{Running: -1})
	if s := <-waiting; s.Endpoint.Name != "e-v1" {
		t.Errorf("the stream got a slot at %s, want e-v1", s.Endpoint.Name)
	}
}

// TestSwitchKeepsBuild checks that a stalled stream is moved to a free endpoint of its build only.
func TestSwitchKeepsBuild(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	d.LimitRetries(retry.Limits{Share: 1, Reserve: 9, Window: time.Second})
	v := buildView("v1", "v2")
	d.Update(v, nil)
	req := SlotRequest{Deadline: clock.Now().Add(time.Minute), Origin: from("v1")}
	s, err := d.Acquire(context.Background(), "unit/s/m", req)
	if err != nil {
		t.Fatal(err)
	}
	if other, ok := d.Switch(context.Background(), s, req); ok {
		t.Fatalf("moved to %s, of another build", other.Endpoint.Name)
	}
	v = buildView("v1", "v2")
	v.Endpoints["unit/s/m"] = append(v.Endpoints["unit/s/m"], view.Endpoint{Name: "e-v1-2", Build: directory.BuildOf("v1"), Concurrency: 1})
	d.Update(v, nil)
	if other, ok := d.Switch(context.Background(), s, req); !ok || other.Endpoint.Name != "e-v1-2" {
		t.Errorf("moved: %t, want to e-v1-2", ok)
	}
}

// TestGoneBuildIsRefused checks that a stream whose build has no endpoint is refused at its arrival, and one that waits as
// soon as the last endpoint is gone; one whose build serves other models waits.
func TestGoneBuildIsRefused(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	d.Update(buildView("v2"), nil)
	req := SlotRequest{Deadline: clock.Now().Add(time.Minute), Origin: from("v1")}
	if diff := cmp.Diff(refusalSummary{Kind: refusal.BuildGone}, summaryOf(<-acquire(d, "unit/s/m", req))); diff != "" {
		t.Errorf("at arrival (-want +got):\n%s", diff)
	}
	v := buildView("v2")
	v.Builds[*from("v1")] = 1
	d.Update(v, nil)
	waiting := acquire(d, "unit/s/m", req)
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	d.Update(buildView("v2"), nil)
	if diff := cmp.Diff(refusalSummary{Kind: refusal.BuildGone}, summaryOf(<-waiting)); diff != "" {
		t.Errorf("while it waits (-want +got):\n%s", diff)
	}
}

// TestNoStreamAtNewBuild checks that a stream that may be taken up does not begin at a build that is not in the ledger yet,
// and other requests do.
func TestNoStreamAtNewBuild(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	v := buildView("v2")
	v.NewBuilds = map[origin.Origin]bool{*from("v2"): true}
	d.Update(v, nil)
	deadline := clock.Now().Add(time.Minute)
	stream := acquire(d, "unit/s/m", SlotRequest{Deadline: deadline, Service: "s", Resumable: true})
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	d.Update(buildView("v2"), nil)
	if err := <-stream; err != nil {
		t.Errorf("the stream was refused once the build was admitted: %v", err)
	}
	d = newDispatcher(clock)
	d.Update(v, nil)
	if err := <-acquire(d, "unit/s/m", SlotRequest{Deadline: deadline, Service: "s"}); err != nil {
		t.Errorf("a request that is no stream: %v", err)
	}
}

// TestPoolsOfBuildsAreDropped guards against pools that pile up: builds come and go, and each would leave one for each unit.
func TestPoolsOfBuildsAreDropped(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDispatcher(clock)
	for i := range 50 {
		b := fmt.Sprint("v", i)
		d.Update(buildView(b), nil)
		s, err := d.Acquire(context.Background(), "unit/s/m", SlotRequest{Deadline: clock.Now().Add(time.Minute), Origin: from(b)})
		if err != nil {
			t.Fatal(err)
		}
		d.Update(buildView(b), nil)
		s.Release(Result{Running: -1})
	}
	d.Update(buildView("v"), nil)
	if len(d.pools) != 1 {
		t.Errorf("%d pools are left, want that of the unit", len(d.pools))
	}
	if ep := d.endpointStates["e-v"]; ep == nil || len(ep.pools) != 1 {
		t.Errorf("endpoint state %v, want it in one pool", ep)
	}
}
