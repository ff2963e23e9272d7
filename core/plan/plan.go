package plan

import (
	"sort"
	"time"

	"olivetiller/core/catalog"
	"olivetiller/core/demand"
	"olivetiller/core/ledger"
	"olivetiller/core/policy"
	"olivetiller/core/rendezvous"
	pb "olivetiller/proto/olivetiller/v1"
)

// Times of the planner.
const (
	// Lease is how long after proposing an order its executor may write it.
	Lease = 10 * time.Second
	// TakeoverAfter is how long another node watches an order of a dead
	// executor on an engine that ignores fences.
	TakeoverAfter = Lease + 2*time.Second
	// OrderLimit is how long any order may stay unfinished before it is
	// re-driven, dead executor or not.
	OrderLimit = 3 * time.Minute
	// Quarantine is how long a replica that a late order could bring back
	// stays accounted. It is longer than any pause of a process we tolerate.
	Quarantine = 2 * time.Minute
	// HomeSilence is how long demand waits for the home to act before the node
	// that has it acts itself, with up to as much again as jitter.
	HomeSilence = 1500 * time.Millisecond
	// proposalLife is how long a proposal without an outcome is not repeated.
	proposalLife = 5 * time.Second
	// rejectedPause is how long a rejected proposal is not repeated.
	rejectedPause = 200 * time.Millisecond
	// scanEvery is the time between two looks at everything that is loaded.
	scanEvery = time.Second
	// secondReplicaAfter is how long requests wait before a unit with a ready
	// replica gets another.
	secondReplicaAfter = time.Second
	// failurePause is how long a unit rests after a failed load; it doubles.
	failurePause        = 500 * time.Millisecond
	maxFailureDoublings = 4
	// ackedPatience multiplies HomeSilence while the home takes demand: it
	// lives, and has its reasons for not acting.
	ackedPatience = 8
)

// Policy decides about keeping and eviction.
type Policy interface {
	// Decide says whether a unit that has been idle for a time is held loaded, or
	// loaded before anybody asks, with its share of an engine's memory.
	Decide(unit string, share float64, idle time.Duration, now time.Time) policy.Decision
	// Loss is the expected cost of unloading a replica idle for a time.
	Loss(unit string, idle time.Duration, now time.Time) float64
	// Used notes a use.
	Used(unit string, at time.Time)
	// Loaded notes a load's duration.
	Loaded(unit string, d time.Duration)
}

// Engine is the soft state of one engine.
type Engine struct {
	// Up is what the engine last said of itself; nil if it never answered.
	Up *pb.EngineUp
	// Listed is false when the platform's list no longer holds the instance.
	Listed bool
	// Reachable is false while the engine does not answer.
	Reachable bool
	// Leaving engines receive no new work.
	Leaving bool
	// OnDisk holds "unit@version" of the checkpoints on its local disk.
	OnDisk map[string]bool
}

// Input is what a plan is made from. The planner changes none of it.
type Input struct {
	Now time.Time
	// Live holds the names of the live nodes, this one included, in order.
	Live   []string
	Ledger *ledger.State
	Demand *demand.Table
	// Engines holds the soft state by engine name.
	Engines map[string]*Engine
	// Alive reports whether a node incarnation is held to be alive.
	Alive func(ledger.NodeRef) bool
	// HomeAcked reports whether a node took demand from this one just now; nil
	// means that none did.
	HomeAcked func(node string) bool
}

// Order is an instruction for an engine under an accepted record.
type Order struct {
	ledger.Key
	Fence  uint64
	Unload bool
	// Cleanup is the last unload before a quarantine ends.
	Cleanup bool
	// LeaseEnd is when the executor must no longer write the order.
	LeaseEnd time.Time
	// Address and Incarnation are the engine's.
	Address     string
	Incarnation uint64
	Base        string
	Bytes       uint64
	Store       string
}

// Action is one step: exactly one field is set.
type Action struct {
	Propose *pb.Record
	Order   *Order
}

// Planner is one node's planner. It is owned by the control goroutine.
type Planner struct {
	Self   ledger.NodeRef
	Policy Policy

	homes   *rendezvous.Table
	watched map[ledger.Key]watch
	pending map[string]pendingProposal
	// leases holds the lease of each order in force of this node.
	leases map[ledger.Key]lease
	// readySince is when this node first saw a replica ready.
	readySince map[ledger.Key]time.Time
	// loadSince is when this node first saw the load of a replica.
	loadSince map[ledger.Key]time.Time
	reasons   map[string]string
	// verdicts holds what the policy said of each unit lately.
	verdicts map[string]verdict
	// failing holds the units whose loads failed lately.
	failing  map[string]backoff
	lastScan time.Time
	jitter   time.Duration
}

// verdict is what the policy said of a unit.
type verdict struct {
	policy.Decision
	at, lastUse time.Time
}

// decideEvery is how long a verdict holds while the unit is not used.
const decideEvery = 10 * time.Second

// decide asks the policy about a unit that nothing uses.
func (p *Planner) decide(u string, share float64, idle time.Duration, now time.Time) policy.Decision {
	lastUse := now.Add(-idle)
	if v, ok := p.verdicts[u]; ok && now.Sub(v.at) < decideEvery && v.lastUse.Equal(lastUse) {
		return v.Decision
	}
	d := p.Policy.Decide(u, share, idle, now)
	p.verdicts[u] = verdict{Decision: d, at: now, lastUse: lastUse}
	return d
}

// backoff is the pause after failed loads.
type backoff struct {
	failures int
	until    time.Time
}

// watch is when this node first saw an order.
type watch struct {
	fence uint64
	since time.Time
}

