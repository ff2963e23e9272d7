package traffic

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/admit"
	"olivetiller/core/choose"
	"olivetiller/core/demand"
	"olivetiller/core/directory"
	"olivetiller/core/origin"
	"olivetiller/core/queue"
	"olivetiller/core/refusal"
	"olivetiller/core/region"
	"olivetiller/core/retry"
	"olivetiller/core/view"
)

// pool holds the queued and running requests of one unit or plain service, or of the part of it that is restricted to
// some regions, or to one build. The dispatcher's mutex guards it.
type pool struct {
	poolKey
	// basePool is the name of the unrestricted pool, which is this pool's own name if it has no regions. regions are
	// those in which the pool's requests may be served.
	basePool  string
	regions   region.Set
	queue     *queue.Queue
	endpoints []candidate
	// loadingSince is when the load in progress was first observed; zero if none is in progress.
	loadingSince time.Time
	// readyAt is when the first endpoint is expected to be ready; zero if that is not known.
	readyAt time.Time
	// model estimates how long a request waits, from observed service and load times. The parts of a pool that are
	// restricted to a build share it.
	model *admit.Model
	// running counts the running requests of this node, and runningAt the same by endpoint name.
	running   int
	runningAt map[string]int
	// readingAt is the length in tokens, by endpoint name, of this node's long prompts that are not read yet.
	readingAt map[string]int
	// tokens and longTokens are the lengths of the prompts, and of the long ones, that have arrived since the last call of
	// Usage.
	tokens, longTokens int
	// lanes is true if the lease holder has the requests for the pool's model spread by [choose.Lanes].
	lanes bool
	// acquiring counts the calls of Acquire that use the pool; it is kept only for pools that are restricted to a build.
	acquiring int
	// outsideRegions is set when the unit has endpoints, but none in a region that may serve the pool's requests.
	outsideRegions bool
	// rotation counts the picks, from firstRotation. It is the index at which the next pick starts, so that equal
	// endpoints alternate.
	rotation int
	// arrivals counts first attempts since the last report of demand or usage.
	arrivals int
	// objective is the smallest latency objective among the arrivals since the last call of Usage; 0 if none has one.
	objective time.Duration
	// retryHints counts the requests refused with a retry hint since the last call of Usage.
	retryHints int
	// late counts the answers since the last call of Usage that came late; see Slot.ObserveLate.
	late int
	// reported is the last demand report that differed from the one before.
	reported demand.Report
	// coldSince is when the first request arrived that waits while the pool has no endpoint; zero if none does.
	coldSince time.Time
}

// poolKey identifies a pool.
type poolKey struct {
	name string
	// bound is true for the part of a pool that is restricted to a build. Streams that go on have queues of their own, so
	// that they neither block other requests nor wait behind capacity that they cannot use.
	bound bool
	build directory.Build
}

// String returns the name of the pool for refusals.
func (k poolKey) String() string {
	if !k.bound {
		return k.name
	}
	return fmt.Sprintf("%s at build %q", k.name, k.build)
}

// candidate is one endpoint of a pool with its state.
type candidate struct {
	view.Endpoint
	endpointState *endpointState
	// otherEndpoints is the number of other endpoints in the pool when this one was picked.
	otherEndpoints int
	// limit is the endpoint's rate limit when it was picked, in requests a second; 0 for none.
	limit float64
	// choice is Slot.Choice.
	choice Choice
}

// admit refuses a request that cannot meet its deadline. The first attempt counts in the retry budget.
func (p *pool) admit(req SlotRequest, budget *retry.Budget, now time.Time) error {
	if req.Resend {
		return nil
	}
	p.arrivals++
	if p.objective == 0 || req.Objective > 0 && req.Objective < p.objective {
		p.objective = req.Objective
	}
	budget.AddFirst(now)
	return p.checkWait(req, now)
}

