package region

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestOf checks the allowed regions of a route and a customer, and that SplitPool restores them from a pool's name.
func TestOf(t *testing.T) {
	tests := []struct {
		name            string
		route, customer []string
		pool            string
		conflict        bool
	}{
		{"none", nil, nil, "unit/s/m", false},
		{"the route's", []string{"b", "a"}, nil, "unit/s/m@a+b", false},
		{"the customer's", nil, []string{"a", "a"}, "unit/s/m@a", false},
		{"both", []string{"a", "b"}, []string{"c", "b"}, "unit/s/m@b", false},
		{"contradicting", []string{"a"}, []string{"b"}, "unit/s/m", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := Of(tt.route, tt.customer)
			if (err != nil) != tt.conflict {
				t.Errorf("Of returned the error %v", err)
			}
			if got := s.Pool("unit/s/m"); got != tt.pool {
				t.Errorf("pool %q, want %q", got, tt.pool)
			}
			pool, restored := SplitPool(s.Pool("unit/s/m"))
			if diff := cmp.Diff([]any{"unit/s/m", s.names}, []any{pool, restored.names}); diff != "" {
				t.Errorf("SplitPool (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnknownRegion guards against sending a restricted request to an endpoint whose region is unknown.
func TestUnknownRegion(t *testing.T) {
	restricted, err := Of([]string{"a"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if restricted.Allows("") || !restricted.Allows("a") || restricted.Allows("b") || !(Set{}).Allows("") {
		t.Error("an unknown or other region is allowed, or the one that is named is not")
	}
}
