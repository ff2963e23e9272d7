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

// wish is a unit that wants one more replica.
type wish struct {
	unit   *catalog.Unit
	demand demand.Demand
	// urgent is the time by which the replica is wanted.
	urgent time.Time
	why    string
}

// loads proposes replicas for units that wait, are pinned or are due, the most
// urgent first, so that they get the weight store's free slots first.
func (p *Planner) loads(in *Input) []Action {
	var acts []Action
	for _, w := range p.wishes(in) {
		if in.Ledger.Queued(w.unit.Store) >= ledger.MaxQueuedLoads {
			p.reasons[w.unit.Name] = "waits: the queue for weight store " + w.unit.Store + " is full"
			continue
		}
		acts = append(acts, p.loadOne(in, w)...)
	}
	return acts
}

// wishes returns the units that want a replica, most urgent first.
func (p *Planner) wishes(in *Input) []wish {
	var out []wish
	wanted := make(map[string]bool)
	add := func(w wish) {
		if !wanted[w.unit.Name] {
			wanted[w.unit.Name] = true
			out = append(out, w)
		}
	}
	for _, name := range p.demanded(in) {
		u := in.Ledger.Catalog.Units[name]
		if u == nil || u.Banned {
			continue
		}
		d := in.Demand.Get(name, in.Now)
		if !p.acts(in, u, d) {
			continue
		}
		w, ok := p.wants(in, u, d)
		if !ok {
			continue
		}
		if base := in.Ledger.Catalog.Units[u.Base]; base != nil && !p.anyReady(in, base) {
			if p.placed(in, base) == 0 {
				add(wish{unit: base, demand: d, urgent: w.urgent, why: "adapter " + name + " waits"})
			}
			p.reasons[name] = "waits for its base model " + base.Name
			continue
		}
		add(w)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if !out[i].urgent.Equal(out[j].urgent) {
			return out[i].urgent.Before(out[j].urgent)
		}
		return out[i].unit.Name < out[j].unit.Name
	})
	return out
}

// demanded returns the units that may want a replica, in order.
func (p *Planner) demanded(in *Input) []string {
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

// acts reports whether this node acts for a unit: as its home, or because the
// home has been silent while requests wait here.
func (p *Planner) acts(in *Input, u *catalog.Unit, d demand.Demand) bool {
	home := p.Home(HomeKey(u))
	if home == p.Self.Node {
		return true
	}
	patience := HomeSilence + p.jitter
	if in.HomeAcked != nil && in.HomeAcked(home) {
		patience *= ackedPatience
	}
	return d.Waiting > 0 && in.Now.Sub(d.Since) > patience
}

// wants decides whether a unit needs one more replica now.
func (p *Planner) wants(in *Input, u *catalog.Unit, d demand.Demand) (wish, bool) {
	if in.Now.Before(p.failing[u.Name].until) {
		return wish{}, false
	}
	usable, coming, total := p.count(in, u)
	if usable > 0 {
		delete(p.failing, u.Name)
	}
	if coming > 0 || total >= u.MaxReplicas {
		return wish{}, false
	}
	w := wish{unit: u, demand: d, urgent: d.Deadline}
	switch {
	case usable == 0 && d.Waiting > 0:
		w.why = fmt.Sprintf("%d requests wait", d.Waiting)
		return w, true
	case usable == 0 && u.Pinned:
		w.why = "pinned"
		w.urgent = in.Now.Add(time.Minute)
		return w, true
	case usable == 0:
		return p.prewarm(in, u, d, w)
	case d.Waiting > u.Concurrency*usable/2 && p.strained(in, u, d):
		w.why = fmt.Sprintf("%d requests wait for %d replicas", d.Waiting, usable)
		return w, true
	}
	return wish{}, false
}

// strained reports whether requests have waited long beside a ready replica; the
// wait for a cold start does not count.
func (p *Planner) strained(in *Input, u *catalog.Unit, d demand.Demand) bool {
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
	return in.Now.Sub(since) > secondReplicaAfter
}

// prewarm wants a replica back when the policy expects the next use.
func (p *Planner) prewarm(in *Input, u *catalog.Unit, d demand.Demand, w wish) (wish, bool) {
	if d.LastUse.IsZero() {
		return wish{}, false
	}
	said := p.decide(u.Name, p.share(in, u, u.Bytes(u.Serving)), in.Now.Sub(d.LastUse), in.Now)
	if !said.Prewarm {
		return wish{}, false
	}
	w.why = "expected soon: " + said.Why
	// A replica that nobody waits for yet comes after those somebody waits for.
	w.urgent = in.Now.Add(time.Hour)
	return w, true
}

// count returns the replicas of the serving version that take requests, those
// on the way, and all that are accounted.
func (p *Planner) count(in *Input, u *catalog.Unit) (usable, coming, total int) {
	for _, pl := range in.Ledger.Replicas[ledger.UnitVersion{Unit: u.Name, Version: u.Serving}] {
		total++
		switch {
		case pl.Phase == ledger.Loading || pl.Phase == ledger.Queued:
			coming++
		case pl.Phase == ledger.Ready && p.usable(in, pl.Engine):
			usable++
		}
	}
	return usable, coming, total
}

// usable reports whether an engine takes new work.
func (p *Planner) usable(in *Input, engine string) bool {
	e := in.Ledger.Engines[engine]
	soft := in.Engines[engine]
	return e != nil && !e.Draining && soft != nil && soft.Reachable && !soft.Leaving &&
		soft.Up != nil && soft.Up.GetIncarnation() == e.Incarnation
}

func (p *Planner) anyReady(in *Input, u *catalog.Unit) bool {
	usable, _, _ := p.count(in, u)
	return usable > 0
}

func (p *Planner) placed(in *Input, u *catalog.Unit) int {
	_, coming, total := p.count(in, u)
	if total >= u.MaxReplicas {
		return total
	}
	return coming
}

// loadOne proposes a load, or the unloads that make room for it.
func (p *Planner) loadOne(in *Input, w wish) []Action {
	u := w.unit
	cands := p.candidates(in, u)
	choice, ok := policy.Place(u.Bytes(u.Serving), cands)
	if !ok {
		p.reasons[u.Name] = fmt.Sprintf("%s, but no engine has or can free %d bytes", w.why, u.Bytes(u.Serving))
		return nil
	}
	if len(choice.Evict) > 0 {
		return p.evict(in, w, choice)
	}
	_, _, total := p.count(in, u)
	p.reasons[u.Name] = "loads on " + choice.Engine + ": " + w.why
	return p.propose(in, &pb.Record{Body: &pb.Record_Load{Load: &pb.Load{
		Unit: u.Name, Version: u.Serving, Engine: choice.Engine,
		EngineIncarnation: in.Ledger.Engines[choice.Engine].Incarnation,
		Want:              uint32(total + 1),
		UrgentUnixMs:      w.urgent.UnixMilli(),
	}}})
}

func (p *Planner) evict(in *Input, w wish, choice policy.Choice) []Action {
	var acts []Action
	var out []policy.Victim
	for _, v := range choice.Evict {
		if len(v.First) > 0 {
			// The base model goes in a later round, when its adapters are gone.
			out = append(out, v.First...)
			continue
		}
		out = append(out, v)
	}
	for _, v := range out {
		p.reasons[v.Unit] = "unloads on " + choice.Engine + " to make room for " + w.unit.Name
		acts = append(acts, p.unload(in, ledger.Key{Unit: v.Unit, Version: v.Version, Engine: choice.Engine}, v.Fence)...)
	}
	p.reasons[w.unit.Name] = fmt.Sprintf("waits for room on %s: %s", choice.Engine, w.why)
	return acts
}

// candidates returns the engines that a unit could be loaded on.
func (p *Planner) candidates(in *Input, u *catalog.Unit) []policy.Candidate {
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
			Engine: name, Free: e.MemoryBytes - e.Used, Tier: tier, HallReplicas: halls[e.Hall], Busy: busy(in, e),
			Tie: rendezvous.Score(u.Name, name), Victims: p.victims(in, e, u),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Engine < out[j].Engine })
	return out
}

