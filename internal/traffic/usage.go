package traffic

import (
	"maps"
	"time"

	"olivetiller/core/demand"
	"olivetiller/core/directory"
)

// Reports returns the demand of the pools whose demand has changed since the last call. If all is set, it adds every
// other pool that has queued or running requests.
func (d *Dispatcher) Reports(all bool) []demand.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []demand.Report
	for _, p := range d.pools {
		if r, changed := p.report(); changed || (all && (r.Waiting > 0 || r.Running > 0)) {
			out = append(out, r)
		}
	}
	return out
}

// Totals sums up the state of all pools of this node, for the status page.
type Totals struct {
	// Waiting and Running count requests. WaitingBytes is the memory that the waiting ones hold.
	Waiting      int   `json:"waiting"`
	Running      int   `json:"running"`
	WaitingBytes int64 `json:"waitingBytes"`
	// RetryReserve is how many retries in a window each retry budget of this node allows beyond its share of first
	// attempts.
	RetryReserve float64 `json:"retryReserve"`
	// RetriesGranted and RetriesDenied count the answers of the lease holder, or of this node while it is partitioned
	// from it, about retries that the node's own budget did not allow.
	RetriesGranted int64 `json:"retriesGranted"`
	RetriesDenied  int64 `json:"retriesDenied"`
	// Limited holds the rate limits that endpoints reported, in requests a second by name.
	Limited map[string]float64 `json:"limitedEndpoints"`
	// Draining names the draining endpoints. Backoffs holds the time left, in milliseconds by name, of the backoffs
	// that endpoints asked of this node.
	Draining []string         `json:"leavingEndpoints"`
	Backoffs map[string]int64 `json:"restingEndpoints"`
	// Paces holds the paces of the endpoints that are far faster or slower than the median of their service, and Loads the
	// recent loads of endpoints in concurrent requests of all nodes, both by name.
	Paces map[string]float64 `json:"paces"`
	Loads map[string]int     `json:"loads"`
	// AtHome and AwayFromHome count the requests that [choose.Lanes] sent to an endpoint, by whether it took them.
	AtHome       int64 `json:"atHome"`
	AwayFromHome int64 `json:"awayFromHome"`
	// Displaced counts the queued requests that were refused because a more urgent one took their place.
	Displaced int64 `json:"displaced"`
	// HeldByLimit counts how often a request lost its slot because the endpoint's rate limit had no capacity.
	// Withheld counts the requests that CheckSend withheld, by WithheldError.By.
	HeldByLimit int64            `json:"heldByLimit"`
	Withheld    map[string]int64 `json:"withheld"`
}

// Totals returns the current totals.
func (d *Dispatcher) Totals() Totals {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := Totals{RetryReserve: d.retries.Reserve, Limited: d.signals.Limits(), Backoffs: d.signals.Backoffs(d.clock.Now()), HeldByLimit: d.heldByLimit, Withheld: maps.Clone(d.withheld),
		RetriesGranted: d.retriesGranted, RetriesDenied: d.retriesDenied, Displaced: d.displaced}
	t.AtHome, t.AwayFromHome = d.atHome.Load(), d.awayFromHome.Load()
	t.Paces, t.Loads = maps.Clone(d.paces), make(map[string]int)
	for name, ep := range d.endpointStates {
		if ep.load > 0 {
			t.Loads[name] = ep.load
		}
	}
	for _, l := range d.signals.DrainingIncarnations() {
		t.Draining = append(t.Draining, l.Endpoint)
	}
	for _, p := range d.pools {
		t.Waiting += p.queue.Len()
		t.Running += p.running
		t.WaitingBytes += p.queue.Bytes()
	}
	return t
}

// Usage is a pool's demand in the form that model placement needs.
type Usage struct {
	Pool string
	// Bound is true for requests that only endpoints of Build may serve.
	Bound bool
	Build directory.Build
	// Waiting counts queued requests, and Arrivals first attempts since the last call.
	Waiting  int
	Arrivals int
	// Deferred counts the requests refused with a retry hint since the last call.
	Deferred int
	// Late counts the answers since the last call that came late from endpoints that read long prompts beside them.
	Late int
	// Objective is the smallest latency objective among the arrivals; 0 if none has one.
	Objective time.Duration
	// Urgent is the earliest queue deadline among the waiting requests that is not past, or the earliest of all if
	// every one is past. Last is the latest. Both are zero if none waits.
	Urgent, Last time.Time
	// Rank is the most urgent rank among the waiting requests; 0 if ranks are not in use.
	Rank int
	// RunningAt counts the running requests by endpoint name.
	RunningAt map[string]int
	// Tokens and LongTokens are the lengths of the prompts, and of the long ones, that have arrived since the last call.
	Tokens, LongTokens int
	// ReadingAt is the length in tokens, by endpoint name, of the long prompts that are not read yet.
	ReadingAt map[string]int
}

// Usage returns the usage of every pool that has work or has had any since the last call.
func (d *Dispatcher) Usage() []Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var out []Usage
	for _, p := range d.pools {
		if p.queue.Len() == 0 && p.running == 0 && p.arrivals == 0 && p.retryHints == 0 && p.late == 0 {
			continue
		}
		u := Usage{Pool: p.name, Bound: p.bound, Build: p.build, Waiting: p.queue.Len(), Arrivals: p.arrivals, Deferred: p.retryHints, Late: p.late, Tokens: p.tokens, LongTokens: p.longTokens, Objective: p.objective, RunningAt: maps.Clone(p.runningAt), ReadingAt: maps.Clone(p.readingAt)}
		u.Urgent, u.Last, _ = p.queue.Due(now)
		u.Rank = p.queue.MostUrgent()
		p.arrivals, p.retryHints, p.late, p.tokens, p.longTokens, p.objective = 0, 0, 0, 0, 0, 0
		out = append(out, u)
	}
	return out
}

// Load returns the numbers of waiting and running requests of one pool.
func (d *Dispatcher) Load(name string) (waiting, running int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, p := range d.pools {
		if key.name == name {
			waiting, running = waiting+p.queue.Len(), running+p.running
		}
	}
	return waiting, running
}
