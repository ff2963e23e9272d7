package traffic

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/queue"
	"olivetiller/core/refusal"
	"olivetiller/core/signal"
	"olivetiller/core/view"
)

// limitedPoolSetup is a dispatcher with one pool, whose endpoints have rate limits that the test exhausts and
// refills.
type limitedPoolSetup struct {
	*Dispatcher
	clock *clockwork.FakeClock
	// after is the time until a limit has capacity again, as Hooks.Charge returns it; 0 if it has capacity now.
	after time.Duration
	// charged counts the calls of Hooks.Charge by endpoint.
	charged map[string]int
}

const limitedPool = "unit/s/m"

func newLimitedPoolSetup(endpoints ...string) *limitedPoolSetup {
	s := &limitedPoolSetup{clock: clockwork.NewFakeClock(), charged: make(map[string]int)}
	s.Dispatcher = New(s.clock, "h", queue.Limits{Items: 10, Bytes: 1000}, Hooks{
		QueueStarted: func() {}, Draining: func(string) {},
		Charge: func(_ context.Context, e view.Endpoint, _ float64) time.Duration {
			s.charged[e.Name]++
			return s.after
		},
	})
	s.publish(endpoints...)
	return s
}

// publish installs a view with the given endpoints.
func (s *limitedPoolSetup) publish(endpoints ...string) {
	v := &view.View{Endpoints: make(map[string][]view.Endpoint)}
	for _, name := range endpoints {
		v.Endpoints[limitedPool] = append(v.Endpoints[limitedPool], limitedEndpoint(name))
	}
	s.Update(v, nil)
}

func limitedEndpoint(name string) view.Endpoint {
	return view.Endpoint{Name: name, Hall: "h", Start: 1, Incarnation: 1, Concurrency: 8}
}

// setLimit records an answer in which the endpoint reports a rate limit; 0 for none.
func (s *limitedPoolSetup) setLimit(endpoint string, limit float64) {
	s.clock.Advance(time.Millisecond)
	s.ObserveSignals(limitedEndpoint(endpoint), signal.Signals{Limit: limit, Ran: true}, s.clock.Now())
}

func (s *limitedPoolSetup) newRequest(within time.Duration) SlotRequest {
	return SlotRequest{Deadline: s.clock.Now().Add(within)}
}

