package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"olivetiller/core/position"
	_ "olivetiller/internal/fixedseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func rec(node string) Record { return Record{Holder: node, Incarnation: node + "-1"} }

// TestTakeover checks in which states of the lease node b should take it over.
func TestTakeover(t *testing.T) {
	tests := []struct {
		name string
		do   func(l *Lease, now time.Time)
		now  time.Time
		want bool
	}{
		{"nothing read", func(*Lease, time.Time) {}, at(0), false},
		{"read to its end and free", func(l *Lease, now time.Time) { l.CaughtUp(0, now) }, at(0), true},
		{"another node holds it", func(l *Lease, now time.Time) { l.Apply(0, rec("a"), at(0)); l.CaughtUp(1, now) }, at(2400), false},
		{"the other is silent", func(l *Lease, now time.Time) { l.Apply(0, rec("a"), at(0)); l.CaughtUp(1, now) }, at(2500), true},
		{"the other renewed", func(l *Lease, now time.Time) {
			l.Apply(0, rec("a"), at(0))
			l.Apply(1, rec("a"), at(2000))
			l.CaughtUp(2, now)
		}, at(4400), false},
		{"the other gave it up", func(l *Lease, now time.Time) {
			l.Apply(0, rec("a"), at(0))
			l.Apply(1, Record{Holder: "a", Incarnation: "a-1", Release: true}, at(100))
			l.CaughtUp(2, now)
		}, at(100), true},
		{"a former holder gave it up late", func(l *Lease, now time.Time) {
			l.Apply(0, rec("a"), at(0))
			l.Apply(1, rec("c"), at(3000))
			l.Apply(2, Record{Holder: "a", Incarnation: "a-1", Release: true}, at(3100))
			l.CaughtUp(3, now)
		}, at(3200), false},
		{"a former life of this node holds it", func(l *Lease, now time.Time) {
			l.Apply(0, Record{Holder: "b", Incarnation: "b-0"}, at(0))
			l.CaughtUp(1, now)
		}, at(10), true},
		{"silent, but the topic was not read lately", func(l *Lease, _ time.Time) {
			l.Apply(0, rec("a"), at(0))
			l.CaughtUp(1, at(1000))
		}, at(2600), false},
		{"named and told, silent, not read at all", func(l *Lease, _ time.Time) {
			l.SetSuccession(true, 0)
			l.Apply(4, rec("a"), at(0))
		}, at(2500), true},
		{"named, and refused once", func(l *Lease, _ time.Time) {
			l.SetSuccession(true, 0)
			l.Apply(4, rec("a"), at(0))
			l.Failed(l.Begin(at(2500), nil), at(2510))
		}, at(3500), false},
		{"named, refused once, and read", func(l *Lease, now time.Time) {
			l.SetSuccession(true, 0)
			l.Apply(4, rec("a"), at(0))
			l.Failed(l.Begin(at(2500), nil), at(2510))
			l.CaughtUp(5, now)
		}, at(3500), true},
		{"an append has just failed", func(l *Lease, now time.Time) {
			l.CaughtUp(0, now)
			l.Failed(l.Begin(at(0), nil), at(10))
		}, at(400), false},
		{"an append is in flight", func(l *Lease, now time.Time) { l.CaughtUp(0, now); l.Begin(at(0), nil) }, at(5000), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New(rec("b"), 0)
			tt.do(l, tt.now)
			if got := l.ShouldAppend(tt.now); got != tt.want {
				t.Errorf("ShouldAppend(%v) = %t, want %t", tt.now.Sub(start), got, tt.want)
			}
		})
	}
}

