package ledger

import (
	"olivetiller/core/catalog"
	pb "olivetiller/proto/olivetiller/v1"
)

func (s *State) load(l *pb.Load, from NodeRef, fence uint64) Reason {
	u := s.Catalog.Units[l.GetUnit()]
	if u == nil || u.Versions[l.GetVersion()] == 0 {
		return NoSuchUnit
	}
	e := s.Engines[l.GetEngine()]
	if r := s.mayPlace(u, e, l); r != Accepted {
		return r
	}
	bytes := u.Bytes(l.GetVersion())
	if e.Used+bytes > e.MemoryBytes && s.guards(GuardMemory) {
		return NoMemory
	}
	if s.Queued(u.Store) >= MaxQueued {
		return NoLoadSlot
	}
	// grant moves it on at once when a slot is free and nothing more urgent waits.
	s.add(&Placement{
		Key:      Key{l.GetUnit(), l.GetVersion(), l.GetEngine()},
		Phase:    Queued,
		Fence:    fence,
		Executor: from,
		Bytes:    bytes,
		Store:    u.Store,
		Urgent:   l.GetUrgentUnixMs(),
	})
	return Accepted
}

// grant gives the free load slots of each weight store to the most urgent loads
// that wait. The record that freed a slot is the grant: the fold alone decides
// who is next, so a burst of loads costs the log one proposal each, however
// many homes compete.
func (s *State) grant(fence uint64) {
	for store := range s.queued {
		for s.Queued(store) > 0 && (s.loading[store] < s.Catalog.StoreSlots[store] || !s.guards(GuardSlots)) {
			p := s.mostUrgent(store)
			s.setPhase(p, Loading)
			p.Fence = fence
		}
	}
}

func (s *State) mostUrgent(store string) *Placement {
	var best *Placement
	for _, p := range s.queued[store] {
		if best == nil || p.before(best) {
			best = p
		}
	}
	return best
}

// before orders queued placements alike on every node.
func (p *Placement) before(o *Placement) bool {
	if p.Urgent != o.Urgent {
		return p.Urgent < o.Urgent
	}
	if p.Fence != o.Fence {
		return p.Fence < o.Fence
	}
	if p.Engine != o.Engine {
		return p.Engine < o.Engine
	}
	return p.Unit+"@"+p.Version < o.Unit+"@"+o.Version
}

// mayPlace checks everything about a load but the room for it.
func (s *State) mayPlace(u *catalog.Unit, e *Engine, l *pb.Load) Reason {
	switch {
	case u.Banned:
		return UnitBanned
	case e == nil:
		return NoSuchEngine
	case e.Incarnation != l.GetEngineIncarnation():
		return EngineReplaced
	case e.Draining:
		return EngineDraining
	case !u.AllowsHall(e.Hall):
		return HallNotAllowed
	}
	uv := UnitVersion{l.GetUnit(), l.GetVersion()}
	replicas := s.Replicas[uv]
	if replicas[e.Name] != nil {
		return AlreadyPlaced
	}
	limit := min(int(l.GetWant()), u.MaxReplicas)
	if len(replicas) >= limit && s.guards(GuardReplicas) {
		return EnoughReplicas
	}
	if u.Base != "" && !s.baseReady(u, e) {
		return BaseNotReady
	}
	return Accepted
}

func (s *State) baseReady(u *catalog.Unit, e *Engine) bool {
	base := s.Catalog.Units[u.Base]
	if base == nil {
		return false
	}
	p := e.Placements[UnitVersion{u.Base, base.Serving}]
	return p != nil && p.Phase == Ready
}

// current returns the placement of an order, if the fence is the one in force.
func (s *State) current(k Key, fence uint64) (*Placement, Reason) {
	p := s.Find(k)
	if p == nil {
		return nil, StaleFence
	}
	if p.Fence != fence && s.guards(GuardFence) {
		return nil, StaleFence
	}
	return p, Accepted
}

