package plan

import (
	"fmt"
	"sort"
	"time"

	"olivetiller/core/catalog"
	"olivetiller/core/demand"
	"olivetiller/core/ledger"
	"olivetiller/core/policy"
	"olivetiller/core/rendezvous"
	pb "olivetiller/proto/olivetiller/v1"
)

// replicaRequest is the need of a unit for one more replica.
type replicaRequest struct {
	unit   *catalog.Unit
	demand demand.Demand
	// deadline is the time by which the replica is wanted.
	deadline time.Time
	// cause is the reason that operators see in the unit's status.
	cause string
}

// loadActions proposes loads, or evictions that make room for them, for units that
// have waiting requests, are pinned or are prewarmed. The most urgent come first,
// so that they get the free load slots of the weight store.
func (p *Planner) loadActions(in *Input) []Action {
	var acts []Action
	for _, w := range p.replicaRequests(in) {
		if in.Ledger.QueuedLoads(w.unit.Store) >= ledger.MaxQueuedLoads {
			p.reasons[w.unit.Name] = "waits: the queue for weight store " + w.unit.Store + " is full"
			continue
		}
		acts = append(acts, p.proposeLoad(in, w)...)
	}
	return acts
}

// replicaRequests returns the units that need one more replica, at most one
// request per unit, sorted by deadline. If the base model of an adapter is not
// ready, it returns a request for the base model instead.
func (p *Planner) replicaRequests(in *Input) []replicaRequest {
	var out []replicaRequest
	wanted := make(map[string]bool)
	add := func(w replicaRequest) {
		if !wanted[w.unit.Name] {
			wanted[w.unit.Name] = true
			out = append(out, w)
		}
	}
	for _, name := range p.loadableUnits(in) {
		u := in.Ledger.Catalog.Units[name]
		if u == nil || u.Banned {
			continue
		}
		d := in.Demand.Get(name, in.Now)
		if !p.isResponsible(in, u, d) {
			continue
		}
		w, ok := p.needsReplica(in, u, d)
		if !ok {
			continue
		}
		if base := in.Ledger.Catalog.Units[u.Base]; base != nil && !p.anyReady(in, base) {
			if p.pendingReplicas(in, base) == 0 {
				add(replicaRequest{unit: base, demand: d, deadline: w.deadline, cause: "adapter " + name + " waits"})
			}
			p.reasons[name] = "waits for its base model " + base.Name
			continue
		}
		add(w)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if !out[i].deadline.Equal(out[j].deadline) {
			return out[i].deadline.Before(out[j].deadline)
		}
		return out[i].unit.Name < out[j].unit.Name
	})
	return out
}

// loadableUnits returns the sorted names of the units that may need a replica:
// those with demand and the pinned ones.
func (p *Planner) loadableUnits(in *Input) []string {
	names := in.Demand.Units()
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		seen[n] = true
	}
	for _, m := range in.Ledger.Catalog.Config.GetModels() {
		if m.GetPinned() && !seen[m.GetName()] {
			names = append(names, m.GetName())
		}
	}
	sort.Strings(names)
	return names
}

// isResponsible reports whether this node proposes loads of a unit: as its home,
// or because requests have waited here longer than the home may take to act.
func (p *Planner) isResponsible(in *Input, u *catalog.Unit, d demand.Demand) bool {
	home := p.Home(HomeKey(u))
	if home == p.Self.Node {
		return true
	}
	timeout := HomeSilence + p.jitter
	if in.HomeAcked != nil && in.HomeAcked(home) {
		timeout *= ackedHomeFactor
	}
	return d.Waiting > 0 && in.Now.Sub(d.Since) > timeout
}

// needsReplica reports whether a unit needs one more replica now, and returns the
// request for it. It needs none during the backoff after a failed load, while
// another load is in progress and at the replica limit.
func (p *Planner) needsReplica(in *Input, u *catalog.Unit, d demand.Demand) (replicaRequest, bool) {
	if in.Now.Before(p.loadBackoffs[u.Name].until) {
		return replicaRequest{}, false
	}
	usable, loading, total := p.countReplicas(in, u)
	if usable > 0 {
		delete(p.loadBackoffs, u.Name)
	}
	if loading > 0 || total >= u.MaxReplicas {
		return replicaRequest{}, false
	}
	w := replicaRequest{unit: u, demand: d, deadline: d.Deadline}
	switch {
	case usable == 0 && d.Waiting > 0:
		w.cause = fmt.Sprintf("%d requests wait", d.Waiting)
		return w, true
	case usable == 0 && u.Pinned:
		w.cause = "pinned"
		w.deadline = in.Now.Add(time.Minute)
		return w, true
	case usable == 0:
		return p.prewarm(in, u, d, w)
	case d.Waiting > u.Concurrency*usable/2 && p.hasLongWait(in, u, d):
		w.cause = fmt.Sprintf("%d requests wait for %d replicas", d.Waiting, usable)
		return w, true
	}
	return replicaRequest{}, false
}

