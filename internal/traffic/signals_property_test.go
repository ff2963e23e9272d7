package traffic

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"olivetiller/core/queue"
	"olivetiller/core/signal"
	"olivetiller/core/view"
	_ "olivetiller/internal/fixedseed"
)

// reported is what one incarnation of an endpoint has reported, kept as the test's oracle.
type reported struct {
	// any is set once signals from the incarnation are on record: it sent some, or it answered when an earlier
	// incarnation had sent some.
	any          bool
	draining     bool
	backoffUntil time.Time
	limit        float64
}

// simulation is a node whose endpoints send random signals while views change.
type simulation struct {
	*Dispatcher
	clock       *clockwork.FakeClock
	hasCapacity bool
	reports     map[signal.Incarnation]*reported
	// published are the endpoints of the current view, and unsent the granted slots whose requests were not sent yet.
	published []view.Endpoint
	unsent    []*Slot
	// The faults that TestSignalFaultsFound injects: checksSend false sends without CheckSend, resetsOnView discards
	// the signals with each view, and lastBackoffWins replaces a longer backoff by a later, shorter one.
	checksSend, resetsOnView, lastBackoffWins bool
	fault                                     string
}

func newSimulation() *simulation {
	p := &simulation{clock: clockwork.NewFakeClock(), reports: make(map[signal.Incarnation]*reported), checksSend: true, hasCapacity: true}
	p.Dispatcher = New(p.clock, "h", queue.Limits{Items: 10, Bytes: 1000}, Hooks{
		QueueStarted: func() {}, Draining: func(string) {},
		Charge: func(context.Context, view.Endpoint, float64) time.Duration {
			if p.hasCapacity {
				return 0
			}
			return time.Second
		},
	})
	return p
}

func (p *simulation) reportOf(l signal.Incarnation) *reported {
	if p.reports[l] == nil {
		p.reports[l] = &reported{}
	}
	return p.reports[l]
}

// publish installs a view with a random subset of the endpoints, each in one of its incarnations.
func (p *simulation) publish(t *rapid.T) {
	p.published = nil
	for _, name := range []string{"i-1", "i-2"} {
		start := int64(rapid.IntRange(0, 3).Draw(t, "start"))
		for l := range p.reports {
			if l.Endpoint == name {
				// A view never goes back to an earlier incarnation.
				start = max(start, l.Start)
			}
		}
		if start > 0 {
			p.published = append(p.published, view.Endpoint{Name: name, Hall: "h", Start: start, Incarnation: uint64(start), Concurrency: 4})
		}
	}
	if p.resetsOnView {
		p.signals = signal.NewRegistry()
		p.endpointStates = make(map[string]*endpointState)
	}
	p.Update(&view.View{Endpoints: map[string][]view.Endpoint{limitedPool: p.published}}, nil)
}

// answer records a random answer of a published endpoint.
func (p *simulation) answer(t *rapid.T) {
	if len(p.published) == 0 {
		return
	}
	e := rapid.SampledFrom(p.published).Draw(t, "endpoint")
	// The request was sent after the previous answer.
	p.clock.Advance(time.Millisecond)
	if p.superseded(incarnationOf(&e)) {
		return
	}
	o, now := p.reportOf(incarnationOf(&e)), p.clock.Now()
	signals := signal.Signals{Ran: true}
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		signals.Draining, o.draining = true, true
	case 1:
		signals.Backoff, signals.Ran = time.Duration(rapid.IntRange(1, 4000).Draw(t, "restMs"))*time.Millisecond, false
		if until := now.Add(signals.Backoff); until.After(o.backoffUntil) {
			o.backoffUntil = until
		}
	case 2:
		signals.Limit = float64(rapid.IntRange(1, 9).Draw(t, "limit"))
		o.limit = signals.Limit
	default:
		o.limit = 0
	}
	o.any = o.any || signals.Draining || signals.Backoff > 0 || signals.Limit > 0 || p.known(incarnationOf(&e))
	p.ObserveSignals(e, signals, now)
	if ep := p.endpointStates[e.Name]; p.lastBackoffWins && ep != nil && signals.Backoff > 0 {
		ep.backoffUntil = now.Add(signals.Backoff)
	}
}

// canceledContext is the context of a caller that gives up as soon as it would have to wait.
type canceledContext struct{ context.Context }

// Done implements context.Context.
func (canceledContext) Done() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// acquire tries to get a slot without waiting, for send to use later.
func (p *simulation) acquire() {
	if s, err := p.Acquire(canceledContext{context.Background()}, limitedPool, SlotRequest{Deadline: p.clock.Now().Add(time.Minute)}); err == nil {
		p.unsent = append(p.unsent, s)
	}
}

