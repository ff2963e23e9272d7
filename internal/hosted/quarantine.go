package hosted

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"olivetiller/core/quarantine"
)

// Paths of what operators ask of requests under which engines ended, at the metrics address.
const (
	PathQuarantine = "/quarantine"
	pathRelease    = PathQuarantine + "/{request}"
)

// Suspect is one request under which engines ended, as operators see it.
type Suspect struct {
	// Request is its fingerprint.
	Request quarantine.Fingerprint `json:"request"`
	State   string                 `json:"state"`
	// Belief is the chance that engines end under it, from 0 to 1.
	Belief float64 `json:"belief"`
	// Ends counts the ends that it is blamed for, Unexplained those that no other one explains.
	Ends        int `json:"ends"`
	Unexplained int `json:"unexplained"`
	// Trials counts the runs that were tried since the verdict.
	Trials int `json:"trials"`
	// SinceMs is for how long it has been in this state.
	SinceMs int64 `json:"sinceMs"`
}

// handleQuarantine adds what operators ask.
func (n *Node) handleQuarantine(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathQuarantine, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the reader is gone.
		_ = json.NewEncoder(w).Encode(n.suspects())
	})
	mux.HandleFunc("DELETE "+pathRelease, func(w http.ResponseWriter, r *http.Request) {
		f, found := n.findSuspect(r.PathValue("request"))
		switch {
		case !found:
			http.Error(w, "no request, or several, have a fingerprint that begins so; list them, and give more of it", http.StatusNotFound)
		case !n.isolation.Release(f):
			http.Error(w, "nothing speaks against the request any more", http.StatusConflict)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
}

// suspects returns all requests of which something is thought, those under which engines most likely end
// first.
func (n *Node) suspects() []Suspect {
	now := n.clock.Now()
	out := []Suspect{}
	for _, s := range n.isolation.List() {
		out = append(out, Suspect{
			Request: s.Request, State: s.State.String(), Belief: s.Belief, Ends: s.Ends, Unexplained: s.Unexplained, Trials: s.Trials,
			SinceMs: max(0, now.Sub(s.Since)).Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		switch {
		case a.Belief > b.Belief:
			return -1
		case a.Belief < b.Belief:
			return 1
		}
		return slices.Compare(a.Request[:], b.Request[:])
	})
	return out
}

// findSuspect returns the one request whose fingerprint begins with some text.
func (n *Node) findSuspect(begin string) (f quarantine.Fingerprint, found bool) {
	for _, s := range n.isolation.List() {
		text, err := s.Request.MarshalText()
		if err != nil || begin == "" || !strings.HasPrefix(string(text), begin) {
			continue
		}
		if found {
			return f, false
		}
		f, found = s.Request, true
	}
	return f, found
}

// Quarantined returns how many requests are kept from engines.
func (n *Node) Quarantined() int {
	count := 0
	for _, s := range n.isolation.List() {
		if s.State == quarantine.Quarantined {
			count++
		}
	}
	return count
}
