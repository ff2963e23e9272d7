package quarantinelab

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"olivetiller/core/quarantine"
	"olivetiller/internal/eventqueue"
	"olivetiller/io/peer"
)

// epoch is the start of each experiment.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node is one node with its registry and tracker.
type node struct {
	index    int
	registry *quarantine.Registry
	tracker  *quarantine.Tracker
	// suspectRuns counts, for each engine, the node's runs of suspected or isolated requests there.
	suspectRuns map[*engine]int
	// reportedVersion is the version of the node's registry last reported to the lease holder, and
	// receivedVersion that of the lease holder's registry last sent to the node.
	reportedVersion, receivedVersion uint64
	// reportDue is set while a report to the lease holder is scheduled.
	reportDue bool
	// pausedUntil is the time until which the node is paused; healthySince is when it last started
	// or resumed.
	pausedUntil, healthySince time.Duration
	// exchangedVersions holds the version of the node's registry last sent to each other node.
	exchangedVersions map[*node]uint64
}

// engine is one engine; incarnation counts its restarts.
type engine struct {
	index, incarnation int
	up                 bool
	runs               map[*run]bool
}

func (e *engine) name() string { return fmt.Sprint("e", e.index) }

// request is a request that callers may send several times.
type request struct {
	fingerprint quarantine.Fingerprint
	// parts are the parts of its prompt, without the last.
	parts []quarantine.Fingerprint
	// victim is set for a request of the victim.
	victim bool
	// crashingIndex is the index among the crashing requests, -1 for a harmless one.
	crashingIndex int
	tries         int
	// avoid lists the engines that crashed during earlier attempts.
	avoid []*engine
}

// run is one request at one engine, sent by one node. suspect is set if the request was suspected
// or isolated when it was sent.
type run struct {
	r       *request
	n       *node
	e       *engine
	tracked *quarantine.Run
	attempt int
	suspect bool
}

// simulation is the state of a running experiment.
type simulation struct {
	eventqueue.Queue
	cfg     Config
	rnd     *rand.Rand
	nodes   []*node
	engines []*engine
	// holder is the lease holder, which merges the suspicions of all nodes; nil while there is
	// none.
	holder *node
	// stored holds the verdicts written to the store.
	stored   map[quarantine.Fingerprint]quarantine.Entry
	crashing []*request
	// knownAt is when each crashing request, or part, had crashed so many engines that nodes have to know it.
	knownAt []time.Duration
	// verdictAt is when each crashing request was quarantined first, and receivedBy the nodes that
	// have received its verdict.
	verdictAt    []time.Duration
	receivedBy   []map[*node]bool
	result       Result
	requestCount int
}

// Run runs an experiment and returns its figures.
func Run(cfg Config) Result {
	s := &simulation{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 7)), stored: make(map[quarantine.Fingerprint]quarantine.Entry),
		knownAt: make([]time.Duration, cfg.Deadly), verdictAt: make([]time.Duration, cfg.Deadly), receivedBy: make([]map[*node]bool, cfg.Deadly),
	}
	s.result = Result{Ends: make([]int, cfg.Deadly), Before: make([]int, cfg.Deadly), Late: make([]int, cfg.Deadly), Everywhere: make([]time.Duration, cfg.Deadly)}
	for i := range cfg.Nodes {
		s.nodes = append(s.nodes, s.newNode(i))
	}
	for i := range cfg.Engines {
		s.engines = append(s.engines, &engine{index: i, up: true, runs: make(map[*run]bool)})
	}
	s.setHolder(s.nodes[0])
	s.schedule()
	s.Run(cfg.Duration)
	return s.result
}

// newNode returns a node with an empty registry and tracker.
func (s *simulation) newNode(i int) *node {
	n := &node{
		index: i, registry: quarantine.NewRegistry(epoch), tracker: quarantine.NewTracker(),
		suspectRuns: make(map[*engine]int), exchangedVersions: make(map[*node]uint64),
	}
	n.registry.SetEngines(s.cfg.Engines)
	n.registry.SetComplete(false)
	return n
}

func (s *simulation) time() time.Time { return epoch.Add(s.Now) }

