package isolation

import (
	"context"
	"time"

	"olivetiller/core/quarantine"
	"olivetiller/core/view"
	"olivetiller/io/boottime"
)

// probeTimeout bounds the wait for an engine whose connections broke to refuse or accept a new one: a few round
// trips. An engine that does neither within it is not assumed to have crashed.
const probeTimeout = 300 * time.Millisecond

// maxProbeWait is how long an attempt waits for the probe's result. After that, the caller is better served by the
// next attempt.
const maxProbeWait = 30 * time.Millisecond

// exitDelay is how long a crashing process may take from the first closed connection to closing its listener.
const exitDelay = 20 * time.Millisecond

// Run is one attempt of a request at an engine. The first call of Answered, NotSent, Abandoned or ConnectionBroke ends
// it; later calls have no effect.
type Run struct {
	// Service is the service of the endpoint. It is set before the run ends.
	Service string

	g           *Guard
	run         *quarantine.Run
	subjects    []quarantine.Fingerprint
	incarnation quarantine.Incarnation
	endpoint    view.Endpoint
	finished    bool
}

// expireInterval is the interval at which expired records and runs are removed.
const expireInterval = 5 * time.Second

// Send records that a request, whose prompt holds the given parts, is about to be sent to an endpoint.
func (g *Guard) Send(f quarantine.Fingerprint, ep view.Endpoint, parts ...quarantine.Fingerprint) *Run {
	incarnation := quarantine.Incarnation{Engine: ep.Name, Start: ep.Start}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	if now.Sub(g.expiredAt) > expireInterval {
		g.expiredAt = now
		g.registry.Expire(now)
		g.tracker.Expire(now)
	}
	return &Run{g: g, run: g.tracker.Send(f, incarnation, now, parts...), subjects: append([]quarantine.Fingerprint{f}, parts...), incarnation: incarnation, endpoint: ep}
}

// Began records that the endpoint has begun to answer.
func (r *Run) Began() {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.tracker.Begin(r.run, r.g.o.Clock.Now())
}

// Answered records a complete answer, or that the endpoint refused to begin. A successful answer clears the
// request.
func (r *Run) Answered(succeeded bool) {
	if r.finished {
		return
	}
	r.finished = true
	g := r.g
	g.mu.Lock()
	now := g.o.Clock.Now()
	g.tracker.Answer(r.run, succeeded, now)
	var cleared []quarantine.Fingerprint
	for _, f := range r.subjects {
		if succeeded && g.registry.Answered(f, now) {
			cleared = append(cleared, f)
		}
	}
	g.mu.Unlock()
	for _, f := range cleared {
		g.logCleared(f, r.incarnation.Engine)
	}
	if len(cleared) > 0 {
		g.o.Changed()
	}
	g.EndTrial(r.subjects...)
}

// NotSent records that nothing of the request reached the endpoint, so that the request is not suspected of a crash.
// Otherwise a harmless request whose connections four crashed engines refused would be quarantined when they restart.
func (r *Run) NotSent() {
	if r.finished {
		return
	}
	r.finished = true
	r.g.mu.Lock()
	r.g.tracker.Drop(r.run)
	r.g.mu.Unlock()
	r.g.EndTrial(r.subjects...)
}

// Abandoned records that the attempt was abandoned without an answer.
func (r *Run) Abandoned() {
	if r.finished {
		return
	}
	r.finished = true
	r.g.mu.Lock()
	r.g.tracker.Abandon(r.run, r.g.o.Clock.Now())
	r.g.mu.Unlock()
	r.g.EndTrial(r.subjects...)
}

// ConnectionBroke records that the connection broke, probes the engine, and reports whether it is known to have
// crashed.
func (r *Run) ConnectionBroke(ctx context.Context) (crashed bool) {
	if r.finished {
		return false
	}
	r.finished = true
	g := r.g
	defer g.EndTrial(r.subjects...)
	g.mu.Lock()
	now := g.o.Clock.Now()
	if suspects, suspicions, known := g.tracker.Break(r.run, now); known {
		transitioned := g.registry.Suspect(suspects, suspicions, now)
		g.mu.Unlock()
		g.announce(suspects, suspicions, transitioned)
		return true
	}
	done, probing := g.probes[r.incarnation]
	if !probing {
		done = make(chan struct{})
		g.probes[r.incarnation] = done
		go g.probe(r, done)
	}
	g.mu.Unlock()
	timer := g.o.Clock.NewTimer(maxProbeWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.Chan():
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Crashed(r.incarnation, g.o.Clock.Now())
}

// probe finds out whether an engine whose connections broke is gone. If it still accepts a connection, it is probed
// once more after exitDelay, since a crashing process may close its listener last.
func (g *Guard) probe(r *Run, done chan struct{}) {
	refused := g.refuses(r.endpoint.Address)
	g.mu.Lock()
	delete(g.probes, r.incarnation)
	g.mu.Unlock()
	if refused {
		g.probedCrash(r)
		close(done)
		return
	}
	close(done)
	g.o.Clock.Sleep(exitDelay)
	if g.refuses(r.endpoint.Address) {
		g.probedCrash(r)
	}
}

// probedCrash records the crash of an engine that refuses connections.
func (g *Guard) probedCrash(r *Run) {
	g.recordCrash(r.incarnation, g.tracker.EngineCrashed)
	g.askStart(r)
}

func (g *Guard) refuses(address string) bool {
	ctx, cancel := boottime.WithTimeout(context.Background(), g.o.Clock, probeTimeout)
	defer cancel()
	return g.o.Refuses(ctx, address)
}