// lease is how long this node may write an order.
type lease struct {
	fence uint64
	end   time.Time
}

type pendingProposal struct {
	at    time.Time
	until time.Time
}

// New returns a planner; jitter in [0, 1) spreads the nodes that stand in for a
// silent home.
func New(self ledger.NodeRef, p Policy, jitter float64) *Planner {
	return &Planner{
		Self:       self,
		Policy:     p,
		homes:      rendezvous.NewTable(),
		watched:    make(map[ledger.Key]watch),
		pending:    make(map[string]pendingProposal),
		leases:     make(map[ledger.Key]lease),
		readySince: make(map[ledger.Key]time.Time),
		loadSince:  make(map[ledger.Key]time.Time),
		reasons:    make(map[string]string),
		verdicts:   make(map[string]verdict),
		failing:    make(map[string]backoff),
		jitter:     time.Duration(jitter * float64(HomeSilence)),
	}
}

// Plan returns the next steps.
func (p *Planner) Plan(in *Input) []Action {
	p.homes.Update(in.Live)
	var acts []Action
	acts = append(acts, p.openOrders(in)...)
	acts = append(acts, p.loads(in)...)
	if in.Now.Sub(p.lastScan) >= scanEvery {
		p.lastScan = in.Now
		p.forget(in)
		acts = append(acts, p.engines(in)...)
		acts = append(acts, p.unloads(in)...)
	}
	return acts
}

// Settled tells the planner the outcome of a record it proposed.
func (p *Planner) Settled(o ledger.Outcome, now time.Time) {
	s := subject(o.Record)
	if s == "" {
		return
	}
	if !o.OK() {
		p.pending[s] = pendingProposal{at: now, until: now.Add(rejectedPause)}
		return
	}
	if k, ok := placementKey(o.Record); ok {
		// The lease runs from the proposal, not from its acceptance.
		if at := p.pending[s].at; !at.IsZero() {
			p.leases[k] = lease{fence: o.Fence, end: at.Add(Lease)}
		}
	}
	delete(p.pending, s)
}

// Observe tells the planner the outcome of any node's record.
func (p *Planner) Observe(o ledger.Outcome, now time.Time) {
	if !o.OK() {
		return
	}
	switch b := o.Record.GetBody().(type) {
	case *pb.Record_LoadDone:
		p.observeLoaded(b.LoadDone, now)
	case *pb.Record_LoadFailed:
		p.observeFailed(b.LoadFailed, now)
	}
}

func (p *Planner) observeLoaded(d *pb.LoadDone, now time.Time) {
	k := ledger.Key{Unit: d.GetUnit(), Version: d.GetVersion(), Engine: d.GetEngine()}
	if began, ok := p.loadSince[k]; ok {
		p.Policy.Loaded(k.Unit, now.Sub(began))
		delete(p.loadSince, k)
	}
}

func (p *Planner) observeFailed(f *pb.LoadFailed, now time.Time) {
	b := p.failing[f.GetUnit()]
	b.failures++
	b.until = now.Add(failurePause << min(b.failures-1, maxFailureDoublings))
	p.failing[f.GetUnit()] = b
	p.reasons[f.GetUnit()] = "the last load failed: " + f.GetCause()
}

// LoadingSince returns when this node first saw each load in progress, by unit.
func (p *Planner) LoadingSince() map[string]time.Time {
	out := make(map[string]time.Time, len(p.loadSince))
	for k, at := range p.loadSince {
		if first, ok := out[k.Unit]; !ok || at.Before(first) {
			out[k.Unit] = at
		}
	}
	return out
}

// Home returns the home of a unit or engine among the live nodes.
func (p *Planner) Home(key string) string { return p.homes.Home(key) }

// HomeKey returns the key whose home serves a unit: adapters share the home of
// their base model, which must be loaded first.
func HomeKey(u *catalog.Unit) string {
	if u.Base != "" {
		return u.Base
	}
	return u.Name
}

// Reason says why a unit is loaded, waiting or neither.
func (p *Planner) Reason(unit string) string { return p.reasons[unit] }

// propose returns the action unless the same proposal is under way.
func (p *Planner) propose(in *Input, r *pb.Record) []Action {
	s := subject(r)
	if pend, ok := p.pending[s]; ok && in.Now.Before(pend.until) {
		return nil
	}
	p.pending[s] = pendingProposal{at: in.Now, until: in.Now.Add(proposalLife)}
	return []Action{{Propose: r}}
}

// forget drops what is no longer of use.
func (p *Planner) forget(in *Input) {
	for s, pend := range p.pending {
		if in.Now.After(pend.until) {
			delete(p.pending, s)
		}
	}
	for k := range p.watched {
		if in.Ledger.Open[k] == nil {
			delete(p.watched, k)
			delete(p.leases, k)
		}
	}
	for u, v := range p.verdicts {
		if in.Now.Sub(v.at) > decideEvery {
			delete(p.verdicts, u)
		}
	}
	for k := range p.loadSince {
		if pl := in.Ledger.Find(k); pl == nil || pl.Phase != ledger.Loading {
			delete(p.loadSince, k)
		}
	}
	for k := range p.readySince {
		if pl := in.Ledger.Find(k); pl == nil || pl.Phase != ledger.Ready {
			delete(p.readySince, k)
		}
	}
}

// sortedKeys orders placements, so that equal inputs give equal plans.
func sortedKeys[V any](m map[ledger.Key]V) []ledger.Key {
	keys := make([]ledger.Key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		if a.Engine != b.Engine {
			return a.Engine < b.Engine
		}
		if a.Unit != b.Unit {
			return a.Unit < b.Unit
		}
		return a.Version < b.Version
	})
	return keys
}