// between draws a uniformly distributed time between d and twice d.
func (s *simulation) between(d time.Duration) time.Duration {
	return d + time.Duration(s.rnd.Int64N(int64(d)+1))
}

// exponential draws an exponentially distributed time with mean d.
func (s *simulation) exponential(d time.Duration) time.Duration {
	return time.Duration(float64(d) * -math.Log(1-s.rnd.Float64()))
}

// randomMoment draws a moment between 5% and 95% of the experiment.
func (s *simulation) randomMoment() time.Duration {
	return s.cfg.Duration/20 + time.Duration(s.rnd.Int64N(int64(s.cfg.Duration*9/10)))
}

// schedule schedules the arrivals, the series of crashing requests, and the faults.
func (s *simulation) schedule() {
	s.arrive()
	for i := range s.cfg.Deadly {
		r := s.newRequest(i)
		s.crashing = append(s.crashing, r)
		series := s.cfg.Duration / time.Duration(s.cfg.Deadly)
		from, to := series*time.Duration(i)+2*time.Second, series*time.Duration(i+1)
		s.After(from, func() { s.repeat(r, to) })
	}
	if s.cfg.Victim {
		s.victim()
	}
	groups := int(s.cfg.UnrelatedShare*float64(s.cfg.Engines)/float64(max(1, s.cfg.CrashGroup)) + 0.5)
	for range groups {
		s.After(s.randomMoment(), s.crashUnrelated)
	}
	for range s.cfg.HolderLosses {
		s.After(s.randomMoment(), s.loseHolder)
	}
	for range s.cfg.Pauses {
		s.After(s.randomMoment(), s.pause)
	}
	for range s.cfg.Replacements {
		s.After(s.randomMoment(), s.replace)
	}
	s.After(exchangeInterval, s.exchange)
}

// newRequest returns a request with a fingerprint of its own; index is its index among the crashing
// requests, or -1.
func (s *simulation) newRequest(index int) *request {
	s.requestCount++
	d := quarantine.DigestOf("POST", "h", fmt.Sprint("/", s.requestCount), nil)
	r := &request{fingerprint: quarantine.FingerprintOf("", d), crashingIndex: index}
	if s.cfg.Parts {
		r.parts = append(r.parts, quarantine.PartFingerprint(fmt.Sprint("first ", s.rnd.IntN(s.cfg.FirstParts))))
		if index >= 0 {
			r.parts = append(r.parts, crashingPart(index))
		} else {
			r.parts = append(r.parts, quarantine.PartFingerprint(fmt.Sprint("session ", s.rnd.IntN(max(1, s.requestCount/s.cfg.SessionRequests)))))
		}
		if s.cfg.Victim && index >= 0 {
			r.parts = append(r.parts, victimPart)
		}
	}
	return r
}

// crashingPart is the part that crashes engines in the series with an index, and victimPart that of the victim.
func crashingPart(index int) quarantine.Fingerprint {
	return quarantine.PartFingerprint(fmt.Sprint("crashing ", index))
}

var victimPart = quarantine.PartFingerprint("victim")

// victim sends requests of the victim until the end.
func (s *simulation) victim() {
	s.After(s.exponential(s.cfg.VictimInterval), func() {
		r := s.newRequest(-1)
		r.parts = append(r.parts, victimPart)
		r.victim = true
		s.result.VictimRequests++
		s.try(r)
		s.victim()
	})
}

// subjects returns what a request may be suspected by.
func (r *request) subjects() []quarantine.Fingerprint {
	return append([]quarantine.Fingerprint{r.fingerprint}, r.parts...)
}

// culprit returns what crashes engines in the series with an index.
func (s *simulation) culprit(index int) quarantine.Fingerprint {
	if s.cfg.Parts {
		return crashingPart(index)
	}
	return s.crashing[index].fingerprint
}

// arrive schedules the next harmless request.
func (s *simulation) arrive() {
	s.After(s.exponential(time.Duration(float64(time.Second)/s.cfg.Rate)), func() {
		s.result.Proper++
		s.try(s.newRequest(-1))
		s.arrive()
	})
}

