// Package fault injects faults into the HTTP handlers of the stand-ins: outages, hanging requests,
// latency, and responses that are lost after the request took effect. Each stand-in wraps its
// handler in an [Injector], whose [Switches] a test or the bench sets.
package fault

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Switches are the faults to inject. The zero value injects none.
type Switches struct {
	// Down answers every request with 503 before it has an effect.
	Down bool
	// Hang holds every request, without effect, until its client gives up.
	Hang bool
	// MinDelay and MaxDelay bound the time that each request is delayed before it takes effect;
	// the delay is drawn uniformly.
	MinDelay, MaxDelay time.Duration
	// LoseResponses is the probability that a request takes effect and its connection is aborted
	// without a response.
	LoseResponses float64
}

// Injector applies switches to the requests of a handler. It is safe for concurrent use.
type Injector struct {
	mu       sync.Mutex
	switches Switches
	rng      *rand.Rand
}

// New returns an injector without faults. seed determines its random draws.
func New(seed uint64) *Injector {
	return &Injector{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the switches for all requests that begin from now on.
func (i *Injector) Set(sw Switches) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.switches = sw
}

// Change calls edit on the switches in force, atomically. The change applies to requests that begin
// afterwards.
func (i *Injector) Change(edit func(*Switches)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	edit(&i.switches)
}

// draw returns the switches, the delay and whether to lose the response for one request.
func (i *Injector) draw() (sw Switches, delay time.Duration, lose bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delay = i.switches.MinDelay
	if span := i.switches.MaxDelay - i.switches.MinDelay; span > 0 {
		delay += time.Duration(i.rng.Int64N(int64(span)))
	}
	lose = i.switches.LoseResponses > 0 && i.rng.Float64() < i.switches.LoseResponses
	return i.switches, delay, lose
}

// Wrap returns a handler that applies the switches to each request and passes it to next.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sw, delay, lose := i.draw()
		if sw.Hang {
			<-r.Context().Done()
			return
		}
		if sw.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if lose {
			// The request takes effect; the connection is aborted without a response.
			next.ServeHTTP(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discard is an http.ResponseWriter that drops what is written.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
