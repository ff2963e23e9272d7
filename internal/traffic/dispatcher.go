package traffic

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/admit"
	"olivetiller/core/choose"
	"olivetiller/core/pace"
	"olivetiller/core/queue"
	"olivetiller/core/refusal"
	"olivetiller/core/region"
	"olivetiller/core/retry"
	"olivetiller/core/signal"
	"olivetiller/core/view"
)

// Hooks are the callbacks by which the dispatcher notifies the control side without waiting for its next poll. They
// are called without the dispatcher's mutex held.
type Hooks struct {
	// QueueStarted is called when a request enters an empty queue.
	QueueStarted func()
	// ScarcePoolBusy is called when a scarce pool (at most maxScarceEndpoints endpoints) gets the only running request
	// of this node without queueing, and when the last one ends. It may be nil.
	ScarcePoolBusy func()
	// Draining is called with the name of an endpoint whose answer reported that it is draining.
	Draining func(endpoint string)
	// ModelMissing is called when an engine answers that it does not hold the model of the pool. It may be nil.
	ModelMissing func(endpoint, pool string)
	// Charge charges one request to an endpoint whose rate limit, in requests a second over all nodes, is limit. It
	// returns 0 when the request may be sent, or else the time until the limit has capacity again. If it is nil, rate
	// limits of endpoints are not enforced.
	Charge func(ctx context.Context, e view.Endpoint, limit float64) time.Duration
	// GrantRetry asks for need retries, at most 1, that the named retry budget lacks for one retry; the lease holder
	// grants them from a pool of all nodes. It returns 0 when they are granted, or else the time after which to ask again.
	// urgent marks a request whose caller cannot send it again. If it is nil, nothing is granted.
	GrantRetry func(ctx context.Context, budget string, need float64, urgent bool) time.Duration
	// SignalsChanged is called when the answer to a request of this node changed the recorded signals of its endpoint.
	// It may be nil.
	SignalsChanged func()
}

// Dispatcher assigns requests to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	clock clockwork.Clock
	hall  string
	// node identifies the node's process; see SetNode.
	node   string
	limits queue.Limits
	hooks  Hooks

	// mu guards the fields below, the pools and the endpoint states.
	mu             sync.Mutex
	view           *view.View
	pools          map[poolKey]*pool
	endpointStates map[string]*endpointState
	// budgets holds the retry budgets by name; several pools may share one.
	budgets map[string]*retry.Budget
	// retries are the limits of every retry budget of this node.
	retries retry.Limits
	// signals holds the last signals of each endpoint: rate limit, draining, backoff.
	signals *signal.Registry
	// heldByLimit is Totals.HeldByLimit.
	heldByLimit int64
	// displaced is Totals.Displaced.
	displaced int64
	// withheld is Totals.Withheld.
	withheld map[string]int64
	// retriesGranted and retriesDenied are Totals.RetriesGranted and Totals.RetriesDenied.
	retriesGranted, retriesDenied int64
	// gaps are the samples since the last call of TakeGaps. paces holds the paces of the endpoints that are far faster or
	// slower than the median of their service, by name.
	gaps  []pace.Sample
	paces map[string]float64
	// atHome and awayFromHome are Totals.AtHome and Totals.AwayFromHome.
	atHome, awayFromHome atomic.Int64
	// loads and lanes are Uneven.Loads and Uneven.Lanes.
	loads map[string]int
	lanes map[string]bool
	// evacuated is the set of data halls whose endpoints get no requests.
	evacuated map[string]bool
	// regions maps each data hall to its region.
	regions map[string]string
	// nodes is the number of nodes that share the endpoints.
	nodes int
	// stopped is closed by StopWaiting.
	stopped chan struct{}
}

// New returns a dispatcher for a node in the given data hall. The limits apply to each pool's queue.
func New(clock clockwork.Clock, hall string, limits queue.Limits, hooks Hooks) *Dispatcher {
	return &Dispatcher{
		clock: clock, hall: hall, limits: limits, hooks: hooks,
		view: &view.View{}, pools: make(map[poolKey]*pool), endpointStates: make(map[string]*endpointState),
		budgets: make(map[string]*retry.Budget), retries: retry.DefaultLimits,
		signals: signal.NewRegistry(), withheld: make(map[string]int64), paces: make(map[string]float64),
		stopped: make(chan struct{}),
	}
}

// SetNode sets the name of the node's process, which must differ from those of other nodes. It determines at which of
// several equal endpoints a pool starts: nodes that start together would otherwise all send their first requests to the
// same one. It has to be called before the first request.
func (d *Dispatcher) SetNode(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node = name
}

