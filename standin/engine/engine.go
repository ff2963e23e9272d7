// Package engine is a small stand-in for a model engine.
//
// It loads and unloads units, streams deterministic tokens, resumes a stream
// from any token, refuses or ignores old fencing numbers by setting, reports
// its load on its answers, and notes every violation of its memory as a fault
// of whoever gave the orders. It speaks the protocol that io/engine documents.
package engine

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"olivetiller/standin/fault"
)

// Options describe an engine.
type Options struct {
	Instance    string
	Hall        string
	MemoryBytes uint64
	// ChecksFences refuses an order with a fence below the highest seen.
	ChecksFences bool
	// Concurrency is how many requests run at once; more are refused.
	Concurrency int
	// FirstToken and BetweenTokens are the engine's speed.
	FirstToken, BetweenTokens time.Duration
	// WeightStore is the address of the weight store; empty loads at once.
	WeightStore string
	// DiskSpeedup divides the load time of a checkpoint held on disk.
	DiskSpeedup float64
	Seed        uint64
}

// phase of a unit in the engine.
type phase int

const (
	loading phase = iota + 1
	loaded
	unloading
)

type unitKey struct{ Unit, Version string }

type resident struct {
	bytes   uint64
	base    string
	phase   phase
	running int
	// done is closed when the load or unload in progress ends.
	done chan struct{}
	err  error
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	Options
	Faults *fault.Injector

	mu          sync.Mutex
	incarnation uint64
	fence       uint64
	used        uint64
	running     int
	leaving     bool
	units       map[unitKey]*resident
	disk        map[unitKey]bool
	violations  []string
	loads       int
	busy        busyClock
	runs        map[string]int
	client      *http.Client
}

// New returns an engine with nothing loaded.
func New(o Options) *Engine {
	if o.DiskSpeedup == 0 {
		o.DiskSpeedup = 4
	}
	return &Engine{
		Options: o, Faults: fault.New(o.Seed), incarnation: uint64(time.Now().UnixNano()),
		units: make(map[unitKey]*resident), disk: make(map[unitKey]bool), runs: make(map[string]int),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
}

// Restart loses everything in memory, as a replaced process does.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = uint64(time.Now().UnixNano())
	e.units = make(map[unitKey]*resident)
	e.used, e.fence = 0, 0
}

// SetLeaving makes the engine say that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Violations returns what the engine was ordered to do against its limits.
func (e *Engine) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.violations...)
}

// Loads returns how many loads took effect.
func (e *Engine) Loads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loads
}

// Holds reports whether a version of a unit is loaded or loading.
func (e *Engine) Holds(unit, version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.units[unitKey{unit, version}] != nil
}

// Runs returns how often the request with a key ran.
func (e *Engine) Runs(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[key]
}

// Idle returns for how long weights were held while nothing ran.
func (e *Engine) Idle() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.busy.idle(time.Now(), e.used > 0, e.running > 0)
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/status", e.status)
	mux.HandleFunc("POST /engine/load", e.load)
	mux.HandleFunc("POST /engine/unload", e.unload)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	return e.Faults.Wrap(mux)
}

func (e *Engine) violate(format string, args ...any) {
	e.violations = append(e.violations, e.Instance+": "+fmt.Sprintf(format, args...))
}

// busyClock sums the time in which weights were held and nothing ran.
type busyClock struct {
	last time.Time
	sum  time.Duration
	was  bool
}

// idle brings the sum up to now and notes whether the engine idles from now on.
func (b *busyClock) idle(now time.Time, holds, runs bool) time.Duration {
	if b.was {
		b.sum += now.Sub(b.last)
	}
	b.last, b.was = now, holds && !runs
	return b.sum
}
