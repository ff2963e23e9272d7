package origins

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/origin"
	"olivetiller/core/reach"
	"olivetiller/io/peer"
)

// Times and limits of the records.
const (
	// refreshEvery is the interval at which the record of a stream in progress is sent again.
	refreshEvery = 2 * time.Second
	// tickEvery is the interval of the search for records to send again.
	tickEvery = 500 * time.Millisecond
	// sendDelay is how long a record waits for others to the same node. Copies matter when a node ends, so that a few
	// milliseconds more or less count little.
	sendDelay = 10 * time.Millisecond
	// maxRecords bounds the records of a node, which take some 200 bytes each.
	maxRecords = 20000
)

// Peers calls other nodes by address.
type Peers interface {
	KeepOrigins(ctx context.Context, address string, records []peer.Origin) error
	FindOrigin(ctx context.Context, address string, k origin.Key) (*peer.Origin, error)
}

// Concluder tells the origin of streams without a record.
type Concluder interface {
	// SoleBuild returns the only build of a service at which a stream can have begun that is in progress now, for a request
	// that goes to the service by a version of the configuration. Otherwise it returns why that is not known.
	SoleBuild(ctx context.Context, service string, version int64) (directory.Build, error)
}

// Options configure a Tracker.
type Options struct {
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Self is the address at which this node serves its peers.
	Self string
	// Nodes returns the nodes that all nodes know of.
	Nodes func() []reach.Gateway
	Peers Peers
	// Concluder is nil if nothing is concluded.
	Concluder Concluder
}

// Tracker knows where streams began. It is safe for concurrent use.
type Tracker struct {
	o       Options
	Metrics Metrics

	mu       sync.Mutex
	registry *origin.Registry
	// open holds the streams in progress at this node.
	open map[*openStream]bool
	// outboxes holds the copies to send, by address.
	outboxes map[string]*outbox
}

// openStream is a stream in progress.
type openStream struct {
	record origin.Record
	// refreshAt is when its record is sent again.
	refreshAt time.Time
}

// New returns a Tracker without records.
func New(o Options) *Tracker {
	return &Tracker{o: o, registry: origin.NewRegistry(maxRecords), open: make(map[*openStream]bool), outboxes: make(map[string]*outbox)}
}

// Records returns the number of records.
func (t *Tracker) Records() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Len()
}

// Began implements [caller.Origins].
func (t *Tracker) Began(r origin.Record) (ended func()) {
	t.Metrics.Began.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.o.Clock.Now()
	t.registry.Add(r, now)
	s := &openStream{record: r, refreshAt: now.Add(refreshEvery)}
	t.open[s] = true
	t.copyRecord(r)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.open, s)
	}
}

// KeepOrigins implements [peer.OriginKeeper].
func (t *Tracker) KeepOrigins(records []peer.Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.o.Clock.Now()
	for i := range records {
		t.registry.Add(records[i].Decode(now), now)
	}
}

// OriginOf implements [peer.OriginKeeper].
func (t *Tracker) OriginOf(k origin.Key) *peer.Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.o.Clock.Now()
	r, ok := t.registry.Find(k, now)
	if !ok {
		return nil
	}
	o := peer.EncodeOrigin(r, now)
	return &o
}

// Run sends records of streams in progress again, and drops those that have expired, until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	tick := t.o.Clock.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			t.tick()
		}
	}
}

func (t *Tracker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.o.Clock.Now()
	t.registry.Expire(now)
	for s := range t.open {
		if !now.Before(s.refreshAt) {
			s.refreshAt = now.Add(refreshEvery)
			t.copyRecord(s.record)
		}
	}
}

// HandOver sends all records to the nodes that keep them without this one, which is about to stop.
func (t *Tracker) HandOver() {
	t.mu.Lock()
	records := t.registry.Records(t.o.Clock.Now())
	t.mu.Unlock()
	for _, r := range records {
		// Streams that begin meanwhile do not wait for all of them.
		t.mu.Lock()
		t.copyRecord(r)
		t.mu.Unlock()
	}
}