func (s *State) loadDone(d *pb.LoadDone) Reason {
	p, r := s.current(Key{d.GetUnit(), d.GetVersion(), d.GetEngine()}, d.GetFence())
	if r != Accepted {
		return r
	}
	if p.Phase != Loading {
		return WrongPhase
	}
	if d.GetUnsure() && !s.Engines[p.Engine].ChecksFences {
		// An attempt without an answer may still arrive after an unload.
		p.LateOrders = true
	}
	s.setPhase(p, Ready)
	return Accepted
}

func (s *State) loadFailed(f *pb.LoadFailed, fence uint64) Reason {
	p, r := s.current(Key{f.GetUnit(), f.GetVersion(), f.GetEngine()}, f.GetFence())
	if r != Accepted {
		return r
	}
	if p.Phase != Loading {
		return WrongPhase
	}
	s.remove(p, f.GetUnsure(), fence)
	return Accepted
}

// takeover gives an unfinished order a new executor and a higher fence. Who may
// take over when is the planner's affair; the fold only sees to it that one
// does. An engine that ignores fences may still receive the order of the
// executor before, hence LateOrders. The takeover of a quarantined placement
// makes one node, and no other, write the unload that ends the quarantine: two
// such unloads could outlive it and remove a later replica.
func (s *State) takeover(t *pb.Takeover, from NodeRef, fence uint64) Reason {
	p, r := s.current(Key{t.GetUnit(), t.GetVersion(), t.GetEngine()}, t.GetFence())
	if r != Accepted {
		return r
	}
	if p.Phase != Loading && p.Phase != Unloading && p.Phase != Quarantined {
		return WrongPhase
	}
	if !s.Engines[p.Engine].ChecksFences {
		p.LateOrders = true
	}
	p.Fence = fence
	p.Executor = from
	return Accepted
}

func (s *State) unload(u *pb.Unload, from NodeRef, fence uint64) Reason {
	p, r := s.current(Key{u.GetUnit(), u.GetVersion(), u.GetEngine()}, u.GetFence())
	if r != Accepted {
		return r
	}
	if p.Phase == Queued {
		// No order has gone out yet.
		s.drop(p)
		return Accepted
	}
	if p.Phase != Ready {
		return WrongPhase
	}
	if s.adaptersOn(p) {
		return AdaptersLoaded
	}
	s.setPhase(p, Unloading)
	p.Fence = fence
	p.Executor = from
	return Accepted
}

// adaptersOn reports whether adapters of a base model are placed beside it.
func (s *State) adaptersOn(p *Placement) bool {
	for uv := range s.Engines[p.Engine].Placements {
		u := s.Catalog.Units[uv.Unit]
		if u != nil && u.Base == p.Unit {
			return true
		}
	}
	return false
}

func (s *State) unloadDone(d *pb.UnloadDone, fence uint64) Reason {
	p, r := s.current(Key{d.GetUnit(), d.GetVersion(), d.GetEngine()}, d.GetFence())
	if r != Accepted {
		return r
	}
	if p.Phase != Unloading {
		return WrongPhase
	}
	s.remove(p, d.GetUnsure(), fence)
	return Accepted
}

// remove ends a placement: at once, or through quarantine when a late order
// could bring it back on an engine that ignores fences.
func (s *State) remove(p *Placement, unsure bool, fence uint64) {
	late := p.LateOrders || (unsure && !s.Engines[p.Engine].ChecksFences)
	if late && s.guards(GuardQuarantine) {
		s.setPhase(p, Quarantined)
		// Nobody may write an order for it until somebody takes it over, and a
		// takeover meant for the order before must not pass for that.
		p.Executor = NodeRef{}
		p.Fence = fence
		return
	}
	s.drop(p)
}

func (s *State) quarantineEnd(q *pb.QuarantineEnd) Reason {
	p, r := s.current(Key{q.GetUnit(), q.GetVersion(), q.GetEngine()}, q.GetFence())
	if r != Accepted {
		return r
	}
	if p.Phase != Quarantined {
		return WrongPhase
	}
	s.drop(p)
	return Accepted
}
