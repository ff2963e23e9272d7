package caller

import "testing"

// TestServiceTarget guards against paths of plain services that are decoded, cleaned or redirected on their way to an endpoint.
func TestServiceTarget(t *testing.T) {
	tests := []struct {
		target, name, rest string
		ok                 bool
	}{
		{"/services/n/a/b?c=d", "n", "/a/b?c=d", true},
		{"/services/n/", "n", "/", true},
		{"/services/n//a", "n", "//a", true},
		{"/services/n/a%2Fb%20c/../d", "n", "/a%2Fb%20c/../d", true},
		{"/services/n/a?", "n", "/a?", true},
		{"/services/a%2Fb/x", "a/b", "/x", true},
		{"/services/n?x=/", "", "", false},
		{"/services/n", "", "", false},
		{"/services/%zz/x", "", "", false},
		{"/v1/models", "", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.target, func(t *testing.T) {
			name, rest, ok := serviceTarget(tt.target)
			if name != tt.name || rest != tt.rest || ok != tt.ok {
				t.Errorf("got %q, %q, %t, want %q, %q, %t", name, rest, ok, tt.name, tt.rest, tt.ok)
			}
		})
	}
}
