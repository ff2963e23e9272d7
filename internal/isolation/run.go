package isolation

import (
	"context"
	"time"

	"olivetiller/core/quarantine"
	"olivetiller/core/view"
	"olivetiller/io/boottime"
)

// probeTime bounds the wait for an engine whose connections broke to refuse or take a new one: a
// few round trips. One that does neither in that time is not known to have ended.
const probeTime = 300 * time.Millisecond

// probeWait is how long an attempt waits for that: beyond, its next one serves the caller better.
const probeWait = 30 * time.Millisecond

// dyingTime is how long a process that dies may take from its first closed connection to its
// listener.
const dyingTime = 20 * time.Millisecond

// Run is one request at an engine.
type Run struct {
	g       *Guard
	run     *quarantine.Run
	request quarantine.Fingerprint
	life    quarantine.Life
	address string
	over    bool
}

// expireEvery is the time between two looks at what can be forgotten.
const expireEvery = 5 * time.Second

// Send notes that a request is about to be sent to an endpoint.
func (g *Guard) Send(f quarantine.Fingerprint, ep view.Endpoint) *Run {
	life := quarantine.Life{Engine: ep.Name, Start: ep.Start}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock.Now()
	if now.Sub(g.expiredAt) > expireEvery {
		g.expiredAt = now
		g.registry.Expire(now)
		g.tracker.Expire(now)
	}
	return &Run{g: g, run: g.tracker.Send(f, life, now), request: f, life: life, address: ep.Address}
}

// Began notes that the endpoint has begun to answer.
func (r *Run) Began() {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.tracker.Begin(r.run, r.g.o.Clock.Now())
}

// Answered notes a whole answer, or that the endpoint did not begin. A good one clears the
// request.
func (r *Run) Answered(good bool) {
	if r.over {
		return
	}
	r.over = true
	g := r.g
	g.mu.Lock()
	now := g.o.Clock.Now()
	g.tracker.Answer(r.run, good, now)
	cleared := good && g.registry.Answered(r.request, now)
	g.mu.Unlock()
	if cleared {
		g.Metrics.Cleared.Add(1)
		g.o.Logger.Info("request cleared by a good answer", "fingerprint", r.request.String(), "engine", r.life.Engine)
		g.o.Changed()
	}
	g.TrialOver(r.request)
}

// NotSent notes that nothing of the request reached the endpoint: no end of it is blamed on the request.
// Without it a proper request that found four engines gone was convicted when they started
// again.
func (r *Run) NotSent() {
	if r.over {
		return
	}
	r.over = true
	r.g.mu.Lock()
	r.g.tracker.Drop(r.run)
	r.g.mu.Unlock()
	r.g.TrialOver(r.request)
}

// Left notes that the attempt was given up without an answer.
func (r *Run) Left() {
	if r.over {
		return
	}
	r.over = true
	r.g.mu.Lock()
	r.g.tracker.Leave(r.run, r.g.o.Clock.Now())
	r.g.mu.Unlock()
	r.g.TrialOver(r.request)
}

// Broke notes that the connection broke, finds out whether the engine has ended, and
// returns whether it has.
func (r *Run) Broke(ctx context.Context) (ended bool) {
	if r.over {
		return false
	}
	r.over = true
	g := r.g
	defer g.TrialOver(r.request)
	g.mu.Lock()
	now := g.o.Clock.Now()
	if blame, known := g.tracker.Break(r.run, now); known {
		moved := g.registry.Blame([]quarantine.Fingerprint{r.request}, []quarantine.Blame{blame}, now)
		g.mu.Unlock()
		g.tell([]quarantine.Fingerprint{r.request}, []quarantine.Blame{blame}, moved)
		return true
	}
	done, probing := g.probes[r.life]
	if !probing {
		done = make(chan struct{})
		g.probes[r.life] = done
		go g.probe(r.life, r.address, done)
	}
	g.mu.Unlock()
	timer := g.o.Clock.NewTimer(probeWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.Chan():
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Ended(r.life, g.o.Clock.Now())
}

// probe finds out whether an engine whose connections broke is gone. One that still takes a connection
// is asked once more: a process that dies may close its listener last.
func (g *Guard) probe(life quarantine.Life, address string, done chan struct{}) {
	refused := g.refuses(address)
	g.mu.Lock()
	delete(g.probes, life)
	g.mu.Unlock()
	if refused {
		g.ended(life, g.tracker.End)
		close(done)
		return
	}
	close(done)
	g.o.Clock.Sleep(dyingTime)
	if g.refuses(address) {
		g.ended(life, g.tracker.End)
	}
}

func (g *Guard) refuses(address string) bool {
	ctx, cancel := boottime.WithTimeout(context.Background(), g.o.Clock, probeTime)
	defer cancel()
	return g.o.Refuses(ctx, address)
}