// repeat sends a crashing request and schedules its next arrival until the end of its series.
func (s *simulation) repeat(r *request, until time.Duration) {
	if s.cfg.Parts {
		r = s.newRequest(r.crashingIndex)
	}
	r.tries, r.avoid = 0, nil
	s.try(r)
	if next := s.exponential(s.cfg.RepeatInterval); s.Now+next < until {
		s.After(next, func() { s.repeat(r, until) })
	}
}

// try sends one try of a request to a random node.
func (s *simulation) try(r *request) {
	r.tries++
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	s.attempt(r, n, 1)
}

// attempt handles attempt k of a try at a node, after the node resumes if it is paused. The node
// waits until the crashes of which a doubtful request is suspected can be evaluated, and refuses the
// request if it is quarantined.
func (s *simulation) attempt(r *request, n *node, k int) {
	if n.pausedUntil > s.Now {
		s.After(n.pausedUntil-s.Now, func() { s.attempt(r, n, k) })
		return
	}
	if s.cfg.Disabled {
		s.send(r, n, k)
		return
	}
	for _, f := range r.subjects() {
		if wait := n.registry.SettleDelay(f, s.time()); wait > 0 {
			s.After(wait, func() { s.attempt(r, n, k) })
			return
		}
	}
	s.decide(n)
	for _, f := range r.subjects() {
		if _, blocked := n.registry.Blocked(f, r.subjects(), s.time()); blocked {
			switch {
			case r.victim:
				s.result.VictimRefused++
			case r.crashingIndex < 0:
				s.result.Bystanders++
			}
			return
		}
	}
	s.send(r, n, k)
}

// send sends a request to the engine that the node chooses for it.
func (s *simulation) send(r *request, n *node, k int) {
	suspect := false
	for _, f := range r.subjects() {
		state := n.registry.State(f)
		suspect = suspect || state == quarantine.Suspected || state == quarantine.Isolated
	}
	e := s.choose(r, n, suspect)
	if e == nil {
		s.fail(r)
		return
	}
	if r.crashingIndex >= 0 && s.knownAt[r.crashingIndex] > 0 && s.Now > s.knownAt[r.crashingIndex]+s.cfg.ContactTime && s.Now-n.healthySince >= s.cfg.ContactTime {
		s.result.Late[r.crashingIndex]++
	}
	u := &run{r: r, n: n, e: e, attempt: k, suspect: suspect}
	u.tracked = n.tracker.Send(r.fingerprint, quarantine.Incarnation{Engine: e.name(), Start: int64(e.incarnation + 1)}, s.time(), r.parts...)
	e.runs[u] = true
	if suspect {
		n.suspectRuns[e]++
	}
	s.After(requestLatency+s.exponential(queueTime), func() { s.begin(u) })
}