// checkWait refuses a request whose wait is longer than its time.
func (p *pool) checkWait(req SlotRequest, now time.Time) error {
	least := p.model.MinWait(admit.Backlog{
		Ready: len(p.endpoints) > 0, Ahead: p.backlog(&req, now), Capacity: p.capacity(), LoadElapsed: p.loadElapsed(now),
	})
	if left := req.Deadline.Sub(now); least > left {
		return refusal.New(refusal.CannotMakeDeadline, "%s of the request's time is left, and the wait for %s is at least %s",
			left.Round(time.Millisecond), p, least.Round(time.Millisecond)).WithRetryAfter(least - left)
	}
	return nil
}

// backlog returns how many queued requests go before one that arrives now; all of them, if ranks are not in use.
func (p *pool) backlog(req *SlotRequest, now time.Time) int {
	if !req.Ranked {
		return p.queue.Len()
	}
	return p.queue.Ahead(req.item(now), now).Total()
}

// capacity returns how many requests of this node the pool's endpoints run at once; at least 1.
func (p *pool) capacity() int {
	n := 0
	for _, cand := range p.endpoints {
		n += cand.endpointState.window.Size()
	}
	return max(1, n)
}

func (p *pool) loadElapsed(now time.Time) time.Duration {
	if p.loadingSince.IsZero() {
		return 0
	}
	return now.Sub(p.loadingSince)
}

// pick chooses an endpoint with a free slot for the request. ok is false if there is none. hall is the data hall of
// this node, and newBuilds are the builds at which no stream may begin yet.
func (p *pool) pick(now time.Time, hall string, newBuilds map[origin.Origin]bool, req *SlotRequest) (candidate, bool) {
	n := len(p.endpoints)
	if n == 0 {
		return candidate{}, false
	}
	p.rotation++
	replicas, home := p.replicas(now, hall, newBuilds, req)
	i := choose.Pick(replicas, now)
	if i < 0 {
		return candidate{}, false
	}
	cand := p.endpoints[(i+p.rotation)%n]
	cand.otherEndpoints, cand.limit = n-1, cand.endpointState.limit
	cand.choice = Choice{Home: home, Pace: cand.endpointState.pace, Load: cand.endpointState.load}
	return cand, true
}

// replicas returns the endpoints of the pool, from the one at rotation on, in the form that package choose takes, and the name
// of the request's home; "" if it has none.
func (p *pool) replicas(now time.Time, hall string, newBuilds map[origin.Origin]bool, req *SlotRequest) (replicas []choose.Replica, home string) {
	n, affinityEndpoint := len(p.endpoints), p.affinityEndpoint(req.Affinity)
	replicas = make([]choose.Replica, 0, n)
	for i := range n {
		cand := p.endpoints[(i+p.rotation)%n]
		r := cand.endpointState.replica(hall, now)
		r.Prompt = req.Prompt
		r.Closed = r.Closed || req.SkipLimited && cand.endpointState.limit > 0
		r.Closed = r.Closed || req.Resumable && newBuilds[origin.Origin{Service: req.Service, Build: cand.Build}]
		r.Avoid = n > 1 && slices.Contains(req.Avoid, cand.Name)
		r.HasPrefix = cand.Name == affinityEndpoint
		r.Load, r.Order = cand.endpointState.load, xxhash.Sum64String(cand.Name)
		if req.mayCrashEngine() {
			r.Suspect, r.Spread = true, mix(xxhash.Sum64(req.RequestFingerprint[:])^xxhash.Sum64String(cand.Name))
		}
		replicas = append(replicas, r)
	}
	if i := p.home(req, replicas, now); i >= 0 {
		replicas[i].Home, home = true, replicas[i].Engine
	}
	return replicas, home
}

// firstRotation returns the rotation of a new pool of a node. It differs between nodes that have sent equally many
// requests.
func firstRotation(node, pool string) int {
	return int(xxhash.Sum64String(node+"\x00"+pool) >> 2)
}