// SetNodeCount sets the number of nodes that share the endpoints, this one included.
func (d *Dispatcher) SetNodeCount(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes = n
}

// LimitRetries sets the limits of all retry budgets, existing ones included.
func (d *Dispatcher) LimitRetries(l retry.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries = l
	for _, b := range d.budgets {
		b.Limit(l)
	}
}

// budgetName returns the name of a request's retry budget, which is that of its pool by default.
func budgetName(p *pool, req *SlotRequest) string {
	if req.Budget == "" {
		return p.name
	}
	return req.Budget
}

// budget returns the retry budget of a request, and creates it on first use.
func (d *Dispatcher) budget(p *pool, req *SlotRequest) *retry.Budget {
	name := budgetName(p, req)
	b := d.budgets[name]
	if b == nil {
		b = retry.NewBudget(d.retries)
		d.budgets[name] = b
	}
	return b
}

// Acquire waits for a slot at an endpoint of the named pool, at most until the request's deadline, the time at which
// its caller gives up, or the end of ctx. The error is a *refusal.Error or a *RetryBudgetError.
func (d *Dispatcher) Acquire(ctx context.Context, name string, req SlotRequest) (*Slot, error) {
	start := d.clock.Now()
	req.boundPrompt()
	d.mu.Lock()
	if err := d.checkBuild(name, &req); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	p := d.pool(d.keyOf(name, &req))
	if p.bound {
		p.enter()
		defer d.leave(p)
	}
	b := d.budget(p, &req)
	if !req.Retry || req.Resend {
		if !req.Resend {
			p.countPrompt(req.Prompt)
		}
		if err := p.admit(req, b, start); err != nil {
			d.mu.Unlock()
			return nil, err
		}
		return d.acquireCharged(ctx, p, req, start)
	}
	part, err := d.reserveRetry(ctx, p, b, &req)
	if err != nil {
		d.mu.Unlock()
		return nil, err
	}
	s, err := d.acquireCharged(ctx, p, req, start)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		// A retry that is not sent does not count.
		b.Release(part)
		return nil, err
	}
	b.Sent(part, d.clock.Now())
	return s, nil
}

// acquireAdmitted returns a slot for an admitted request that arrived at start, at once if an endpoint is free and
// nobody is queued, or after a wait in the queue. The caller holds d.mu; acquireAdmitted unlocks it.
func (d *Dispatcher) acquireAdmitted(ctx context.Context, p *pool, req SlotRequest, start, now time.Time) (*Slot, error) {
	cold := len(p.endpoints) == 0
	if p.queue.Len() == 0 {
		if cand, ok := p.pick(now, d.hall, d.view.NewBuilds, &req); ok {
			p.addRunning(cand, &req)
			scarce := p.scarce() && p.running == 1
			d.mu.Unlock()
			d.notifyScarce(scarce)
			return d.slot(p, cand, &req, start, now, cold), nil
		}
	}
	w := newWaiter(&req, start)
	if err := p.checkDeadline(&req, p.requestsAhead(w.item, now), now); err != nil {
		p.retryHints++
		d.mu.Unlock()
		return nil, err
	}
	if req.Ahead != nil {
		*req.Ahead = p.queue.Ahead(w.item, now)
	}
	if !d.push(p, w, now) {
		n := p.queue.Len()
		d.mu.Unlock()
		return nil, refusal.New(refusal.QueueFull, "%d requests are already queued for %s", n, p)
	}
	if cold {
		w.forecastReady = p.readyAt
		if p.coldSince.IsZero() {
			p.coldSince = start
		}
	}
	d.schedulePump(p, now)
	first := p.queue.Len() == 1
	d.mu.Unlock()
	if first {
		// The node that decides where models are loaded should learn of the demand before the request has waited
		// long.
		d.hooks.QueueStarted()
	}
	return d.wait(ctx, p, w, start, now, cold)
}

// slot returns the Slot for a request at a candidate. The request arrived at start and got the slot at now.
func (d *Dispatcher) slot(p *pool, cand candidate, req *SlotRequest, start, now time.Time, cold bool) *Slot {
	d.countHome(&cand)
	return &Slot{
		Endpoint: cand.Endpoint, Waited: now.Sub(start), Cold: cold,
		OtherEndpoints: cand.otherEndpoints, Choice: cand.choice, dispatcher: d, pool: p, endpointState: cand.endpointState, grantedAt: now, prompt: req.Prompt, mayCrashEngine: req.mayCrashEngine(), limit: cand.limit,
	}
}

