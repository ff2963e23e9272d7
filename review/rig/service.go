package rig

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is a request that a service ran, as it arrived.
type Run struct {
	ID, Method, Target, Host string
	Body                     [sha256.Size]byte
}

// Service is one server of a plain service. It runs each request that names it in Expect-Instance, or no server, for Work,
// Slots at once, and queues Queue more.
type Service struct {
	ID, Backend string
	Work        time.Duration
	site        *Site
	address     string
	server      *http.Server
	slots       chan struct{}
	places      chan struct{}

	mu   sync.Mutex
	runs []Run
}

// Slots and Queue are the places of a server of the site's plain service.
const (
	Slots = 6
	Queue = 24
)

// AddService starts a server, which writes its entry to the store every heartbeat.
func (s *Site) AddService(id, backend, zone string, number int, work time.Duration) (*Service, error) {
	l, err := net.Listen("tcp", Address(100+number)+":0")
	if err != nil {
		return nil, err
	}
	v := &Service{
		ID: id, Backend: backend, Work: work, site: s, address: l.Addr().String(),
		slots: make(chan struct{}, Slots), places: make(chan struct{}, Slots+Queue),
	}
	v.server = &http.Server{Handler: v, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = v.server.Serve(l) }()
	s.wg.Add(1)
	go v.beat(zone)
	return v, nil
}

// beat writes the server's entry every heartbeat until the end.
func (v *Service) beat(zone string) {
	defer v.site.wg.Done()
	for seq := 1; ; seq++ {
		raw, _ := json.Marshal(map[string]any{
			"backend": v.Backend, "address": v.address, "zone": zone, "config_version": 1, "slots": Slots, "state": "ready", "cold_remaining_ms": 0, "seq": seq,
		})
		v.site.Store.Put("keyed.servers", v.ID, raw)
		select {
		case <-v.site.stop:
			_ = v.server.Close()
			return
		case <-Clock.After(1200 * time.Millisecond):
		}
	}
}

// ServeHTTP implements http.Handler.
func (v *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != v.ID {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", v.ID)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case v.places <- struct{}{}:
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-v.places }()
	select {
	case v.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-v.slots }()
	v.mu.Lock()
	v.runs = append(v.runs, Run{id, r.Method, r.RequestURI, r.Host, sha256.Sum256(body)})
	v.mu.Unlock()
	Clock.Sleep(v.Work)
	w.Header().Set("Server-Stamp", "3e1b."+v.ID)
	fmt.Fprintf(w, "whole answer to %s\n", id)
}

// Runs returns what the server has run.
func (v *Service) Runs() []Run {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Run(nil), v.runs...)
}
