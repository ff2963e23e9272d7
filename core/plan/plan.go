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

// Timeouts, intervals and backoffs of the planner.
const (
	// Lease is how long after proposing an order its executor may send it to the
	// engine.
	Lease = 10 * time.Second
	// TakeoverAfter is how long another node must have observed the order of a dead
	// executor before taking it over, if the engine ignores fences.
	TakeoverAfter = Lease + 2*time.Second
	// OrderLimit is how long an order may stay unfinished before it is taken over
	// even if its executor is alive.
	OrderLimit = 3 * time.Minute
	// Quarantine is how long a removed replica stays accounted if an earlier order
	// could load it again. It is longer than any process pause that the system
	// tolerates.
	Quarantine = 2 * time.Minute
	// HomeSilence is how long requests wait for the home node to propose a load
	// before the node that holds them does so itself. A jitter of up to the same
	// length is added.
	HomeSilence = 1500 * time.Millisecond
	// proposalTimeout is how long a proposal without an outcome is not repeated.
	proposalTimeout = 5 * time.Second
	// rejectedBackoff is how long a rejected proposal is not repeated.
	rejectedBackoff = 200 * time.Millisecond
	// scanInterval is the time between two scans of all engines and placements for
	// registrations and unloads.
	scanInterval = time.Second
	// scaleUpDelay is how long requests wait beside ready replicas before the unit
	// gets another replica.
	scaleUpDelay = time.Second
	// minLoadBackoff is the backoff of a unit's loads after the first failed one. It
	// doubles with each failure, at most maxLoadBackoffDoublings times.
	minLoadBackoff          = 500 * time.Millisecond
	maxLoadBackoffDoublings = 4
	// ackedHomeFactor multiplies HomeSilence and its jitter while the home
	// acknowledges demand reports: it is alive, so its decision not to load is
	// probably deliberate.
	ackedHomeFactor = 8
)

// Policy decides which idle replicas stay loaded, which units are prewarmed and
// what an eviction costs. It learns from the uses and loads reported to it.
type Policy interface {
	// Decide returns whether a replica of the unit that has been idle for the given
	// time stays loaded and whether an unloaded unit is prewarmed. share is the
	// fraction of an engine's memory that the replica takes.
	Decide(unit string, share float64, idle time.Duration, now time.Time) policy.Decision
	// ReloadCost returns the expected cost of unloading a replica that has been idle
	// for the given time.
	ReloadCost(unit string, idle time.Duration, now time.Time) float64
	// Used reports that the unit was in use at a time.
	Used(unit string, at time.Time)
	// Loaded reports how long a load of the unit took.
	Loaded(unit string, d time.Duration)
}

// Engine is the observed, undecided state of one engine, from its status calls
// and the platform's instance list.
type Engine struct {
	// Up holds the engine's latest status; nil if it never answered.
	Up *pb.EngineUp
	// Listed is true while the platform's instance list contains the engine.
	Listed bool
	// Reachable is true while the engine answers status calls.
	Reachable bool
	// Leaving is true once the instance is announced to stop; it then receives no
	// new placements or requests.
	Leaving bool
	// OnDisk holds the checkpoints on the engine's local disk, as "unit@version".
	OnDisk map[string]bool
}

// Input is the input of a plan. The planner does not modify it.
type Input struct {
	Now time.Time
	// Live holds the sorted names of the live nodes. This node is included unless
	// it is stopping.
	Live   []string
	Ledger *ledger.State
	Demand *demand.Table
	// Engines holds the observed state by engine name.
	Engines map[string]*Engine
	// Alive reports whether this node considers a node incarnation alive.
	Alive func(ledger.NodeRef) bool
	// HomeAcked reports whether a node has recently acknowledged a demand report of
	// this node; nil means that none has.
	HomeAcked func(node string) bool
}

