package origins

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/origin"
	"olivetiller/core/reach"
	"olivetiller/core/refusal"
	"olivetiller/io/peer"
)

// fakePeers delivers calls to the trackers of a fleet. Nodes in down do not answer.
type fakePeers struct {
	mu       sync.Mutex
	trackers map[string]*Tracker
	down     map[string]bool
	// calls counts the calls that kept records, and records the records in them.
	calls, records int
}

var errDown = errors.New("down")

func (p *fakePeers) node(address string) (*Tracker, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down[address] {
		return nil, errDown
	}
	return p.trackers[address], nil
}

func (p *fakePeers) KeepOrigins(_ context.Context, address string, records []peer.Origin) error {
	t, err := p.node(address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.calls, p.records = p.calls+1, p.records+len(records)
	p.mu.Unlock()
	t.KeepOrigins(records)
	return nil
}

func (p *fakePeers) FindOrigin(_ context.Context, address string, k origin.Key) (*peer.Origin, error) {
	t, err := p.node(address)
	if err != nil {
		return nil, err
	}
	return t.OriginOf(k), nil
}

// setDown sets which nodes do not answer.
func (p *fakePeers) setDown(addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = make(map[string]bool)
	for _, a := range addresses {
		p.down[a] = true
	}
}

// keepers returns the nodes that have the record of a stream.
func (p *fakePeers) keepers(k origin.Key) []string {
	var out []string
	for address, t := range p.trackers {
		if t.OriginOf(k) != nil {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// newFleet returns the trackers of nodes n0 and on, on one clock.
func newFleet(clock clockwork.Clock, nodes int, c Concluder) (*fakePeers, []*Tracker) {
	p := &fakePeers{trackers: make(map[string]*Tracker)}
	var list []reach.Gateway
	for i := range nodes {
		list = append(list, reach.Gateway{Address: fmt.Sprint("n", i), Hall: fmt.Sprint("h", i%3)})
	}
	var out []*Tracker
	for _, w := range list {
		t := New(Options{Clock: clock, Logger: hclog.NewNullLogger(), Self: w.Address, Nodes: func() []reach.Gateway { return list }, Peers: p, Concluder: c})
		p.trackers[w.Address] = t
		out = append(out, t)
	}
	return p, out
}

func testRecord(clock clockwork.Clock, id string) origin.Record {
	return origin.Record{Key: origin.KeyOf("", "h", id), Origin: origin.Origin{Service: "s", Build: directory.BuildOf("v1")}, Expires: clock.Now().Add(15 * time.Second)}
}

// eventually waits until a condition holds that goroutines bring about.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// TestCopies checks that a record has copies at two other nodes of different data halls, that any node finds it, also after
// the end of the node that began the stream, and that two nodes that do not answer are replaced by the next ones.
func TestCopies(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for name, down := range map[string]int{"all answer": 0, "the first does not answer": 1, "the first two do not answer": 2} {
		t.Run(name, func(t *testing.T) {
			p, fleet := newFleet(clock, 7, nil)
			r := testRecord(clock, name)
			keepers := origin.Keepers("n0", origin.Order(r.Key, fleet[0].o.Nodes()))
			p.setDown(keepers[:down]...)
			fleet[0].Began(r)
			want := append([]string{"n0"}, keepers[down:down+origin.Copies]...)
			slices.Sort(want)
			eventually(t, "two copies", func() bool {
				clock.Advance(sendDelay)
				return len(p.keepers(r.Key)) == 3
			})
			if diff := cmp.Diff(want, p.keepers(r.Key)); diff != "" {
				t.Errorf("nodes with the record (-want +got):\n%s", diff)
			}
			p.setDown("n0")
			for _, n := range fleet[1:] {
				if o, err := n.Find(t.Context(), r.Key, "s", 1); err != nil || o != r.Origin {
					t.Errorf("%s finds %v, %v", n.o.Self, o, err)
				}
			}
		})
	}
}

// TestCopiesAreSentTogether checks that the records of streams that begin together go to a node in one call.
func TestCopiesAreSentTogether(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p, fleet := newFleet(clock, 3, nil)
	for i := range 100 {
		fleet[0].Began(testRecord(clock, fmt.Sprint(i)))
	}
	clock.Advance(sendDelay)
	eventually(t, "all copies", func() bool { return fleet[0].Metrics.Copied.Value() == 200 })
	if p.calls != 2 || p.records != 200 {
		t.Errorf("%d calls with %d records, want one call to each of two nodes", p.calls, p.records)
	}
}

// TestRefresh checks that the record of a stream in progress comes back to a node that has started again and lost it, and
// that one of a stream that has ended does not.
func TestRefresh(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p, fleet := newFleet(clock, 4, nil)
	r, over := testRecord(clock, "in progress"), testRecord(clock, "ended")
	fleet[0].Began(r)
	fleet[0].Began(over)()
	clock.Advance(sendDelay)
	eventually(t, "the first copies", func() bool { return len(p.keepers(r.Key)) == 3 && len(p.keepers(over.Key)) == 3 })
	for _, n := range fleet[1:] {
		n.registry = origin.NewRegistry(maxRecords)
	}
	clock.Advance(refreshEvery)
	fleet[0].tick()
	clock.Advance(sendDelay)
	eventually(t, "the copies are back", func() bool { return len(p.keepers(r.Key)) == 3 })
	if got := p.keepers(over.Key); len(got) != 1 {
		t.Errorf("nodes with the record of a stream that has ended: %v, want only the one that began it", got)
	}
}

// TestHandOver checks that a node that stops gives the copies that it keeps to others.
func TestHandOver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p, fleet := newFleet(clock, 5, nil)
	r := testRecord(clock, "1")
	fleet[1].KeepOrigins([]peer.Origin{peer.EncodeOrigin(r, clock.Now())})
	fleet[1].HandOver()
	clock.Advance(sendDelay)
	eventually(t, "copies elsewhere", func() bool { return len(p.keepers(r.Key)) == 3 })
}

// fakeConcluder knows one build, or none.
type fakeConcluder struct{ build string }

func (c fakeConcluder) SoleBuild(context.Context, string, int64) (directory.Build, error) {
	if c.build == "" {
		return directory.Build{}, errors.New("several builds")
	}
	return directory.BuildOf(c.build), nil
}

// TestFindWithoutRecord checks what is found for a stream that no node has a record of, and that a hint to come back is
// given only if a node that did not answer may have one.
func TestFindWithoutRecord(t *testing.T) {
	type result struct {
		Build string
		Kind  refusal.Kind
		Hint  time.Duration
	}
	tests := []struct {
		name  string
		sole  string
		nodes int
		down  []string
		want  result
	}{
		{"one build", "v1", 4, nil, result{Build: "v1"}},
		{"one build, nobody answers", "v1", 4, []string{"n1", "n2", "n3"}, result{Build: "v1"}},
		{"several builds", "", 4, nil, result{Kind: refusal.StreamUnknown}},
		{"several builds, a node does not answer", "", 4, []string{"n2"}, result{Kind: refusal.StreamUnknown, Hint: unansweredHint}},
		{"several builds, no other node", "", 1, nil, result{Kind: refusal.StreamUnknown, Hint: unansweredHint}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, fleet := newFleet(clockwork.NewFakeClock(), tt.nodes, fakeConcluder{tt.sole})
			p.setDown(tt.down...)
			o, err := fleet[0].Find(t.Context(), origin.KeyOf("", "h", "x"), "s", 1)
			got := result{Build: o.Build.String()}
			if err != nil {
				e := refusal.As(err)
				got.Kind, got.Hint = e.Kind, e.RetryHint()
				if !e.NotRun() {
					t.Error("the refusal does not say that the request has not run")
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("Find (-want +got):\n%s", diff)
			}
		})
	}
}