// choose returns the running engine with the least work, nil if there is none. Engines that crashed
// during earlier attempts of the request come last. A node spreads its suspected requests over
// different engines and prefers other engines for its other requests.
func (s *simulation) choose(r *request, n *node, suspect bool) *engine {
	var best *engine
	bestScore := 0
	for _, e := range s.engines {
		if !e.up {
			continue
		}
		score := len(e.runs)
		if slices.Contains(r.avoid, e) {
			score += 1 << 20
		}
		if suspect {
			score += n.suspectRuns[e]<<12 + int(r.fingerprint[e.index%len(r.fingerprint)]%4)
		} else {
			score += 4 * n.suspectRuns[e]
		}
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// begin starts a run at its engine and schedules its answer or the crash.
func (s *simulation) begin(u *run) {
	if !u.e.runs[u] {
		return
	}
	u.n.tracker.Begin(u.tracked, s.time())
	if u.r.crashingIndex >= 0 {
		s.After(s.between(s.cfg.CrashDelay/2), func() {
			if u.e.runs[u] {
				s.crashUnder(u)
			}
		})
		return
	}
	s.After(s.exponential(s.cfg.MeanRun), func() {
		if u.e.runs[u] {
			s.complete(u)
		}
	})
}

// complete ends a run with an answer.
func (s *simulation) complete(u *run) {
	delete(u.e.runs, u)
	s.releaseSuspect(u)
	u.n.tracker.Answer(u.tracked, true, s.time())
	for _, f := range u.r.subjects() {
		if !s.cfg.Disabled && u.n.registry.Answered(f, s.time()) {
			s.report(u.n)
		}
	}
	s.result.Served++
}

// releaseSuspect removes a run from the count of suspected requests at its engine.
func (s *simulation) releaseSuspect(u *run) {
	if u.suspect {
		u.n.suspectRuns[u.e]--
	}
}

// crashUnder crashes an engine that runs a crashing request.
func (s *simulation) crashUnder(u *run) {
	d := u.r.crashingIndex
	s.result.Ends[d]++
	if s.verdictAt[d] == 0 {
		s.result.Before[d]++
	}
	needed := 3
	if s.cfg.Parts {
		needed = 5
	}
	if s.result.Ends[d] == needed {
		s.knownAt[d] = s.Now
	}
	s.crash(u.e)
}

// crashUnrelated crashes a group of random engines for another reason.
func (s *simulation) crashUnrelated() {
	for range s.cfg.CrashGroup {
		if e := s.engines[s.rnd.IntN(len(s.engines))]; e.up {
			s.result.Outside++
			s.crash(e)
		}
	}
}

// crash crashes an engine, which breaks the connections of all its runs, and schedules its restart.
func (s *simulation) crash(e *engine) {
	e.up = false
	runs := make([]*run, 0, len(e.runs))
	for u := range e.runs {
		runs = append(runs, u)
	}
	slices.SortFunc(runs, func(a, b *run) int { return slices.Compare(a.r.fingerprint[:], b.r.fingerprint[:]) })
	e.runs = make(map[*run]bool)
	incarnation := quarantine.Incarnation{Engine: e.name(), Start: int64(e.incarnation + 1)}
	for _, u := range runs {
		s.releaseSuspect(u)
		s.After(s.between(detectionTime), func() { s.connectionBroken(u, incarnation) })
	}
	e.incarnation++
	s.After(s.cfg.RestartTime, func() { e.up = true })
}

// connectionBroken is called when a node notices that its connection for a run broke because the
// engine crashed. The node records the suspicion and makes the next attempt, if one is left.
func (s *simulation) connectionBroken(u *run, incarnation quarantine.Incarnation) {
	if u.n.pausedUntil > s.Now {
		s.After(u.n.pausedUntil-s.Now, func() { s.connectionBroken(u, incarnation) })
		return
	}
	if !s.cfg.Disabled {
		s.suspect(u, incarnation)
	}
	if u.attempt < s.cfg.Attempts {
		u.r.avoid = append(u.r.avoid, u.e)
		s.attempt(u.r, u.n, u.attempt+1)
		return
	}
	s.fail(u.r)
}

// suspect records suspicions of a crash in the node's registry: of the request whose connection broke
// if the crash is known to the tracker, otherwise of all requests that ran at the engine.
func (s *simulation) suspect(u *run, incarnation quarantine.Incarnation) {
	n, now := u.n, s.time()
	if fs, bs, known := n.tracker.Break(u.tracked, now); known {
		n.registry.Suspect(fs, bs, now)
	} else if id, fs, bs := n.tracker.EngineCrashed(incarnation, now); len(fs) > 0 {
		n.registry.RecordCrash(id, now)
		n.registry.Suspect(fs, bs, now)
	}
	s.scheduleDecision(n)
	s.report(n)
}

// scheduleDecision schedules decide on a node after quarantine.SettleTime if crashes await evaluation.
func (s *simulation) scheduleDecision(n *node) {
	if n.registry.Pending() {
		s.After(quarantine.SettleTime, func() { s.decide(n) })
	}
}

// decide has a node's registry evaluate the crashes that are due, and publishes the node's registry
// if that led to verdicts.
func (s *simulation) decide(n *node) {
	if len(n.registry.Evaluate(s.time())) > 0 {
		s.publish(n)
	}
}

// fail ends a try; after the first one the caller tries again.
func (s *simulation) fail(r *request) {
	if r.tries < 2 {
		s.After(s.exponential(callerBackoff), func() { s.try(r) })
	}
}

// countMessage adds a message and its encoded size to the figures.
func (s *simulation) countMessage(entries []quarantine.Entry) {
	raw, err := json.Marshal(peer.EncodeSuspects(entries, s.time()))
	if err != nil {
		panic(err)
	}
	s.result.Messages++
	s.result.Bytes += len(raw)
}
