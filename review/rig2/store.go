package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"olivetiller/platform/standin"
)

// store is the project's stand-in store behind a handler that can lose answers: a chosen append gets no answer, its
// connection says nothing further, and the append is carried out after a delay if its condition still holds.
type store struct {
	*standin.Store
	r      *run
	server *http.Server
	addr   string

	mu sync.Mutex
	// late returns for an append to the lease topic whether it is carried out late, and after which time.
	late func(holder string) (time.Duration, bool)
	// holder is the node whose record of the lease was written last, and holders are all nodes that have written one.
	holder  string
	holders map[string]bool
}

func (r *run) newStore() (*store, error) {
	l, err := net.Listen("tcp", loopback(251)+":0")
	if err != nil {
		return nil, err
	}
	s := &store{Store: standin.NewStore(), r: r, holders: make(map[string]bool), addr: l.Addr().String()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// leaseRecord is what the review reads of a record of the lease topic.
type leaseRecord struct {
	Holder  string `json:"holder"`
	Release bool   `json:"release"`
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/log-append" || q.URL.Query().Get("topic") != "lease" {
		s.Store.ServeHTTP(w, q)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	var rec leaseRecord
	if len(body) > 4 {
		_ = json.Unmarshal(body[4:], &rec)
	}
	what := "renewal or takeover"
	if rec.Release {
		what = "release"
	}
	at := q.URL.Query().Get("at")
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	if late != nil {
		if delay, ok := late(rec.Holder); ok {
			s.r.record.printf("store: %s of %s at %s gets no answer, to be carried out after %v", what, rec.Holder, at, delay)
			clock.AfterFunc(delay, func() {
				s.r.record.printf("store: late %s of %s at %s: %d", what, rec.Holder, at, s.carryOut(q.URL.String(), body).Code)
			})
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	answer := s.carryOut(q.URL.String(), body)
	s.r.record.printf("store: %s of %s at %s: %d", what, rec.Holder, at, answer.Code)
	if answer.Code == http.StatusOK && !rec.Release {
		s.mu.Lock()
		s.holder, s.holders[rec.Holder] = rec.Holder, true
		s.mu.Unlock()
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

func (s *store) carryOut(target string, body []byte) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	s.Store.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, target, bytes.NewReader(body)))
	return answer
}

func (s *store) setLate(late func(holder string) (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

func (s *store) currentHolder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder
}

// held reports whether a node has held the lease.
func (s *store) held(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders[node]
}
