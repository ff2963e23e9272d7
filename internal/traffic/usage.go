package traffic

import (
	"maps"
	"time"

	"olivetiller/core/demand"
)

// Reports returns the demand of the pools that changed since the last call, and
// with all set of every pool that has work.
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

// Totals is the work of all pools.
type Totals struct {
	Waiting      int   `json:"waiting"`
	Running      int   `json:"running"`
	WaitingBytes int64 `json:"waitingBytes"`
	// RetryReserve is what this node may retry in a window beyond its share of first attempts.
	RetryReserve float64 `json:"retryReserve"`
	// Limited are the endpoints that limit their requests, in requests a second by name.
	Limited map[string]float64 `json:"limitedEndpoints"`
	// Leaving are the endpoints that have said that they leave, and Resting those that asked this node for rest, in
	// milliseconds left by name.
	Leaving []string         `json:"leavingEndpoints"`
	Resting map[string]int64 `json:"restingEndpoints"`
	// HeldByLimit counts the times that a request got no place since its endpoint's limit had no room, and Withheld
	// the requests that did not leave for their endpoint by what it had said meanwhile, by what that was.
	HeldByLimit int64            `json:"heldByLimit"`
	Withheld    map[string]int64 `json:"withheld"`
}

// Totals returns the work of all pools.
func (d *Dispatcher) Totals() Totals {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := Totals{RetryReserve: d.retries.Reserve, Limited: d.book.Limits(), Resting: d.book.Resting(d.clock.Now()), HeldByLimit: d.heldByLimit, Withheld: maps.Clone(d.withheld)}
	for _, l := range d.book.Leaving() {
		t.Leaving = append(t.Leaving, l.Endpoint)
	}
	for _, p := range d.pools {
		t.Waiting += p.queue.Len()
		t.Running += p.running
		t.WaitingBytes += p.queue.Bytes()
	}
	return t
}

// Usage is a pool's work as the placement of models wants to know it.
type Usage struct {
	Pool     string
	Waiting  int
	Arrivals int
	// SentAway counts the callers told to come back since the last call.
	SentAway int
	// Objective is the least objective among the arrivals; 0 if none tells one.
	Objective time.Duration
	// Urgent is the next time by which one of the waiting wants its place, a past
	// one if all are late; Last is when the last of them does. Zero if none waits.
	Urgent, Last time.Time
	// RunningAt counts the running requests by endpoint.
	RunningAt map[string]int
}

// Usage returns the work of every pool that has or had any since the last call.
func (d *Dispatcher) Usage() []Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var out []Usage
	for _, p := range d.pools {
		if p.queue.Len() == 0 && p.running == 0 && p.arrivals == 0 && p.sentAway == 0 {
			continue
		}
		u := Usage{Pool: p.name, Waiting: p.queue.Len(), Arrivals: p.arrivals, SentAway: p.sentAway, Objective: p.objective, RunningAt: maps.Clone(p.runningAt)}
		u.Urgent, u.Last, _ = p.queue.Due(now)
		p.arrivals, p.sentAway, p.objective = 0, 0, 0
		out = append(out, u)
	}
	return out
}

// Load returns the work of one pool.
func (d *Dispatcher) Load(name string) (waiting, running int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[name]
	if p == nil {
		return 0, 0
	}
	return p.queue.Len(), p.running
}