// TestDroppedRecordsDelayTakeover guards against a second holder after the store has dropped records: a node that had not read
// the latest renewals, since it was cut off, suspended or not started yet, took the lease from their writer.
func TestDroppedRecordsDelayTakeover(t *testing.T) {
	tests := []struct {
		name string
		do   func(l *Lease)
		// want are the answers of ShouldAppend 3, 5.4 and 5.6 s after the start; the node finds the gap after 3 s.
		want []bool
	}{
		{"renewals of the holder", func(l *Lease) { l.Apply(0, rec("a"), at(0)); l.CaughtUp(9, at(3000)) }, []bool{false, false, true}},
		{"all records", func(l *Lease) { l.CaughtUp(9, at(3000)) }, []bool{false, false, true}},
		{"records of others since this node held it", func(l *Lease) { l.Apply(0, rec("b"), at(0)); l.CaughtUp(9, at(3000)) }, []bool{false, false, true}},
		{"none, and the lease is silent", func(l *Lease) { l.Apply(8, rec("a"), at(0)); l.CaughtUp(9, at(3000)) }, []bool{true, true, true}},
		{"some, but not a release", func(l *Lease) {
			l.Apply(0, rec("a"), at(0))
			l.Apply(8, Record{Holder: "a", Incarnation: "a-1", Release: true}, at(3000))
			l.CaughtUp(9, at(3000))
		}, []bool{true, true, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New(rec("b"), 0)
			tt.do(l)
			var got []bool
			for _, ms := range []int{3000, 5400, 5600} {
				l.CaughtUp(9, at(ms))
				got = append(got, l.ShouldAppend(at(ms)))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("ShouldAppend (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDroppedTakeoverRaisesFence guards against a node that orders under its old fencing number after the store has dropped the
// takeover of another node, which had a higher one.
func TestDroppedTakeoverRaisesFence(t *testing.T) {
	l := New(rec("a"), 0)
	l.CaughtUp(0, at(0))
	l.Acknowledged(l.Begin(at(0), nil), 0, at(4))
	l.Apply(9, Record{Holder: "c", Incarnation: "c-1", Release: true}, at(6000))
	l.Acknowledged(l.Begin(at(6000), nil), 10, at(6004))
	if fence, _ := l.Held(at(6004)); fence != 11 {
		t.Errorf("fencing number = %d, want 11", fence)
	}
}

// TestHeld checks that a holder's term counts from before the append was sent, and that only an
// acknowledged append of this incarnation gives the right to send orders.
func TestHeld(t *testing.T) {
	l := New(rec("a"), 0)
	l.CaughtUp(7, at(0))
	l.Acknowledged(l.Begin(at(0), nil), 7, at(400))
	type held struct {
		Fence uint64
		OK    bool
	}
	heldAt := func(ms int) held {
		f, ok := l.Held(at(ms))
		return held{f, ok}
	}
	got := []held{heldAt(400), heldAt(1799), heldAt(1800)}
	want := []held{{8, true}, {8, true}, {8, false}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("Held (-want +got):\n%s", diff)
	}
	// A renewal without an answer gives no right when it is read back later.
	l.Failed(l.Begin(at(1500), nil), at(1600))
	l.Apply(8, rec("a"), at(6000))
	if _, ok := l.Held(at(6000)); ok {
		t.Error("a renewal read back late gave the right to order")
	}
	// An earlier incarnation of this node is another holder.
	l.Apply(9, Record{Holder: "a", Incarnation: "a-0"}, at(6100))
	if _, ok := l.Held(at(6100)); ok {
		t.Error("the earlier incarnation's record gave this incarnation the right to order")
	}
}

// TestAnswerIsMatchedToItsAppend guards against a node that goes on as the holder after it has given the lease up, because an
// answer to one append, lost or late, was taken for that to another.
func TestAnswerIsMatchedToItsAppend(t *testing.T) {
	type state struct {
		Held, ReleaseDue, ShouldAppend bool
	}
	// The node took the lease 600 ms ago and begins a renewal.
	tests := []struct {
		name string
		do   func(l *Lease, renewal Append)
		want state
	}{
		{"renewed", func(l *Lease, renewal Append) { l.Acknowledged(renewal, 1, at(604)) }, state{Held: true}},
		{"released, the renewal is not answered", func(l *Lease, _ Append) {
			l.Stop()
			l.Acknowledged(l.BeginRelease(at(610)), 1, at(614))
		}, state{}},
		{"handed over, the renewal is not answered", func(l *Lease, _ Append) {
			l.GiveUp()
			l.Acknowledged(l.BeginRelease(at(610)), 1, at(614))
		}, state{}},
		{"stopped, the renewal is acknowledged later", func(l *Lease, renewal Append) {
			l.Stop()
			l.Acknowledged(renewal, 1, at(614))
		}, state{ReleaseDue: true}},
		{"stopped, the renewal is acknowledged later and the release refused", func(l *Lease, renewal Append) {
			l.Stop()
			release := l.BeginRelease(at(610))
			l.Failed(release, at(614))
			l.Acknowledged(renewal, 1, at(615))
		}, state{ReleaseDue: true}},
		{"stopped, the release is not answered and the topic not read", func(l *Lease, renewal Append) {
			l.Stop()
			l.Failed(renewal, at(612))
			l.Failed(l.BeginRelease(at(610)), at(1010))
		}, state{}},
		{"stopped, the release is not answered and the topic read", func(l *Lease, renewal Append) {
			l.Stop()
			l.Failed(renewal, at(612))
			l.Failed(l.BeginRelease(at(610)), at(1010))
			l.CaughtUp(1, at(1020))
		}, state{ReleaseDue: true}},
		{"stopped, an engine was ordered under a higher fence", func(l *Lease, renewal Append) {
			l.Superseded()
			l.Acknowledged(renewal, 1, at(614))
		}, state{}},
		{"handed over, refused, renewed", func(l *Lease, renewal Append) {
			l.Failed(renewal, at(604))
			l.GiveUp()
			l.Failed(l.BeginRelease(at(610)), at(614))
			l.CaughtUp(1, at(700))
			l.Acknowledged(l.Begin(at(1020), nil), 1, at(1024))
		}, state{Held: true}},
		{"an earlier renewal is acknowledged after a later one", func(l *Lease, renewal Append) {
			l.Acknowledged(l.Begin(at(900), nil), 1, at(904))
			l.Acknowledged(renewal, 1, at(905))
		}, state{Held: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New(rec("a"), 0)
			l.CaughtUp(0, at(0))
			l.Acknowledged(l.Begin(at(0), nil), 0, at(4))
			tt.do(l, l.Begin(at(600), nil))
			got := state{ReleaseDue: l.ReleaseDue(at(1100)), ShouldAppend: l.ShouldAppend(at(1100))}
			_, got.Held = l.Held(at(1100))
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("after the answers (-want +got):\n%s", diff)
			}
		})
	}
	t.Run("stopped during a takeover that is acknowledged later", func(t *testing.T) {
		l := New(rec("a"), 0)
		l.CaughtUp(0, at(0))
		takeover := l.Begin(at(0), nil)
		l.Stop()
		l.Acknowledged(takeover, 0, at(4))
		if _, held := l.Held(at(4)); held || !l.ReleaseDue(at(4)) {
			t.Errorf("held = %t, release due = %t, want a release", held, l.ReleaseDue(at(4)))
		}
	})
}

// TestReleaseAfterRestore guards against a former holder that releases the lease of another node: the restore of the store has
// lost the takeover, and the next node took the lease at once, without the wait for that holder's term.
func TestReleaseAfterRestore(t *testing.T) {
	tests := []struct {
		name string
		// restored is when the stopped node reads that the store was restored, in ms; 0 if never. Its term ends after 1,800 ms.
		restored, now int
		want          bool
	}{
		{"no restore", 0, 3000, true},
		{"restored within the term", 1200, 1300, true},
		{"restored within the term, long ago", 1200, 1800, false},
		{"restored after the term", 2000, 2000, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New(rec("a"), 0)
			l.CaughtUp(0, at(0))
			l.Acknowledged(l.Begin(at(0), nil), 0, at(4))
			l.Stop()
			if tt.restored > 0 {
				l.CaughtUp(position.Begin(1), at(tt.restored))
			}
			if got := l.ReleaseDue(at(tt.now)); got != tt.want {
				t.Errorf("ReleaseDue = %t, want %t", got, tt.want)
			}
		})
	}
}

// TestOutlasts checks how long a holder may continue while the store is unreachable, and that any
// sign of another holder ends it.
func TestOutlasts(t *testing.T) {
	held := func() *Lease {
		l := New(rec("a"), 0)
		l.CaughtUp(0, at(0))
		l.Acknowledged(l.Begin(at(0), nil), 0, at(4))
		return l
	}
	tests := []struct {
		name string
		do   func(l *Lease)
		ms   int
		want bool
	}{
		{"never held", func(l *Lease) { *l = *New(rec("a"), 0) }, 10, false},
		{"ran out", func(*Lease) {}, 10000, true},
		{"ran out long ago", func(*Lease) {}, 16800, false},
		{"another holder is known", func(l *Lease) { l.Apply(1, rec("b"), at(3000)) }, 3001, false},
		{"an engine has seen a higher fence", func(l *Lease) { l.Superseded() }, 3001, false},
		{"given up", func(l *Lease) { l.GiveUp() }, 10, false},
		{"stopped", func(l *Lease) { l.Stop() }, 10, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := held()
			tt.do(l)
			if got := l.mayOutlast(at(tt.ms)); got != tt.want {
				t.Errorf("mayOutlast after %d ms = %t, want %t", tt.ms, got, tt.want)
			}
		})
	}
}

// pendingAppend is an append in flight to the log of the model.
type pendingAppend struct {
	node, at int
	append   Append
	// arrives is when the append takes effect; answer is true if it is then acknowledged or refused.
	arrives time.Time
	answer  bool
	// givesUp is when the node stops to await the answer, which is still open while awaited is true.
	givesUp time.Time
	awaited bool
	// done is true once the append has taken effect or was refused.
	done bool
}

// logModel models a log and nodes whose answers may be lost, whose appends may be late and which may freeze.
type logModel struct {
	log   []Record
	nodes []*Lease
	read  []int
	// readEra is the era that each node last read in, era the store's current one. restores is true if
	// the schedule restores the store from backups.
	readEra  []uint64
	era      uint64
	restores bool
	// releases is true if nodes hand the lease over or stop, and await the answer to an append for some time.
	releases bool
	frozen   []time.Time
	pending  []pendingAppend
	now      time.Time
}

// TestOneHolder runs random schedules of reads, late appends, lost answers, freezes and restarts. At no
// time may two nodes hold the lease, and fencing numbers must only rise.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSchedule(t, &logModel{now: start}) })
}

// TestOneHolderOverRestores runs the same schedules with a store that is restored from a backup at any time
// and to any length, also twice in a row, while appends are in flight that take effect afterwards. It
// finds two holders or a falling fencing number if the era is missing from records or from fencing
// numbers, or if nodes do not wait for a holder whose record the restore lost.
func TestOneHolderOverRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSchedule(t, &logModel{now: start, restores: true}) })
}

