package directory

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLapses checks after which calls without an answer removals are held back, and until when.
func TestLapses(t *testing.T) {
	const heartbeat, contact = 1200 * time.Millisecond, 3 * time.Second
	// The list was read by a call that was sent at 0.
	tests := []struct {
		name string
		do   func(l *Lapses)
		// want is in ms; 0 if removals take effect at once.
		want int
	}{
		{"no failure", func(l *Lapses) { l.ListRead(at(5000), at(5010)) }, 0},
		{"one lost read", func(l *Lapses) {
			l.Failed(at(300), false)
			l.ListRead(at(5000), at(5010))
		}, 0},
		{"a cut too short for an entry to lapse", func(l *Lapses) {
			l.Failed(at(300), false)
			l.Failed(at(350), false)
			l.Failed(at(1000), false)
			l.ListRead(at(1500), at(1510))
		}, 0},
		{"an outage", func(l *Lapses) {
			l.Failed(at(300), false)
			l.Failed(at(4500), false)
			l.ListRead(at(5000), at(5010))
		}, 7500},
		{"an outage whose end is known exactly", func(l *Lapses) {
			l.Failed(at(300), false)
			l.Failed(at(4900), false)
			l.ListRead(at(5000), at(5010))
		}, 7510},
		{"an outage that another node confirms", func(l *Lapses) {
			l.Failed(at(4500), true)
			l.ListRead(at(5000), at(5010))
		}, 7500},
		{"failures of calls that were sent before the latest one that is answered", func(l *Lapses) {
			l.Failed(at(-200), false)
			l.Failed(at(-100), false)
			l.ListRead(at(5000), at(5010))
		}, 0},
		{"the list was relayed shortly before", func(l *Lapses) {
			l.Failed(at(3300), false)
			l.Failed(at(3700), false)
			l.ListRelayed(at(3000))
			l.ListRead(at(5000), at(5010))
		}, 0},
		{"another node has read the list since", func(l *Lapses) {
			l.Failed(at(300), false)
			l.Failed(at(1000), false)
			l.ListRelayed(at(1500))
			l.ListRead(at(5000), at(5010))
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLapses(heartbeat, contact)
			l.ListRead(at(0), at(5))
			tt.do(l)
			var want time.Time
			if tt.want > 0 {
				want = at(tt.want)
			}
			if diff := cmp.Diff(want, l.HoldUntil()); diff != "" {
				t.Errorf("HoldUntil (-want +got):\n%s", diff)
			}
		})
	}
}

// lapseModel is a store, endpoints that write their entries to it, and a node that reads the list, in virtual time.
type lapseModel struct {
	rnd *rand.Rand
	now time.Time
	// downFrom and downTo are when the store is away from all, cutFrom and cutTo when it is from the node.
	downFrom, downTo, cutFrom, cutTo time.Time
	version                          uint64
	endpoints                        map[string]*lapseEndpoint
	list                             *Directory
	lapses                           *Lapses
	// asked is when the read under way was sent, and answerAt when it ends; zero if none is.
	asked, answerAt time.Time
	fails           bool
	// lostAt is when the latest read was sent that was lost on the node's link, which is a disruption of the node.
	lostAt   time.Time
	nextRead time.Time
	pause    time.Duration
}

// lapseEndpoint is an endpoint of the model.
type lapseEndpoint struct {
	listed   bool
	version  uint64
	wroteAt  time.Time
	writesAt time.Time
	// leftAt is when the store has taken its leave; zero before.
	leftAt time.Time
}

const lapseHeartbeat, lapseContact, lapseDrain = 1200 * time.Millisecond, 3 * time.Second, 2 * time.Second

func (w *lapseModel) within(from, to time.Time) bool { return !w.now.Before(from) && w.now.Before(to) }

func (w *lapseModel) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rnd.Int64N(int64(high-low)+1))
}

// inTouch reports whether no disruption has struck the node or the store within lapseContact.
func (w *lapseModel) inTouch() bool {
	recent := func(from, to time.Time) bool { return !from.After(w.now) && to.Add(lapseContact).After(w.now) }
	return !recent(w.downFrom, w.downTo) && !recent(w.cutFrom, w.cutTo) && !recent(w.lostAt, w.lostAt)
}

