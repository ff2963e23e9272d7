// Package fault holds the fault switches that the stand-ins share: outage,
// slowness and answers that are lost after the action took effect.
package fault

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Switches are the faults in force. The zero value has none.
type Switches struct {
	// Down refuses every request before it has an effect.
	Down bool
	// Hang holds requests until their caller gives up, before any effect.
	Hang bool
	// MinDelay and MaxDelay bound the time each request takes.
	MinDelay, MaxDelay time.Duration
	// LoseAnswers is the share of answers lost after the effect.
	LoseAnswers float64
}

// Injector applies switches to a handler. It is safe for concurrent use.
type Injector struct {
	mu  sync.Mutex
	sw  Switches
	rng *rand.Rand
}

// New returns an injector without faults.
func New(seed uint64) *Injector {
	return &Injector{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Set puts switches in force.
func (i *Injector) Set(sw Switches) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sw = sw
}

// Change edits the switches in force.
func (i *Injector) Change(edit func(*Switches)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	edit(&i.sw)
}

// draw decides the fate of one request.
func (i *Injector) draw() (sw Switches, delay time.Duration, lose bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delay = i.sw.MinDelay
	if span := i.sw.MaxDelay - i.sw.MinDelay; span > 0 {
		delay += time.Duration(i.rng.Int64N(int64(span)))
	}
	lose = i.sw.LoseAnswers > 0 && i.rng.Float64() < i.sw.LoseAnswers
	return i.sw, delay, lose
}

// Wrap applies the switches to a handler.
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
			// The effect takes place; the connection ends without an answer.
			next.ServeHTTP(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discard is a response that goes nowhere.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