// TestOneHolderOverReleases runs the same schedules with handovers and planned stops, which release the lease while a renewal
// awaits its answer. It guards against a node that takes the answer to its release for one to the renewal, and goes on as the
// holder beside the next one.
func TestOneHolderOverReleases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSchedule(t, &logModel{now: start, releases: true}) })
}

// actions returns the highest number of an action of runSchedule.
func (w *logModel) actions() int {
	if w.releases {
		return 11
	}
	return 9
}

// runSchedule runs one random schedule.
func runSchedule(t *rapid.T, w *logModel) {
	const n = 3
	for i := range n {
		w.nodes = append(w.nodes, New(Record{Holder: fmt.Sprint(i), Incarnation: "0"}, time.Duration(i)*100*time.Millisecond))
		w.read, w.readEra = append(w.read, 0), append(w.readEra, 0)
		w.frozen = append(w.frozen, time.Time{})
	}
	var highest uint64
	for step := range 200 {
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		w.executeDue()
		i := rapid.IntRange(0, n-1).Draw(t, "node")
		if w.now.Before(w.frozen[i]) {
			continue
		}
		switch rapid.IntRange(0, w.actions()).Draw(t, "what") {
		case 10:
			// A handover, or a planned stop: the process runs on until it is replaced.
			if rapid.Bool().Draw(t, "stop") {
				w.nodes[i].Stop()
			} else {
				w.nodes[i].GiveUp()
			}
			w.appendIfWanted(t, i)
		case 0:
			w.frozen[i] = w.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "freeze")) * time.Millisecond)
		case 1:
			w.nodes[i] = New(Record{Holder: fmt.Sprint(i), Incarnation: fmt.Sprint(step)}, time.Duration(i)*100*time.Millisecond)
			w.read[i] = 0
		case 2:
			if w.restores && rapid.IntRange(0, 1).Draw(t, "putBack") == 0 {
				w.restore(rapid.IntRange(max(0, len(w.log)-8), len(w.log)).Draw(t, "end"))
			}
			w.catchUp(i)
		case 3, 4, 5:
			w.catchUp(i)
		default:
			w.appendIfWanted(t, i)
		}
		highest = w.check(t, highest)
	}
}

