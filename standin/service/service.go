// Package service is a small stand-in for a plain service beside the engines.
// It keeps a record of every call that ran, by request key, so that a test can
// check "at most once" and "not run" against the service's own word.
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
	// Work is how long a call takes.
	Work time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// New returns a service whose calls take work.
func New(seed uint64, work time.Duration) *Service {
	return &Service{Faults: fault.New(seed), Work: work, runs: make(map[string]int)}
}

// Runs returns how often the call with a key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// MaxRuns returns the keys seen and the most runs of any of them.
func (s *Service) MaxRuns() (keys, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.runs {
		most = max(most, n)
	}
	return len(s.runs), most
}

// Answer is the body that a call with a key and body gets.
func Answer(key string, body []byte) string {
	return fmt.Sprintf(`{"key":%q,"sum":"%016x"}`, key, xxhash.Sum64(append([]byte(key), body...)))
}

// Handler returns the service's HTTP interface.
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