// Order is an order to an engine to load or unload a replica, covered by an
// accepted record.
type Order struct {
	ledger.Key
	Fence uint64
	// Unload is true for an order to unload, false for one to load.
	Unload bool
	// Cleanup is true for the unload that ends a quarantine.
	Cleanup bool
	// LeaseEnd is the time after which the executor must not send the order.
	LeaseEnd time.Time
	// Address and Incarnation are the engine's.
	Address     string
	Incarnation uint64
	// Base is the base model of an adapter; empty for a model.
	Base string
	// Bytes is the engine memory accounted for the replica.
	Bytes uint64
	// Store is the weight store that the replica is loaded from.
	Store string
}

// Action is one step of a plan. Exactly one field is set.
type Action struct {
	// Propose is a record to append to the log.
	Propose *pb.Record
	// Order is an order to send to an engine.
	Order *Order
}

// Planner is the planner of one node. It is owned by the control goroutine.
type Planner struct {
	Self   ledger.NodeRef
	Policy Policy

	homes    *rendezvous.Table
	observed map[ledger.Key]observedOrder
	pending  map[string]pendingProposal
	// leases holds the lease of each order that this node executes.
	leases map[ledger.Key]lease
	// readySince holds when this node first saw each replica ready.
	readySince map[ledger.Key]time.Time
	// loadSince holds when this node first saw each load in progress.
	loadSince map[ledger.Key]time.Time
	// reasons holds the text returned by Reason, by unit.
	reasons map[string]string
	// decisions caches the policy's decision on each unit.
	decisions map[string]cachedDecision
	// loadBackoffs holds the backoff of each unit whose last load failed.
	loadBackoffs map[string]backoff
	lastScan     time.Time
	jitter       time.Duration
}

// cachedDecision is the policy's decision on a unit, made at a time and for a last
// use of the unit.
type cachedDecision struct {
	policy.Decision
	at, lastUse time.Time
}

// decisionTTL is how long a cached decision is valid while the unit is not used.
const decisionTTL = 10 * time.Second

// askPolicy returns the policy's decision on an idle unit, from the cache if
// possible.
func (p *Planner) askPolicy(u string, share float64, idle time.Duration, now time.Time) policy.Decision {
	lastUse := now.Add(-idle)
	if d, ok := p.decisions[u]; ok && now.Sub(d.at) < decisionTTL && d.lastUse.Equal(lastUse) {
		return d.Decision
	}
	d := p.Policy.Decide(u, share, idle, now)
	p.decisions[u] = cachedDecision{Decision: d, at: now, lastUse: lastUse}
	return d
}

// backoff is the pause of a unit's loads after consecutive failures.
type backoff struct {
	failures int
	until    time.Time
}

// observedOrder is the fence of an order and when this node first saw it.
type observedOrder struct {
	fence uint64
	since time.Time
}

// lease is the time until which this node may send the order with a fence.
type lease struct {
	fence uint64
	end   time.Time
}

// pendingProposal is a proposal made at a time, not to be repeated until another.
type pendingProposal struct {
	at    time.Time
	until time.Time
}

// New returns the planner of a node incarnation. jitter in [0, 1) delays this node
// when it acts in place of an inactive home, so that the nodes with waiting
// requests do not all act at once.
func New(self ledger.NodeRef, p Policy, jitter float64) *Planner {
	return &Planner{
		Self:         self,
		Policy:       p,
		homes:        rendezvous.NewTable(),
		observed:     make(map[ledger.Key]observedOrder),
		pending:      make(map[string]pendingProposal),
		leases:       make(map[ledger.Key]lease),
		readySince:   make(map[ledger.Key]time.Time),
		loadSince:    make(map[ledger.Key]time.Time),
		reasons:      make(map[string]string),
		decisions:    make(map[string]cachedDecision),
		loadBackoffs: make(map[string]backoff),
		jitter:       time.Duration(jitter * float64(HomeSilence)),
	}
}

