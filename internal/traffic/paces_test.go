package traffic

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/pace"
	"olivetiller/core/quarantine"
	"olivetiller/core/view"
)

// lanePool is the pool of a model with a fast and two other endpoints.
const lanePool = "unit/s/m"

func laneDispatcher(clock clockwork.Clock) *Dispatcher {
	d := newDispatcher(clock)
	eps := []view.Endpoint{{Name: "e1", Concurrency: 64}, {Name: "e2", Concurrency: 64}, {Name: "e3", Concurrency: 64}}
	d.Update(&view.View{Ready: true, Endpoints: map[string][]view.Endpoint{lanePool: eps}}, nil)
	d.SetUneven(uneven(false))
	return d
}

// uneven returns what is published, with or without lanes.
func uneven(lanes bool) Uneven {
	return Uneven{Paces: map[string]float64{"e2": 0.45, "e3": 1.2}, Lanes: map[string]bool{lanePool: lanes}}
}

// send sends n requests with prompts of a length, one after the other, and counts them by endpoint.
func send(t *testing.T, d *Dispatcher, clock clockwork.Clock, n, prompt int) map[string]int {
	t.Helper()
	got := make(map[string]int)
	for i := range n {
		req := SlotRequest{Service: "s", Deadline: clock.Now().Add(time.Minute), Prompt: prompt, RequestFingerprint: quarantine.Fingerprint{byte(i), byte(i >> 8)}, Affinity: uint64(i + 1)}
		s, err := d.Acquire(context.Background(), lanePool, req)
		if err != nil {
			t.Fatal(err)
		}
		got[s.Endpoint.Name]++
		s.PromptRead()
		s.Release(Result{Running: -1})
	}
	return got
}

// TestStreamsGoToFastEndpoint checks that streams with short prompts are kept apart from long ones where the lease holder says
// so, and spread evenly where it doesn't.
func TestStreamsGoToFastEndpoint(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := laneDispatcher(clock)
	even := send(t, d, clock, 60, 800)
	if even["e1"] < 15 || even["e2"] < 15 || even["e3"] < 15 {
		t.Errorf("without lanes the endpoints get %v of 60 requests, want about 20 each", even)
	}
	d.SetUneven(uneven(true))
	if long := send(t, d, clock, 60, 9000); long["e1"] < 10 || long["e3"] < 10 {
		t.Errorf("the endpoints get %v of 60 long prompts, want a part at each", long)
	}
	if apart := send(t, d, clock, 60, 800); apart["e2"] < 55 {
		t.Errorf("beside long prompts the endpoints get %v of 60 streams, want 55 or more at the fast one", apart)
	}
	if n := d.Totals(); n.AtHome != 120 || n.AwayFromHome != 0 {
		t.Errorf("%d requests counted at home and %d away, want 120 and 0", n.AtHome, n.AwayFromHome)
	}
}

// TestNoHome checks the requests that lanes leave to the other rules, whatever length of prompt they state.
func TestNoHome(t *testing.T) {
	tests := []struct {
		name string
		req  SlotRequest
		// busy is a suspected request that runs at the fast endpoint before.
		busy bool
	}{
		{"the home has failed the request before", SlotRequest{Avoid: []string{"e2"}, Prompt: 800}, false},
		{"the same with a prompt beyond all bounds", SlotRequest{Avoid: []string{"e1", "e2"}, Prompt: 2_000_000_000}, false},
		{"another request there may crash engines", SlotRequest{Prompt: 800}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			d := laneDispatcher(clock)
			d.SetUneven(uneven(true))
			if tt.busy {
				d.pool(poolKey{name: lanePool})
				for _, e := range []string{"e1", "e3"} {
					d.endpointStates[e].backoffUntil = clock.Now().Add(time.Second)
				}
				if _, err := d.Acquire(context.Background(), lanePool, SlotRequest{State: quarantine.Suspected, Deadline: clock.Now().Add(time.Minute)}); err != nil {
					t.Fatal(err)
				}
				clock.Advance(time.Second)
			}
			tt.req.Deadline = clock.Now().Add(time.Minute)
			s, err := d.Acquire(context.Background(), lanePool, tt.req)
			if err != nil {
				t.Fatal(err)
			}
			if s.Endpoint.Name == "e2" {
				t.Errorf("the request went to %s", s.Endpoint.Name)
			}
		})
	}
}

