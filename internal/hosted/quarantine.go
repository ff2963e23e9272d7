package hosted

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"olivetiller/core/quarantine"
)

// HTTP paths at the metrics address for operators' requests about quarantine.
const (
	PathQuarantine = "/quarantine"
	pathRelease    = PathQuarantine + "/{request}"
)

// Suspect is a request suspected of crashing engines, as shown to operators.
type Suspect struct {
	// Request is the fingerprint of the request.
	Request quarantine.Fingerprint `json:"request"`
	State   string                 `json:"state"`
	// Belief is the probability that the request crashes engines, from 0 to 1.
	Belief float64 `json:"belief"`
	// Ends is the number of crashes that the request is suspected of; Unexplained is the number of those that no
	// other request explains.
	Ends        int `json:"ends"`
	Unexplained int `json:"unexplained"`
	// Trials is the number of trial runs since the verdict.
	Trials int `json:"trials"`
	// SinceMs is the time that the request has been in its state, in milliseconds.
	SinceMs int64 `json:"sinceMs"`
}

// handleQuarantine registers the handlers that list and release suspects.
func (n *Node) handleQuarantine(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathQuarantine, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the reader has disconnected.
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

// suspects returns all requests with evidence against them, by decreasing probability of crashing engines.
func (n *Node) suspects() []Suspect {
	now := n.clock.Now()
	out := []Suspect{}
	for _, s := range n.isolation.List() {
		out = append(out, Suspect{
			Request: s.Request, State: s.State.String(), Belief: s.Probability, Ends: s.Crashes, Unexplained: s.Unexplained, Trials: s.Trials,
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

// findSuspect returns the only request whose fingerprint starts with a prefix. It finds none for an empty or ambiguous
// prefix.
func (n *Node) findSuspect(prefix string) (f quarantine.Fingerprint, found bool) {
	for _, s := range n.isolation.List() {
		text, err := s.Request.MarshalText()
		if err != nil || prefix == "" || !strings.HasPrefix(string(text), prefix) {
			continue
		}
		if found {
			return f, false
		}
		f, found = s.Request, true
	}
	return f, found
}

// Quarantined returns the number of quarantined requests.
func (n *Node) Quarantined() int {
	count := 0
	for _, s := range n.isolation.List() {
		if s.State == quarantine.Quarantined {
			count++
		}
	}
	return count
}
