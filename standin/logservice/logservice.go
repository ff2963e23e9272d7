// Package logservice is an in-memory stand-in for the platform's append-only log. It implements the
// protocol that io/logservice documents. Besides the faults of [fault.Switches], it can limit the
// rate of appends and the number of records that it retains.
package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"olivetiller/standin/fault"
)

// maxRecord is the largest record that can be appended, in bytes.
const maxRecord = 1 << 20

// Record is a record of a stream with its offset.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the response to a read.
type Page struct {
	// Earliest is the offset of the oldest retained record; older ones were trimmed.
	Earliest uint64 `json:"earliest"`
	// Next is the offset that the next appended record will get.
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// Log is the stand-in. It is safe for concurrent use.
type Log struct {
	Faults *fault.Injector

	mu       sync.Mutex
	streams  map[string]*stream
	retain   int
	limiter  *rate.Limiter
	appended map[string]int
}

// stream holds the retained records of a stream; first is the offset of records[0]. changed is closed
// and replaced at every append.
type stream struct {
	first   uint64
	records [][]byte
	changed chan struct{}
}

// New returns an empty log that accepts perSecond appends per second and retains the newest retain
// records of each stream; 0 means no limit. seed determines the draws of its faults.
func New(seed uint64, perSecond float64, retain int) *Log {
	l := &Log{Faults: fault.New(seed), streams: make(map[string]*stream), retain: retain, appended: make(map[string]int)}
	if perSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
	}
	return l
}

// Handler returns the log's HTTP interface with its faults applied: POST and GET
// /streams/{stream}/records append to and read a stream. A read may wait for records (waitMs).
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.append)
	mux.HandleFunc("GET /streams/{stream}/records", l.read)
	return l.Faults.Wrap(mux)
}

// SetRetention changes how many records each stream retains, and trims the streams accordingly; 0
// means no limit.
func (l *Log) SetRetention(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retain = n
	for _, s := range l.streams {
		l.trim(s)
	}
}

// Appends returns how many records have been appended to a stream.
func (l *Log) Appends(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appended[name]
}

// Records returns the retained records of a stream.
func (l *Log) Records(name string) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.page(s.first, len(s.records)).Records
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	if l.limiter != nil {
		if err := l.limiter.Wait(r.Context()); err != nil {
			return
		}
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset := l.Append(r.PathValue("stream"), data)
	writeJSON(w, struct {
		Offset uint64 `json:"offset"`
	}{offset})
}

// Append appends a record to a stream and returns its offset. It bypasses the faults and the rate
// limit.
func (l *Log) Append(name string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, data)
	l.appended[name]++
	l.trim(s)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (l *Log) trim(s *stream) {
	if extra := len(s.records) - l.retain; l.retain > 0 && extra > 0 {
		s.records = append([][]byte(nil), s.records[extra:]...)
		s.first += uint64(extra)
	}
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from := queryUint(r, "from", 0)
	limit := int(queryUint(r, "max", 1000))
	wait := time.Duration(queryUint(r, "waitMs", 0)) * time.Millisecond
	timeout := time.After(min(wait, time.Minute))
	for {
		l.mu.Lock()
		s := l.stream(r.PathValue("stream"))
		page, changed := s.page(from, limit), s.changed
		l.mu.Unlock()
		if len(page.Records) > 0 || wait == 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *stream) page(from uint64, limit int) Page {
	p := Page{Earliest: s.first, Next: s.first + uint64(len(s.records))}
	for o := max(from, s.first); o < p.Next && len(p.Records) < limit; o++ {
		p.Records = append(p.Records, Record{Offset: o, Data: s.records[o-s.first]})
	}
	return p
}

func queryUint(r *http.Request, name string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
