package originlab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/directory"
	"olivetiller/core/origin"
	"olivetiller/core/reach"
	"olivetiller/internal/eventqueue"
)

// Times of the simulated fleet.
const (
	// latency is the mean time of a message between two nodes.
	latency = 2 * time.Millisecond
	// timeout is how long a node waits for an answer.
	timeout = 250 * time.Millisecond
	// refreshEvery is the interval at which the records of streams in progress are sent again.
	refreshEvery = 2 * time.Second
	// silentAfter is how long a node that ended stays on the lists of the others.
	silentAfter = 2500 * time.Millisecond
	// startTime is how long a killed node is down.
	startTime = 4 * time.Second
	// maxListed is how many nodes all nodes know of.
	maxListed = 128
	// listLag is the longest time until a node learns that a build serves, or that it ended.
	listLag = 500 * time.Millisecond
	// allowed is the time that callers allow for their streams, and lasts the mean duration of one.
	allowed = 15 * time.Second
	lasts   = 2 * time.Second
	// returnsWithin is the longest time until a caller takes its stream up.
	returnsWithin = time.Second
)

const service = "engines"

// node is one node of the fleet.
type node struct {
	reach.Gateway
	index int
	up    bool
	// downAt is when the node ended last, and lag by how much it learns late of builds.
	downAt, lag time.Duration
	registry    *origin.Registry
	// group is the part of the fleet in which the node is while it is cut apart.
	group int
}

// stream is a stream in progress or broken off.
type stream struct {
	id    string
	key   origin.Key
	build directory.Build
	// at is the node that holds its connection to the caller.
	at *node
	// life is the incarnation of that node's process, as the time of its latest end.
	life  time.Duration
	ended bool
}

// simulation is one run.
type simulation struct {
	Load
	eventqueue.Queue
	design Design
	rnd    *rand.Rand
	nodes  []*node
	// streams are the streams in progress, in the order in which they began.
	streams []*stream
	// cut is true while the groups of nodes do not reach each other.
	cut    bool
	ledger *origin.Ledger
	result Result
	// firstEvent and takeUp are sums.
	firstEvent, takeUp time.Duration
}

// Simulate plays a load with a design.
func Simulate(d Design, l Load) Result {
	s := &simulation{Load: l, design: d, rnd: rand.New(rand.NewPCG(l.Seed, 69)), ledger: origin.First()}
	s.result = Result{Design: d, Load: l}
	for i := range l.Nodes {
		s.nodes = append(s.nodes, &node{
			Gateway: reach.Gateway{Address: fmt.Sprint("n", i), Hall: fmt.Sprint("h", i%l.Halls)}, index: i, up: true, downAt: -time.Hour,
			lag: time.Duration(s.rnd.Int64N(int64(listLag))), registry: origin.NewRegistry(1 << 16),
		})
	}
	s.planLedger()
	s.planFaults()
	s.After(s.interval(), s.begin)
	s.Run(l.For + allowed)
	s.result.FirstEvent = s.firstEvent / time.Duration(max(1, s.result.Streams))
	s.result.TakeUp = s.takeUp / time.Duration(max(1, s.result.TakenUp))
	return s.result
}

// interval returns a random time between two streams.
func (s *simulation) interval() time.Duration {
	return time.Duration(s.rnd.ExpFloat64() / (s.PerNode * float64(s.Nodes)) * float64(time.Second))
}

func (s *simulation) clock() time.Time { return time.Unix(0, 0).Add(s.Now) }

// planLedger has the ledger name each build when its first engine starts.
func (s *simulation) planLedger() {
	for _, b := range s.Builds {
		s.After(b.From, func() {
			s.ledger = s.ledger.Next(origin.Observed{Present: origin.Present{service: {b.Build}}})
		})
	}
}

// planFaults schedules the load's fault.
func (s *simulation) planFaults() {
	switch s.Fault {
	case Killed, Stopped:
		each := max(1, s.Nodes/50)
		for i, at := 0, s.For/10; at < s.For; at += 1500 * time.Millisecond {
			for range each {
				victim := s.nodes[s.rnd.IntN(s.Nodes)]
				if s.Fault == Stopped {
					victim = s.nodes[i%s.Nodes]
				}
				i++
				s.After(at, func() { s.kill(victim) })
			}
		}
	case CutApart:
		for i, n := range s.nodes {
			n.group = min(1, i*3/s.Nodes)
		}
		s.After(s.For/4, func() { s.cut = true })
		s.After(s.For*3/4, func() { s.cut = false })
	case AllKilled:
		s.After(s.For/2, func() {
			for _, n := range s.nodes {
				s.kill(n)
			}
		})
	}
}

