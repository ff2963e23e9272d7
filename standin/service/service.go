// Package service is a stand-in for a plain service, one that needs no engine. It counts the runs
// of every request by key, so that a test can check from the service's own record that a request
// ran at most once or not at all. The bench, the demo and tests start it, mostly through package
// standin/site.
package service

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/standin/fault"
)

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	Faults *fault.Injector
	// Work is how long a request takes.
	Work time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// New returns a service whose requests take work. seed determines the draws of its faults.
func New(seed uint64, work time.Duration) *Service {
	return &Service{Faults: fault.New(seed), Work: work, runs: make(map[string]int)}
}

// Runs returns how often the request with a key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// MaxRuns returns the number of keys seen, and the largest number of runs of any of them.
func (s *Service) MaxRuns() (keys, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.runs {
		most = max(most, n)
	}
	return len(s.runs), most
}

// Answer returns the body of the response to a request with a key and a body, so that clients can
// check it.
func Answer(key string, body []byte) string {
	return fmt.Sprintf(`{"key":%q,"sum":"%016x"}`, key, xxhash.Sum64(append([]byte(key), body...)))
}

// Handler returns the service's HTTP interface with its faults applied. Every path accepts
// requests; the key is the header Olivetiller-Request-Key.
func (s *Service) Handler() http.Handler {
	return s.Faults.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		key := r.Header.Get("Olivetiller-Request-Key")
		s.mu.Lock()
		s.runs[key]++
		s.mu.Unlock()
		time.Sleep(s.Work)
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, Answer(key, body))
	}))
}
