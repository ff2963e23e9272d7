package choose

import (
	"cmp"
	"math"
	"slices"
)

// LongPrompt is the length in tokens from which a prompt counts as long. Engines read 20 to 50 tokens in a millisecond, and
// a prompt that is read piece by piece between the steps of streams must not use up more than a third of a pause of 300 ms.
const LongPrompt = 2000

// Lanes separates long prompts from streams among the replicas of one model. Reading a long prompt delays every stream of its
// engine by several times an ordinary step, so that streams next to it pause for longer than their callers accept. Of two or
// more replicas, some form the stream lane: the fast ones, or else a third. Requests with short prompts go there. Long ones
// are shared by all replicas in proportion to their speed, with a smaller part for the stream lane.
//
// Nodes see few of each other's requests, so that the least loaded replica can't be told from one node's own, and if all
// nodes followed the same reported loads, they would all send to the same replica until the next report. Requests are
// therefore spread by weighted rendezvous hashing: each replica gets its share of the keys, and the shares follow the
// replicas' speeds and recent loads slowly. All nodes choose alike without messages between them.
//
// The load is that of a model with both kinds of prompts, in a service in which long ones are most of what engines read.
type Lanes struct {
	// long and short are the weights of the replicas for long and short prompts.
	long, short []float64
}

const (
	// fastPace is the pace up to which a replica is in the stream lane in any case: it reads a long prompt within the pause
	// that streams allow.
	fastPace = 0.7
	// streamLanePart is the part of the replicas that forms the stream lane if none is fast: one in so many.
	streamLanePart = 3
	// fastLaneWeight and slowLaneWeight weigh long prompts at a replica of the stream lane, fast or not. offLaneWeight weighs
	// short ones at the other replicas.
	fastLaneWeight, slowLaneWeight, offLaneWeight = 0.5, 0.02, 0.01
	// halvingLoad is the load, in concurrent requests at the median pace, at which the share of a replica in the long prompts
	// is halved, and halvingStreams the same for short ones, which hardly delay each other.
	halvingLoad, halvingStreams = 16, 40
)

// NewLanes returns the lanes of replicas, of which Pace, Load and Order must be set.
func NewLanes(replicas []Replica) *Lanes {
	n := len(replicas)
	l := &Lanes{long: make([]float64, n), short: make([]float64, n)}
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(replicas[a].pace(), replicas[b].pace()), cmp.Compare(replicas[a].Order, replicas[b].Order))
	})
	lane := 0
	for lane < n && replicas[order[lane]].pace() <= fastPace {
		lane++
	}
	if lane == 0 && n > 1 {
		lane = max(1, n/streamLanePart)
	}
	for k, i := range order {
		p := replicas[i].pace()
		load := float64(replicas[i].Load) * p
		l.long[i], l.short[i] = share(p, load/halvingLoad), share(p, load/halvingStreams)
		switch {
		case lane == n:
		case k >= lane:
			l.short[i] *= offLaneWeight
		case p <= fastPace:
			l.long[i] *= fastLaneWeight
		default:
			l.long[i] *= slowLaneWeight
		}
	}
	return l
}

// share returns the weight of a replica of a pace, at a load that is relative to the one that halves it.
func share(pace, load float64) float64 { return 1 / pace / (1 + load*load) }

// Home returns the index of the replica to which requests with a key go, by weighted rendezvous hashing. hash returns a number
// for the pair of the key and a replica. Long prompts that share a prefix should have the same key, so that it is read once.
func (l *Lanes) Home(prompt int, hash func(i int) uint64) int {
	weights := l.short
	if prompt >= LongPrompt {
		weights = l.long
	}
	best, bestScore := -1, 0.0
	for i, w := range weights {
		u := (float64(hash(i)>>11) + 0.5) / (1 << 53)
		if s := -w / math.Log(u); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}