// Switch acquires a second slot at another endpoint for a request that already holds s. It succeeds only if another
// endpoint is free now, no request is queued, and the retry budget or the lease holder allows the attempt. The request
// keeps s until it is released.
func (d *Dispatcher) Switch(ctx context.Context, s *Slot, req SlotRequest) (*Slot, bool) {
	if req.mayCrashEngine() {
		// The endpoint may be silent because this request crashed its engine.
		return nil, false
	}
	req.Avoid = append(slices.Clip(req.Avoid), s.Endpoint.Name)
	// Charging a limited endpoint may take a while, and the attempt in progress may end meanwhile.
	req.SkipLimited = true
	req.boundPrompt()
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(d.keyOf(s.pool.name, &req))
	if _, ok := d.pickOther(p, &req); !ok {
		return nil, false
	}
	b := d.budget(p, &req)
	part, _, ok := d.tryRetry(ctx, p, b, &req, false)
	if !ok {
		return nil, false
	}
	// The endpoint may have been taken while the lease holder was asked.
	cand, ok := d.pickOther(p, &req)
	if !ok {
		b.Release(part)
		return nil, false
	}
	now := d.clock.Now()
	b.Sent(part, now)
	p.addRunning(cand, &req)
	return d.slot(p, cand, &req, now, now, false), true
}

// pickOther picks a free endpoint that the request does not avoid, unless another request is queued.
func (d *Dispatcher) pickOther(p *pool, req *SlotRequest) (candidate, bool) {
	if p.queue.Len() > 0 {
		return candidate{}, false
	}
	cand, ok := p.pick(d.clock.Now(), d.hall, d.view.NewBuilds, req)
	return cand, ok && !slices.Contains(req.Avoid, cand.Name)
}

// maxScarceEndpoints is the largest number of endpoints of a scarce pool. The start and end of a scarce pool's work are
// reported at once, because which of its replicas are busy decides which model is unloaded to free capacity.
const maxScarceEndpoints = 2

// scarce reports whether the pool has at most maxScarceEndpoints endpoints.
func (p *pool) scarce() bool { return len(p.endpoints) <= maxScarceEndpoints }

// notifyScarce calls Hooks.ScarcePoolBusy if the work of a scarce pool began or ended. With periodic reports alone, a
// second apart, 21 of 100 unloads hit models that had requests by then; the engine finished those first, for 1.5 s or
// more, and refused its next order meanwhile (124 engines, 195 nodes).
func (d *Dispatcher) notifyScarce(changed bool) {
	if changed && d.hooks.ScarcePoolBusy != nil {
		d.hooks.ScarcePoolBusy()
	}
}

// promptRead records that the endpoint has read the prompt of the slot's request.
func (d *Dispatcher) promptRead(s *Slot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.readPrompt()
}

// readPrompt undoes what addRunning counts for the prompt.
func (s *Slot) readPrompt() {
	s.endpointState.prompts -= s.prompt
	if s.prompt >= choose.LongPrompt {
		s.pool.addReading(s.Endpoint.Name, -s.prompt)
	}
	s.prompt = 0
}

// addReading adds to the length of the long prompts that are not read yet at an endpoint.
func (p *pool) addReading(endpoint string, tokens int) {
	if p.readingAt[endpoint] += tokens; p.readingAt[endpoint] <= 0 {
		delete(p.readingAt, endpoint)
	}
}

// addRunning counts a request as running at a candidate.
func (p *pool) addRunning(cand candidate, req *SlotRequest) {
	cand.endpointState.running++
	cand.endpointState.charging = cand.limit > 0
	cand.endpointState.prompts += req.Prompt
	if req.Prompt >= choose.LongPrompt {
		p.addReading(cand.Name, req.Prompt)
	}
	if req.mayCrashEngine() {
		cand.endpointState.suspectRequests++
	}
	p.running++
	p.runningAt[cand.Name]++
}

// release records the result of a slot, calls the hooks that it triggers, and serves the queues that share the
// endpoint.
func (d *Dispatcher) release(s *Slot, r Result) {
	if r.Draining {
		d.hooks.Draining(s.Endpoint.Name)
	}
	if r.Missing && d.hooks.ModelMissing != nil {
		d.hooks.ModelMissing(s.Endpoint.Name, s.pool.basePool)
	}
	d.notifyScarce(d.recordResult(s, r))
}