// executeDue executes the appends that are due, and ends the waits for answers.
func (w *logModel) executeDue() {
	var later []pendingAppend
	for _, p := range w.pending {
		rec, l := p.append.Record, w.nodes[p.node]
		// A process that has ended awaits nothing.
		p.awaited = p.awaited && l.self.SameIncarnation(rec)
		if !p.done && !w.now.Before(p.arrives) {
			p.done = true
			ok := p.at == len(w.log) && (rec.Era == w.era || w.restores)
			if ok {
				w.log = append(w.log, rec)
			}
			switch {
			case !p.awaited || !p.answer:
			case ok && rec.Era == w.era && !w.now.Before(w.frozen[p.node]):
				l.Acknowledged(p.append, w.at(p.at), w.now)
				p.awaited = false
			default:
				l.Failed(p.append, w.now)
				p.awaited = false
			}
		}
		if p.awaited && !w.now.Before(p.givesUp) {
			l.Failed(p.append, w.now)
			p.awaited = false
		}
		if !p.done || p.awaited {
			later = append(later, p)
		}
	}
	w.pending = later
}

// at returns the position of an offset in the store's era.
func (w *logModel) at(offset int) position.Position { return position.Begin(w.era) + uint64(offset) }

func (w *logModel) catchUp(i int) {
	if w.readEra[i] != w.era {
		// Read from the start: after the restore the same offsets may hold other records.
		w.read[i], w.readEra[i] = 0, w.era
	}
	for ; w.read[i] < len(w.log); w.read[i]++ {
		w.nodes[i].Apply(w.at(w.read[i]), w.log[w.read[i]], w.now)
	}
	w.nodes[i].CaughtUp(w.at(len(w.log)), w.now)
}

