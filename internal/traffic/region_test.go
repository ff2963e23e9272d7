package traffic

import (
	"errors"
	"testing"
	"time"

	"olivetiller/core/refusal"
	"olivetiller/core/view"
)

// TestRequestStaysInItsRegions guards against sending a request to an endpoint in a region that may not serve it, and
// against letting it wait until its deadline if no endpoint is in an allowed region.
func TestRequestStaysInItsRegions(t *testing.T) {
	s := newLimitedPoolSetup()
	s.SetRegions(map[string]string{"h-1": "a", "h-2": "b"})
	show := func(halls ...string) {
		v := &view.View{Endpoints: make(map[string][]view.Endpoint)}
		for _, hall := range halls {
			ep := limitedEndpoint("i-" + hall)
			ep.Hall = hall
			v.Endpoints[limitedPool] = append(v.Endpoints[limitedPool], ep)
		}
		s.Update(v, []string{limitedPool})
	}
	ask := func(pool string) (string, error) {
		slot, err := s.Acquire(t.Context(), pool, SlotRequest{Deadline: s.clock.Now().Add(time.Minute)})
		if err != nil {
			return "", err
		}
		defer slot.Release(Result{Running: -1})
		return slot.Endpoint.Hall, nil
	}
	show("h-1", "h-2", "h-3")
	for range 20 {
		if hall, err := ask(limitedPool + "@b"); hall != "h-2" {
			t.Errorf("sent to hall %q, error %v", hall, err)
		}
	}
	show("h-1", "h-3")
	var refused *refusal.Error
	if hall, err := ask(limitedPool + "@b"); !errors.As(err, &refused) || refused.Kind != refusal.NoEndpoint || !refused.NotRun() {
		t.Errorf("sent to hall %q, error %v, want a refusal that it has not run", hall, err)
	}
	if hall, err := ask(limitedPool + "@a+b"); hall != "h-1" {
		t.Errorf("sent to hall %q, error %v", hall, err)
	}
}