// step advances the model by 10 ms.
func (w *lapseModel) step(leaves, losesRead bool) {
	w.now = w.now.Add(10 * time.Millisecond)
	down := w.within(w.downFrom, w.downTo)
	for _, e := range w.endpoints {
		switch {
		case down || !e.leftAt.IsZero():
		case e.listed && w.now.Sub(e.wroteAt) >= 3*lapseHeartbeat:
			// It lapsed while the store was away; the endpoint registers again within two seconds of its return.
			e.listed, e.writesAt = false, w.now.Add(w.between(0, 1900*time.Millisecond))
		case !w.now.Before(e.writesAt):
			w.version++
			e.listed, e.version, e.wroteAt, e.writesAt = true, w.version, w.now, w.now.Add(lapseHeartbeat)
		}
		if leaves && !down && e.listed && e.leftAt.IsZero() {
			leaves, e.listed, e.leftAt = false, false, w.now
		}
	}
	w.read(losesRead)
}

// read has the node read the list: every 0.3 s, and after a failure after a pause that doubles up to 1 s.
func (w *lapseModel) read(loses bool) {
	away := w.within(w.downFrom, w.downTo) || w.within(w.cutFrom, w.cutTo)
	switch {
	case w.answerAt.IsZero() && !w.now.Before(w.nextRead):
		w.asked, w.answerAt, w.fails = w.now, w.now.Add(w.between(0, 20*time.Millisecond)), away || loses
		if loses {
			w.lostAt = w.now
		}
		if w.fails {
			w.answerAt = w.now.Add(w.between(0, 700*time.Millisecond))
		}
	case !w.answerAt.IsZero() && !w.now.Before(w.answerAt):
		w.answerAt = time.Time{}
		if w.fails || away {
			w.lapses.Failed(w.asked, false)
			w.nextRead, w.pause = w.now.Add(max(250*time.Millisecond, w.pause-w.now.Sub(w.asked))), min(2*w.pause, time.Second)
			return
		}
		w.lapses.ListRead(w.asked, w.now)
		w.list.HoldRemovals(w.lapses.HoldUntil())
		var records []Record
		for id, e := range w.endpoints {
			if e.listed {
				records = append(records, Record{ID: id, Version: e.version, Instance: &Instance{ID: id, Start: 1, Service: "s"}})
			}
		}
		w.list.Replace(records, w.version, w.now, ignoreChange)
		w.nextRead, w.pause = w.asked.Add(300*time.Millisecond), 250*time.Millisecond
	}
}

// TestRemovalsAroundOutages plays outages of the store, cuts of the node from it, single lost reads and endpoints that leave. It
// guards against a node in touch that uses an endpoint for longer than the bound after the store has taken its leave, and
// against a node without the endpoints whose entries have lapsed in an outage, until they register again.
func TestRemovalsAroundOutages(t *testing.T) {
	const schedules = 3000
	end := at(16_000)
	missing, lapsed := 0, 0
	for seed := range uint64(schedules) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		w := &lapseModel{rnd: rnd, now: at(0), list: New(), lapses: NewLapses(lapseHeartbeat, lapseContact), endpoints: make(map[string]*lapseEndpoint), pause: 250 * time.Millisecond}
		for _, id := range []string{"a", "b", "c"} {
			w.endpoints[id] = &lapseEndpoint{writesAt: w.now.Add(w.between(0, lapseHeartbeat))}
		}
		length := w.between(100*time.Millisecond, 6*time.Second)
		from := at(4000).Add(w.between(0, time.Second))
		switch rnd.IntN(3) {
		case 0:
			w.downFrom, w.downTo = from, from.Add(length)
		case 1:
			w.cutFrom, w.cutTo = from, from.Add(length)
		}
		leavesAt := at(4000).Add(w.between(0, 7*time.Second)).Truncate(10 * time.Millisecond)
		for w.now.Before(end) {
			w.step(w.now.Equal(leavesAt), rnd.IntN(20) == 0)
			for id, e := range w.endpoints {
				live := w.list.Find(id, w.now) != nil
				switch {
				case !e.leftAt.IsZero():
					if live && w.inTouch() && w.now.Sub(e.leftAt) > lapseDrain {
						t.Errorf("seed %d: endpoint in use at %v, %v after it left", seed, w.now.Sub(at(0)), w.now.Sub(e.leftAt))
						w.now = end
					}
				case !e.wroteAt.IsZero() && !e.listed:
					lapsed++
					if !live {
						missing++
					}
				}
			}
		}
	}
	if missing > 0 || lapsed == 0 {
		t.Errorf("of %d steps with a lapsed entry its endpoint was missing in %d, want some and none", lapsed, missing)
	}
}
