// Package engine is a stand-in for a model engine. It implements the protocol that io/engine
// documents: it loads and unloads units (models and adapters), streams tokens that depend only on
// model, prompt and position, and resumes a stream from any token. It checks or ignores fencing
// numbers, as configured, sends its number of running requests with its responses, and records
// every load order that exceeds its memory or lacks an adapter's base model as a violation by the
// sender.
package engine

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"olivetiller/standin/fault"
)

// Options configure an engine.
type Options struct {
	Instance    string
	Hall        string
	MemoryBytes uint64
	// ChecksFences makes the engine refuse an order whose fencing number is below the highest one
	// seen.
	ChecksFences bool
	// Concurrency is how many requests can run at once; further ones are refused.
	Concurrency int
	// FirstToken is the time to the first token, and BetweenTokens the time between two tokens.
	FirstToken, BetweenTokens time.Duration
	// WeightStore is the host:port of the weight store; without one, loads take no time.
	WeightStore string
	// DiskSpeedup divides the time of a load from disk, which is that of a transfer at 1 GiB/s; 0
	// means 4. A checkpoint that was loaded once is on disk.
	DiskSpeedup float64
	Seed        uint64
}

// phase is the state of a unit that occupies memory of the engine.
type phase int

const (
	loading phase = iota + 1
	loaded
	unloading
)

// unitKey identifies a version of a model or adapter.
type unitKey struct{ Unit, Version string }

// resident is a unit that occupies memory of the engine. base is the base model of an adapter, and
// running the number of requests that use the unit.
type resident struct {
	bytes   uint64
	base    string
	phase   phase
	running int
	// done is closed when the load ends; err is then its error.
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
	draining    bool
	units       map[unitKey]*resident
	disk        map[unitKey]bool
	violations  []string
	loads       int
	idleTime    idleClock
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

// Restart begins a new incarnation with nothing loaded, as when the process is replaced. Streams in
// progress are aborted; checkpoints on disk remain.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = uint64(time.Now().UnixNano())
	e.units = make(map[unitKey]*resident)
	e.used, e.fence = 0, 0
}

// SetDraining sets whether the engine announces in its status and responses that it drains.
func (e *Engine) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// Violations returns a message for each order that the engine refused because it exceeded its
// memory or lacked the adapter's base model.
func (e *Engine) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.violations...)
}

// Loads returns how many loads have completed.
func (e *Engine) Loads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loads
}

// Holds reports whether a version of a unit occupies memory: it is loading, loaded or unloading.
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

// Idle returns the total time in which units were in memory and no request ran.
func (e *Engine) Idle() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.idleTime.update(time.Now(), e.used > 0, e.running > 0)
}

// Handler returns the engine's HTTP interface with its faults applied.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/status", e.status)
	mux.HandleFunc("POST /engine/load", e.load)
	mux.HandleFunc("POST /engine/unload", e.unload)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	return e.Faults.Wrap(mux)
}

func (e *Engine) addViolation(format string, args ...any) {
	e.violations = append(e.violations, e.Instance+": "+fmt.Sprintf(format, args...))
}

// idleClock sums the time in which units are in memory and no request runs.
type idleClock struct {
	last   time.Time
	sum    time.Duration
	idling bool
}

// update adds the time since the last call to the sum if the engine was idle, records whether it is
// idle from now on, and returns the sum.
func (c *idleClock) update(now time.Time, holds, runs bool) time.Duration {
	if c.idling {
		c.sum += now.Sub(c.last)
	}
	c.last, c.idling = now, holds && !runs
	return c.sum
}