// send sends the request of the oldest slot unless CheckSend forbids it, and compares with the oracle.
func (p *simulation) send() {
	if len(p.unsent) == 0 {
		return
	}
	s := p.unsent[0]
	p.unsent = p.unsent[1:]
	defer s.Release(Result{Running: -1})
	if p.checksSend && p.CheckSend(s) != nil {
		return
	}
	life := incarnationOf(&s.Endpoint)
	if p.superseded(life) {
		p.fault = fmt.Sprintf("a request was sent to a superseded incarnation of %s", s.Endpoint.Name)
		return
	}
	switch o := p.reportOf(life); {
	case o.draining:
		p.fault = fmt.Sprintf("a request was sent to %s, which is draining", s.Endpoint.Name)
	case p.clock.Now().Before(o.backoffUntil):
		p.fault = fmt.Sprintf("a request was sent to %s, whose backoff lasts another %v", s.Endpoint.Name, o.backoffUntil.Sub(p.clock.Now()))
	case o.limit > 0 && s.limit == 0:
		p.fault = fmt.Sprintf("a request was sent to %s uncharged, whose limit is %g a second", s.Endpoint.Name, o.limit)
	}
}

// mergeSignal merges a signal that another node received, possibly from a later incarnation than the published one.
func (p *simulation) mergeSignal(t *rapid.T) {
	l := signal.Incarnation{Endpoint: rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "endpoint"), Start: int64(rapid.IntRange(1, 4).Draw(t, "start"))}
	p.clock.Advance(time.Millisecond)
	w := signal.Report{Incarnation: l, Draining: rapid.Bool().Draw(t, "leaves"), At: p.clock.Now()}
	if p.superseded(l) {
		p.MergeSignals([]signal.Report{w})
		return
	}
	o := p.reportOf(l)
	o.any = true
	o.draining = o.draining || w.Draining
	if o.limit == 0 {
		w.Limit = float64(rapid.IntRange(0, 3).Draw(t, "limit"))
		o.limit = w.Limit
	} else {
		w.Limit = o.limit
	}
	p.MergeSignals([]signal.Report{w})
}

// superseded reports whether signals of a later incarnation of the endpoint are on record.
func (p *simulation) superseded(l signal.Incarnation) bool {
	for o := range p.reports {
		if o.Endpoint == l.Endpoint && o.Start > l.Start && p.reports[o].any {
			return true
		}
	}
	return false
}

// known reports whether signals of any incarnation of the endpoint are on record.
func (p *simulation) known(l signal.Incarnation) bool {
	for o, s := range p.reports {
		if o.Endpoint == l.Endpoint && s.any {
			return true
		}
	}
	return false
}

// idle reports whether some published endpoint is free and has reported nothing that forbids sending to it.
func (p *simulation) idle() bool {
	return slices.ContainsFunc(p.published, func(e view.Endpoint) bool {
		o := p.reportOf(incarnationOf(&e))
		ep := p.endpointStates[e.Name]
		return !p.superseded(incarnationOf(&e)) && !o.draining && !p.clock.Now().Before(o.backoffUntil) && o.limit == 0 && (ep == nil || ep.running == 0)
	})
}

func (p *simulation) step(t *rapid.T) {
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0:
		p.publish(t)
	case 1, 2:
		p.answer(t)
	case 3:
		p.hasCapacity = !p.hasCapacity
	case 8:
		p.mergeSignal(t)
	case 4:
		p.clock.Advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	case 5, 6:
		n, idle := len(p.unsent), p.idle()
		p.acquire()
		if idle && len(p.unsent) == n && p.fault == "" {
			p.fault = "a request got no slot although the signals of an endpoint allow it"
		}
	default:
		p.send()
	}
}

// TestSignalsAreObeyed checks over random views, answers, incarnations and times that no request
// is sent to an endpoint that is draining, in a backoff, or limited without a charge, and that an endpoint without
// such signals gets requests.
func TestSignalsAreObeyed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSimulation()
		for range 60 {
			if p.step(t); p.fault != "" {
				t.Fatal(p.fault)
			}
		}
	})
}

// TestSignalFaultsFound checks that the simulation detects injected faults.
func TestSignalFaultsFound(t *testing.T) {
	faults := []struct {
		name  string
		plant func(p *simulation)
	}{
		{"a way that does not ask", func(p *simulation) { p.checksSend = false }},
		{"a list that overwrites", func(p *simulation) { p.resetsOnView = true }},
		{"a shorter rest that counts", func(p *simulation) { p.lastBackoffWins, p.checksSend = true, false }},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			found := false
			for seed := 0; !found && seed < 200; seed++ {
				p := rapid.Custom(func(t *rapid.T) *simulation {
					p := newSimulation()
					f.plant(p)
					for i := 0; i < 60 && p.fault == ""; i++ {
						p.step(t)
					}
					return p
				}).Example(seed)
				found = p.fault != ""
			}
			if !found {
				t.Error("not detected in 200 runs")
			}
		})
	}
}
