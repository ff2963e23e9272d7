package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"olivetiller/core/position"
)

// turnPolicy is a way to decide which engines a holder may order.
type turnPolicy int

const (
	// byTurns is that of [Turns].
	byTurns turnPolicy = iota
	// noWait orders as soon as the lease is held.
	noWait
	// waitAll orders when the bound has passed since the last moment at which another node may have ordered any engine.
	waitAll
	// waitNamed is waitAll, but a holder that releases the lease names the engines that it has ordered.
	waitNamed
)

// turnFault leaves a guard of [Turns] out.
type turnFault int

const (
	noFault turnFault = iota
	// restartForgets takes an earlier process of the node for one that has ordered nothing.
	restartForgets
	// unansweredArrived takes an order without an answer for one that arrives no more.
	unansweredArrived
	// gapUnnoticed overlooks records that were lost.
	gapUnnoticed
	// releaseAtOnce releases the lease before the calls of orders have ended.
	releaseAtOnce
)

// arrival is an order as an engine receives it.
type arrival struct {
	node  int
	fence uint64
	at    time.Time
	// outlived is true if the order was late and its sender has lost the lease meanwhile without releasing it: its process has
	// ended, or it took longer than Margin. No holder knows of such an order.
	outlived bool
}

// turnEvent is something that happens at a time of the model.
type turnEvent struct {
	at time.Time
	do func()
}

// turnNode is one node of the model.
type turnNode struct {
	*Lease
	turns *Turns
	// life counts the node's processes; down is until when none runs, frozen until when it is suspended, and cutOff until when
	// it does not reach the store.
	life                 int
	down, frozen, cutOff time.Time
	read                 int
	readEra              uint64
	nextRead             time.Time
	// notBefore is the limit of waitAll and waitNamed, by engine.
	notBefore map[int]time.Time
	nextOrder []time.Time
}

// turnModel plays a log, nodes and engines that check no fencing numbers in virtual time.
type turnModel struct {
	rnd    *rand.Rand
	policy turnPolicy
	fault  turnFault
	now    time.Time
	log    []Record
	// dropped is the offset of the first record that the store still has.
	dropped int
	era     uint64
	nodes   []*turnNode
	engines [][]arrival
	events  []turnEvent
	// every is the mean interval of the orders that a holder sends to each engine.
	every time.Duration
	// lateOrders makes some orders arrive late, or without an answer.
	lateOrders bool
	// named holds for waitNamed when each engine was ordered last, as the last release has named it.
	named map[int]time.Time
}

const turnStep = 10 * time.Millisecond

// usualDelay is the duration of a call to the store or to an engine.
const usualDelay = 5 * time.Millisecond

// feedDelay is by how much a node learns of a record later than the holder.
const feedDelay = 500 * time.Millisecond

func newTurnModel(seed uint64, nodes, engines int, policy turnPolicy) *turnModel {
	w := &turnModel{rnd: rand.New(rand.NewPCG(seed, 7)), policy: policy, now: start, every: 300 * time.Millisecond,
		engines: make([][]arrival, engines), named: make(map[int]time.Time)}
	for i := range nodes {
		w.nodes = append(w.nodes, &turnNode{})
		w.start(i)
	}
	return w
}

func (w *turnModel) name(i int) string { return fmt.Sprintf("n%03d", i) }

// start starts a process of a node.
func (w *turnModel) start(i int) {
	n := w.nodes[i]
	n.life++
	n.Lease = New(Record{Holder: w.name(i), Incarnation: fmt.Sprint(w.name(i), "-", n.life)}, w.delay(i))
	n.turns = NewTurns(turnBound, w.now)
	n.read, n.readEra, n.nextRead = 0, 0, time.Time{}
	n.notBefore, n.nextOrder = make(map[int]time.Time), make([]time.Time, len(w.engines))
	if w.fault == restartForgets {
		n.turns.startedAt = w.now.Add(-time.Hour)
	}
}

// delay is the takeover delay of a node: the lowest running one is the successor.
func (w *turnModel) delay(i int) time.Duration {
	return min(time.Duration(i)*100*time.Millisecond, 800*time.Millisecond)
}

// later has something happen after a while.
func (w *turnModel) later(d time.Duration, do func()) {
	w.events = append(w.events, turnEvent{w.now.Add(d), do})
}

func (w *turnModel) runs(n *turnNode) bool { return !w.now.Before(n.down) && !w.now.Before(n.frozen) }

// step advances the model by turnStep.
func (w *turnModel) step() {
	w.now = w.now.Add(turnStep)
	var due []turnEvent
	w.events = slices.DeleteFunc(w.events, func(e turnEvent) bool {
		if e.at.After(w.now) {
			return false
		}
		due = append(due, e)
		return true
	})
	slices.SortStableFunc(due, func(a, b turnEvent) int { return a.at.Compare(b.at) })
	for _, e := range due {
		e.do()
	}
	for i, n := range w.nodes {
		if !w.runs(n) {
			continue
		}
		w.readLog(i)
		w.keepLease(i)
		w.order(i)
	}
}

// at returns the position of an offset in the store's era.
func (w *turnModel) at(offset int) position.Position { return position.Begin(w.era) + uint64(offset) }

// readLog has a node read the topic, unless it holds the lease.
func (w *turnModel) readLog(i int) {
	n := w.nodes[i]
	_, held := n.Held(w.now)
	if w.now.Before(n.nextRead) || w.now.Before(n.cutOff) || held && n.readEra == w.era {
		return
	}
	n.nextRead = w.now.Add(time.Duration(w.rnd.Int64N(int64(feedDelay))))
	if n.readEra != w.era {
		n.read, n.readEra = 0, w.era
	}
	before := n.otherAt
	n.read = max(n.read, w.dropped)
	for ; n.read < len(w.log); n.read++ {
		n.Apply(w.at(n.read), w.log[n.read], w.now)
		n.limit(w, w.log[n.read])
	}
	n.CaughtUp(w.at(len(w.log)), w.now)
	if holder, _ := n.Holder(); w.fault == gapUnnoticed && holder.Holder == "" {
		n.otherAt = before
	}
}