// hasLongWait reports whether requests have waited longer than scaleUpDelay since
// the last replica became ready. The wait for a cold start does not count.
func (p *Planner) hasLongWait(in *Input, u *catalog.Unit, d demand.Demand) bool {
	since := d.Since
	for _, pl := range in.Ledger.Replicas[ledger.UnitVersion{Unit: u.Name, Version: u.Serving}] {
		ready, ok := p.readySince[pl.Key]
		if !ok {
			return false
		}
		if ready.After(since) {
			since = ready
		}
	}
	return in.Now.Sub(since) > scaleUpDelay
}

// prewarm returns a request for a unit without demand if the policy expects its
// next use soon.
func (p *Planner) prewarm(in *Input, u *catalog.Unit, d demand.Demand, w replicaRequest) (replicaRequest, bool) {
	if d.LastUse.IsZero() {
		return replicaRequest{}, false
	}
	decision := p.askPolicy(u.Name, p.memoryShare(in, u, u.Bytes(u.Serving)), in.Now.Sub(d.LastUse), in.Now)
	if !decision.Prewarm {
		return replicaRequest{}, false
	}
	w.cause = "expected soon: " + decision.Why
	// Units with waiting requests have an earlier deadline and go first.
	w.deadline = in.Now.Add(time.Hour)
	return w, true
}

// countReplicas returns the numbers of placements of the unit's serving version:
// ready ones on usable engines, queued or loading ones, and all in any phase.
func (p *Planner) countReplicas(in *Input, u *catalog.Unit) (usable, loading, total int) {
	for _, pl := range in.Ledger.Replicas[ledger.UnitVersion{Unit: u.Name, Version: u.Serving}] {
		total++
		switch {
		case pl.Phase == ledger.Loading || pl.Phase == ledger.Queued:
			loading++
		case pl.Phase == ledger.Ready && p.usable(in, pl.Engine):
			usable++
		}
	}
	return usable, loading, total
}

// usable reports whether an engine can receive new placements and requests: it is
// reachable with its registered incarnation and neither draining nor leaving.
func (p *Planner) usable(in *Input, engine string) bool {
	e := in.Ledger.Engines[engine]
	observed := in.Engines[engine]
	return e != nil && !e.Draining && observed != nil && observed.Reachable && !observed.Leaving &&
		observed.Up != nil && observed.Up.GetIncarnation() == e.Incarnation
}

func (p *Planner) anyReady(in *Input, u *catalog.Unit) bool {
	usable, _, _ := p.countReplicas(in, u)
	return usable > 0
}

// pendingReplicas returns the number of replicas in progress. At the replica limit
// it returns all placements, because no further load can be proposed.
func (p *Planner) pendingReplicas(in *Input, u *catalog.Unit) int {
	_, loading, total := p.countReplicas(in, u)
	if total >= u.MaxReplicas {
		return total
	}
	return loading
}

// proposeLoad proposes a load on the best engine, or the unloads that make room
// for it.
func (p *Planner) proposeLoad(in *Input, w replicaRequest) []Action {
	u := w.unit
	cands := p.candidateEngines(in, u)
	choice, ok := policy.Place(u.Bytes(u.Serving), cands)
	if !ok {
		p.reasons[u.Name] = fmt.Sprintf("%s, but no engine has or can free %d bytes", w.cause, u.Bytes(u.Serving))
		return nil
	}
	if len(choice.Evict) > 0 {
		return p.evict(in, w, choice)
	}
	_, _, total := p.countReplicas(in, u)
	p.reasons[u.Name] = "loads on " + choice.Engine + ": " + w.cause
	return p.propose(in, &pb.Record{Body: &pb.Record_Load{Load: &pb.Load{
		Unit: u.Name, Version: u.Serving, Engine: choice.Engine,
		EngineIncarnation: in.Ledger.Engines[choice.Engine].Incarnation,
		Want:              uint32(total + 1),
		UrgentUnixMs:      w.deadline.UnixMilli(),
	}}})
}

// evict proposes the unloads of a choice. The load itself is proposed by a later
// plan, once the unloads are done.
func (p *Planner) evict(in *Input, w replicaRequest, choice policy.Choice) []Action {
	var acts []Action
	var out []policy.EvictableReplica
	for _, v := range choice.Evict {
		if len(v.Adapters) > 0 {
			// The base model is unloaded by a later plan, after its adapters.
			out = append(out, v.Adapters...)
			continue
		}
		out = append(out, v)
	}
	for _, v := range out {
		p.reasons[v.Unit] = "unloads on " + choice.Engine + " to make room for " + w.unit.Name
		acts = append(acts, p.proposeUnload(in, ledger.Key{Unit: v.Unit, Version: v.Version, Engine: choice.Engine}, v.Fence)...)
	}
	p.reasons[w.unit.Name] = fmt.Sprintf("waits for room on %s: %s", choice.Engine, w.cause)
	return acts
}

