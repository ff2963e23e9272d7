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
)

// spoken is what one life of an endpoint has said, as the oracle of a play keeps it.
type spoken struct {
	// any is set once the life is known by its word: it said something, or answered after a former life had.
	any    bool
	leaves bool
	rest   time.Time
	limit  float64
}

// play is a node whose endpoints say what they like, while views come and go.
type play struct {
	*Dispatcher
	clock *clockwork.FakeClock
	room  bool
	said  map[signal.Life]*spoken
	// shown are the endpoints in force, held the places that are taken.
	shown []view.Endpoint
	held  []*Slot
	// asks is false where a request leaves without asking; fresh where a view overwrites what was heard, and last where
	// the latest rest counts and not the longest.
	asks, fresh, last bool
	fault             string
}

func newPlay() *play {
	p := &play{clock: clockwork.NewFakeClock(), said: make(map[signal.Life]*spoken), asks: true, room: true}
	p.Dispatcher = New(p.clock, "h", queue.Limits{Items: 10, Bytes: 1000}, Hooks{
		Waiting: func() {}, Leaving: func(string) {},
		Charge: func(context.Context, view.Endpoint, float64) time.Duration {
			if p.room {
				return 0
			}
			return time.Second
		},
	})
	return p
}

func (p *play) of(l signal.Life) *spoken {
	if p.said[l] == nil {
		p.said[l] = &spoken{}
	}
	return p.said[l]
}

// show publishes a view in which some endpoints are there, each in one of its lives.
func (p *play) show(t *rapid.T) {
	p.shown = nil
	for _, name := range []string{"i-1", "i-2"} {
		start := int64(rapid.IntRange(0, 3).Draw(t, "start"))
		for l := range p.said {
			if l.Endpoint == name {
				// Lists do not go back to a life before.
				start = max(start, l.Start)
			}
		}
		if start > 0 {
			p.shown = append(p.shown, view.Endpoint{Name: name, Hall: "h", Start: start, Incarnation: uint64(start), Concurrency: 4})
		}
	}
	if p.fresh {
		p.book = signal.NewBook()
		p.gates = make(map[string]*gate)
	}
	p.Update(&view.View{Endpoints: map[string][]view.Endpoint{limitedPool: p.shown}}, nil)
}

// speak has an endpoint answer.
func (p *play) speak(t *rapid.T) {
	if len(p.shown) == 0 {
		return
	}
	e := rapid.SampledFrom(p.shown).Draw(t, "endpoint")
	// The request was sent after the answer before.
	p.clock.Advance(time.Millisecond)
	if p.former(lifeOf(&e)) {
		return
	}
	o, now := p.of(lifeOf(&e)), p.clock.Now()
	said := signal.Said{Ran: true}
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		said.Leaving, o.leaves = true, true
	case 1:
		said.Rest, said.Ran = time.Duration(rapid.IntRange(1, 4000).Draw(t, "restMs"))*time.Millisecond, false
		if until := now.Add(said.Rest); until.After(o.rest) {
			o.rest = until
		}
	case 2:
		said.Limit = float64(rapid.IntRange(1, 9).Draw(t, "limit"))
		o.limit = said.Limit
	default:
		o.limit = 0
	}
	o.any = o.any || said.Leaving || said.Rest > 0 || said.Limit > 0 || p.known(lifeOf(&e))
	p.Hear(e, said, now)
	if g := p.gates[e.Name]; p.last && g != nil && said.Rest > 0 {
		g.rest = now.Add(said.Rest)
	}
}

// impatient is the context of a caller that leaves as soon as it would have to wait.
type impatient struct{ context.Context }

// Done implements context.Context.
func (impatient) Done() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// take asks for a place, which is used later.
func (p *play) take() {
	if s, err := p.Acquire(impatient{context.Background()}, limitedPool, Ask{Deadline: p.clock.Now().Add(time.Minute)}); err == nil {
		p.held = append(p.held, s)
	}
}