// limit applies waitAll and waitNamed to a record that a node has read.
func (n *turnNode) limit(w *turnModel, r Record) {
	if r.Holder == n.self.Holder {
		return
	}
	for e := range w.engines {
		until := w.now.Add(TTL - Margin)
		if r.Release {
			until = w.now
			if w.policy == waitNamed {
				until = w.named[e]
			}
		}
		if at := until.Add(turnBound); r.Release || at.After(n.notBefore[e]) {
			n.notBefore[e] = at
		}
	}
}

// keepLease has a node renew, take or release the lease.
func (w *turnModel) keepLease(i int) {
	n := w.nodes[i]
	if n.ReleaseDue(w.now) {
		if !n.turns.Settled(w.now) && w.fault != releaseAtOnce {
			return
		}
		for e := range w.engines {
			if l := w.engines[e]; len(l) > 0 {
				w.named[e] = l[len(l)-1].at
			}
		}
		w.append(i, n.BeginRelease(w.now))
		return
	}
	if !n.ShouldAppend(w.now) {
		return
	}
	n.SetReturned(n.turns.Waiting(n.Lease, w.now) > 0)
	a := n.Begin(w.now, nil)
	if w.now.Before(n.cutOff) {
		n.Failed(a, w.now)
		return
	}
	w.append(i, a)
}

// append carries out an append at the end that a node has read, and answers it.
func (w *turnModel) append(i int, a Append) {
	n, life := w.nodes[i], w.nodes[i].life
	w.later(usualDelay, func() {
		if a.At != w.at(len(w.log)) {
			if n.life == life {
				n.Failed(a, w.now)
			}
			return
		}
		w.log = append(w.log, a.Record)
		if n.life == life && w.runs(n) {
			n.Acknowledged(a, a.At, w.now)
			n.read, n.readEra = int(position.Offset(a.At))+1, w.era
		}
	})
}

// mayOrder reports whether the policy lets a node that holds the lease order an engine.
func (w *turnModel) mayOrder(n *turnNode, e int) bool {
	switch w.policy {
	case byTurns:
		return n.turns.NotBefore(n.Lease, fmt.Sprint(e), w.now).IsZero()
	case noWait:
		return true
	}
	return !w.now.Before(n.notBefore[e])
}

// order has a node that holds the lease order the engines that are due.
func (w *turnModel) order(i int) {
	n := w.nodes[i]
	fence, held := n.Held(w.now)
	if !held {
		return
	}
	for e := range w.engines {
		if w.now.Before(n.nextOrder[e]) || !w.mayOrder(n, e) {
			continue
		}
		n.nextOrder[e] = w.now.Add(time.Duration(w.rnd.ExpFloat64() * float64(w.every)))
		engine, life, delay := fmt.Sprint(e), n.life, usualDelay
		if w.lateOrders && w.rnd.IntN(20) == 0 {
			delay = time.Duration(w.rnd.Int64N(int64(orderTransit)))
		}
		const callTimeout = time.Second
		self := n.self
		n.turns.Sent(engine, w.now)
		w.later(delay, func() {
			outlived := (delay > Margin || n.life != life) && delay > usualDelay && !slices.ContainsFunc(w.log, func(r Record) bool { return r.Release && r.SameIncarnation(self) })
			w.engines[e] = append(w.engines[e], arrival{i, fence, w.now, outlived})
		})
		w.later(min(delay, callTimeout), func() {
			if n.life == life {
				n.turns.Ended(engine, delay <= callTimeout || w.fault == unansweredArrived, w.now)
			}
		})
	}
}

// holder returns the node that holds the lease; -1 if none does.
func (w *turnModel) holder() int {
	return slices.IndexFunc(w.nodes, func(n *turnNode) bool {
		_, held := n.Held(w.now)
		return held && w.runs(n)
	})
}

// stop has a node release the lease once its orders have ended, and end its process after a while. A new one starts later.
func (w *turnModel) stop(i int, after time.Duration) {
	n, life := w.nodes[i], w.nodes[i].life
	n.Stop()
	w.later(after, func() {
		if n.life == life {
			w.kill(i, 300*time.Millisecond)
		}
	})
}

// kill ends the process of a node; a new one starts after a while.
func (w *turnModel) kill(i int, down time.Duration) {
	n := w.nodes[i]
	n.life++
	life := n.life
	n.down = w.now.Add(down)
	w.later(down, func() {
		if n.life == life {
			w.start(i)
		}
	})
}

// broken returns how many arrivals at engines break the platform's rule: a holder orders an engine within the bound of an
// earlier order of its own, with an order of another holder in between; and how many come under a fencing number that is not
// higher than that of another holder before.
func (w *turnModel) broken() (turns, fences int) {
	for _, l := range w.engines {
		slices.SortStableFunc(l, func(a, b arrival) int { return a.at.Compare(b.at) })
		highest := arrival{node: -1}
		for i, a := range l {
			if a.outlived {
				continue
			}
			switch {
			case a.fence <= highest.fence && a.node != highest.node:
				fences++
			case a.fence > highest.fence:
				highest = a
			}
			between := false
			for j := i - 1; j >= 0 && a.at.Sub(l[j].at) < turnBound; j-- {
				if between = between || l[j].node != a.node && !l[j].outlived; between && l[j].node == a.node {
					turns++
					break
				}
			}
		}
	}
	return turns, fences
}