// recordResult updates the pool and the endpoint state with the result of a slot and serves the queues that share the
// endpoint. It reports whether that ended the work of a scarce pool.
func (d *Dispatcher) recordResult(s *Slot, r Result) (scarceEnded bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s.removeRunning()
	s.endpointState.recordResult(r, s.grantedAt, now)
	scarceEnded = s.pool.scarce() && s.pool.running == 0
	if r.Missing {
		s.pool.remove(s.endpointState)
	}
	if r.Err == nil && !r.Full && !r.NotStarted {
		s.pool.model.Serve.Observe(now.Sub(s.grantedAt))
	}
	if r.Draining {
		for p := range s.endpointState.pools {
			p.remove(s.endpointState)
		}
	}
	d.pumpEndpoint(s.endpointState, now)
	return scarceEnded
}

// removeRunning undoes addRunning, except for the endpoint's running count, which endpointState.recordResult
// decrements.
func (s *Slot) removeRunning() {
	s.readPrompt()
	if s.mayCrashEngine {
		s.endpointState.suspectRequests--
	}
	s.pool.running--
	if s.pool.runningAt[s.Endpoint.Name]--; s.pool.runningAt[s.Endpoint.Name] <= 0 {
		delete(s.pool.runningAt, s.Endpoint.Name)
	}
}

// pool returns the pool with a key and creates it on first use. A name may restrict the pool to regions; see
// region.SplitPool.
func (d *Dispatcher) pool(k poolKey) *pool {
	p := d.pools[k]
	if p == nil {
		p = &pool{poolKey: k, queue: queue.New(d.limits), runningAt: make(map[string]int), readingAt: make(map[string]int), rotation: firstRotation(d.node, k.name)}
		p.basePool, p.regions = region.SplitPool(k.name)
		p.lanes = d.lanes[p.modelPool()]
		p.model = new(admit.Model)
		if k.bound {
			p.model = d.pool(poolKey{name: k.name}).model
		}
		d.pools[k] = p
		p.update(d.view, d.candidates(d.view, p), d.clock.Now())
	}
	return p
}

// Update installs a new view. changed names the pools whose endpoints differ from the last view; nil means all.
func (d *Dispatcher) Update(v *view.View, changed []string) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = v
	if changed == nil {
		for _, p := range d.pools {
			d.updatePool(p, now)
		}
	}
	if len(changed) > 0 {
		d.updateNamed(changed, now)
	}
	for _, p := range d.pools {
		p.setForecast(v)
		p.recordForecast()
		p.refuseUnservable(now)
		d.refuseGone(p)
		d.dropIdle(p)
	}
	for name, ep := range d.endpointStates {
		if len(ep.pools) == 0 && ep.running == 0 {
			delete(d.endpointStates, name)
		}
	}
}

// updateNamed updates the named pools and the regional pools derived from them.
func (d *Dispatcher) updateNamed(changed []string, now time.Time) {
	named := make(map[string]bool, len(changed))
	for _, name := range changed {
		named[name] = true
	}
	for _, p := range d.pools {
		if named[p.basePool] {
			d.updatePool(p, now)
		}
	}
}

// SetRegions sets the region of each data hall. It must be called before the first request.
func (d *Dispatcher) SetRegions(regions map[string]string) { d.regions = regions }

// updatePool rebuilds the candidates of a pool from the current view and serves its queue.
func (d *Dispatcher) updatePool(p *pool, now time.Time) {
	p.update(d.view, d.candidates(d.view, p), now)
	d.pump(p, now)
}

// candidates returns the endpoints of the view that the pool may use, with their states, which it creates or updates.
// It leaves out endpoints that are draining, were superseded by a later incarnation, or are in an evacuated data hall
// or a region that is not allowed, or of another build than the pool's.
func (d *Dispatcher) candidates(v *view.View, p *pool) []candidate {
	eps, now := v.Pool(p.basePool), d.clock.Now()
	out := make([]candidate, 0, len(eps))
	for _, e := range eps {
		if d.excluded(incarnationOf(&e)) || d.evacuated[e.Hall] || !p.regions.Allows(d.regions[e.Hall]) || p.bound && e.Build != p.build {
			continue
		}
		ep := d.endpointStates[e.Name]
		if ep == nil || ep.incarnation != e.Incarnation {
			share := e.Concurrency / max(1, len(v.Live))
			ep = newEndpointState(e, share)
			ep.backoffUntil = d.signals.BackoffUntil(ep.incarnationID)
			d.endpointStates[e.Name] = ep
		}
		ep.build, ep.hall, ep.address, ep.coldUntil, ep.coldRate, ep.slots, ep.pace, ep.load = e.Build, e.Hall, e.Address, e.ColdUntil, e.ColdRate, e.Concurrency, d.paceOf(e.Name), d.loads[e.Name]
		d.setLimits(ep, now)
		out = append(out, candidate{Endpoint: e, endpointState: ep})
	}
	return out
}