// Plan returns the next steps. Orders and loads are planned on every call, engine
// registrations and unloads once per scanInterval.
func (p *Planner) Plan(in *Input) []Action {
	p.homes.Update(in.Live)
	var acts []Action
	acts = append(acts, p.orderActions(in)...)
	acts = append(acts, p.loadActions(in)...)
	if in.Now.Sub(p.lastScan) >= scanInterval {
		p.lastScan = in.Now
		p.deleteStale(in)
		acts = append(acts, p.engineActions(in)...)
		acts = append(acts, p.unloadActions(in)...)
	}
	return acts
}

// ResolveProposal reports to the planner the outcome of a record that it proposed.
// An accepted order starts its lease; a rejected proposal is not repeated for
// rejectedBackoff.
func (p *Planner) ResolveProposal(o ledger.Outcome, now time.Time) {
	s := subject(o.Record)
	if s == "" {
		return
	}
	if !o.OK() {
		p.pending[s] = pendingProposal{at: now, until: now.Add(rejectedBackoff)}
		return
	}
	if k, ok := placementKey(o.Record); ok {
		// The lease starts at the proposal, not at its acceptance.
		if at := p.pending[s].at; !at.IsZero() {
			p.leases[k] = lease{fence: o.Fence, end: at.Add(Lease)}
		}
	}
	delete(p.pending, s)
}

// Observe reports to the planner the outcome of a record of any node. It measures
// load times and starts the backoff after failed loads.
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
	b := p.loadBackoffs[f.GetUnit()]
	b.failures++
	b.until = now.Add(minLoadBackoff << min(b.failures-1, maxLoadBackoffDoublings))
	p.loadBackoffs[f.GetUnit()] = b
	p.reasons[f.GetUnit()] = "the last load failed: " + f.GetCause()
}

// LoadingSince returns, for each unit with loads in progress, when this node first
// saw the earliest of them.
func (p *Planner) LoadingSince() map[string]time.Time {
	out := make(map[string]time.Time, len(p.loadSince))
	for k, at := range p.loadSince {
		if first, ok := out[k.Unit]; !ok || at.Before(first) {
			out[k.Unit] = at
		}
	}
	return out
}

// Home returns the home node of a key among the live nodes. The key is an engine
// name or, for a unit, its [HomeKey].
func (p *Planner) Home(key string) string { return p.homes.Home(key) }

// HomeKey returns the key that determines a unit's home node. Adapters share the
// home of their base model, because that must be loaded first.
func HomeKey(u *catalog.Unit) string {
	if u.Base != "" {
		return u.Base
	}
	return u.Name
}

// Reason returns the text that explains to operators why a unit is loaded, waiting
// or neither; empty if the planner has not looked at the unit.
func (p *Planner) Reason(unit string) string { return p.reasons[unit] }

// propose returns the action that proposes a record, or none if a proposal on the
// same subject is pending.
func (p *Planner) propose(in *Input, r *pb.Record) []Action {
	s := subject(r)
	if pend, ok := p.pending[s]; ok && in.Now.Before(pend.until) {
		return nil
	}
	p.pending[s] = pendingProposal{at: in.Now, until: in.Now.Add(proposalTimeout)}
	return []Action{{Propose: r}}
}

// deleteStale deletes expired proposals and decisions, and the entries of
// placements that are no longer in the phase that the entries are for.
func (p *Planner) deleteStale(in *Input) {
	for s, pend := range p.pending {
		if in.Now.After(pend.until) {
			delete(p.pending, s)
		}
	}
	for k := range p.observed {
		if in.Ledger.Open[k] == nil {
			delete(p.observed, k)
			delete(p.leases, k)
		}
	}
	for u, d := range p.decisions {
		if in.Now.Sub(d.at) > decisionTTL {
			delete(p.decisions, u)
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

// sortedKeys returns the keys in a fixed order, so that equal inputs give equal
// plans.
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
