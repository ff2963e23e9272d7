package quarantinelab

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"olivetiller/core/quarantine"
	"olivetiller/io/peer"
)

// base is when an experiment begins.
var base = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is something that happens at a moment.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is one node with what it knows.
type node struct {
	index    int
	registry *quarantine.Registry
	tracker  *quarantine.Tracker
	// suspects counts its runs at engines of requests under which engines may end.
	suspects map[*engine]int
	// reportedTo and toldTo are as far as it told the holder, and the holder it.
	reportedTo, toldTo uint64
	// reporting is set while a report is due.
	reporting bool
	// frozenUntil is when it goes on; wellSince since when it has been well.
	frozenUntil, wellSince time.Duration
	// marks are as far as it told other nodes.
	marks map[*node]uint64
}

// engine is one engine; a new life of it has another number.
type engine struct {
	index, life int
	up          bool
	runs        map[*run]bool
}

func (e *engine) name() string { return fmt.Sprint("e", e.index) }

// request is what callers send again and again.
type request struct {
	f quarantine.Fingerprint
	// deadly is its number among the deadly ones, -1 for a proper one.
	deadly int
	tries  int
	avoid  []*engine
}

// run is one request at one engine.
type run struct {
	r       *request
	n       *node
	e       *engine
	tracked *quarantine.Run
	attempt int
	suspect bool
}

// lab is one experiment in progress.
type lab struct {
	cfg     Config
	rnd     *rand.Rand
	now     time.Duration
	seq     int
	queue   events
	nodes   []*node
	engines []*engine
	// holder is the node that unites all blames; nil while there is none.
	holder *node
	// kept is what the store keeps.
	kept    map[quarantine.Fingerprint]quarantine.Entry
	deadly  []*request
	thirdAt []time.Duration
	// verdictAt is when a deadly request was convicted first, and knownTo the nodes that know it.
	verdictAt []time.Duration
	knownTo   []map[*node]bool
	result    Result
	requests  int
}

// Run plays an experiment.
func Run(cfg Config) Result {
	l := &lab{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 7)), kept: make(map[quarantine.Fingerprint]quarantine.Entry),
		thirdAt: make([]time.Duration, cfg.Deadly), verdictAt: make([]time.Duration, cfg.Deadly), knownTo: make([]map[*node]bool, cfg.Deadly),
	}
	l.result = Result{Ends: make([]int, cfg.Deadly), Before: make([]int, cfg.Deadly), Late: make([]int, cfg.Deadly), Everywhere: make([]time.Duration, cfg.Deadly)}
	for i := range cfg.Nodes {
		l.nodes = append(l.nodes, l.newNode(i))
	}
	for i := range cfg.Engines {
		l.engines = append(l.engines, &engine{index: i, up: true, runs: make(map[*run]bool)})
	}
	l.setHolder(l.nodes[0])
	l.schedule()
	for len(l.queue) > 0 {
		e := heap.Pop(&l.queue).(event)
		if e.at > cfg.Duration {
			break
		}
		l.now = e.at
		e.do()
	}
	return l.result
}

func (l *lab) newNode(i int) *node {
	n := &node{
		index: i, registry: quarantine.NewRegistry(base), tracker: quarantine.NewTracker(),
		suspects: make(map[*engine]int), marks: make(map[*node]uint64),
	}
	n.registry.SetEngines(l.cfg.Engines)
	n.registry.SetWhole(false)
	return n
}

func (l *lab) time() time.Time { return base.Add(l.now) }

// after has something done later.
func (l *lab) after(d time.Duration, do func()) {
	l.seq++
	heap.Push(&l.queue, event{l.now + d, l.seq, do})
}

// about draws a time between one and two times d.
func (l *lab) about(d time.Duration) time.Duration {
	return d + time.Duration(l.rnd.Int64N(int64(d)+1))
}

// mean draws an exponential time.
func (l *lab) mean(d time.Duration) time.Duration {
	return time.Duration(float64(d) * -math.Log(1-l.rnd.Float64()))
}

// within draws a moment of the middle of the experiment.
func (l *lab) within() time.Duration {
	return l.cfg.Duration/20 + time.Duration(l.rnd.Int64N(int64(l.cfg.Duration*9/10)))
}