// kill ends a node's process, which starts again empty.
func (s *simulation) kill(n *node) {
	if !n.up {
		return
	}
	n.up, n.downAt, n.registry = false, s.Now, origin.NewRegistry(1<<16)
	s.After(startTime, func() { n.up = true })
	for _, st := range slices.Clone(s.streams) {
		if st.at == n {
			s.breakOff(st)
		}
	}
}

// known returns the builds that serve as far as a node knows.
func (s *simulation) known(n *node) []directory.Build {
	at := s.Now - n.lag
	if s.cut && n.group > 0 {
		at = min(at, s.For/4)
	}
	return s.serving(max(0, at))
}

// serving returns the builds that serve at a time.
func (s *simulation) serving(at time.Duration) []directory.Build {
	var out []directory.Build
	for _, b := range s.Builds {
		if b.From <= at && at < b.To && !slices.Contains(out, b.Build) {
			out = append(out, b.Build)
		}
	}
	return out
}

// hashed returns the build of an id among some.
func hashed(id string, builds []directory.Build) directory.Build {
	return slices.MaxFunc(builds, func(a, b directory.Build) int {
		if xxhash.Sum64String(id+a.String()) < xxhash.Sum64String(id+b.String()) {
			return -1
		}
		return 1
	})
}

// list returns the nodes that all nodes know of, of those that are up or ended a short time ago. They are spread over the
// fleet.
func (s *simulation) list() []reach.Gateway {
	var out []reach.Gateway
	step := (len(s.nodes) + maxListed - 1) / maxListed
	for i := 0; i < len(s.nodes); i += step {
		if n := s.nodes[i]; n.up || s.Now-n.downAt < silentAfter {
			out = append(out, n.Gateway)
		}
	}
	return out
}

// others returns the addresses of all nodes but one.
func (s *simulation) others(but *node) []string {
	var out []string
	for _, n := range s.nodes {
		if n != but {
			out = append(out, n.Address)
		}
	}
	return out
}

// random returns a random node that is up, or nil.
func (s *simulation) random() *node {
	for range 4 * s.Nodes {
		if n := s.nodes[s.rnd.IntN(s.Nodes)]; n.up {
			return n
		}
	}
	return nil
}

// begin begins a stream and schedules the next one.
func (s *simulation) begin() {
	if s.Now > s.For {
		return
	}
	s.After(s.interval(), s.begin)
	n := s.random()
	if n == nil {
		return
	}
	builds := s.known(n)
	if len(builds) == 0 {
		return
	}
	s.result.Streams++
	st := &stream{id: fmt.Sprint("r", s.result.Streams), at: n, life: n.downAt}
	st.key = origin.KeyOf("", "h", st.id)
	st.build = builds[s.rnd.IntN(len(builds))]
	if s.design == Hash {
		st.build = hashed(st.id, builds)
	}
	s.streams = append(s.streams, st)
	length := time.Duration(s.rnd.ExpFloat64() * float64(lasts))
	n.registry.Add(s.record(st), s.clock())
	if s.design == AwaitedHomes {
		s.firstEvent += 2 * s.delay()
	}
	s.copyRecord(st)
	s.After(length, func() {
		if !st.ended {
			s.end(st)
		}
	})
	if s.rnd.Float64() < s.Breaks {
		s.After(time.Duration(s.rnd.Int64N(int64(length)+1)), func() {
			if !st.ended {
				s.breakOff(st)
			}
		})
	}
}

func (s *simulation) record(st *stream) origin.Record {
	return origin.Record{Key: st.key, Origin: origin.Origin{Service: service, Build: st.build}, Expires: s.clock().Add(allowed)}
}

// delay returns the time of one message.
func (s *simulation) delay() time.Duration {
	return time.Duration((0.5 + s.rnd.Float64()) * float64(latency))
}

// reaches reports whether a message arrives.
func (s *simulation) reaches(from, to *node) bool {
	return to.up && (!s.cut || from.group == to.group)
}

// byAddress returns a node by its address.
func (s *simulation) byAddress(address string) *node {
	var i int
	_, _ = fmt.Sscanf(address, "n%d", &i)
	return s.nodes[i]
}

// copyRecord sends the record of a stream in progress to its keepers, now and at each refresh.
func (s *simulation) copyRecord(st *stream) {
	from, rec := st.at, s.record(st)
	left := s.design.copies()
	if st.ended || !from.up || from.downAt != st.life || left == 0 {
		return
	}
	for _, address := range origin.Keepers(from.Address, origin.Order(st.key, s.list())) {
		if left == 0 {
			break
		}
		s.result.Messages++
		to := s.byAddress(address)
		if !s.reaches(from, to) {
			continue
		}
		left--
		s.After(s.delay(), func() {
			if to.up {
				to.registry.Add(rec, s.clock())
			}
		})
	}
	s.After(refreshEvery, func() { s.copyRecord(st) })
}