// busy counts the units on an engine that have work.
func busy(in *Input, e *ledger.Engine) int {
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

// victims returns the replicas on an engine that nothing uses and that the
// unit does not need itself. A base model comes with its adapters: it can go
// when none of them is in use.
func (p *Planner) victims(in *Input, e *ledger.Engine, u *catalog.Unit) []policy.Victim {
	single := make(map[string]policy.Victim)
	for uv, pl := range e.Placements {
		if v, ok := p.victim(in, pl, u); ok {
			single[uv.Unit] = v
		}
	}
	var out []policy.Victim
	for name, v := range single {
		whole := true
		for uv := range e.Placements {
			if au := in.Ledger.Catalog.Units[uv.Unit]; au == nil || au.Base != name {
				continue
			}
			adapter, ok := single[uv.Unit]
			whole = whole && ok
			v.First = append(v.First, adapter)
			v.Bytes += adapter.Bytes
			v.Loss += adapter.Loss
		}
		if whole {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Unit < out[j].Unit })
	return out
}

// victim returns one replica as a victim, if nothing uses it.
func (p *Planner) victim(in *Input, pl *ledger.Placement, u *catalog.Unit) (policy.Victim, bool) {
	if pl.Phase != ledger.Ready || pl.Unit == u.Base {
		return policy.Victim{}, false
	}
	vu := in.Ledger.Catalog.Units[pl.Unit]
	d := in.Demand.Get(pl.Unit, in.Now)
	if d.Waiting+d.Running > 0 || (vu != nil && vu.Pinned) {
		return policy.Victim{}, false
	}
	idle := p.idle(in, pl, d)
	return policy.Victim{
		Unit: pl.Unit, Version: pl.Version, Bytes: pl.Bytes, Fence: pl.Fence,
		Idle: idle, Loss: p.Policy.Loss(pl.Unit, idle, in.Now),
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

// idle returns how long a replica has not been used, as far as this node knows.
func (p *Planner) idle(in *Input, pl *ledger.Placement, d demand.Demand) time.Duration {
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

// share is the part of an engine's memory that bytes take.
func (p *Planner) share(in *Input, u *catalog.Unit, bytes uint64) float64 {
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