// schedule lays down what comes by itself.
func (l *lab) schedule() {
	l.arrive()
	for i := range l.cfg.Deadly {
		r := l.request(i)
		l.deadly = append(l.deadly, r)
		series := l.cfg.Duration / time.Duration(l.cfg.Deadly)
		from, to := series*time.Duration(i)+2*time.Second, series*time.Duration(i+1)
		l.after(from, func() { l.repeat(r, to) })
	}
	racks := int(l.cfg.Outside*float64(l.cfg.Engines)/float64(max(1, l.cfg.Rack)) + 0.5)
	for range racks {
		l.after(l.within(), l.crashOutside)
	}
	for range l.cfg.HolderLost {
		l.after(l.within(), l.loseHolder)
	}
	for range l.cfg.Frozen {
		l.after(l.within(), l.freeze)
	}
	for range l.cfg.Replaced {
		l.after(l.within(), l.replace)
	}
	l.after(exchangeEvery, l.exchange)
}

func (l *lab) request(deadly int) *request {
	l.requests++
	d := quarantine.DigestOf("POST", "h", fmt.Sprint("/", l.requests), nil)
	return &request{f: quarantine.FingerprintOf("", d), deadly: deadly}
}

// arrive has the next proper request come.
func (l *lab) arrive() {
	l.after(l.mean(time.Duration(float64(time.Second)/l.cfg.Rate)), func() {
		l.result.Proper++
		l.try(l.request(-1))
		l.arrive()
	})
}

// repeat has a deadly request come until the end of its series, and twice long after.
func (l *lab) repeat(r *request, until time.Duration) {
	r.tries, r.avoid = 0, nil
	l.try(r)
	if next := l.mean(l.cfg.Repeat); l.now+next < until {
		l.after(next, func() { l.repeat(r, until) })
	}
}

// try sends a caller's try to a node.
func (l *lab) try(r *request) {
	r.tries++
	n := l.nodes[l.rnd.IntN(len(l.nodes))]
	l.attempt(r, n, 1)
}

// attempt is one attempt of a node, once it goes on if it stands still.
func (l *lab) attempt(r *request, n *node, k int) {
	if n.frozenUntil > l.now {
		l.after(n.frozenUntil-l.now, func() { l.attempt(r, n, k) })
		return
	}
	if l.cfg.Off {
		l.send(r, n, k)
		return
	}
	if wait := n.registry.Unsettled(r.f, l.time()); wait > 0 {
		l.after(wait, func() { l.attempt(r, n, k) })
		return
	}
	l.judge(n)
	if _, held := n.registry.Held(r.f, l.time()); held {
		if r.deadly < 0 {
			l.result.Bystanders++
		}
		return
	}
	l.send(r, n, k)
}

// send sends a request to the engine that suits it best.
func (l *lab) send(r *request, n *node, k int) {
	state := n.registry.State(r.f)
	suspect := state == quarantine.Suspected || state == quarantine.Isolated
	e := l.choose(r, n, suspect)
	if e == nil {
		l.fail(r)
		return
	}
	if r.deadly >= 0 && l.thirdAt[r.deadly] > 0 && l.now > l.thirdAt[r.deadly]+l.cfg.Contact && l.now-n.wellSince >= l.cfg.Contact {
		l.result.Late[r.deadly]++
	}
	u := &run{r: r, n: n, e: e, attempt: k, suspect: suspect}
	u.tracked = n.tracker.Send(r.f, quarantine.Life{Engine: e.name(), Start: int64(e.life + 1)}, l.time())
	e.runs[u] = true
	if suspect {
		n.suspects[e]++
	}
	l.after(sendTime+l.mean(queueTime), func() { l.begin(u) })
}