// TestLimitedEndpointIsPassedOver checks that requests beyond an endpoint's rate limit go to another endpoint.
func TestLimitedEndpointIsPassedOver(t *testing.T) {
	s := newLimitedPoolSetup("i-1", "i-2")
	s.setLimit("i-1", 1)
	s.after = time.Second
	got := make(map[string]int)
	for range 6 {
		slot, err := s.Acquire(t.Context(), limitedPool, s.newRequest(4*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		got[slot.Endpoint.Name]++
		slot.Release(Result{Running: -1})
	}
	if diff := cmp.Diff(map[string]int{"i-2": 6}, got); diff != "" {
		t.Errorf("slots by endpoint (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]int{"i-1": 1}, s.charged); diff != "" {
		t.Errorf("charges by endpoint (-want +got):\n%s", diff)
	}
}

// TestLimitOutlivesViews checks that a rate limit stays in force when the endpoint disappears from a view and comes
// back.
func TestLimitOutlivesViews(t *testing.T) {
	s := newLimitedPoolSetup("i-1")
	s.setLimit("i-1", 1)
	s.publish()
	s.publish("i-1")
	if _, err := s.Acquire(t.Context(), limitedPool, s.newRequest(time.Second)); err != nil {
		t.Fatal(err)
	}
	if s.charged["i-1"] != 1 {
		t.Errorf("%d charges, want 1", s.charged["i-1"])
	}
}

// TestLimitedPoolRefusesLateRequests checks that a request is refused at once if the rate limit has capacity for it
// only after its caller gives up, and that other requests wait.
func TestLimitedPoolRefusesLateRequests(t *testing.T) {
	s := newLimitedPoolSetup("i-1")
	s.setLimit("i-1", 1)
	s.after = 2 * time.Second
	_, err := s.Acquire(t.Context(), limitedPool, s.newRequest(1500*time.Millisecond))
	if diff := cmp.Diff(refusalSummary{refusal.CannotMakeDeadline, 500 * time.Millisecond}, summaryOf(err)); diff != "" {
		t.Errorf("request whose limit has capacity after its deadline (-want +got):\n%s", diff)
	}
	urgent := s.newRequest(5 * time.Second)
	urgent.Objective = time.Second
	waiting := acquire(s.Dispatcher, limitedPool, urgent)
	if err := s.clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	// The other request has the earlier queue deadline, and each request takes 2 s of the limit.
	_, err = s.Acquire(t.Context(), limitedPool, s.newRequest(3*time.Second))
	if diff := cmp.Diff(refusalSummary{refusal.CannotMakeDeadline, time.Second}, summaryOf(err)); diff != "" {
		t.Errorf("request behind a more urgent one (-want +got):\n%s", diff)
	}
	s.after = 0
	s.clock.Advance(2 * time.Second)
	if err := <-waiting; err != nil {
		t.Errorf("first in the queue: %v", err)
	}
}

// TestLimitEndsTheWait checks that requests which wait for a limited endpoint are admitted once it reports no limit.
func TestLimitEndsTheWait(t *testing.T) {
	s := newLimitedPoolSetup("i-1")
	s.setLimit("i-1", 1)
	s.after = 2 * time.Second
	done := acquire(s.Dispatcher, limitedPool, s.newRequest(5*time.Second))
	if err := s.clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	s.setLimit("i-1", 0)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestLimitReportedBeforeSending checks that a request is not sent uncharged if its endpoint reported a limit between
// the grant of the slot and the sending.
func TestLimitReportedBeforeSending(t *testing.T) {
	s := newLimitedPoolSetup("i-1")
	slot, err := s.Acquire(t.Context(), limitedPool, s.newRequest(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.CheckSend(slot); err != nil {
		t.Errorf("before the limit: %v", err)
	}
	s.setLimit("i-1", 1)
	if err := s.CheckSend(slot); err == nil {
		t.Error("CheckSend allows an uncharged request to a limited endpoint")
	}
	slot.Release(Result{NotStarted: true, Running: -1})
	charged, err := s.Acquire(t.Context(), limitedPool, s.newRequest(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.CheckSend(charged); err != nil {
		t.Errorf("a charged request: %v", err)
	}
}

// TestDrainingEndpointStaysOut checks that a draining endpoint gets no requests, neither from a slot granted before
// nor after a view that lists it, until it has a new incarnation.
func TestDrainingEndpointStaysOut(t *testing.T) {
	s := newLimitedPoolSetup("i-1")
	slot, err := s.Acquire(t.Context(), limitedPool, s.newRequest(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	s.ObserveSignals(limitedEndpoint("i-1"), signal.Signals{Draining: true, Ran: true}, s.clock.Now())
	if err := s.CheckSend(slot); err == nil {
		t.Error("CheckSend allows a request that got its slot before")
	}
	slot.Release(Result{NotStarted: true, Running: -1})
	s.publish("i-1")
	forecast := &view.View{Endpoints: map[string][]view.Endpoint{limitedPool: {limitedEndpoint("i-1")}}, ReadyAt: map[string]time.Time{limitedPool: s.clock.Now().Add(time.Minute)}}
	s.Update(forecast, nil)
	if _, err := s.Acquire(t.Context(), limitedPool, s.newRequest(time.Second)); err == nil {
		t.Error("a view that lists the draining endpoint admits requests to it")
	}
	next := limitedEndpoint("i-1")
	next.Start, next.Incarnation = 2, 2
	s.Update(&view.View{Endpoints: map[string][]view.Endpoint{limitedPool: {next}}}, nil)
	if _, err := s.Acquire(t.Context(), limitedPool, s.newRequest(time.Second)); err != nil {
		t.Errorf("next incarnation: %v", err)
	}
}

// TestBackoffIsKept checks that an endpoint which refused a request and asked for a backoff gets no requests during
// it, that neither a shorter backoff nor a view ends it, and that requests which cannot wait that long are refused at
// once.
func TestBackoffIsKept(t *testing.T) {
	s := newLimitedPoolSetup("i-1")
	refuse := func(backoff time.Duration) {
		s.ObserveSignals(limitedEndpoint("i-1"), signal.Signals{Backoff: backoff}, s.clock.Now())
	}
	slot, err := s.Acquire(t.Context(), limitedPool, s.newRequest(9*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	refuse(3 * time.Second)
	if err := s.CheckSend(slot); err == nil {
		t.Error("CheckSend allows a request that got its slot before")
	}
	slot.Release(Result{Full: true, NotStarted: true, Running: -1})
	s.clock.Advance(time.Second)
	refuse(time.Second)
	s.publish("i-1")
	_, err = s.Acquire(t.Context(), limitedPool, s.newRequest(1900*time.Millisecond))
	if got := summaryOf(err).Kind; got != refusal.CannotMakeDeadline {
		t.Errorf("request that cannot wait for the end of the backoff: %v", err)
	}
	waiting := acquire(s.Dispatcher, limitedPool, s.newRequest(5*time.Second))
	if err := s.clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	s.clock.Advance(1900 * time.Millisecond)
	select {
	case err := <-waiting:
		t.Errorf("the wait ended during the backoff: %v", err)
	default:
	}
	s.clock.Advance(100 * time.Millisecond)
	if err := <-waiting; err != nil {
		t.Errorf("after the backoff: %v", err)
	}
}

// TestBackoffSendsElsewhere checks that another endpoint gets the requests during a backoff.
func TestBackoffSendsElsewhere(t *testing.T) {
	s := newLimitedPoolSetup("i-1", "i-2")
	s.ObserveSignals(limitedEndpoint("i-1"), signal.Signals{Backoff: time.Second}, s.clock.Now())
	got := make(map[string]int)
	for range 4 {
		slot, err := s.Acquire(t.Context(), limitedPool, s.newRequest(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		got[slot.Endpoint.Name]++
	}
	if diff := cmp.Diff(map[string]int{"i-2": 4}, got); diff != "" {
		t.Errorf("slots by endpoint (-want +got):\n%s", diff)
	}
}

// TestEvacuatedBeforeFirstByte guards against sending a request to an evacuated data hall because its slot was
// granted before the evacuation.
func TestEvacuatedBeforeFirstByte(t *testing.T) {
	s := newLimitedPoolSetup("i-1")
	slot, err := s.Acquire(t.Context(), limitedPool, SlotRequest{Deadline: s.clock.Now().Add(time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.CheckSend(slot); err != nil {
		t.Errorf("before the evacuation: %v", err)
	}
	s.Evacuate([]string{"h"})
	var withheld *WithheldError
	if err := s.CheckSend(slot); !errors.As(err, &withheld) || withheld.By != "evacuated" {
		t.Errorf("during the evacuation: %v", err)
	}
	slot.Release(Result{NotStarted: true, Running: -1})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := s.Acquire(ctx, limitedPool, SlotRequest{Deadline: s.clock.Now().Add(time.Second)}); err == nil {
		t.Error("a request got a slot in an evacuated data hall")
	}
	s.Evacuate(nil)
	if _, err := s.Acquire(t.Context(), limitedPool, SlotRequest{Deadline: s.clock.Now().Add(time.Second)}); err != nil {
		t.Errorf("after the evacuation: %v", err)
	}
}

// TestColdEndpointIsCharged guards against requests to a cold endpoint that are not charged to its rate over all
// nodes.
func TestColdEndpointIsCharged(t *testing.T) {
	s := newLimitedPoolSetup()
	cold := limitedEndpoint("i-1")
	cold.ColdUntil, cold.ColdRate = s.clock.Now().Add(time.Second), 8
	s.Update(&view.View{Endpoints: map[string][]view.Endpoint{limitedPool: {cold}}}, nil)
	ask := SlotRequest{Deadline: s.clock.Now().Add(time.Minute)}
	for range 3 {
		slot, err := s.Acquire(t.Context(), limitedPool, ask)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.CheckSend(slot); err != nil {
			t.Error(err)
		}
		slot.Release(Result{Running: -1})
	}
	if diff := cmp.Diff(map[string]int{"i-1": 3}, s.charged); diff != "" {
		t.Errorf("charged while cold (-want +got):\n%s", diff)
	}
	s.clock.Advance(time.Second)
	s.publish("i-1")
	if _, err := s.Acquire(t.Context(), limitedPool, ask); err != nil || s.charged["i-1"] != 3 {
		t.Errorf("charged %d times, error %v after the endpoint was no longer cold", s.charged["i-1"], err)
	}
}
