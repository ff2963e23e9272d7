// Package instancelist is a stand-in for the platform's list of live and draining instances. As in
// the real list, changes become visible only after a delay.
package instancelist

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"olivetiller/standin/fault"
)

// Kinds of instances: nodes of this system, engines, and instances of plain services.
const (
	KindNode    = "node"
	KindEngine  = "engine"
	KindService = "service"
)

// States of an instance. An instance in state Draining finishes its requests and takes no new ones.
const (
	Live     = "live"
	Draining = "leaving"
)

// Instance is an entry of the list, in the form of the HTTP interface.
type Instance struct {
	ID   string `json:"id"`
	Kind string `json:"kind"`
	// Service is the name of the plain service; set only for KindService.
	Service string `json:"service,omitempty"`
	Address string `json:"address"`
	Hall    string `json:"hall"`
	State   string `json:"state"`
}

// List is the stand-in. It is safe for concurrent use.
type List struct {
	Faults *fault.Injector

	mu  sync.Mutex
	lag time.Duration
	// versions holds the list after each change, oldest first. The newest one that is at least lag
	// old is visible.
	versions []version
}

// version is the list as it stands after a change at the time at.
type version struct {
	at        time.Time
	instances map[string]Instance
}

// New returns an empty list that shows each change after lag. seed determines the draws of its
// faults.
func New(seed uint64, lag time.Duration) *List {
	return &List{Faults: fault.New(seed), lag: lag, versions: []version{{instances: map[string]Instance{}}}}
}

// Put adds or replaces an instance.
func (l *List) Put(in Instance) {
	l.change(func(m map[string]Instance) { m[in.ID] = in })
}

// Remove removes an instance.
func (l *List) Remove(id string) {
	l.change(func(m map[string]Instance) { delete(m, id) })
}

// SetState sets the state of an instance; an unknown ID is ignored.
func (l *List) SetState(id, state string) {
	l.change(func(m map[string]Instance) {
		if in, ok := m[id]; ok {
			in.State = state
			m[id] = in
		}
	})
}

func (l *List) change(edit func(map[string]Instance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]Instance)
	for id, in := range l.versions[len(l.versions)-1].instances {
		next[id] = in
	}
	edit(next)
	l.versions = append(l.versions, version{at: time.Now(), instances: next})
	l.prune()
}

// prune drops the versions that a newer visible version has replaced. The caller holds l.mu.
func (l *List) prune() {
	cut := time.Now().Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(cut) {
		l.versions = l.versions[1:]
	}
}

// Visible returns the instances as the list shows them now, sorted by ID.
func (l *List) Visible() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune()
	out := make([]Instance, 0, len(l.versions[0].instances))
	for _, in := range l.versions[0].instances {
		out = append(out, in)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Handler returns the list's HTTP interface with its faults applied: GET /instances, and PUT
// /instances/{id}/state with the new state as JSON.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(struct {
			Instances []Instance `json:"instances"`
		}{l.Visible()})
	})
	mux.HandleFunc("PUT /instances/{id}/state", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			State string `json:"state"`
		}
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1024)).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.SetState(r.PathValue("id"), body.State)
		w.WriteHeader(http.StatusNoContent)
	})
	return l.Faults.Wrap(mux)
}