// choose is the engine with the least work; suspects go apart from each other.
func (l *lab) choose(r *request, n *node, suspect bool) *engine {
	var best *engine
	bestScore := 0
	for _, e := range l.engines {
		if !e.up {
			continue
		}
		score := len(e.runs)
		if slices.Contains(r.avoid, e) {
			score += 1 << 20
		}
		if suspect {
			score += n.suspects[e]<<12 + int(r.f[e.index%len(r.f)]%4)
		} else {
			score += 4 * n.suspects[e]
		}
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// begin has an engine begin a run.
func (l *lab) begin(u *run) {
	if !u.e.runs[u] {
		return
	}
	u.n.tracker.Begin(u.tracked, l.time())
	if u.r.deadly >= 0 {
		l.after(l.about(l.cfg.Crash/2), func() {
			if u.e.runs[u] {
				l.endUnder(u)
			}
		})
		return
	}
	l.after(l.mean(l.cfg.Run), func() {
		if u.e.runs[u] {
			l.answer(u)
		}
	})
}

// answer ends a run well.
func (l *lab) answer(u *run) {
	delete(u.e.runs, u)
	l.leave(u)
	u.n.tracker.Answer(u.tracked, true, l.time())
	if !l.cfg.Off && u.n.registry.Answered(u.r.f, l.time()) {
		l.report(u.n)
	}
	l.result.Served++
}

func (l *lab) leave(u *run) {
	if u.suspect {
		u.n.suspects[u.e]--
	}
}

// endUnder ends an engine under a deadly request.
func (l *lab) endUnder(u *run) {
	d := u.r.deadly
	l.result.Ends[d]++
	if l.verdictAt[d] == 0 {
		l.result.Before[d]++
	}
	if l.result.Ends[d] == 3 {
		l.thirdAt[d] = l.now
	}
	l.end(u.e)
}

// crashOutside ends the engines of a rack.
func (l *lab) crashOutside() {
	for range l.cfg.Rack {
		if e := l.engines[l.rnd.IntN(len(l.engines))]; e.up {
			l.result.Outside++
			l.end(e)
		}
	}
}

// end ends an engine with all that it runs, and starts it again.
func (l *lab) end(e *engine) {
	e.up = false
	runs := make([]*run, 0, len(e.runs))
	for u := range e.runs {
		runs = append(runs, u)
	}
	slices.SortFunc(runs, func(a, b *run) int { return slices.Compare(a.r.f[:], b.r.f[:]) })
	e.runs = make(map[*run]bool)
	life := quarantine.Life{Engine: e.name(), Start: int64(e.life + 1)}
	for _, u := range runs {
		l.leave(u)
		l.after(l.about(noticeTime), func() { l.broke(u, life) })
	}
	e.life++
	l.after(l.cfg.Back, func() { e.up = true })
}

// broke has a node notice that a connection broke, and that the engine has ended.
func (l *lab) broke(u *run, life quarantine.Life) {
	if u.n.frozenUntil > l.now {
		l.after(u.n.frozenUntil-l.now, func() { l.broke(u, life) })
		return
	}
	if !l.cfg.Off {
		l.blame(u, life)
	}
	if u.attempt < l.cfg.Attempts {
		u.r.avoid = append(u.r.avoid, u.e)
		l.attempt(u.r, u.n, u.attempt+1)
		return
	}
	l.fail(u.r)
}

func (l *lab) blame(u *run, life quarantine.Life) {
	n, now := u.n, l.time()
	if b, known := n.tracker.Break(u.tracked, now); known {
		n.registry.Blame([]quarantine.Fingerprint{u.r.f}, []quarantine.Blame{b}, now)
	} else if id, fs, bs := n.tracker.End(life, now); len(fs) > 0 {
		n.registry.Ended(id, now)
		n.registry.Blame(fs, bs, now)
	}
	l.settle(n)
	l.report(n)
}

// settle has a node judge once the latest ends have settled.
func (l *lab) settle(n *node) {
	if n.registry.Pending() {
		l.after(quarantine.Settle, func() { l.judge(n) })
	}
}

// judge has a node judge what has settled.
func (l *lab) judge(n *node) {
	if len(n.registry.Judge(l.time())) > 0 {
		l.told(n)
	}
}

// fail ends a try; the caller tries once more.
func (l *lab) fail(r *request) {
	if r.tries < 2 {
		l.after(l.mean(callerPause), func() { l.try(r) })
	}
}

// size counts a message and its length.
func (l *lab) size(entries []quarantine.Entry) {
	raw, err := json.Marshal(peer.Suspects(entries, l.time()))
	if err != nil {
		panic(err)
	}
	l.result.Messages++
	l.result.Bytes += len(raw)
}