// end ends a stream, or its first part.
func (s *simulation) end(st *stream) {
	st.ended = true
	i := slices.Index(s.streams, st)
	s.streams = slices.Delete(s.streams, i, i+1)
}

// breakOff ends a stream's connection to its caller, who comes back at a random node.
func (s *simulation) breakOff(st *stream) {
	s.end(st)
	s.After(time.Duration(s.rnd.Int64N(int64(returnsWithin))), func() { s.callerReturns(st) })
}

// callerReturns has a caller take a stream up.
func (s *simulation) callerReturns(st *stream) {
	n := s.random()
	if n == nil {
		s.After(startTime/4, func() { s.callerReturns(st) })
		return
	}
	s.result.TakenUp++
	build, known, took := s.learn(n, st)
	s.takeUp += took
	switch serving := s.serving(s.Now); {
	case !known:
		s.result.Unknown++
	case !slices.Contains(serving, build):
		s.result.Gone++
	case build != st.build:
		s.result.Joined++
	default:
		s.result.WentOn++
	}
}

// learn returns the build that a node takes for that of a stream, if it knows one, and how long it takes to learn it.
func (s *simulation) learn(n *node, st *stream) (build directory.Build, known bool, took time.Duration) {
	if s.design == Hash {
		builds := s.known(n)
		if len(builds) == 0 {
			return build, false, 0
		}
		return hashed(st.id, builds), true, 0
	}
	if rec, ok := n.registry.Find(st.key, s.clock()); ok {
		return rec.Build, true, 0
	}
	if s.design != LedgerOnly {
		first, more := origin.Asked(n.Address, origin.Order(st.key, s.list()))
		if s.design == AskAll {
			first, more = s.others(n), nil
		}
		for _, addresses := range [][]string{first, more} {
			rec, found, waited := s.ask(n, st.key, addresses)
			took += waited
			if found {
				return rec.Build, true, took
			}
		}
	}
	if s.design.usesLedger() {
		s.result.StoreReads++
		took += 2 * latency
		build, known = s.ledger.Sole(service)
	}
	return build, known, took
}

// ask asks nodes at once for a record.
func (s *simulation) ask(from *node, k origin.Key, addresses []string) (rec origin.Record, found bool, took time.Duration) {
	for _, address := range addresses {
		s.result.Messages++
		to := s.byAddress(address)
		if !s.reaches(from, to) {
			if !found {
				took = timeout
			}
			continue
		}
		answer := s.delay() + s.delay()
		if r, ok := to.registry.Find(k, s.clock()); ok {
			if !found || answer < took {
				took = answer
			}
			rec, found = r, true
		} else if !found {
			took = max(took, answer)
		}
	}
	return rec, found, took
}

// Compare simulates every design with each rollout and fault, for several numbers of nodes and seeds, and returns the
// sums over the seeds.
func Compare(nodes []int, seeds int, lasts time.Duration) []Result {
	var out []Result
	for _, n := range nodes {
		for _, r := range Rollouts(lasts) {
			for _, f := range Faults {
				for _, d := range Designs {
					sum := Result{}
					for seed := range seeds {
						l := Load{Nodes: n, Halls: 5, PerNode: perNode(n), Breaks: 0.05, For: lasts, Rollout: r, Fault: f, Seed: uint64(seed) + 1}
						sum.add(Simulate(d, l), seeds)
					}
					out = append(out, sum)
				}
			}
		}
	}
	return out
}

// perNode returns the streams a second at each of n nodes, so that fleets of all sizes have some hundreds to take up.
func perNode(n int) float64 { return max(0.4, 9/float64(n)*6) }

// add adds the counts of another seed, and its share of the means.
func (r *Result) add(o Result, seeds int) {
	r.Design, r.Load = o.Design, o.Load
	r.Streams, r.TakenUp, r.WentOn, r.Joined = r.Streams+o.Streams, r.TakenUp+o.TakenUp, r.WentOn+o.WentOn, r.Joined+o.Joined
	r.Unknown, r.Gone, r.Messages, r.StoreReads = r.Unknown+o.Unknown, r.Gone+o.Gone, r.Messages+o.Messages, r.StoreReads+o.StoreReads
	r.FirstEvent += o.FirstEvent / time.Duration(seeds)
	r.TakeUp += o.TakeUp / time.Duration(seeds)
}