// restore restores the store from a backup that ends at an offset, in a new era.
func (w *logModel) restore(end int) {
	w.log = slices.Clone(w.log[:end])
	w.era++
}

func (w *logModel) appendIfWanted(t *rapid.T, i int) {
	l := w.nodes[i]
	switch {
	case l.ReleaseDue(w.now):
		w.send(t, i, l.BeginRelease(w.now))
	case l.ShouldAppend(w.now):
		w.send(t, i, l.Begin(w.now, nil))
	}
}

// send carries an append out, in time or late, and answers it or not.
func (w *logModel) send(t *rapid.T, i int, a Append) {
	const patience = 1500 * time.Millisecond
	late := time.Duration(rapid.SampledFrom([]int{4, 4, 4, 300, 3000, 6000}).Draw(t, "late")) * time.Millisecond
	answer := rapid.IntRange(0, 3).Draw(t, "answer") > 0
	p := pendingAppend{node: i, at: int(position.Offset(a.At)), append: a, arrives: w.now.Add(late), answer: answer, givesUp: w.now.Add(patience), awaited: true}
	if !w.releases && (late > patience || !answer) {
		w.nodes[i].Failed(a, w.now)
		p.answer, p.awaited = false, false
	}
	w.pending = append(w.pending, p)
}

func (w *logModel) check(t *rapid.T, highest uint64) uint64 {
	holders := 0
	for _, l := range w.nodes {
		if fence, ok := l.Held(w.now); ok {
			holders++
			if fence < highest {
				t.Fatalf("fencing number %d follows %d, want it to rise", fence, highest)
			}
			highest = fence
		}
	}
	if holders > 1 {
		t.Fatalf("%d nodes hold the lease at the same time", holders)
	}
	return highest
}

// TestFormerHolderWaits guards against a node that released the lease and took it again without its
// delay, because it still counted the delay from when the lease was free before its first takeover.
func TestFormerHolderWaits(t *testing.T) {
	l := New(Record{Holder: "a", Incarnation: "a-1"}, 100*time.Millisecond)
	l.CaughtUp(0, start)
	l.ShouldAppend(start)
	l.CaughtUp(0, at(200))
	if !l.ShouldAppend(at(200)) {
		t.Fatal("ShouldAppend = false after the delay, although the lease is free")
	}
	l.Acknowledged(l.Begin(at(200), nil), 0, at(210))
	l.GiveUp()
	l.Acknowledged(l.BeginRelease(at(4990)), 1, at(5000))
	l.CaughtUp(2, at(5000))
	got := []bool{l.ShouldAppend(at(5000)), l.ShouldAppend(at(5099)), l.ShouldAppend(at(5100))}
	if diff := cmp.Diff([]bool{false, false, true}, got); diff != "" {
		t.Errorf("ShouldAppend immediately, just before and after the delay (-want +got):\n%s", diff)
	}
}

// TestAckOfAnotherEra guards against a node that holds the lease by its own record of an earlier era,
// which the restored store has acknowledged. It then held without a fencing number, and engines that
// check fencing numbers refused all its orders.
func TestAckOfAnotherEra(t *testing.T) {
	l := New(Record{Holder: "a", Incarnation: "a-1"}, 0)
	l.CaughtUp(0, start)
	l.Acknowledged(l.Begin(start, nil), position.Begin(1), at(10))
	if fence, held := l.Held(at(10)); held {
		t.Errorf("the lease is held under fencing number %d by a record of an earlier era", fence)
	}
}
