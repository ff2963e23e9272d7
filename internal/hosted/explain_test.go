package hosted

import (
	"net/http"
	"testing"
)

// TestRequestHead checks which descriptions of requests are accepted.
func TestRequestHead(t *testing.T) {
	tests := []struct {
		name string
		head RequestHead
		ok   bool
	}{
		{"a request", RequestHead{Method: "POST", Host: "a.example", Path: "/x/y?z=1", Header: http.Header{"Model": {"m"}}}, true},
		{"no headers", RequestHead{Method: "GET", Host: "a.example", Path: "/"}, true},
		{"no host", RequestHead{Method: "GET", Path: "/"}, false},
		{"no path", RequestHead{Method: "GET", Host: "a.example"}, false},
		{"a URL for a path", RequestHead{Method: "GET", Host: "a.example", Path: "http://b.example/"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := tt.head.request()
			if (err == nil) != tt.ok {
				t.Fatalf("error %v, want one: %v", err, !tt.ok)
			}
			if err == nil && (r.Host != tt.head.Host || r.RequestURI != tt.head.Path || r.Header == nil) {
				t.Errorf("request for host %q and path %q with headers %v", r.Host, r.RequestURI, r.Header)
			}
		})
	}
}
