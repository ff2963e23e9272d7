package caller

import (
	"net/http"

	"olivetiller/core/refusal"
	"olivetiller/internal/traffic"
)

// Explanation tells what would become of a request.
type Explanation struct {
	// Route, Service and Customer are what the request was resolved to, by the configuration of a version.
	Route    string `json:"route,omitempty"`
	Service  string `json:"service,omitempty"`
	Customer string `json:"customer,omitempty"`
	Version  int64  `json:"version,omitempty"`
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int `json:"priority"`
	// Quarantine is the state of the request if it is suspected of crashing engines.
	Quarantine string `json:"quarantine,omitempty"`
	traffic.Explanation
}

// Explain tells what would become of a request if it came now. Nothing is sent, and nothing is charged to its customer. It
// needs Server.Protocol.
func (s *Server) Explain(r *http.Request) Explanation {
	x := &Exchange{W: &discardWriter{header: make(http.Header)}, R: r, ID: requestID(), Start: s.Clock.Now(), View: s.View()}
	var out Explanation
	err := s.protocol().Accept(x)
	out.Route, out.Service, out.Version, out.Priority, out.Customer = x.Target.Route, x.Target.Service, x.Target.Version, x.Target.Priority, x.customerName()
	if err == nil {
		x.setFingerprint()
		err = s.Isolation.Blocked(x.subjects...)
	}
	if err != nil {
		refused := refusal.As(err)
		out.Refused, out.Detail = string(refused.Kind), refused.Error()
		return out
	}
	req := newSlotRequest(x)
	s.update(x, &req)
	out.Quarantine = s.Isolation.State(x.subjects...).String()
	out.Explanation = s.Dispatcher.Explain(x.Target.Pool, req)
	return out
}

// discardWriter is the response writer of a request that is only explained.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(int) {}