// home returns the index among replicas of the one to which [choose.Lanes] sends a request; -1 if the model has no need of
// lanes, or there is nothing to choose from. Only replicas that take the request now have a part. Requests that may crash
// engines have no home, nor is a home beside one: they are spread.
func (p *pool) home(req *SlotRequest, replicas []choose.Replica, now time.Time) int {
	if !p.lanes || req.Prompt <= 0 || req.mayCrashEngine() {
		return -1
	}
	open := make([]choose.Replica, 0, len(replicas))
	index := make([]int, 0, len(replicas))
	for i := range replicas {
		if r := &replicas[i]; !r.Avoid && r.Suspects == 0 && r.Admits(now) {
			open, index = append(open, *r), append(index, i)
		}
	}
	if len(open) < 2 {
		return -1
	}
	key := req.Affinity
	if req.Prompt < choose.LongPrompt || key == 0 {
		key = xxhash.Sum64(req.RequestFingerprint[:])
	}
	return index[choose.NewLanes(open).Home(req.Prompt, func(i int) uint64 { return mix(open[i].Order ^ key) })]
}

// affinityEndpoint returns the name of the endpoint that most likely has the beginning of the prompt cached, by
// rendezvous hashing; "" if the request has no affinity key.
func (p *pool) affinityEndpoint(affinity uint64) string {
	if affinity == 0 {
		return ""
	}
	affinityEndpoint, best := "", uint64(0)
	for _, cand := range p.endpoints {
		if h := xxhash.Sum64String(cand.Name) ^ affinity; affinityEndpoint == "" || mix(h) > best {
			affinityEndpoint, best = cand.Name, mix(h)
		}
	}
	return affinityEndpoint
}

// mix scrambles the bits of a hash (the finalizer of splitmix64), so that the endpoints chosen for different affinity
// keys are independent.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// update replaces the pool's endpoints with those of a view. When the first endpoint appears, the time since
// coldSince is recorded as a load time.
func (p *pool) update(v *view.View, candidates []candidate, now time.Time) {
	if len(p.endpoints) == 0 && len(candidates) > 0 && !p.coldSince.IsZero() {
		p.model.Load.Observe(now.Sub(p.coldSince))
	}
	if len(candidates) > 0 || p.queue.Len() == 0 {
		p.coldSince = time.Time{}
	}
	for _, cand := range p.endpoints {
		delete(cand.endpointState.pools, p)
	}
	p.endpoints = candidates
	for _, cand := range candidates {
		cand.endpointState.pools[p] = true
	}
	p.setForecast(v)
	p.outsideRegions = len(candidates) == 0 && !p.regions.All() && len(v.Pool(p.basePool)) > 0
}

// setForecast takes over when the unit is expected to be ready, at the pool's build if it has one.
func (p *pool) setForecast(v *view.View) {
	p.loadingSince = v.LoadingSince[p.basePool]
	p.readyAt = v.ReadyAt[view.BoundPool(p.basePool, p.bound, p.build)]
}

// remove removes an endpoint at once, without waiting for a view without it.
func (p *pool) remove(ep *endpointState) {
	kept := p.endpoints[:0:0]
	for _, cand := range p.endpoints {
		if cand.endpointState != ep {
			kept = append(kept, cand)
		}
	}
	p.endpoints = kept
}

// report returns the pool's demand and whether it has changed since the last changed report. The running count
// matters only as zero or nonzero, since no decision depends on the exact number.
func (p *pool) report() (demand.Report, bool) {
	r := demand.Report{Unit: p.name, Waiting: p.queue.Len(), Running: p.running, Arrivals: p.arrivals}
	if deadline, ok := p.queue.Earliest(); ok {
		r.Deadline = deadline
	}
	old := p.reported
	changed := r.Waiting != old.Waiting || (r.Running == 0) != (old.Running == 0)
	if changed {
		p.reported = r
		p.arrivals = 0
	}
	return r, changed
}