// send uses the oldest place: its request leaves unless what it asks forbids it.
func (p *play) send() {
	if len(p.held) == 0 {
		return
	}
	s := p.held[0]
	p.held = p.held[1:]
	defer s.Release(Result{Running: -1})
	if p.asks && p.MaySend(s) != nil {
		return
	}
	life := lifeOf(&s.Endpoint)
	if p.former(life) {
		p.fault = fmt.Sprintf("a request left for a former life of %s", s.Endpoint.Name)
		return
	}
	switch o := p.of(life); {
	case o.leaves:
		p.fault = fmt.Sprintf("a request left for %s, which had said that it leaves", s.Endpoint.Name)
	case p.clock.Now().Before(o.rest):
		p.fault = fmt.Sprintf("a request left for %s, which rests for %v", s.Endpoint.Name, o.rest.Sub(p.clock.Now()))
	case o.limit > 0 && s.limit == 0:
		p.fault = fmt.Sprintf("a request left for %s uncharged, which takes %g a second", s.Endpoint.Name, o.limit)
	}
}

// hearsay has another node tell what a life of an endpoint said, which may be later than the one shown.
func (p *play) hearsay(t *rapid.T) {
	l := signal.Life{Endpoint: rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "endpoint"), Start: int64(rapid.IntRange(1, 4).Draw(t, "start"))}
	p.clock.Advance(time.Millisecond)
	w := signal.Word{Life: l, Leaving: rapid.Bool().Draw(t, "leaves"), At: p.clock.Now()}
	if p.former(l) {
		p.MergeSignals([]signal.Word{w})
		return
	}
	o := p.of(l)
	o.any = true
	o.leaves = o.leaves || w.Leaving
	if o.limit == 0 {
		w.Limit = float64(rapid.IntRange(0, 3).Draw(t, "limit"))
		o.limit = w.Limit
	} else {
		w.Limit = o.limit
	}
	p.MergeSignals([]signal.Word{w})
}

// former reports whether a later life of the endpoint has spoken.
func (p *play) former(l signal.Life) bool {
	for o := range p.said {
		if o.Endpoint == l.Endpoint && o.Start > l.Start && p.said[o].any {
			return true
		}
	}
	return false
}

// known reports whether any life of the endpoint is known by its word.
func (p *play) known(l signal.Life) bool {
	for o, s := range p.said {
		if o.Endpoint == l.Endpoint && s.any {
			return true
		}
	}
	return false
}

// idle reports whether an endpoint that is shown has said nothing that keeps requests from it, and has a place.
func (p *play) idle() bool {
	return slices.ContainsFunc(p.shown, func(e view.Endpoint) bool {
		o := p.of(lifeOf(&e))
		g := p.gates[e.Name]
		return !p.former(lifeOf(&e)) && !o.leaves && !p.clock.Now().Before(o.rest) && o.limit == 0 && (g == nil || g.running == 0)
	})
}

func (p *play) step(t *rapid.T) {
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0:
		p.show(t)
	case 1, 2:
		p.speak(t)
	case 3:
		p.room = !p.room
	case 8:
		p.hearsay(t)
	case 4:
		p.clock.Advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	case 5, 6:
		n, idle := len(p.held), p.idle()
		p.take()
		if idle && len(p.held) == n && p.fault == "" {
			p.fault = "a request found no place although an endpoint had said nothing against it"
		}
	default:
		p.send()
	}
}

// TestNothingLeavesAgainstWhatEndpointsSay checks over drawn views, answers, lives and moments that no request leaves for
// an endpoint that leaves, rests or limits its requests without being charged, and that one which says nothing serves.
func TestNothingLeavesAgainstWhatEndpointsSay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay()
		for range 60 {
			if p.step(t); p.fault != "" {
				t.Fatal(p.fault)
			}
		}
	})
}

// TestSignalFaultsFound checks that the plays show faults that are planted.
func TestSignalFaultsFound(t *testing.T) {
	faults := []struct {
		name  string
		plant func(p *play)
	}{
		{"a way that does not ask", func(p *play) { p.asks = false }},
		{"a list that overwrites", func(p *play) { p.fresh = true }},
		{"a shorter rest that counts", func(p *play) { p.last, p.asks = true, false }},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			found := false
			for seed := 0; !found && seed < 200; seed++ {
				p := rapid.Custom(func(t *rapid.T) *play {
					p := newPlay()
					f.plant(p)
					for i := 0; i < 60 && p.fault == ""; i++ {
						p.step(t)
					}
					return p
				}).Example(seed)
				found = p.fault != ""
			}
			if !found {
				t.Error("not found in 200 plays")
			}
		})
	}
}