// candidateEngines returns the engines that a unit could be loaded on, with or
// without evictions, sorted by name.
func (p *Planner) candidateEngines(in *Input, u *catalog.Unit) []policy.Candidate {
	uv := ledger.UnitVersion{Unit: u.Name, Version: u.Serving}
	replicas := in.Ledger.Replicas[uv]
	halls := make(map[string]int)
	for engine := range replicas {
		if e := in.Ledger.Engines[engine]; e != nil {
			halls[e.Hall]++
		}
	}
	var out []policy.Candidate
	for name, e := range in.Ledger.Engines {
		if !p.usable(in, name) || !u.AllowsHall(e.Hall) || replicas[name] != nil || e.MemoryBytes < u.Bytes(u.Serving) {
			continue
		}
		if u.Base != "" && !baseReady(in, u, e) {
			continue
		}
		tier := policy.Remote
		if in.Engines[name].OnDisk[u.Name+"@"+u.Serving] {
			tier = policy.OnDisk
		}
		out = append(out, policy.Candidate{
			Engine: name, Free: e.MemoryBytes - e.Used, Tier: tier, HallReplicas: halls[e.Hall], BusyUnits: busyUnits(in, e),
			TieBreak: rendezvous.Score(u.Name, name), Evictable: p.evictable(in, e, u),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Engine < out[j].Engine })
	return out
}

// busyUnits returns the number of units on an engine that have waiting or running
// requests.
func busyUnits(in *Input, e *ledger.Engine) int {
	n := 0
	for uv := range e.Placements {
		if d := in.Demand.Get(uv.Unit, in.Now); d.Waiting+d.Running > 0 {
			n++
		}
	}
	return n
}

func baseReady(in *Input, u *catalog.Unit, e *ledger.Engine) bool {
	base := in.Ledger.Catalog.Units[u.Base]
	if base == nil {
		return false
	}
	pl := e.Placements[ledger.UnitVersion{Unit: base.Name, Version: base.Serving}]
	return pl != nil && pl.Phase == ledger.Ready
}

// evictable returns the idle replicas on an engine that could be evicted for unit u,
// sorted by unit; u's own base model is not among them. A base model includes its
// adapters and can be evicted only if all of them can.
func (p *Planner) evictable(in *Input, e *ledger.Engine, u *catalog.Unit) []policy.EvictableReplica {
	single := make(map[string]policy.EvictableReplica)
	for uv, pl := range e.Placements {
		if v, ok := p.evictableReplica(in, pl, u); ok {
			single[uv.Unit] = v
		}
	}
	var out []policy.EvictableReplica
	for name, v := range single {
		evictable := true
		for uv := range e.Placements {
			if au := in.Ledger.Catalog.Units[uv.Unit]; au == nil || au.Base != name {
				continue
			}
			adapter, ok := single[uv.Unit]
			evictable = evictable && ok
			v.Adapters = append(v.Adapters, adapter)
			v.Bytes += adapter.Bytes
			v.ReloadCost += adapter.ReloadCost
		}
		if evictable {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Unit < out[j].Unit })
	return out
}

// evictableReplica returns a replica as one to evict for unit u, and false if the
// replica is in use, pinned or not ready, or is the base model of u.
func (p *Planner) evictableReplica(in *Input, pl *ledger.Placement, u *catalog.Unit) (policy.EvictableReplica, bool) {
	if pl.Phase != ledger.Ready || pl.Unit == u.Base {
		return policy.EvictableReplica{}, false
	}
	vu := in.Ledger.Catalog.Units[pl.Unit]
	d := in.Demand.Get(pl.Unit, in.Now)
	if d.Waiting+d.Running > 0 || (vu != nil && vu.Pinned) {
		return policy.EvictableReplica{}, false
	}
	idle := p.idleTime(in, pl, d)
	return policy.EvictableReplica{
		Unit: pl.Unit, Version: pl.Version, Bytes: pl.Bytes, Fence: pl.Fence,
		Idle: idle, ReloadCost: p.Policy.ReloadCost(pl.Unit, idle, in.Now),
	}, true
}

func hasAdapters(in *Input, e *ledger.Engine, unit string) bool {
	for uv := range e.Placements {
		if u := in.Ledger.Catalog.Units[uv.Unit]; u != nil && u.Base == unit {
			return true
		}
	}
	return false
}

// idleTime returns the time since the last known use of a replica or, if it is
// later, since this node first saw the replica ready.
func (p *Planner) idleTime(in *Input, pl *ledger.Placement, d demand.Demand) time.Duration {
	since, ok := p.readySince[pl.Key]
	if !ok {
		since = in.Now
		p.readySince[pl.Key] = since
	}
	if d.LastUse.After(since) {
		since = d.LastUse
	}
	return in.Now.Sub(since)
}

// memoryShare returns the fraction of engine memory that bytes take, relative to
// the largest engine that holds a replica of the unit; 1 if none does.
func (p *Planner) memoryShare(in *Input, u *catalog.Unit, bytes uint64) float64 {
	var largest uint64
	for _, pl := range in.Ledger.Replicas[ledger.UnitVersion{Unit: u.Name, Version: u.Serving}] {
		if e := in.Ledger.Engines[pl.Engine]; e != nil {
			largest = max(largest, e.MemoryBytes)
		}
	}
	if largest == 0 {
		return 1
	}
	return float64(bytes) / float64(largest)
}