// TestSuspectsAreSpread checks that lanes do not gather requests that may crash engines at one endpoint.
func TestSuspectsAreSpread(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := laneDispatcher(clock)
	d.SetUneven(uneven(true))
	got := make(map[string]int)
	for i := range 30 {
		s, err := d.Acquire(context.Background(), lanePool, SlotRequest{State: quarantine.Suspected, Deadline: clock.Now().Add(time.Minute), Prompt: 800, RequestFingerprint: quarantine.Fingerprint{byte(i)}})
		if err != nil {
			t.Fatal(err)
		}
		got[s.Endpoint.Name]++
		s.Release(Result{Running: -1})
	}
	if got["e1"] < 5 || got["e2"] < 5 || got["e3"] < 5 {
		t.Errorf("the endpoints get %v of 30 suspects, want a part at each", got)
	}
}

// TestGapsAndLateAnswersAreReported checks what the lease holder hears of an endpoint's answers.
func TestGapsAndLateAnswersAreReported(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := laneDispatcher(clock)
	late := func() int {
		n := 0
		for _, u := range d.Usage() {
			n += u.Late
		}
		return n
	}
	var g pace.Gaps
	for range 8 {
		g.Add(30 * time.Millisecond)
	}
	s, err := d.Acquire(context.Background(), lanePool, SlotRequest{Service: "s", Deadline: clock.Now().Add(time.Minute), Prompt: 800})
	if err != nil {
		t.Fatal(err)
	}
	s.ObserveGaps(&g)
	s.ObserveGaps(new(pace.Gaps))
	s.ObserveLate()
	want := []pace.Sample{{Endpoint: s.Endpoint.Name, Model: lanePool, Gap: 30 * time.Millisecond}}
	if diff := cmp.Diff(want, d.TakeGaps()); diff != "" {
		t.Errorf("samples (-want +got):\n%s", diff)
	}
	if again, n := d.TakeGaps(), late(); again != nil || n != 0 {
		t.Errorf("samples %v are left, and %d late answers count without lanes", again, n)
	}
	d.SetUneven(uneven(true))
	s.ObserveLate()
	if n := late(); n != 1 {
		t.Errorf("%d late answers with lanes, want 1", n)
	}
	for i := range 2 * maxUnreportedGaps {
		s.pool.basePool = fmt.Sprint("unit/s/m", i)
		s.ObserveGaps(&g)
	}
	if n := len(d.TakeGaps()); n != maxUnreportedGaps {
		t.Errorf("%d samples are kept, want %d", n, maxUnreportedGaps)
	}
}

// TestReadingIsReported checks that long prompts count as work of their endpoint until they are read.
func TestReadingIsReported(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := laneDispatcher(clock)
	reading := func() int {
		n := 0
		for _, u := range d.Usage() {
			for _, tokens := range u.ReadingAt {
				n += tokens
			}
		}
		return n
	}
	var slots []*Slot
	for _, prompt := range []int{9000, 5000, 800} {
		s, err := d.Acquire(context.Background(), lanePool, SlotRequest{Service: "s", Deadline: clock.Now().Add(time.Minute), Prompt: prompt})
		if err != nil {
			t.Fatal(err)
		}
		slots = append(slots, s)
	}
	got := []int{reading()}
	slots[0].PromptRead()
	got = append(got, reading())
	slots[1].Release(Result{Running: -1})
	got = append(got, reading())
	if diff := cmp.Diff([]int{14000, 5000, 0}, got); diff != "" {
		t.Errorf("tokens being read (-want +got):\n%s", diff)
	}
}
