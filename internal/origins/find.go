package origins

import (
	"context"
	"errors"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/origin"
	"olivetiller/core/refusal"
	"olivetiller/io/peer"
)

// unansweredHint is after which time a caller may come back whose stream may be known to nodes that did not answer.
const unansweredHint = time.Second

// Find implements [caller.Origins].
func (t *Tracker) Find(ctx context.Context, k origin.Key, service string, version int64) (origin.Origin, error) {
	started := t.o.Clock.Now()
	t.mu.Lock()
	r, found := t.registry.Find(k, started)
	t.mu.Unlock()
	by := "here"
	unanswered, asked := 0, 0
	if found {
		t.Metrics.FoundHere.Add(1)
	} else {
		r, by, asked, unanswered = t.askNodes(ctx, k)
		if found = by != ""; found {
			t.Metrics.FoundElsewhere.Add(1)
		}
	}
	switch {
	case found && r.Ambiguous:
		t.Metrics.Ambiguous.Add(1)
		return origin.Origin{}, refusal.New(refusal.StreamUnknown, "streams of several software versions began under the id that the request takes up")
	case found:
		t.logFound(k, r.Origin, by, started)
		return r.Origin, nil
	}
	o, why := t.conclude(ctx, k, service, version, started)
	if why == nil {
		return o, nil
	}
	e := refusal.New(refusal.StreamUnknown, "none of %d nodes that answered knows where the stream began, %d did not answer; %v", asked-unanswered, unanswered, why)
	if unanswered > 0 || asked == 0 {
		return origin.Origin{}, e.WithRetryAfter(unansweredHint)
	}
	return origin.Origin{}, e
}

// Conclude implements [caller.Origins].
func (t *Tracker) Conclude(ctx context.Context, service string, version int64) (origin.Origin, error) {
	o, why := t.conclude(ctx, origin.Key{}, service, version, t.o.Clock.Now())
	if why != nil {
		return origin.Origin{}, refusal.New(refusal.StreamUnknown, "the request names a position, but not the request that began the stream; %v", why)
	}
	return o, nil
}

// errNoConcluder is the reason why nothing is concluded without a ledger.
var errNoConcluder = errors.New("no ledger of builds is kept")

// conclude returns the origin of a stream without a record if only one is possible, or else why it is not known.
func (t *Tracker) conclude(ctx context.Context, k origin.Key, service string, version int64, started time.Time) (origin.Origin, error) {
	why := errNoConcluder
	if t.o.Concluder != nil {
		var build directory.Build
		if build, why = t.o.Concluder.SoleBuild(ctx, service, version); why == nil {
			t.Metrics.Concluded.Add(1)
			o := origin.Origin{Service: service, Build: build}
			t.logFound(k, o, "ledger", started)
			return o, nil
		}
	}
	t.Metrics.Unknown.Add(1)
	return origin.Origin{}, why
}

// logFound logs where a stream began, and how that is known.
func (t *Tracker) logFound(k origin.Key, o origin.Origin, by string, started time.Time) {
	t.o.Logger.Info("stream taken up", "stream", k.String(), "service", o.Service, "build", o.Build.String(), "by", by, "tookMs", t.o.Clock.Now().Sub(started).Milliseconds())
}

// askNodes asks other nodes for the record of a stream: first those that should keep it, then some more. by is the address
// of the node that has it; "" if none does.
func (t *Tracker) askNodes(ctx context.Context, k origin.Key) (r origin.Record, by string, asked, unanswered int) {
	first, more := origin.Asked(t.o.Self, origin.Order(k, t.o.Nodes()))
	for _, addresses := range [][]string{first, more} {
		found, address, failed := t.askAtOnce(ctx, k, addresses)
		asked, unanswered = asked+len(addresses), unanswered+failed
		if found != nil {
			return found.Decode(t.o.Clock.Now()), address, asked, unanswered
		}
	}
	return origin.Record{}, "", asked, unanswered
}

// askAtOnce asks several nodes and returns the first record that one has, or nil after all have answered or failed to.
func (t *Tracker) askAtOnce(ctx context.Context, k origin.Key, addresses []string) (found *peer.Origin, by string, unanswered int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		record  *peer.Origin
		address string
		err     error
	}
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		t.Metrics.Asked.Add(1)
		go func() {
			r, err := t.o.Peers.FindOrigin(ctx, address, k)
			answers <- answer{r, address, err}
		}()
	}
	for range addresses {
		a := <-answers
		switch {
		case a.err != nil:
			unanswered++
			t.Metrics.Unanswered.Add(1)
		case a.record != nil:
			return a.record, a.address, unanswered
		}
	}
	return nil, "", unanswered
}
